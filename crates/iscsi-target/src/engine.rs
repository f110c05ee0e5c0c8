//! Protocol engine of the target: connections, logins, sessions and commands, between the sockets
//! and the host.
//!
//! A state machine without I/O: `step(now, inputs)` returns the actions to perform. Only the
//! portal's thread calls it. A block command becomes one request for each extent that it touches;
//! the host answers each request by its number. The engine guarantees that:
//!
//! - a command is answered when its last request has ended, and an aborted command ends then too:
//!   after the response to an abort or a reset the host processes no part of the command;
//! - each write carries a version above those of all earlier writes, and a node stores the newest
//!   one: an attempt that is still queued, of this or an earlier run of the process, cannot
//!   overwrite later data. Reads of its blocks wait until it can no longer take effect;
//! - the first write of an extent is sent alone, and it ends with GOOD only once the placement of
//!   the extent is persisted.
//!
//! Logins in progress, commands of a session (its window), pending unit attentions and retries of a
//! write are bounded.

mod block_commands;
mod commands;
mod completion;
mod connections;
mod messages;
mod records;
mod requests;
mod sessions;
mod task_management;

pub use messages::{
    ConnNo, Input, Output, Request, RequestNumber, TargetDescription, VolumeDescription,
};

use crate::pressure::WindowLimits;
use crate::versions::Versions;
use grebecleat_iscsi::login::Portal;
use records::{
    Connection, LateWrite, OpenCommand, OpenRequest, PendingLogin, SessionState, Step, Volume,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Time within which a login must be completed.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(15);

/// Random bytes in one CHAP challenge.
pub const CHALLENGE_BYTES: usize = 17;

/// Returns new random bytes for a login challenge at each call.
pub type ChallengeSource = Box<dyn FnMut() -> [u8; CHALLENGE_BYTES] + Send>;

/// Targets, volumes and limits of an engine.
pub struct EngineConfig {
    /// Targets, secrets and negotiation limits for logins.
    pub portal: Portal,
    /// Addresses of the portal, as discovery reports them.
    pub addresses: Vec<String>,
    /// Targets and their logical units.
    pub targets: Vec<TargetDescription>,
    /// Volumes, in the order that `TargetDescription::luns` refers to.
    pub volumes: Vec<VolumeDescription>,
    /// Limits of each volume's command windows.
    pub window_limits: WindowLimits,
    /// Time for which a failed write may still take effect at a node.
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
    targets: Vec<TargetDescription>,
    volumes: Vec<Volume>,
    late_write_time: Duration,
    challenges: ChallengeSource,
    connections: BTreeMap<ConnNo, Connection>,
    logins: BTreeSet<PendingLogin>,
    sessions: BTreeMap<u64, SessionState>,
    commands: BTreeMap<u64, OpenCommand>,
    requests: BTreeMap<RequestNumber, OpenRequest>,
    /// Ordered by expiry: all wait for the same time.
    late_writes: VecDeque<LateWrite>,
    versions: Versions,
    /// Writes that wait for a version.
    awaiting_version: Vec<RequestNumber>,
    store_available: bool,
    /// Volumes whose windows may have changed, so that a step need not visit every volume.
    changed_windows: BTreeSet<usize>,
    now: Duration,
    last_number: u64,
    last_tsih: u16,
    outputs: Vec<Output>,
}

impl Engine {
    /// Creates an engine without connections.
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

    /// Number of open commands and of open requests.
    pub fn open(&self) -> (usize, usize) {
        (self.commands.len(), self.requests.len())
    }

    /// Time at which `step` must be called if no input arrives earlier; `None` without a deadline.
    pub fn wake_at(&self) -> Option<Duration> {
        let login = self.logins.first().map(|login| login.since + LOGIN_TIMEOUT);
        let late_write = self.late_writes.front().map(|write| write.until);
        [login, late_write].into_iter().flatten().min()
    }

    /// Applies the inputs in order and returns the actions to perform in order. `now` must not
    /// decrease.
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
