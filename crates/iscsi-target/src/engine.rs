//! The target's engine: connections, logins, sessions and commands, between the sockets and the
//! host.
//!
//! State machine: `step(now, inputs)` returns the actions to perform. No I/O. Called by the
//! portal's thread alone. A command on blocks becomes a request for each extent it touches; the
//! host answers each by its number. Three guarantees:
//!
//! - a command is answered when the last of its requests is, and an aborted one ends then too: the
//!   response to an abort or a reset means that nothing of the command is still in progress at the
//!   host;
//! - each write carries a version, higher than those of all writes before, and a node stores the
//!   newest: an attempt that is still queued somewhere, of this start or an earlier one, cannot
//!   overwrite what is written after. Reads of its blocks wait until it can no longer appear;
//! - an extent is first written by one request alone, and GOOD follows only once its place is
//!   persisted.
//!
//! Bounds: logins in progress, commands of a session (its window), unit attentions and retries of a
//! write.

mod block_commands;
mod commands;
mod completion;
mod connections;
mod messages;
mod records;
mod requests;
mod sessions;
mod task_management;

pub use messages::{ConnNo, Input, Output, Request, RequestNumber, TargetFacts, VolumeFacts};

use crate::pressure::WindowLimits;
use crate::versions::Versions;
use grebecleat_iscsi::login::Portal;
use records::{
    Connection, LateWrite, OpenCommand, OpenRequest, PendingLogin, SessionState, Step, Volume,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A login must be through in this time.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(15);

/// Random bytes of one login challenge.
pub const CHALLENGE_BYTES: usize = 17;

/// Gives new random bytes at each call, for login challenges.
pub type ChallengeSource = Box<dyn FnMut() -> [u8; CHALLENGE_BYTES] + Send>;

/// What an engine serves, and within which bounds.
pub struct EngineConfig {
    /// Targets, secrets and negotiation limits for logins.
    pub portal: Portal,
    /// Addresses of the portal, as discovery reports them.
    pub addresses: Vec<String>,
    /// Targets and their logical units.
    pub targets: Vec<TargetFacts>,
    /// Volumes, in the order that `TargetFacts::luns` refers to.
    pub volumes: Vec<VolumeFacts>,
    /// Bounds of each volume's command windows.
    pub window_limits: WindowLimits,
    /// How long a write that has failed may still take effect at a node.
    pub late_write_time: Duration,
    /// Source of the writes' versions.
    pub versions: Versions,
    /// Source of login challenges.
    pub challenges: ChallengeSource,
}

/// The state of one portal's connections, sessions and commands.
pub struct Engine {
    portal: Portal,
    addresses: Vec<String>,
    targets: Vec<TargetFacts>,
    volumes: Vec<Volume>,
    late_write_time: Duration,
    challenges: ChallengeSource,
    connections: BTreeMap<ConnNo, Connection>,
    logins: BTreeSet<PendingLogin>,
    sessions: BTreeMap<u64, SessionState>,
    commands: BTreeMap<u64, OpenCommand>,
    requests: BTreeMap<RequestNumber, OpenRequest>,
    /// In the order of their ends: all wait equally long.
    late_writes: VecDeque<LateWrite>,
    versions: Versions,
    /// Writes that wait for a version.
    awaiting_version: Vec<RequestNumber>,
    store_available: bool,
    /// Volumes whose windows may have changed: a step must not look at every volume there is.
    changed_windows: BTreeSet<usize>,
    now: Duration,
    last_number: u64,
    last_tsih: u16,
    outputs: Vec<Output>,
}

impl Engine {
    /// An engine without connections.
    pub fn new(config: EngineConfig) -> Self {
        let limits = config.window_limits;
        let volumes = config.volumes.into_iter();
        Engine {
            portal: config.portal,
            addresses: config.addresses,
            targets: config.targets,
            volumes: volumes.map(|facts| Volume::new(facts, limits)).collect(),
            late_write_time: config.late_write_time,
            challenges: config.challenges,
            connections: BTreeMap::new(),
            logins: BTreeSet::new(),
            sessions: BTreeMap::new(),
            commands: BTreeMap::new(),
            requests: BTreeMap::new(),
            late_writes: VecDeque::new(),
            versions: config.versions,
            awaiting_version: Vec::new(),
            store_available: true,
            changed_windows: BTreeSet::new(),
            now: Duration::ZERO,
            last_number: 0,
            last_tsih: 0,
            outputs: Vec::new(),
        }
    }

    /// Commands and requests open now.
    pub fn open(&self) -> (usize, usize) {
        (self.commands.len(), self.requests.len())
    }

    /// When `step` must be called if no input comes before; none without a deadline.
    pub fn wake_at(&self) -> Option<Duration> {
        let login = self.logins.first().map(|login| login.since + LOGIN_TIMEOUT);
        let late_write = self.late_writes.front().map(|write| write.until);
        [login, late_write].into_iter().flatten().min()
    }

    /// Takes the inputs in their order; the actions to perform, in theirs. `now` must not go back.
    pub fn step(&mut self, now: Duration, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        self.now = now;
        for input in inputs {
            self.apply(input);
        }
        self.expire_logins();
        self.expire_late_writes();
        if self.store_available {
            if let Some(ceiling) = self.versions.reservation_due() {
                self.outputs.push(Output::PersistCeiling { ceiling });
            }
        }
        self.update_windows();
        std::mem::take(&mut self.outputs)
    }

    fn apply(&mut self, input: Input) {
        match input {
            Input::ConnectionOpened { conn } => self.connection_opened(conn),
            Input::Pdu { conn, read } => self.receive(conn, read),
            Input::ConnectionClosed { conn } => self.connection_closed(conn),
            Input::RequestFinished { no, outcome, shard } => {
                self.request_finished(no, outcome, shard)
            }
            Input::PlacementPersisted { no } => self.placement_persisted(no),
            Input::CeilingPersisted { ceiling } => {
                self.versions.reserve(ceiling);
                self.send_awaiting_version();
            }
            Input::StoreFailed => self.store_failed(),
        }
    }

    fn expire_logins(&mut self) {
        while let Some(login) = self.logins.first().copied() {
            if self.now < login.since + LOGIN_TIMEOUT {
                return;
            }
            self.refuse(login.conn, "login takes too long");
        }
    }

    fn expire_late_writes(&mut self) {
        while let Some(write) = self.late_writes.front().copied() {
            if write.until > self.now {
                return;
            }
            self.late_writes.pop_front();
            let ready = self.volumes[write.volume].overlaps.close(write.command);
            self.launch_all(ready);
        }
    }

    fn launch_all(&mut self, ready: Vec<u64>) {
        for command in ready {
            self.launch(command, Step::First);
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn log(&mut self, text: String) {
        self.outputs.push(Output::Log { text });
    }
}
