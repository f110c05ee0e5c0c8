//! The state of the simulation at its start, the delivery of messages, and one step of time.

#![allow(clippy::too_many_lines)] // tables of cases

use super::*;

impl World {
    pub fn new(seed: u64) -> Self {
        let (disk, now) = (Disk::new(1), ms(1000));
        let mut world = World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            leader: Leader::new(disk.start.clone(), LEASE, MARGIN, 2.0, now),
            backup: disk.clone(),
            disk,
            now,
            pending_writes: Vec::new(),
            hosts: Vec::new(),
            in_flight: Vec::new(),
            calls: BTreeMap::new(),
            next_id: 0,
            pending_proposals: BTreeMap::new(),
            committed: BTreeMap::new(),
            faults: true,
            converged: true,
            counts: [0; 6],
        };
        world.hosts = HOSTS
            .iter()
            .map(|name| Host::new(name, HostDisk::default()))
            .collect();
        world
    }

    /// True with a probability of 1 in `one_in`, and never once the faults have stopped.
    pub fn chance(&mut self, one_in: u32) -> bool {
        self.faults && self.rng.random_range(0..one_in) == 0
    }

    /// Sends a message, which may be lost, with a random delay.
    pub fn send(&mut self, message: Message) {
        if self.chance(8) {
            return;
        }
        let max_delay_ms = if self.faults { 300 } else { 20 };
        let at = self.now + ms(self.rng.random_range(1..max_delay_ms));
        self.next_id += 1;
        self.in_flight.push((at, self.next_id, message));
    }

    pub fn tick(&mut self) {
        self.now += STEP;
        if self.faults {
            match self.rng.random_range(0..400) {
                0..25 => self.propose_random_change(),
                25..28 => self.restart_leader(None),
                28 => {
                    let epoch = self.rng.random();
                    let disk = self.backup.restored(epoch);
                    self.restart_leader(Some(disk));
                }
                29 => self.backup = self.disk.clone(),
                30..33 => {
                    let i = self.rng.random_range(0..HOSTS.len());
                    self.restart_host(i);
                }
                33..36 => {
                    let i = self.rng.random_range(0..HOSTS.len());
                    self.host_step(i, vec![follower::Event::Down]);
                    self.hosts[i].up = false;
                }
                36..39 => {
                    self.next_id += 1;
                    let call = CallId(1 << 41 | self.next_id);
                    let (author, reason) = ("op".to_string(), "restored".to_string());
                    self.leader_step(vec![leader::Event::ForceEpoch {
                        call,
                        author,
                        reason,
                    }]);
                }
                _ => {}
            }
        }
        for i in 0..HOSTS.len() {
            if !self.hosts[i].up && (!self.faults || self.rng.random_range(0..30) == 0) {
                self.hosts[i].up = true;
                self.host_step(i, vec![follower::Event::Up]);
            }
        }
        self.complete_writes();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.0 <= self.now);
        self.in_flight = later;
        for (_, _, message) in due {
            match message {
                Message::Poll {
                    host,
                    call,
                    epoch,
                    applied,
                    stable,
                    acknowledged,
                } => {
                    self.next_id += 1;
                    let leader_call = CallId(self.next_id);
                    self.calls.insert(leader_call.0, (host, call));
                    let host = HostNumber(host as u32);
                    self.leader_step(vec![leader::Event::Polled {
                        call: leader_call,
                        host,
                        epoch,
                        applied,
                        stable,
                        acknowledged,
                    }]);
                }
                Message::Acknowledge {
                    host,
                    epoch,
                    applied,
                } => {
                    self.leader_step(vec![leader::Event::Acknowledged {
                        host: HostNumber(host as u32),
                        epoch,
                        applied,
                    }]);
                }
                Message::Response { host, event } => self.host_step(host, vec![event]),
            }
        }
        self.leader_step(Vec::new());
        for i in 0..HOSTS.len() {
            self.host_step(i, Vec::new());
        }
        self.check_limits();
    }
}
