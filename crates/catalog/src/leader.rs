//! The leader of the catalog: it decides which changes are accepted, what must be persisted before
//! hosts learn of it, and how to respond to each host.
//!
//! The leader is a state machine without I/O: `step(now, wall_time, events)` returns the actions to
//! perform, and [`Leader::wake_at`] returns when to call it again. The I/O layer of the catalog
//! service (the "shell") calls it for every batch of events. Each part of the state has one owner:
//!
//! - `CatalogWriter`: the catalog, and the admission control over it ([`crate::admission`]);
//! - `Persistence`: the pending writes and the persisted versions;
//! - [`Leases`]: which version each host follows, and until when ([`crate::feed`]);
//! - `PollTable`: the polls that have no response yet;
//! - `EpochHistory`: which versions that hosts follow belong to this catalog's history;
//! - `ScheduledIds`: the numbers of scheduled changes.
//!
//! The rules:
//!
//! - Admission evaluates a change against the catalog with all pending changes, so that many changes
//!   can be written together. No host or operator learns of a change before it is persisted. If a
//!   change cannot be persisted, it and all later ones are reverted.
//! - The stable version, and the fact that a host was granted a lease for the first time, are
//!   persisted before the leader sends anything that depends on them.
//! - If a host has followed a version that is unknown here, the leader grants no leases to any host
//!   until an operator decides that the state here is authoritative, which starts a new epoch.
//!
//! Memory use is the catalog, the flow, one poll for each host, and at most [`MAX_PENDING_COMMITS`]
//! pending changes.

mod catalog_writer;
mod epochs;
mod host_calls;
mod host_view;
mod messages;
mod persistence;
mod polls;
mod proposals;
mod rejection;
mod scheduled;

pub use host_view::{filter_for_host, is_needed_by};
pub use messages::{Action, CallId, Epoch, Event, Grant, InitialState, Persist, Proposal};
pub use rejection::MAX_PENDING_COMMITS;

use crate::admission::{Admission, AdmissionVerdict};
use crate::catalog::Catalog;
use crate::change::ChangeContext;
use crate::feed::{HostNumber, Leases};
use crate::records::{Name, Version};
use catalog_writer::CatalogWriter;
use epochs::EpochHistory;
use persistence::Persistence;
use polls::{PendingPoll, PollTable};
use rejection::Rejection;
use scheduled::ScheduledIds;
use std::time::Duration;

/// The catalog service's state machine. See the module documentation.
#[derive(Debug)]
pub struct Leader {
    now: Duration,
    /// The wall-clock time since the Unix epoch.
    wall_time: Duration,
    /// Names of all hosts, by their numbers.
    hosts: Vec<Name>,
    writer: CatalogWriter,
    persistence: Persistence,
    leases: Leases,
    polls: PollTable,
    epochs: EpochHistory,
    scheduled_ids: ScheduledIds,
    actions: Vec<Action>,
}

impl Leader {
    /// Creates the leader. `lease` is how long a host may follow the granted versions. The leader
    /// considers a lease expired only `margin` after its end, because a host's clock may run slower.
    /// See [`crate::planner::Site`] for `spread`.
    pub fn new(
        start: InitialState,
        lease: Duration,
        margin: Duration,
        spread: f64,
        now: Duration,
    ) -> Self {
        let InitialState {
            catalog,
            stable,
            applied,
            hosts,
            epoch,
            epochs,
            epoch_forced_at,
        } = start;
        let numbers = (0..hosts.len() as u32).map(HostNumber);
        let hosts_applied = numbers.map(|host| (host, applied.get(&host).copied()));
        Leader {
            now,
            wall_time: Duration::ZERO,
            leases: Leases::new(lease, margin, now, stable, hosts_applied),
            hosts,
            persistence: Persistence::new(catalog.version(), stable, applied),
            polls: PollTable::new(lease),
            epochs: EpochHistory::new(epoch, epochs, epoch_forced_at),
            scheduled_ids: ScheduledIds::after(&catalog),
            writer: CatalogWriter::new(catalog, stable, spread),
            actions: Vec::new(),
        }
    }

    /// The catalog, including revisions that are not persisted yet.
    pub fn catalog(&self) -> &Catalog {
        self.writer.catalog()
    }

    /// The newest persisted version. Later versions must not be shown, because they may still be
    /// reverted.
    pub fn persisted(&self) -> Version {
        self.persistence.persisted()
    }

    /// The newest persisted stable version.
    pub fn stable(&self) -> Version {
        self.persistence.stable()
    }

    /// The newest version that a host has followed and that is unknown here. `None` if there is none,
    /// or once an operator has decided that the state here is authoritative.
    pub fn behind(&self) -> Option<Version> {
        self.leases.behind()
    }

    /// The admission control.
    pub fn admission(&self) -> &Admission {
        self.writer.admission()
    }

    /// Hosts that keep that version from becoming stable. The flag is true if this ends only when the
    /// host acknowledges, or when an operator guarantees that it sends nothing, because the host's
    /// last lease has already expired.
    pub fn waits_for(&self, version: Version) -> Vec<(Name, bool)> {
        self.leases
            .waits_for(self.now, version, self.writer.limit_reductions())
            .into_iter()
            .map(|(host, silent)| (self.hosts[host.0 as usize].clone(), silent))
            .collect()
    }

    /// The newest version that each host has acknowledged, or `None` if the host was never granted a
    /// lease.
    pub fn follows(&self) -> impl Iterator<Item = (&Name, Option<Version>)> {
        self.hosts
            .iter()
            .enumerate()
            .map(|(number, name)| (name, self.leases.applied(HostNumber(number as u32))))
    }

    /// Handles events, and returns the actions to perform, in order. `now` is the time of a monotonic
    /// clock, `wall_time` the wall-clock time since the Unix epoch.
    pub fn step(&mut self, now: Duration, wall_time: Duration, events: Vec<Event>) -> Vec<Action> {
        self.now = now.max(self.now);
        self.wall_time = wall_time;
        let is_proposal = |event: &&Event| matches!(event, Event::Proposed { .. });
        self.writer
            .begin_step(events.iter().filter(is_proposal).count());
        for event in events {
            self.handle(event);
        }
        self.apply_due_changes();
        self.persist_stable();
        self.answer_polls();
        self.writer.end_step();
        std::mem::take(&mut self.actions)
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        let scheduled = scheduled::time_to_next(self.writer.catalog(), self.wall_time)
            .map(|time| (self.now + time).max(self.persistence.retry_at()));
        let times = [
            self.polls.next_deadline(),
            self.leases.wake_at(self.now),
            scheduled,
            self.writer.refresh_at(self.now),
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
                let poll = PendingPoll::new(self.now, call, applied, stable);
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
                let context = ChangeContext::by(&author, &reason, self.wall_time);
                let result = self.undo(call, revision, context, force);
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
            Event::CallerDisconnected { call } => self.polls.cancel(call),
            Event::NodeUnavailable { node, how } => self.writer.set_unavailable(node, how),
            Event::Persisted { upto } => self.handle_persisted(upto),
            Event::PersistFailed { number, reason } => self.handle_persist_failed(number, &reason),
        }
    }

    fn handle_persisted(&mut self, upto: u64) {
        let completed = self.persistence.complete(upto);
        for commit in completed.commits {
            if let Some(call) = commit.call {
                self.actions.push(Action::Committed {
                    call,
                    version: commit.version,
                    verdict: commit.verdict,
                });
            }
        }
        if let Some(stable) = completed.stable {
            self.writer.set_stable(stable);
        }
    }

    /// Reverts all revisions that could not be persisted, newest first.
    fn handle_persist_failed(&mut self, number: u64, reason: &str) {
        let Some(commits) = self.persistence.cancel_all(self.now, number) else {
            return;
        };
        let rejection = Rejection::PersistFailed {
            reason: reason.into(),
        };
        for commit in commits {
            self.writer.revert_last();
            self.epochs.set_forced_at(commit.former_forced_at);
            match commit.call {
                Some(call) => self.reject(call, &rejection),
                None => self.log_line(rejection.to_string()),
            }
        }
        self.writer
            .rebuild_limit_reductions(self.persistence.stable());
        self.log_line(rejection.to_string());
    }

    /// Persists the stable version before a host learns of it. A version that is not persisted cannot
    /// be stable, because no host knows it.
    fn persist_stable(&mut self) {
        let version = self.leases.stable(
            self.now,
            self.writer.limit_reductions(),
            self.persistence.persisted(),
        );
        self.persistence
            .write_stable(self.now, version, &mut self.actions);
    }

    fn remove_host(&mut self, call: CallId, host: HostNumber, author: &str) {
        self.leases.set_removed(host);
        let name = self.hosts.get(host.0 as usize).cloned().unwrap_or_default();
        self.log_line(format!(
            "{author} answers for it that host {name} sends nothing"
        ));
        self.actions.push(Action::Committed {
            call,
            version: self.persistence.persisted(),
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

    fn log_line(&mut self, text: String) {
        self.actions.push(Action::Log { text });
    }
}
