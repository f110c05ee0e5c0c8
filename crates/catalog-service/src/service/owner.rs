//! The owner of the state: one thread with the leader, the membership and the peers.

use super::error::ServiceError;
use super::event::ServiceEvent;
use super::membership_link::MembershipLink;
use super::options::Options;
use super::peer::{Peer, PeerCall};
use super::snapshot_schedule::SnapshotSchedule;
use super::wall_time::wall_time;
use crate::declared_config::declared_changes;
use crate::group_commit::GroupCommit;
use crate::subscription::{EventLog, Subscription, MIN_UPDATE_INTERVAL};
use grebecleat_catalog::leader::{Action, CallId, Epoch, Event as LeaderEvent, Leader, Proposal};
use grebecleat_catalog::records::Version;
use grebecleat_membership::drains::{Event as MembershipEvent, Membership};
use grebecleat_settings::StateSpec;
use grebecleat_wire::clock;
use grebecleat_wire::pb::frame::Body;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::Duration;
use tracing::{error, info};

/// Events that are handled in one step, beyond the first.
const MAX_EVENTS_PER_STEP: usize = 512;
/// The longest time between two steps.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// What one step passes to the two state machines.
#[derive(Default)]
pub(super) struct StepInput {
    pub leader: Vec<LeaderEvent>,
    pub membership: Vec<MembershipEvent>,
}

/// What the owner starts with.
pub(super) struct OwnerStart<'a> {
    pub options: &'a Options,
    /// The state service of the settings.
    pub spec: StateSpec,
    pub leader: Leader,
    pub membership: Membership,
    /// The epoch of the catalog's history.
    pub epoch: Epoch,
    pub group_commit: GroupCommit,
    /// The way to the owner, for the other threads.
    pub to_owner: Sender<ServiceEvent>,
}

/// The leader, the membership, and everything about peers and commits that the loop needs.
pub(super) struct Owner<'a> {
    pub options: &'a Options,
    pub leader: Leader,
    pub membership: MembershipLink,
    /// What has happened to nodes, for subscribers.
    pub event_log: EventLog,
    /// By connection.
    pub subscriptions: BTreeMap<u64, Subscription>,
    pub epoch: Epoch,
    pub group_commit: GroupCommit,
    pub to_owner: Sender<ServiceEvent>,
    /// By connection.
    pub peers: BTreeMap<u64, Peer>,
    /// Calls of peers by the number under which the leader has them.
    pub calls: BTreeMap<CallId, PeerCall>,
    /// The last number that was given to a call.
    pub last_call: u64,
    /// The last failure of the store; empty once a commit succeeds.
    pub store_fault: String,
    pub snapshots: SnapshotSchedule,
    /// Numbers of what is on its way to the disk.
    pub uncommitted: BTreeSet<u64>,
    stopping: bool,
}

impl<'a> Owner<'a> {
    /// An owner without peers.
    pub fn new(start: OwnerStart<'a>) -> Self {
        Owner {
            options: start.options,
            leader: start.leader,
            membership: MembershipLink::new(start.membership),
            event_log: EventLog::default(),
            subscriptions: BTreeMap::new(),
            epoch: start.epoch,
            group_commit: start.group_commit,
            to_owner: start.to_owner,
            peers: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 1,
            store_fault: String::new(),
            snapshots: SnapshotSchedule::new(start.spec.snapshot_every),
            uncommitted: BTreeSet::new(),
            stopping: false,
        }
    }

    /// Proposes what the settings declare, as the first revision of a new store.
    pub fn declare_settings(&mut self) -> Result<(), ServiceError> {
        let file = &self.options.file;
        let proposal = Proposal {
            author: "settings".to_string(),
            reason: format!("declared in {file}"),
            base_version: Version(0),
            changes: declared_changes(&self.options.settings),
            at: None,
            force: true,
            dry_run: false,
        };
        let call = CallId(0);
        let proposed = LeaderEvent::Proposed { call, proposal };
        let actions = self.leader.step(clock::now(), wall_time(), vec![proposed]);
        let mut rejected = None;
        for action in actions {
            match action {
                Action::Reject { reason, .. } => rejected = Some(reason),
                other => {
                    self.perform(vec![other]);
                }
            }
        }
        let Some(reason) = rejected else {
            return Ok(());
        };
        Err(ServiceError::DeclarationRejected {
            file: file.clone(),
            reason,
        })
    }

    /// Handles events until the service is stopped and everything is stored.
    pub fn run(&mut self, events: &Receiver<ServiceEvent>) {
        loop {
            let first = match events.recv_timeout(self.time_to_next_step()) {
                Ok(first) => Some(first),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut input = StepInput::default();
            let further = events.try_iter().take(MAX_EVENTS_PER_STEP);
            for event in first.into_iter().chain(further) {
                self.handle_event(event, &mut input);
            }
            let actions = self.leader.step(clock::now(), wall_time(), input.leader);
            let mut membership_events = input.membership;
            membership_events.extend(self.perform(actions));
            self.step_membership(membership_events);
            self.update_subscriptions();
            self.write_snapshot_if_due();
            if self.stopping && self.uncommitted.is_empty() {
                return;
            }
        }
    }

    fn time_to_next_step(&self) -> Duration {
        let now = clock::now();
        let mut wait = IDLE_INTERVAL;
        let wake_times = [self.leader.wake_at(), self.membership.wake_at()];
        for wake_at in wake_times.into_iter().flatten() {
            wait = wait.min(wake_at.saturating_sub(now));
        }
        if !self.subscriptions.is_empty() {
            wait = wait.min(MIN_UPDATE_INTERVAL);
        }
        wait
    }

    fn handle_event(&mut self, event: ServiceEvent, input: &mut StepInput) {
        match event {
            ServiceEvent::Connected {
                conn,
                hello,
                frames,
            } => self.handle_connected(conn, *hello, frames, input),
            ServiceEvent::Disconnected { conn } => self.handle_disconnected(conn, input),
            ServiceEvent::Frame { conn, body } => self.handle_frame(conn, *body, input),
            ServiceEvent::Persisted { up_to } => {
                self.store_fault.clear();
                self.uncommitted.retain(|number| *number > up_to);
                input.leader.push(LeaderEvent::Persisted { upto: up_to });
            }
            ServiceEvent::PersistFailed { number, reason } => {
                error!("not kept: {reason}");
                self.store_fault = reason.clone();
                self.uncommitted.retain(|other| *other > number);
                input
                    .leader
                    .push(LeaderEvent::PersistFailed { number, reason });
            }
            ServiceEvent::QueryResult { conn, result } => {
                if let Some(peer) = self.peers.get(&conn) {
                    peer.frames.send(Body::QueryResult(*result));
                }
            }
            ServiceEvent::Stop => {
                info!(uncommitted = self.uncommitted.len(), "stopping");
                self.stopping = true;
            }
        }
    }
}
