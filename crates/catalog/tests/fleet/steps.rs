//! Steps the leader or one host and carries out the actions that the step returns.

#![allow(clippy::too_many_lines)] // tables of cases

use super::*;

impl World {
    pub fn leader_step(&mut self, events: Vec<leader::Event>) {
        // The wall clock jumps back by 3 s in some steps.
        let wall = self.now + ms(1_000_000) - if self.chance(50) { ms(3000) } else { ms(0) };
        for action in self.leader.step(self.now, wall, events) {
            match action {
                leader::Action::Persist { number, what } => {
                    self.pending_writes.push((number, what))
                }
                leader::Action::Grant(grant) => {
                    let (host, host_call) = self.calls[&grant.call.0];
                    let name = Name::from(HOSTS[host]);
                    let catalog = self.leader.catalog();
                    let revisions = catalog
                        .since(grant.from)
                        .expect("the audit log holds all revisions after the granted version")
                        .filter(|e| e.version <= grant.to);
                    let revisions = revisions
                        .map(|e| filter_for_host(catalog, grant.stable, e, &name))
                        .collect();
                    let state = || {
                        catalog
                            .state_at(grant.from)
                            .filter(|c| is_needed_by(c, &name))
                            .collect()
                    };
                    let update = match grant.snapshot {
                        true => Update::Snapshot {
                            at: grant.from,
                            state: state(),
                            revisions,
                        },
                        false => Update::Revisions(revisions),
                    };
                    self.counts[0] += u32::from(grant.snapshot);
                    let event = follower::Event::Granted {
                        call: host_call,
                        epoch: self.disk.start.epoch,
                        version: grant.to,
                        stable: grant.stable,
                        lease: grant.lease,
                        update,
                    };
                    self.send(Message::Response { host, event });
                }
                leader::Action::Behind { call, .. } => {
                    let (host, host_call) = self.calls[&call.0];
                    self.counts[1] += 1;
                    self.send(Message::Response {
                        host,
                        event: follower::Event::Behind { call: host_call },
                    });
                }
                leader::Action::Committed { call, version, .. } => {
                    if let Some(changes) = self.pending_proposals.remove(&call.0) {
                        self.committed.insert(version, changes);
                    }
                }
                leader::Action::Reject { call, .. } => {
                    if let Some((host, host_call)) = self.calls.get(&call.0).copied() {
                        let event = follower::Event::PollRejected {
                            call: host_call,
                            reason: "no".into(),
                        };
                        self.send(Message::Response { host, event });
                    }
                }
                leader::Action::Preview { .. } | leader::Action::Log { .. } => {}
            }
        }
    }

    pub fn host_step(&mut self, i: usize, events: Vec<follower::Event>) {
        let now = self.now;
        let host = &mut self.hosts[i];
        let actions = host.follower.step(now, events);
        let applied = host.follower.catalog().version();
        assert!(
            applied >= host.highest_applied,
            "{} returned from version {:?} to {applied:?}",
            HOSTS[i],
            host.highest_applied
        );
        host.highest_applied = applied;
        for action in actions {
            match action {
                follower::Action::Poll {
                    call,
                    epoch,
                    applied,
                    stable,
                    acknowledged,
                } => {
                    self.send(Message::Poll {
                        host: i,
                        call,
                        epoch,
                        applied,
                        stable,
                        acknowledged,
                    });
                }
                follower::Action::Acknowledge { epoch, applied } => {
                    self.send(Message::Acknowledge {
                        host: i,
                        epoch,
                        applied,
                    })
                }
                follower::Action::Persist(request) => {
                    let snapshot = self.hosts[i].follower.catalog().clone();
                    self.hosts[i].pending_writes.push((request, snapshot));
                }
                follower::Action::Volume { id, terms: Some(t) } => {
                    _ = self.hosts[i].terms.insert(id, t)
                }
                follower::Action::Volume { id, terms: None } => _ = self.hosts[i].terms.remove(&id),
                follower::Action::Plan { .. } | follower::Action::Log { .. } => {}
            }
        }
    }
}
