//! The owner of the state: one thread with the leader, the membership and the peers.

use super::error::ServiceError;
use super::event::ServiceEvent;
use super::frame_sender::FrameSender;
use super::membership_link::MembershipLink;
use super::options::Options;
use super::snapshot_schedule::SnapshotSchedule;
use super::wall_time::wall_time;
use crate::declared_config::declared_changes;
use crate::group_commit::GroupCommit;
use crate::subscription::{EventLog, ServiceView, Subscription, MIN_UPDATE_INTERVAL};
use grebecleat_membership::drains::{Event as MembershipEvent, Membership};
use grebecleat_plans::changes::{Name, Version};
use grebecleat_plans::feed::HostNumber;
use grebecleat_plans::leader::{Action, CallId, Epoch, Event as LeaderEvent, Leader, Proposal};
use grebecleat_settings::StateSpec;
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};
use tracing::{error, info, warn};

/// Events that are handled in one step, beyond the first.
const MAX_EVENTS_PER_STEP: usize = 512;
/// The longest time between two steps.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// A connected host or operator.
pub(super) struct Peer {
    /// Where its frames are sent.
    pub frames: FrameSender,
    /// The name of its hello.
    pub name: String,
    /// None: an operator.
    pub host: Option<HostNumber>,
    /// The same host has connected again; frames on this connection no longer count.
    pub superseded: bool,
}

/// A call of a peer that waits for its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerCall {
    /// The peer's connection.
    pub conn: u64,
    /// The peer's number of the call.
    pub call: u64,
}

/// What one step passes to the two state machines.
#[derive(Default)]
pub(super) struct StepInput {
    pub leader: Vec<LeaderEvent>,
    pub membership: Vec<MembershipEvent>,
}

/// What the owner starts with.
pub(super) struct OwnerStart<'a> {
    pub options: &'a Options,
    pub spec: StateSpec,
    pub leader: Leader,
    pub membership: Membership,
    pub epoch: Epoch,
    pub group_commit: GroupCommit,
    pub to_owner: Sender<ServiceEvent>,
}

/// The leader, the membership, and everything about peers and commits that the loop needs.
pub(super) struct Owner<'a> {
    pub options: &'a Options,
    pub leader: Leader,
    pub membership: MembershipLink,
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

    fn handle_connected(
        &mut self,
        conn: u64,
        hello: pb::Hello,
        frames: FrameSender,
        input: &mut StepInput,
    ) {
        let host = match (hello.role(), self.host_number(&hello.name)) {
            (pb::Role::Operator, _) => None,
            (pb::Role::Host, Some(host)) => Some(host),
            _ => {
                warn!(name = %hello.name, "peer is neither an operator nor a host of the settings");
                return frames.disconnect();
            }
        };
        if let Some(host) = host {
            // Of a host that connects again only the new connection counts.
            for peer in self.peers.values_mut() {
                if peer.host == Some(host) {
                    peer.frames.disconnect();
                    peer.superseded = true;
                }
            }
            input.membership.push(MembershipEvent::Up {
                host,
                process: hello.incarnation,
            });
        }
        let peer = Peer {
            frames,
            name: hello.name,
            host,
            superseded: false,
        };
        self.peers.insert(conn, peer);
    }

    fn handle_disconnected(&mut self, conn: u64, input: &mut StepInput) {
        self.subscriptions.remove(&conn);
        if let Some(peer) = self.peers.remove(&conn) {
            match peer.host {
                Some(host) if !peer.superseded => {
                    input.membership.push(MembershipEvent::Lost { host });
                }
                _ => {}
            }
        }
        let mut disconnected = Vec::new();
        for (call, peer_call) in &self.calls {
            if peer_call.conn == conn {
                disconnected.push(*call);
            }
        }
        for call in disconnected {
            self.calls.remove(&call);
            input.leader.push(LeaderEvent::CallerDisconnected { call });
        }
    }

    /// The number of a host of the settings.
    pub fn host_number(&self, name: &str) -> Option<HostNumber> {
        let hosts = &self.options.settings.hosts;
        let index = hosts.iter().position(|host| host.name == name)?;
        Some(HostNumber(index as u32))
    }

    /// A number for a call of this service.
    pub fn new_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    /// A number for a peer's call.
    pub fn register_call(&mut self, conn: u64, call: u64) -> CallId {
        let id = self.new_call();
        self.calls.insert(id, PeerCall { conn, call });
        id
    }

    fn update_subscriptions(&mut self) {
        if self.subscriptions.is_empty() {
            return;
        }
        let hosts = self.host_status();
        let view = ServiceView {
            leader: &self.leader,
            membership: &self.membership.membership,
            event_log: &self.event_log,
            epoch: self.epoch.0,
            store_fault: &self.store_fault,
            hosts: &hosts,
        };
        for (conn, subscription) in &mut self.subscriptions {
            let Some(peer) = self.peers.get(conn) else {
                continue;
            };
            subscription.update(&view, Instant::now(), |update| {
                peer.frames.send(Body::SubscriptionUpdate(update))
            });
        }
    }

    /// What each host has applied, and what waits for it.
    pub fn host_status(&self) -> Vec<pb::HostStatus> {
        let waits = self.leader.waits_for(self.leader.persisted());
        let waits: BTreeMap<Name, bool> = waits.into_iter().collect();
        let connected: BTreeSet<&str> = self
            .peers
            .values()
            .filter(|peer| peer.host.is_some())
            .map(|peer| peer.name.as_str())
            .collect();
        let mut hosts = Vec::new();
        for (name, applied) in self.leader.follows() {
            hosts.push(pb::HostStatus {
                name: name.to_string(),
                heard_of: applied.is_some(),
                applied: applied.unwrap_or_default().0,
                holds_up: waits.contains_key(name),
                silent: waits.get(name).copied().unwrap_or(false),
                up: connected.contains(&**name),
            });
        }
        hosts
    }
}
