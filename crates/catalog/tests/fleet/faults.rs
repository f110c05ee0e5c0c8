//! Random events of the simulation: proposals of operators, restarts of processes, and writes that
//! complete or fail.

#![allow(clippy::too_many_lines)] // tables of cases

use super::*;

impl World {
    pub fn propose_random_change(&mut self) {
        self.next_id += 1;
        let call = CallId(1 << 40 | self.next_id);
        let plan = |rng: &mut Pcg64Mcg| {
            let name = ["a", "b"].choose(rng).expect("two").to_string();
            let limit = f64::from(rng.random_range(0..4) * 6);
            let reservation = if limit > 0.0 {
                limit / f64::from(rng.random_range(1..4))
            } else {
                4.0
            };
            let to = Plan {
                reservation,
                limit,
                burst: 1.0 + limit,
                slack: limit,
                weight: 1.0,
                ..Plan::default()
            };
            Change::Plan {
                name: name.as_str().into(),
                to: Some(to),
            }
        };
        let volume = |rng: &mut Pcg64Mcg| {
            let id = rng.random_range(VOLUMES);
            let hosts = loop {
                let hosts: Vec<Name> = HOSTS
                    .iter()
                    .filter(|_| rng.random())
                    .map(|host| Name::from(*host))
                    .collect();
                if !hosts.is_empty() {
                    break hosts;
                }
            };
            let plan = Name::from(*["a", "b"].choose(rng).expect("two"));
            let to = Volume {
                plan,
                hosts: hosts.into(),
                shards: [].into(),
                blocks: 8,
            };
            Change::Volume {
                id,
                to: (rng.random_range(0..6) > 0).then_some(to),
            }
        };
        let changes: Vec<Change> = (0..self.rng.random_range(1..3))
            .map(|_| {
                if self.rng.random_range(0..3) == 0 {
                    plan(&mut self.rng)
                } else {
                    volume(&mut self.rng)
                }
            })
            .collect();
        let base_version = self.leader.persisted();
        let at = (self.rng.random_range(0..6) == 0)
            .then(|| self.now + ms(1_000_000) + ms(self.rng.random_range(0..900)));
        let proposal = Proposal {
            author: "op".into(),
            reason: "test".into(),
            base_version,
            changes: changes.clone(),
            at,
            force: false,
            dry_run: false,
        };
        if at.is_none() {
            self.pending_proposals.insert(call.0, changes);
        }
        self.leader_step(vec![leader::Event::Proposed { call, proposal }]);
    }

    pub fn restart_leader(&mut self, disk: Option<Disk>) {
        // A crash may leave any prefix of the pending writes on the disk.
        let n = self.rng.random_range(0..=self.pending_writes.len());
        let pending_writes = std::mem::take(&mut self.pending_writes);
        match disk {
            None => pending_writes
                .into_iter()
                .take(n)
                .for_each(|(_, what)| self.disk.persist(what)),
            Some(disk) => {
                self.disk = disk;
                self.committed
                    .retain(|v, _| *v <= self.disk.start.catalog.version());
                self.counts[3] += 1;
                self.converged = false;
            }
        }
        self.leader = Leader::new(self.disk.start.clone(), LEASE, MARGIN, 2.0, self.now);
        (self.pending_proposals, self.counts[2]) = (BTreeMap::new(), self.counts[2] + 1);
        for i in 0..HOSTS.len() {
            self.host_step(i, vec![follower::Event::Down, follower::Event::Up]);
        }
    }

    pub fn restart_host(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        let n = self.rng.random_range(0..=host.pending_writes.len());
        let (disk, pending_writes) = (&mut host.disk, std::mem::take(&mut host.pending_writes));
        pending_writes
            .iter()
            .take(n)
            .for_each(|(request, snapshot)| disk.persist(request, snapshot));
        let (calls, disk) = (host.calls, host.disk.clone());
        self.hosts[i] = Host::new(HOSTS[i], disk);
        self.hosts[i].calls = calls;
        self.in_flight.retain(
            |(_, _, message)| !matches!(message, Message::Response { host, .. } if *host == i),
        );
        self.counts[4] += 1;
    }

    pub fn complete_writes(&mut self) {
        if !self.pending_writes.is_empty() && self.rng.random_range(0..3) > 0 {
            if self.chance(40) {
                // When the first write fails, those that were pending with it fail too, as they depend on it.
                // Writes requested later do not.
                let failed: Vec<u64> = self
                    .pending_writes
                    .drain(..)
                    .map(|request| request.0)
                    .collect();
                for number in failed {
                    self.leader_step(vec![leader::Event::PersistFailed {
                        number,
                        reason: "full".into(),
                    }]);
                    if self.rng.random() {
                        self.propose_random_change();
                    }
                }
                return;
            }
            let n = self.rng.random_range(1..=self.pending_writes.len());
            let mut upto = 0;
            for (number, what) in self.pending_writes.drain(..n).collect::<Vec<_>>() {
                self.disk.persist(what);
                upto = number;
            }
            self.leader_step(vec![leader::Event::Persisted { upto }]);
        }
        for i in 0..HOSTS.len() {
            if self.hosts[i].pending_writes.is_empty() || self.rng.random_range(0..3) == 0 {
                continue;
            }
            let (request, snapshot) = self.hosts[i].pending_writes.remove(0);
            if self.chance(20) {
                self.host_step(
                    i,
                    vec![follower::Event::PersistFailed {
                        reason: "full".into(),
                    }],
                );
            } else {
                self.hosts[i].disk.persist(&request, &snapshot);
                self.host_step(
                    i,
                    vec![follower::Event::Persisted {
                        number: request.number,
                    }],
                );
            }
        }
    }
}
