//! The engine's records of connections, sessions, commands, requests and volumes.
//!
//! Only the engine uses them. Each record is held in one of its maps and removed when the object it
//! describes ends.

use super::messages::{ConnNo, Request, RequestNumber, VolumeDescription};
use crate::blocks::{Layout, OutcomeCollector};
use crate::overlaps::Overlaps;
use crate::pressure::{BackPressure, WindowLimits};
use bytes::Bytes;
use grebecleat_iscsi::login::{LoggedIn, Login};
use grebecleat_iscsi::pdu::Digests;
use grebecleat_iscsi::reservations::Reservations;
use grebecleat_iscsi::scsi::Sense;
use grebecleat_iscsi::session::{ConnectionId, Session, TaskId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A volume and its open commands.
#[derive(Debug)]
pub(super) struct Volume {
    pub facts: VolumeDescription,
    pub layout: Layout,
    pub overlaps: Overlaps,
    pub pressure: BackPressure,
    pub reservations: Reservations,
    /// Extents being written for the first time, with the requests that wait for the placement.
    pub pending_placements: BTreeMap<u64, VecDeque<RequestNumber>>,
}

impl Volume {
    pub fn new(facts: VolumeDescription, limits: WindowLimits) -> Self {
        Volume {
            layout: Layout {
                block_size: facts.unit.block_size,
                extent_blocks: facts.extent_blocks,
            },
            overlaps: Overlaps::default(),
            pressure: BackPressure::new(limits),
            reservations: Reservations::default(),
            pending_placements: BTreeMap::new(),
            facts,
        }
    }
}

/// Phase of a connection: login, or full feature phase within a session.
pub(super) enum Phase {
    Login(Box<Login>),
    Full { session: u64, cid: ConnectionId },
}

/// An open connection.
pub(super) struct Connection {
    pub phase: Phase,
    pub opened_at: Duration,
    pub stat_sn: u32,
    pub digests: Digests,
}

/// A session and its connections.
pub(super) struct SessionState {
    pub session: Session,
    pub identity: LoggedIn,
    pub tsih: u16,
    /// Index of its target; `None` for a discovery session.
    pub target: Option<usize>,
    pub connections: BTreeMap<ConnectionId, ConnNo>,
    /// Pending unit attentions by volume.
    pub attentions: BTreeMap<usize, VecDeque<Sense>>,
    /// Number of open commands allowed by each volume.
    pub allowed: BTreeMap<usize, u32>,
}

/// A SCSI command started by a session.
pub(super) struct ScsiCommand {
    pub session: u64,
    pub task: TaskId,
    pub lun: u64,
    pub cdb: [u8; 16],
    pub data: Bytes,
    /// Number of bytes that the initiator expects to read.
    pub max_read_bytes: u32,
}

/// Operation of a command on its blocks.
#[derive(Debug, Clone)]
pub(super) enum BlockAction {
    Read,
    Write(Bytes),
    /// Reads, and compares with the data if there is any.
    Verify(Option<Bytes>),
    /// Reads and compares; then writes.
    CompareAndWrite {
        expected: Bytes,
        replacement: Bytes,
    },
}

impl BlockAction {
    pub fn writes(&self) -> bool {
        matches!(
            self,
            BlockAction::Write(_) | BlockAction::CompareAndWrite { .. }
        )
    }

    /// All actions but plain writes read; COMPARE AND WRITE reads and writes.
    pub fn reads(&self) -> bool {
        !matches!(self, BlockAction::Write(_))
    }
}

/// A validated command on a range of blocks.
#[derive(Debug, Clone)]
pub(super) struct BlockCommand {
    pub lba: u64,
    pub blocks: u64,
    pub action: BlockAction,
}

/// A block command that has not ended.
pub(super) struct OpenCommand {
    pub session: u64,
    pub task: TaskId,
    pub volume: usize,
    pub command: BlockCommand,
    /// The outcomes of its requests; `None` while it waits for overlapping commands.
    pub collector: Option<OutcomeCollector>,
    /// Whether it was aborted and ends without a response.
    pub aborted: bool,
}

/// Step of a command: COMPARE AND WRITE has both steps, others only the first.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    First,
    WriteAfterCompare,
}

/// A request that has not ended.
pub(super) struct OpenRequest {
    pub command: u64,
    /// Its index among the command's pieces.
    pub piece: usize,
    pub request: Request,
    /// Whether it is the first write of its extent.
    pub first_write: bool,
    /// The shard that completed it, while the placement is being persisted.
    pub persisting_shard: Option<u32>,
    /// Number of retries with a version above a newer one.
    pub retries: u32,
}

/// A write that has ended and may still take effect.
#[derive(Clone, Copy)]
pub(super) struct LateWrite {
    pub until: Duration,
    pub volume: usize,
    pub command: u64,
}

/// A connection in the login phase; ordered by the start of the login.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PendingLogin {
    pub since: Duration,
    pub conn: ConnNo,
}
