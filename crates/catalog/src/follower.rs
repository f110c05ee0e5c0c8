//! A host's side of the change feed: what it polls, persists and acknowledges, and on what terms it
//! serves each volume.
//!
//! State machine: `step(now, events)` returns the actions to perform; [`Follower::wake_at`] says
//! when it must be called again. No I/O. The host's shell calls it for every batch of events from
//! the connection to the leader and from the disk. Each step reconciles: one poll is open at the
//! leader, everything received is on the disk, the leader has an acknowledgement once nothing
//! decided on an older version can be sent any more, and the host's decisions have the terms that
//! follow from all versions that must be reckoned with ([`crate::feed::quota`]).
//!
//! - An update is followed at once and persisted at the same time; only once it is persisted, and
//!   what was decided before has been sent or never will be, does the host acknowledge it. A host
//!   that crashes in between has less than it followed, which is what the leader believes.
//! - A host that starts has no lease: until the first answer it sends of limited volumes what no
//!   change can have taken from it, by what it persisted. One that persisted nothing knows of no
//!   volume.
//!
//! Memory: the catalog of volumes that are served through this host, the last terms of each, and at
//! most [`MAX_UNSTABLE_REVISIONS`] revisions that are not stable.

mod messages;
mod terms;
mod updates;

pub use messages::{Action, Event, InitialState, PersistRequest, Terms, Update};

use crate::catalog::Catalog;
use crate::change::{Revision, Subject};
use crate::feed::FollowerLease;
use crate::leader::{CallId, Epoch};
use crate::records::{Deployment, Name, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most revisions that must still be reckoned with; with more the host follows nothing new until
/// some are stable.
pub const MAX_UNSTABLE_REVISIONS: usize = 1 << 16;
/// How long the first answer may take; later ones may take as long as the last lease, of which the
/// leader delays them by a third at most. Guards against an answer that was lost on a connection
/// that is still up.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long nothing is asked or written after that has failed.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// A poll that the leader has not answered.
#[derive(Debug, Clone, Copy)]
struct PendingPoll {
    call: CallId,
    sent: Duration,
}

/// The last write to the disk, while it is not answered.
#[derive(Debug, Clone, Copy)]
struct PendingPersist {
    number: u64,
    version: Version,
}

/// A version, and since when it is followed.
#[derive(Debug, Clone, Copy)]
struct Followed {
    version: Version,
    since: Duration,
}

/// A host's state machine; see the module.
#[derive(Debug)]
pub struct Follower {
    /// Name of this host.
    host: Name,
    max_dispatch_delay: Duration,
    catalog: Catalog,
    follower_lease: FollowerLease,
    epoch: Epoch,
    now: Duration,
    /// Whether there is a connection to the leader.
    connected: bool,
    pending_poll: Option<PendingPoll>,
    poll_timeout: Duration,
    pending_persist: Option<PendingPersist>,
    persisted: Version,
    /// What was received since the last write.
    unpersisted: Vec<Revision>,
    /// The next write replaces all that is stored.
    needs_snapshot: bool,
    stable_persisted: Version,
    /// Versions that are not acknowledged, oldest first.
    followed: Vec<Followed>,
    /// Nothing decided on an older version is sent any more.
    acknowledged: Version,
    /// The last acknowledgement on this connection.
    acknowledgement_sent: Version,
    leased: bool,
    /// Nothing is asked or written before that time.
    retry_at: Duration,
    /// Plans whose new values were not announced.
    dirty_plans: BTreeSet<Name>,
    /// Volumes whose terms may differ from those announced.
    dirty_volumes: BTreeSet<u64>,
    /// The last terms of each volume that were announced.
    announced: BTreeMap<u64, Terms>,
    /// Number of the last poll or write.
    last_number: u64,
    actions: Vec<Action>,
}

impl Follower {
    /// `host`: the name of this one. `max_dispatch_delay`: longest time between a decision and its
    /// sending.
    pub fn new(host: Name, start: InitialState, max_dispatch_delay: Duration) -> Self {
        let InitialState {
            catalog,
            stable,
            epoch,
        } = start;
        let applied = catalog.version();
        Follower {
            host,
            max_dispatch_delay,
            follower_lease: FollowerLease::persisted(applied, stable),
            epoch,
            now: Duration::ZERO,
            connected: false,
            pending_poll: None,
            poll_timeout: FIRST_POLL_TIMEOUT,
            pending_persist: None,
            persisted: applied,
            unpersisted: Vec::new(),
            needs_snapshot: false,
            stable_persisted: stable,
            followed: vec![Followed {
                version: applied,
                since: Duration::ZERO,
            }],
            acknowledged: Version(0),
            acknowledgement_sent: Version(0),
            leased: false,
            retry_at: Duration::ZERO,
            dirty_plans: catalog.plans().map(|(name, _)| name.clone()).collect(),
            dirty_volumes: catalog.volumes().map(|(id, _)| id).collect(),
            announced: BTreeMap::new(),
            last_number: 0,
            actions: Vec::new(),
            catalog,
        }
    }

    /// An empty catalog for a host's part of the state.
    pub fn empty_catalog(facts: Deployment) -> Catalog {
        Catalog::new(facts, MAX_UNSTABLE_REVISIONS)
    }

    /// What this host follows.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Versions that it reckons with, and its lease.
    pub fn follower_lease(&self) -> &FollowerLease {
        &self.follower_lease
    }

    /// Whether it has ever followed anything: until then it cannot be said that a volume does not
    /// exist.
    pub fn has_state(&self) -> bool {
        self.catalog.version() > Version(0)
    }

    /// Whether it had a lease at the last step.
    pub fn leased(&self) -> bool {
        self.leased
    }

    /// The epoch of its versions.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Subjects that were changed by revisions that are not stable.
    pub fn open(&self) -> impl Iterator<Item = Subject> + '_ {
        self.catalog
            .audit_log()
            .flat_map(|revision| revision.changes.iter().map(|change| change.subject()))
    }

    /// Handles events, and returns the actions to perform, in order. `now`: a clock that never goes
    /// back.
    pub fn step(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.now = now.max(self.now);
        for event in events {
            self.handle(event);
        }
        self.update_leased();
        self.announce_plans();
        self.announce_volumes();
        self.persist();
        if self.connected {
            self.acknowledge();
            self.poll();
        }
        std::mem::take(&mut self.actions)
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        let lease = self.leased.then(|| self.follower_lease.until());
        let acknowledge = self
            .followed
            .iter()
            .filter(|followed| followed.version <= self.persisted)
            .map(|followed| followed.since + self.max_dispatch_delay)
            .min();
        let acknowledge = acknowledge.filter(|_| self.connected);
        let retry = (self.retry_at > self.now).then_some(self.retry_at);
        let poll = self
            .pending_poll
            .map(|pending| pending.sent + self.poll_timeout);
        [lease, acknowledge, retry, poll]
            .into_iter()
            .flatten()
            .min()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Up => {
                self.connected = true;
                self.pending_poll = None;
                self.acknowledgement_sent = Version(0);
            }
            Event::Down => {
                self.connected = false;
                self.pending_poll = None;
            }
            Event::Granted {
                call,
                epoch,
                version,
                stable,
                lease,
                update,
            } => {
                let Some(poll) = self.take_poll(call) else {
                    return;
                };
                self.poll_timeout = lease;
                match self.apply_update(epoch, version, update) {
                    Ok(()) => {
                        self.follower_lease
                            .granted(poll.sent, version, stable, lease);
                        self.forget_stable();
                    }
                    Err(error) => self.note_and_retry(error.to_string()),
                }
            }
            Event::Behind { call } => {
                if self.take_poll(call).is_some() {
                    let text = "the state service knows less than this host; an operator must look";
                    self.note_and_retry(text.into());
                }
            }
            Event::PollRejected { call, reason } => {
                if self.take_poll(call).is_some() {
                    self.note_and_retry(format!("the state service refuses: {reason}"));
                }
            }
            Event::Persisted { number } => {
                let persisted = self
                    .pending_persist
                    .take_if(|pending| pending.number == number);
                if let Some(persisted) = persisted {
                    self.persisted = persisted.version;
                }
            }
            Event::PersistFailed { reason } => {
                // How much of the last write arrived is unknown; all of it is written again.
                if self.pending_persist.take().is_some() {
                    self.needs_snapshot = true;
                }
                self.note_and_retry(format!("plans cannot be kept: {reason}"));
            }
        }
    }

    fn take_poll(&mut self, call: CallId) -> Option<PendingPoll> {
        self.pending_poll.take_if(|pending| pending.call == call)
    }

    /// Revisions that are stable need not be reckoned with any more.
    fn forget_stable(&mut self) {
        for revision in self.catalog.forget(self.follower_lease.stable) {
            self.mark_dirty(&revision);
        }
    }

    fn update_leased(&mut self) {
        let leased = self.follower_lease.leased(self.now);
        if leased == self.leased {
            return;
        }
        self.leased = leased;
        // Only limits depend on it.
        let limited = self
            .announced
            .iter()
            .filter(|(_, terms)| terms.quota.is_some());
        self.dirty_volumes.extend(limited.map(|(id, _)| *id));
        if !leased {
            self.note(
                "the lease on plans has run out: limited volumes keep to their reservations".into(),
            );
        }
    }

    fn announce_plans(&mut self) {
        for name in std::mem::take(&mut self.dirty_plans) {
            if let Some(plan) = self.catalog.plan(&name).cloned() {
                self.actions.push(Action::Plan { name, plan });
            }
        }
    }

    fn announce_volumes(&mut self) {
        for id in std::mem::take(&mut self.dirty_volumes) {
            let terms = self.terms(id);
            if self.announced.get(&id) == terms.as_ref() {
                continue;
            }
            match &terms {
                Some(terms) => _ = self.announced.insert(id, terms.clone()),
                None => _ = self.announced.remove(&id),
            }
            self.actions.push(Action::Volume { id, terms });
        }
    }

    fn persist(&mut self) {
        let stable = self.follower_lease.stable;
        let is_needed =
            !self.unpersisted.is_empty() || self.needs_snapshot || stable > self.stable_persisted;
        if !is_needed || self.pending_persist.is_some() || self.now < self.retry_at {
            return;
        }
        self.last_number += 1;
        self.actions.push(Action::Persist(PersistRequest {
            number: self.last_number,
            epoch: self.epoch,
            stable,
            revisions: std::mem::take(&mut self.unpersisted),
            snapshot: std::mem::take(&mut self.needs_snapshot),
        }));
        self.pending_persist = Some(PendingPersist {
            number: self.last_number,
            version: self.catalog.version(),
        });
        self.stable_persisted = stable;
    }

    /// Acknowledges the newest version that is persisted, and on an older one than which nothing
    /// decided can be sent any more.
    fn acknowledge(&mut self) {
        for followed in &self.followed {
            let is_sent = followed.since + self.max_dispatch_delay <= self.now;
            if followed.version <= self.persisted && is_sent {
                self.acknowledged = self.acknowledged.max(followed.version);
            }
        }
        let acknowledged = self.acknowledged;
        self.followed
            .retain(|followed| followed.version > acknowledged);
        if acknowledged > self.acknowledgement_sent {
            self.acknowledgement_sent = acknowledged;
            self.actions.push(Action::Acknowledge {
                epoch: self.epoch,
                applied: acknowledged,
            });
        }
    }

    fn poll(&mut self) {
        self.pending_poll
            .take_if(|pending| self.now >= pending.sent + self.poll_timeout);
        if self.pending_poll.is_some() || self.now < self.retry_at {
            return;
        }
        self.last_number += 1;
        let call = CallId(self.last_number);
        self.pending_poll = Some(PendingPoll {
            call,
            sent: self.now,
        });
        self.actions.push(Action::Poll {
            call,
            epoch: self.epoch,
            applied: self.catalog.version(),
            stable: self.follower_lease.stable,
            acknowledged: self.acknowledged,
        });
    }

    fn note_and_retry(&mut self, text: String) {
        self.note(text);
        self.retry_at = self.now + RETRY_DELAY;
    }

    fn note(&mut self, text: String) {
        self.actions.push(Action::Note { text });
    }
}
