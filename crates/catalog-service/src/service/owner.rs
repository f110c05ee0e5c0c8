//! The event loop of the service, on the thread that owns the leader, the membership and the peers.
//!
//! The owner only orders the steps of its components. Each component owns its state: [`PeerTable`],
//! [`CommitPipeline`], [`MembershipLink`], [`SubscriptionTable`], [`QueryHandler`] and
//! [`SnapshotScheduler`].

use super::commit_pipeline::CommitPipeline;
use super::error::ServiceError;
use super::event::ServiceEvent;
use super::frame_sender::FrameSender;
use super::host_names;
use super::leader_actions::ActionPerformer;
use super::membership_link::MembershipLink;
use super::options::Options;
use super::peer_table::{PeerRole, PeerTable};
use super::query_handler::QueryHandler;
use super::requests::RequestHandler;
use super::service_state::ServiceState;
use super::snapshot_scheduler::SnapshotScheduler;
use super::subscriptions::SubscriptionTable;
use super::wall_time::wall_time;
use crate::declared_config::declared_changes;
use crate::group_commit::GroupCommit;
use crate::subscription::MIN_UPDATE_INTERVAL;
use grebecleat_catalog::leader::{Action, CallId, Epoch, Event as LeaderEvent, Leader, Proposal};
use grebecleat_catalog::records::Version;
use grebecleat_membership::drains::{Event as MembershipEvent, Membership};
use grebecleat_settings::StateSpec;
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::Duration;
use tracing::info;

/// Maximum number of events that are handled in one step, in addition to the first. With a larger
/// number one commit takes more changes, and its first caller waits longer.
const MAX_EVENTS_PER_STEP: usize = 512;
/// Maximum time between two steps. It bounds how late a regular snapshot is.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of rounds between the leader and the membership in one step. It bounds how long
/// peers wait if the two never stop making new decisions.
const MAX_ROUNDS_PER_STEP: usize = 16;
/// Author of the first revision of a new store.
const DECLARATION_AUTHOR: &str = "settings";
/// The call ID of the proposal of the settings. No other call has it.
const DECLARATION_CALL: CallId = CallId(0);

/// The events that one step passes to the two state machines.
#[derive(Default)]
pub(super) struct StepInput {
    /// Events of the leader.
    pub leader: Vec<LeaderEvent>,
    /// Events of the membership.
    pub membership: Vec<MembershipEvent>,
}

/// The arguments of [`Owner::new`].
pub(super) struct OwnerStart<'a> {
    /// The service's options.
    pub options: &'a Options,
    /// The parameters of the settings' `state_service()`.
    pub spec: StateSpec,
    /// The leader, with the stored catalog.
    pub leader: Leader,
    /// The membership, which knows nothing of the catalog yet.
    pub membership: Membership,
    /// The epoch of the catalog's history.
    pub epoch: Epoch,
    /// The handle to the store's thread.
    pub group_commit: GroupCommit,
    /// The channel to the owner, for the other threads.
    pub to_owner: Sender<ServiceEvent>,
}

/// Runs the event loop, and orders the steps of the service's components.
pub(super) struct Owner {
    leader: Leader,
    /// The epoch of the catalog's history.
    epoch: Epoch,
    membership: MembershipLink,
    peers: PeerTable,
    subscriptions: SubscriptionTable,
    queries: QueryHandler,
    commits: CommitPipeline,
    snapshots: SnapshotScheduler,
    stopping: bool,
}

impl Owner {
    /// Returns an owner without peers.
    pub fn new(start: OwnerStart) -> Self {
        let settings = &start.options.settings;
        Owner {
            leader: start.leader,
            epoch: start.epoch,
            membership: MembershipLink::new(start.membership),
            peers: PeerTable::new(host_names(settings)),
            subscriptions: SubscriptionTable::default(),
            queries: QueryHandler::new(settings, start.to_owner.clone()),
            commits: CommitPipeline::new(start.group_commit, start.to_owner),
            snapshots: SnapshotScheduler::new(&start.options.store, start.spec.snapshot_every),
            stopping: false,
        }
    }

    /// Proposes the configuration of the settings, as the first revision of a new store.
    pub fn declare_settings(&mut self, options: &Options) -> Result<(), ServiceError> {
        let file = &options.file;
        let proposal = Proposal {
            author: DECLARATION_AUTHOR.to_string(),
            reason: format!("declared in {file}"),
            base_version: Version(0),
            changes: declared_changes(&options.settings),
            at: None,
            force: true,
            dry_run: false,
        };
        let proposed = LeaderEvent::Proposed {
            call: DECLARATION_CALL,
            proposal,
        };
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

    /// Waits until the first revision is stored. An operator who connected earlier would read version
    /// 0, and the leader would reject the operator's change as concurrent with the first revision.
    /// If the commit fails, the service starts nevertheless, and reports the fault.
    pub fn wait_for_declaration(&mut self, events: &Receiver<ServiceEvent>) {
        while self.commits.uncommitted() > 0 && self.commits.store_fault().is_empty() {
            let Ok(event) = events.recv() else {
                return;
            };
            let mut input = StepInput::default();
            self.handle_event(event, &mut input);
            self.step_leader(input.leader);
        }
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
            let mut membership_events = input.membership;
            membership_events.extend(self.step_leader(input.leader));
            self.step_membership(membership_events);
            self.update_subscriptions();
            let persisted = self.leader.persisted();
            self.snapshots.write_if_due(persisted, &self.commits);
            if self.stopping && self.commits.uncommitted() == 0 {
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
            } => self.handle_connected(conn, &hello, frames, input),
            ServiceEvent::Disconnected { conn } => self.handle_disconnected(conn, input),
            ServiceEvent::Frame { conn, body } => self.handle_frame(conn, *body, input),
            ServiceEvent::Persisted { up_to } => {
                self.commits.persisted(up_to);
                input.leader.push(LeaderEvent::Persisted { upto: up_to });
            }
            ServiceEvent::PersistFailed { number, reason } => {
                self.commits.persist_failed(number, &reason);
                let failed = LeaderEvent::PersistFailed { number, reason };
                input.leader.push(failed);
            }
            ServiceEvent::QueryResult { conn, result } => {
                self.peers.send(conn, Body::QueryResult(*result));
            }
            ServiceEvent::Stop => {
                info!(uncommitted = self.commits.uncommitted(), "stopping");
                self.stopping = true;
            }
        }
    }

    fn handle_connected(
        &mut self,
        conn: u64,
        hello: &pb::Hello,
        frames: FrameSender,
        input: &mut StepInput,
    ) {
        if let Some(PeerRole::Host(host)) = self.peers.connect(conn, hello, frames) {
            input.membership.push(MembershipEvent::HostConnected {
                host,
                incarnation: hello.incarnation,
            });
        }
    }

    fn handle_disconnected(&mut self, conn: u64, input: &mut StepInput) {
        self.subscriptions.unsubscribe(conn);
        let disconnected = self.peers.remove(conn);
        if let Some(host) = disconnected.host {
            let event = MembershipEvent::HostDisconnected { host };
            input.membership.push(event);
        }
        for call in disconnected.calls {
            input.leader.push(LeaderEvent::CallerDisconnected { call });
        }
    }

    fn handle_frame(&mut self, conn: u64, body: Body, input: &mut StepInput) {
        let state = ServiceState {
            leader: &self.leader,
            epoch: self.epoch,
            store_fault: self.commits.store_fault(),
        };
        let mut handler = RequestHandler {
            conn,
            state,
            peers: &mut self.peers,
            subscriptions: &mut self.subscriptions,
            queries: &self.queries,
            input,
        };
        handler.handle(body);
    }

    /// Steps the leader and performs its actions. Returns the results of the membership's own
    /// proposals.
    fn step_leader(&mut self, events: Vec<LeaderEvent>) -> Vec<MembershipEvent> {
        let actions = self.leader.step(clock::now(), wall_time(), events);
        self.perform(actions)
    }

    fn perform(&mut self, actions: Vec<Action>) -> Vec<MembershipEvent> {
        let mut performer = ActionPerformer {
            leader: &self.leader,
            epoch: self.epoch,
            peers: &mut self.peers,
            commits: &mut self.commits,
            membership: &mut self.membership,
        };
        performer.perform(actions)
    }

    /// Steps the membership with `events` and with everything new in the catalog, and the leader
    /// with the membership's proposals, until neither has a new decision. The leader may decide on a
    /// proposal at once; its result is an event of the membership's next round.
    pub fn step_membership(&mut self, mut events: Vec<MembershipEvent>) {
        for _ in 0..MAX_ROUNDS_PER_STEP {
            let peers = &mut self.peers;
            let allocate_call = || peers.allocate_call();
            let stepped = self.membership.step(&self.leader, events, allocate_call);
            let Some(outcome) = stepped else {
                return;
            };
            self.subscriptions.add_notices(outcome.notices);
            events = if outcome.leader_events.is_empty() {
                Vec::new()
            } else {
                self.step_leader(outcome.leader_events)
            };
        }
    }

    fn update_subscriptions(&mut self) {
        let state = ServiceState {
            leader: &self.leader,
            epoch: self.epoch,
            store_fault: self.commits.store_fault(),
        };
        let membership = self.membership.membership();
        self.subscriptions.update(&state, membership, &self.peers);
    }
}
