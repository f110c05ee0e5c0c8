//! The state service's decisions: which changes land, what is persisted before it is announced, and
//! what hosts are answered.
//!
//! State machine: `step(now, wall, events)` returns the actions to perform; [`Leader::wake_at`]
//! says when it must be called again. No I/O. The state service's shell calls it for every batch of
//! events. It owns the catalog, the judgement of changes ([`crate::admission`]) and who follows
//! what ([`crate::feed`]).
//!
//! - A change is judged against the catalog with all changes that are on their way to the disk, so
//!   that many can be written together. Nobody learns of one before it is persisted; if it cannot
//!   be, it and all after it never happened.
//! - The stable version, and that a host was ever granted anything, are persisted before anyone
//!   learns what rests on them.
//! - While a host has followed what is not known here, hosts are granted nothing, until an operator
//!   has said that the state here counts (a new epoch).
//!
//! Memory: the catalog, the flow, one poll for each host, and at most [`MAX_PENDING_COMMITS`]
//! changes on their way to the disk.

mod epochs;
mod host_view;
mod messages;
mod pending;
mod persistence;
mod polls;
mod proposals;
mod rejection;
mod scheduled;

pub use host_view::{for_host, is_for};
pub use messages::{Action, CallId, Epoch, Event, Grant, InitialState, Persist, Proposal};
pub use rejection::MAX_PENDING_COMMITS;

use crate::admission::{Admission, AdmissionVerdict};
use crate::catalog::Catalog;
use crate::change::ChangeContext;
use crate::feed::{HostNumber, Leases, LimitReductions};
use crate::records::{Name, Version};
use pending::{PendingApplied, PendingCommit, PendingPoll, PendingStable};
use rejection::Rejection;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Losses that are examined for one change: some 36 ms at ten thousand volumes.
const MAX_LOSSES: usize = 256;
/// Losses examined in a step with several proposals, which share them: under a flood each change is
/// judged by what it does to the whole site, and few by what it does with something out.
const MAX_LOSSES_OF_SEVERAL: usize = MAX_LOSSES / 4;
/// Losses whose figures are refreshed in a step without changes.
const IDLE_LOSSES: usize = 16;
/// How long until the next such step.
const IDLE_REFRESH_INTERVAL: Duration = Duration::from_millis(20);

/// The state service's state machine; see the module.
#[derive(Debug)]
pub struct Leader {
    catalog: Catalog,
    admission: Admission,
    leases: Leases,
    limit_reductions: LimitReductions,
    hosts: Vec<Name>,
    epoch: Epoch,
    /// Earlier epochs, and up to which version each is part of this history.
    epochs: Vec<(Epoch, Version)>,
    epoch_forced_at: Version,
    now: Duration,
    /// The wall clock, since 1970.
    wall: Duration,
    /// Revisions applied and not yet persisted, oldest first.
    pending_commits: VecDeque<PendingCommit>,
    /// The newest version that is persisted.
    persisted: Version,
    stable_persisted: Version,
    pending_stable: Option<PendingStable>,
    applied_persisted: BTreeMap<HostNumber, Version>,
    /// By number of the write.
    pending_applied: BTreeMap<u64, PendingApplied>,
    polls: BTreeMap<HostNumber, PendingPoll>,
    /// Number of the last write.
    last_number: u64,
    /// Writes up to that number were given up: the disk's answers to them count for nothing.
    void_upto: u64,
    next_scheduled: u64,
    /// Nothing is written before that time.
    retry_at: Duration,
    /// Losses whose figures are of an older state.
    stale_losses: usize,
    /// Losses that may still be examined in this step.
    loss_budget: usize,
    actions: Vec<Action>,
}

impl Leader {
    /// `lease`: how long hosts may follow a grant. `margin`: how much longer the leader waits for a
    /// lease to end, for clocks that run slower. `spread`: see [`crate::planner::Site`].
    pub fn new(
        start: InitialState,
        lease: Duration,
        margin: Duration,
        spread: f64,
        now: Duration,
    ) -> Self {
        let InitialState {
            mut catalog,
            stable,
            applied,
            hosts,
            epoch,
            epochs,
            epoch_forced_at,
        } = start;
        catalog.need(stable);
        let numbers = (0..hosts.len() as u32).map(HostNumber);
        let hosts_applied = numbers.map(|host| (host, applied.get(&host).copied()));
        Leader {
            admission: Admission::open(&catalog, spread),
            leases: Leases::new(lease, margin, now, stable, hosts_applied),
            limit_reductions: limit_reductions_of(&catalog),
            hosts,
            epoch,
            epochs,
            epoch_forced_at,
            now,
            wall: Duration::ZERO,
            pending_commits: VecDeque::new(),
            persisted: catalog.version(),
            stable_persisted: stable,
            pending_stable: None,
            applied_persisted: applied,
            pending_applied: BTreeMap::new(),
            polls: BTreeMap::new(),
            last_number: 0,
            void_upto: 0,
            next_scheduled: catalog.scheduled().map(|(id, _)| id + 1).max().unwrap_or(1),
            retry_at: Duration::ZERO,
            stale_losses: 0,
            loss_budget: 0,
            actions: Vec::new(),
            catalog,
        }
    }

    /// The catalog, with revisions that may not be persisted yet.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The newest version that may be shown: what is not persisted may never have been.
    pub fn persisted(&self) -> Version {
        self.persisted
    }

    /// The stable version, as far as it is persisted.
    pub fn stable(&self) -> Version {
        self.stable_persisted
    }

    /// The newest version that a host has followed and that is not known here, until an operator
    /// has said what counts.
    pub fn behind(&self) -> Option<Version> {
        self.leases.behind()
    }

    /// The judgement of changes.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Hosts for which that version waits to be stable, and whether only their own acknowledgement,
    /// or an operator's guarantee, can end that.
    pub fn waits_for(&self, version: Version) -> Vec<(Name, bool)> {
        self.leases
            .waits_for(self.now, version, &self.limit_reductions)
            .into_iter()
            .map(|(host, silent)| (self.hosts[host.0 as usize].clone(), silent))
            .collect()
    }

    /// The newest version that each host has acknowledged; None: it was never granted anything.
    pub fn follows(&self) -> impl Iterator<Item = (&Name, Option<Version>)> {
        self.hosts
            .iter()
            .enumerate()
            .map(|(number, name)| (name, self.leases.applied(HostNumber(number as u32))))
    }

    /// Handles events, and returns the actions to perform, in order. `now`: a clock that never goes
    /// back; `wall`: since 1970.
    pub fn step(&mut self, now: Duration, wall: Duration, events: Vec<Event>) -> Vec<Action> {
        self.now = now.max(self.now);
        self.wall = wall;
        let is_proposal = |event: &&Event| matches!(event, Event::Proposed { .. });
        let budget = if events.iter().filter(is_proposal).count() > 1 {
            MAX_LOSSES_OF_SEVERAL
        } else {
            MAX_LOSSES
        };
        self.loss_budget = budget;
        for event in events {
            self.handle(event);
        }
        self.land_scheduled();
        self.persist_stable();
        self.answer_polls();
        if self.loss_budget == budget {
            self.stale_losses = self.admission.refresh(IDLE_LOSSES);
        }
        std::mem::take(&mut self.actions)
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        let scheduled = self
            .catalog
            .scheduled()
            .map(|(_, scheduled)| self.now + scheduled.at.saturating_sub(self.wall))
            .min();
        let scheduled = scheduled.map(|at| at.max(self.retry_at));
        let idle = (self.stale_losses > 0).then(|| self.now + IDLE_REFRESH_INTERVAL);
        let times = [
            self.next_poll_deadline(),
            self.leases.wake_at(self.now),
            scheduled,
            idle,
        ];
        times.into_iter().flatten().min()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Polled {
                call,
                host,
                epoch,
                applied,
                stable,
                acknowledged,
            } => {
                let poll = PendingPoll {
                    call,
                    applied,
                    stable,
                    since: self.now,
                    foreign_version: None,
                };
                let result = self.handle_poll(host, epoch, acknowledged, poll);
                self.reject_on_error(call, result);
            }
            Event::Acknowledged {
                host,
                epoch,
                applied,
            } => self.handle_acknowledged(host, epoch, applied),
            Event::Proposed { call, proposal } => {
                let result = self.propose(call, proposal);
                self.reject_on_error(call, result);
            }
            Event::Undo {
                call,
                author,
                reason,
                revision,
                force,
            } => {
                let by = ChangeContext::by(&author, &reason, self.wall);
                let result = self.undo(call, revision, by, force);
                self.reject_on_error(call, result);
            }
            Event::HostRemoved { call, host, author } => self.remove_host(call, host, &author),
            Event::ForceEpoch {
                call,
                author,
                reason,
            } => {
                let result = self.force_epoch(call, &author, &reason);
                self.reject_on_error(call, result);
            }
            Event::CallerDisconnected { call } => self.polls.retain(|_, poll| poll.call != call),
            Event::NodeUnavailable { node, how } => self.admission.set_unavailable(node, how),
            // The disk may still answer for what was taken back together with an earlier write.
            Event::Persisted { upto } if upto > self.void_upto => self.handle_persisted(upto),
            Event::PersistFailed { number, reason } if number > self.void_upto => {
                self.handle_persist_failed(reason)
            }
            Event::Persisted { .. } | Event::PersistFailed { .. } => {}
        }
    }

    fn remove_host(&mut self, call: CallId, host: HostNumber, author: &str) {
        self.leases.set_gone(host);
        let name = self.hosts.get(host.0 as usize).cloned().unwrap_or_default();
        self.note(format!(
            "{author} answers for it that host {name} sends nothing"
        ));
        self.actions.push(Action::Committed {
            call,
            version: self.persisted,
            verdict: AdmissionVerdict::default(),
        });
    }

    fn reject_on_error(&mut self, call: CallId, result: Result<(), Rejection>) {
        if let Err(rejection) = result {
            self.reject(call, &rejection);
        }
    }

    fn reject(&mut self, call: CallId, rejection: &Rejection) {
        self.actions.push(Action::Reject {
            call,
            reason: rejection.to_string(),
        });
    }

    fn note(&mut self, text: String) {
        self.actions.push(Action::Note { text });
    }
}

/// The limit reductions among the revisions of the audit log.
fn limit_reductions_of(catalog: &Catalog) -> LimitReductions {
    let first = catalog
        .audit_log()
        .next()
        .map_or(catalog.version(), |oldest| oldest.from);
    let mut limit_reductions = LimitReductions::new(first);
    for revision in catalog.audit_log() {
        limit_reductions.add(revision.version, revision.lowers_limits);
    }
    limit_reductions
}
