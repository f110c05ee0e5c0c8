//! A host's side of the change feed: what it polls, persists and acknowledges, and under which plan
//! and quota (its terms) it serves each volume.
//!
//! The follower is a state machine without I/O: `step(now, events)` returns the actions to perform,
//! and [`Follower::wake_at`] returns when to call it again. The host's I/O layer (the "shell") calls
//! it for every batch of events from the connection to the leader and from the disk. Each step
//! brings the outside in line with the state: one poll is pending at the leader; everything received
//! is written; a version is acknowledged once no attempt that was decided on an older version can be
//! sent any more; and the host's scheduler knows the terms that follow from all versions that the
//! host must take into account ([`crate::feed::quota`]). Each part of the state has one owner:
//!
//! - [`Catalog`] and [`FollowerLease`]: the versions that the host follows, and until when;
//! - `PollState`: the connection and its pending poll;
//! - `Persistence`: the pending write and the persisted versions;
//! - `Acknowledgements`: which version may be acknowledged;
//! - `Announcements`: the terms that the host's scheduler knows.
//!
//! The rules:
//!
//! - The host follows an update at once and persists it in the meantime. It acknowledges the update
//!   only when it is persisted, and when all attempts that were decided before have been sent or
//!   never will be. A host that crashes in between restarts with an older version than it followed,
//!   which the leader takes into account.
//! - A host that starts has no lease. Until the first response, it uses only the quota of limited
//!   volumes that, by its persisted state, no change can have taken from it. A host without persisted
//!   state knows no volumes.
//!
//! Memory use is the catalog of volumes that are served through this host, the last terms of each,
//! and at most [`MAX_UNSTABLE_REVISIONS`] revisions that are not stable.

mod acknowledgements;
mod announcements;
mod messages;
mod persistence;
mod poll_state;
mod terms;
mod updates;

pub use messages::{Action, Event, InitialState, PersistRequest, Terms, Update};

use crate::catalog::Catalog;
use crate::change::Subject;
use crate::feed::FollowerLease;
use crate::leader::{CallId, Epoch};
use crate::records::{Deployment, Name, Version};
use acknowledgements::Acknowledgements;
use announcements::Announcements;
use persistence::Persistence;
use poll_state::{PendingPoll, PollState};
use std::time::Duration;

/// Maximum number of revisions that are not stable. Beyond it, the host follows nothing new until
/// some are stable. A larger number takes more memory; a smaller one stops updates sooner while
/// another host does not acknowledge.
pub const MAX_UNSTABLE_REVISIONS: usize = 1 << 16;
/// How long the host stops polling and writing after a failure. A longer delay means a later
/// recovery; a shorter one causes more futile attempts at a faulty leader or disk.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// A host's state machine. See the module documentation.
#[derive(Debug)]
pub struct Follower {
    /// Name of this host.
    host: Name,
    now: Duration,
    catalog: Catalog,
    follower_lease: FollowerLease,
    /// The epoch of the versions that the host follows.
    epoch: Epoch,
    /// Whether the host had a lease at the last step.
    leased: bool,
    /// The host neither polls nor writes before this time.
    retry_at: Duration,
    poll_state: PollState,
    persistence: Persistence,
    acknowledgements: Acknowledgements,
    announcements: Announcements,
    /// Number of the last poll or write.
    last_number: u64,
    actions: Vec<Action>,
}

impl Follower {
    /// Creates the follower of the host with that name. `max_dispatch_delay` is the longest time
    /// between the decision to send an attempt and its sending.
    pub fn new(host: Name, start: InitialState, max_dispatch_delay: Duration) -> Self {
        let InitialState {
            catalog,
            stable,
            epoch,
        } = start;
        let applied = catalog.version();
        Follower {
            host,
            now: Duration::ZERO,
            follower_lease: FollowerLease::persisted(applied, stable),
            epoch,
            leased: false,
            retry_at: Duration::ZERO,
            poll_state: PollState::new(),
            persistence: Persistence::new(applied, stable),
            acknowledgements: Acknowledgements::new(max_dispatch_delay, applied),
            announcements: Announcements::new(&catalog),
            last_number: 0,
            actions: Vec::new(),
            catalog,
        }
    }

    /// Creates an empty catalog for a host's part of the state.
    pub fn empty_catalog(facts: Deployment) -> Catalog {
        Catalog::new(facts, MAX_UNSTABLE_REVISIONS)
    }

    /// The catalog that this host follows.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The versions that this host takes into account, and its lease.
    pub fn follower_lease(&self) -> &FollowerLease {
        &self.follower_lease
    }

    /// Returns whether this host has ever followed a version. Before that, it cannot know that a
    /// volume does not exist.
    pub fn has_state(&self) -> bool {
        self.catalog.version() > Version(0)
    }

    /// Returns whether this host had a lease at the last step.
    pub fn leased(&self) -> bool {
        self.leased
    }

    /// The epoch of the versions that this host follows.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Subjects that were changed by revisions that are not stable yet.
    pub fn unstable_subjects(&self) -> impl Iterator<Item = Subject> + '_ {
        self.catalog
            .audit_log()
            .flat_map(|revision| revision.changes.iter().map(|change| change.subject()))
    }

    /// Handles events, and returns the actions to perform, in order. `now` is the time of a monotonic
    /// clock.
    pub fn step(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.now = now.max(self.now);
        for event in events {
            self.handle(event);
        }
        self.update_leased();
        self.announce();
        self.persist();
        if self.poll_state.is_connected() {
            self.acknowledge();
            self.poll();
        }
        std::mem::take(&mut self.actions)
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        let lease = self.leased.then(|| self.follower_lease.until());
        let acknowledge = self
            .acknowledgements
            .due_at(self.persistence.persisted())
            .filter(|_| self.poll_state.is_connected());
        let retry = (self.retry_at > self.now).then_some(self.retry_at);
        [lease, acknowledge, retry, self.poll_state.deadline()]
            .into_iter()
            .flatten()
            .min()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Up => {
                self.poll_state.set_connected(true);
                self.acknowledgements.reconnect();
            }
            Event::Down => self.poll_state.set_connected(false),
            Event::Granted {
                call,
                epoch,
                version,
                stable,
                lease,
                update,
            } => {
                if let Some(poll) = self.poll_state.complete(call) {
                    self.poll_state.set_timeout(lease);
                    match self.apply_update(epoch, version, update) {
                        Ok(()) => self.follow(poll, version, stable, lease),
                        Err(error) => self.log_and_retry(error.to_string()),
                    }
                }
            }
            Event::Behind { call } => {
                if self.poll_state.complete(call).is_some() {
                    let text = "the state service knows less than this host; an operator must look";
                    self.log_and_retry(text.into());
                }
            }
            Event::PollRejected { call, reason } => {
                if self.poll_state.complete(call).is_some() {
                    self.log_and_retry(format!("the state service rejected the poll: {reason}"));
                }
            }
            Event::Persisted { number } => self.persistence.complete(number),
            Event::PersistFailed { reason } => {
                self.persistence.fail();
                self.log_and_retry(format!("plans cannot be kept: {reason}"));
            }
        }
    }

    /// Starts the lease that came with an applied update, and drops the revisions that are now stable.
    fn follow(&mut self, poll: PendingPoll, version: Version, stable: Version, lease: Duration) {
        self.follower_lease
            .apply_grant(poll.sent, version, stable, lease);
        for revision in self.catalog.forget(self.follower_lease.stable) {
            self.announcements.mark_revision(&self.catalog, &revision);
        }
    }

    fn update_leased(&mut self) {
        let leased = self.follower_lease.leased(self.now);
        if leased == self.leased {
            return;
        }
        self.leased = leased;
        self.announcements.mark_limited();
        if !leased {
            self.log_line(
                "the lease on plans has run out: limited volumes keep to their reservations".into(),
            );
        }
    }

    fn announce(&mut self) {
        self.announcements
            .announce_plans(&self.catalog, &mut self.actions);
        let terms_of = |id| terms::terms(&self.catalog, &self.host, self.leased, id);
        self.announcements
            .announce_volumes(terms_of, &mut self.actions);
    }

    fn persist(&mut self) {
        let stable = self.follower_lease.stable;
        if !self.persistence.is_due(stable) || self.now < self.retry_at {
            return;
        }
        self.last_number += 1;
        let version = self.catalog.version();
        let request = self
            .persistence
            .start(self.last_number, self.epoch, stable, version);
        self.actions.push(Action::Persist(request));
    }

    fn acknowledge(&mut self) {
        let persisted = self.persistence.persisted();
        if let Some(applied) = self.acknowledgements.next(self.now, persisted) {
            self.actions.push(Action::Acknowledge {
                epoch: self.epoch,
                applied,
            });
        }
    }

    fn poll(&mut self) {
        if self.poll_state.is_pending(self.now) || self.now < self.retry_at {
            return;
        }
        self.last_number += 1;
        let call = CallId(self.last_number);
        self.poll_state.start(self.now, call);
        self.actions.push(Action::Poll {
            call,
            epoch: self.epoch,
            applied: self.catalog.version(),
            stable: self.follower_lease.stable,
            acknowledged: self.acknowledgements.acknowledged(),
        });
    }

    fn log_and_retry(&mut self, text: String) {
        self.log_line(text);
        self.retry_at = self.now + RETRY_DELAY;
    }

    fn log_line(&mut self, text: String) {
        self.actions.push(Action::Log { text });
    }
}
