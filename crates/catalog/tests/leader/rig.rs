//! A leader with a disk that completes writes on request, and builders for changes.

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

/// A leader with a disk that completes writes on request.
pub struct Rig {
    pub leader: Leader,
    pub now: Duration,
    pub sent: Vec<(u64, Persist)>,
    pub answers: Vec<Action>,
    pub calls: u64,
}

impl Rig {
    pub fn new() -> Rig {
        let facts = Deployment {
            hosts: ["h1", "h2"].map(Name::from).into(),
            max_dispatch_delay: Duration::ZERO,
        };
        let catalog = Catalog::new(facts, 50);
        let start = InitialState {
            catalog,
            stable: Version(0),
            applied: BTreeMap::new(),
            hosts: ["h1", "h2"].map(Name::from).to_vec(),
            epoch: Epoch(7),
            epochs: Vec::new(),
            epoch_forced_at: Version(0),
        };
        let leader = Leader::new(start, ms(3000), ms(500), 2.0, ms(1000));
        Rig {
            leader,
            now: ms(1000),
            sent: Vec::new(),
            answers: Vec::new(),
            calls: 0,
        }
    }

    /// Two plans, a node and two volumes, persisted.
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
        rig.answers.clear();
        rig
    }

    pub fn step(&mut self, events: Vec<Event>) {
        for action in self.leader.step(self.now, self.now + ms(1_000_000), events) {
            match action {
                Action::Persist { number, what } => self.sent.push((number, what)),
                other => self.answers.push(other),
            }
        }
    }

    pub fn call(&mut self) -> CallId {
        self.calls += 1;
        CallId(self.calls)
    }

    pub fn propose(&mut self, changes: Vec<Change>, with: impl FnOnce(&mut Proposal)) -> CallId {
        let call = self.call();
        let mut proposal = Proposal {
            author: "operator".into(),
            reason: "test".into(),
            base_version: self.leader.persisted(),
            changes,
            at: None,
            force: false,
            dry_run: false,
        };
        with(&mut proposal);
        self.step(vec![Event::Proposed { call, proposal }]);
        call
    }

    pub fn persist(&mut self) {
        while let Some(upto) = self.sent.last().map(|(number, _)| *number) {
            self.sent.clear();
            self.step(vec![Event::Persisted { upto }]);
        }
    }

    pub fn poll(&mut self, host: u32, applied: u64, stable: u64) -> CallId {
        let call = self.call();
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

    /// The actions since the last call, as short texts.
    pub fn answers(&mut self) -> Vec<String> {
        let short = |action: Action| match action {
            Action::Grant(grant) => {
                format!(
                    "{}: {} to {}, settled {}{}",
                    grant.call.0,
                    grant.from.0,
                    grant.to.0,
                    grant.stable.0,
                    if grant.snapshot { ", whole" } else { "" }
                )
            }
            Action::Behind { call, applied } => format!("{}: behind {}", call.0, applied.0),
            Action::Committed {
                call,
                version,
                verdict,
            } => {
                let warned = join_reasons(&verdict.warnings);
                format!("{}: landed {} {warned}", call.0, version.0)
                    .trim_end()
                    .to_string()
            }
            Action::Reject { call, reason } => format!("{}: {reason}", call.0),
            Action::Preview { call, verdict } => {
                format!("{}: would {}", call.0, join_reasons(&verdict.objections))
                    .trim_end()
                    .to_string()
            }
            Action::Note { text } => text,
            Action::Persist { .. } => unreachable!("step takes writes out"),
        };
        std::mem::take(&mut self.answers)
            .into_iter()
            .map(short)
            .collect()
    }
}
