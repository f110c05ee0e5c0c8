//! A leader whose writes complete when the test says so, and builders for changes.

pub use crate::common::{limited, ms, plan};
use crate::common::{node_in, volume_on};
use grebecleat_catalog::admission::join_reasons;
use grebecleat_catalog::catalog::*;
use grebecleat_catalog::change::*;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::leader::*;
use grebecleat_catalog::records::*;
use std::collections::BTreeMap;
use std::time::Duration;

pub fn volume(id: u64, plan: &str) -> Change {
    volume_on(id, plan, &["h1", "h2"], &[1])
}

/// A leader whose writes stay pending until `persist` completes them.
pub struct Rig {
    pub leader: Leader,
    pub now: Duration,
    pub pending_writes: Vec<(u64, Persist)>,
    pub actions: Vec<Action>,
    pub last_call: u64,
}

impl Rig {
    pub fn new() -> Rig {
        let deployment = Deployment {
            hosts: ["h1", "h2"].map(Name::from).into(),
            max_dispatch_delay: Duration::ZERO,
        };
        let catalog = Catalog::new(deployment, 50);
        let initial_state = InitialState {
            catalog,
            stable: Version(0),
            applied: BTreeMap::new(),
            hosts: ["h1", "h2"].map(Name::from).to_vec(),
            epoch: Epoch(7),
            epochs: Vec::new(),
            epoch_forced_at: Version(0),
        };
        let leader = Leader::new(initial_state, ms(3000), ms(500), 2.0, ms(1000));
        Rig {
            leader,
            now: ms(1000),
            pending_writes: Vec::new(),
            actions: Vec::new(),
            last_call: 0,
        }
    }

    /// A leader that has persisted two plans, a node and two volumes.
    pub fn with_two_volumes() -> Rig {
        let mut rig = Rig::new();
        rig.propose(
            vec![
                plan("basic", 10.0),
                plan("gold", 40.0),
                node_in(1, "a", 100.0),
            ],
            |_| (),
        );
        rig.persist();
        rig.propose(vec![volume(1, "basic"), volume(2, "basic")], |_| ());
        rig.persist();
        rig.actions.clear();
        rig
    }

    pub fn step(&mut self, events: Vec<Event>) {
        for action in self.leader.step(self.now, self.now + ms(1_000_000), events) {
            match action {
                Action::Persist { number, what } => self.pending_writes.push((number, what)),
                other => self.actions.push(other),
            }
        }
    }

    pub fn new_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    pub fn propose(&mut self, changes: Vec<Change>, adjust: impl FnOnce(&mut Proposal)) -> CallId {
        let call = self.new_call();
        let mut proposal = Proposal {
            author: "operator".into(),
            reason: "test".into(),
            base_version: self.leader.persisted(),
            changes,
            at: None,
            force: false,
            dry_run: false,
        };
        adjust(&mut proposal);
        self.step(vec![Event::Proposed { call, proposal }]);
        call
    }

    pub fn persist(&mut self) {
        while let Some(upto) = self.pending_writes.last().map(|(number, _)| *number) {
            self.pending_writes.clear();
            self.step(vec![Event::Persisted { upto }]);
        }
    }

    pub fn poll(&mut self, host: u32, applied: u64, stable: u64) -> CallId {
        let call = self.new_call();
        let epoch = if applied == 0 { Epoch(0) } else { Epoch(7) };
        self.step(vec![Event::Polled {
            call,
            host: HostNumber(host),
            epoch,
            applied: Version(applied),
            stable: Version(stable),
            acknowledged: Version(applied),
        }]);
        call
    }

    /// Takes the actions since the last call, each as a short text.
    pub fn take_texts(&mut self) -> Vec<String> {
        let describe = |action: Action| match action {
            Action::Grant(grant) => {
                format!(
                    "{}: {} to {}, stable {}{}",
                    grant.call.0,
                    grant.from.0,
                    grant.to.0,
                    grant.stable.0,
                    if grant.snapshot { ", snapshot" } else { "" }
                )
            }
            Action::Behind { call, applied } => format!("{}: behind {}", call.0, applied.0),
            Action::Committed {
                call,
                version,
                verdict,
            } => {
                let warnings = join_reasons(&verdict.warnings);
                format!("{}: committed {} {warnings}", call.0, version.0)
                    .trim_end()
                    .to_string()
            }
            Action::Reject { call, reason } => format!("{}: {reason}", call.0),
            Action::Preview { call, verdict } => {
                format!("{}: preview {}", call.0, join_reasons(&verdict.objections))
                    .trim_end()
                    .to_string()
            }
            Action::Log { text } => text,
            Action::Persist { .. } => unreachable!("`step` moves writes to `pending_writes`"),
        };
        std::mem::take(&mut self.actions)
            .into_iter()
            .map(describe)
            .collect()
    }
}
