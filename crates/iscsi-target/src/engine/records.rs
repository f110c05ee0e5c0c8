//! The engine's records of connections, sessions, commands, requests and volumes.
//!
//! Owned by the engine alone; each record is in one map of it, and ends with what it stands for.

use super::messages::{ConnNo, Request, RequestNumber, VolumeFacts};
use crate::blocks::{Gather, Layout};
use crate::overlaps::Overlaps;
use crate::pressure::{Pressure, WindowLimits};
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
    pub facts: VolumeFacts,
    pub layout: Layout,
    pub overlaps: Overlaps,
    pub pressure: Pressure,
    pub reservations: Reservations,
    /// Extents being written for the first time, and the requests that wait for their place.
    pub placing: BTreeMap<u64, VecDeque<RequestNumber>>,
}

impl Volume {
    pub fn new(facts: VolumeFacts, limits: WindowLimits) -> Self {
        Volume {
            layout: Layout {
                block_size: facts.unit.block_size,
                extent_blocks: facts.extent_blocks,
            },
            overlaps: Overlaps::default(),
            pressure: Pressure::new(limits),
            reservations: Reservations::default(),
            placing: BTreeMap::new(),
            facts,
        }
    }
}

/// Where a connection is: in its login, or in the full feature phase as one of a session.
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
    /// Index of its target; none for a discovery session.
    pub target: Option<usize>,
    pub connections: BTreeMap<ConnectionId, ConnNo>,
    /// Pending unit attentions by volume.
    pub attentions: BTreeMap<usize, VecDeque<Sense>>,
    /// Commands that each volume allows it to have open.
    pub allowed: BTreeMap<usize, u32>,
}

/// A SCSI command as a session starts it.
pub(super) struct ScsiCommand {
    pub session: u64,
    pub task: TaskId,
    pub lun: u64,
    pub cdb: [u8; 16],
    pub data: Bytes,
    /// Bytes that the initiator expects to read.
    pub max_in: u32,
}

/// What a command does with its blocks.
#[derive(Debug, Clone)]
pub(super) enum BlockAction {
    Read,
    Write(Bytes),
    /// Reads, and compares if there is something to compare with.
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

    /// All but plain writes read; COMPARE AND WRITE does both.
    pub fn reads(&self) -> bool {
        !matches!(self, BlockAction::Write(_))
    }
}

/// A checked command on a range of blocks.
#[derive(Debug, Clone)]
pub(super) struct BlockCommand {
    pub lba: u64,
    pub blocks: u64,
    pub action: BlockAction,
}

/// A command on blocks that has not ended.
pub(super) struct OpenCommand {
    pub session: u64,
    pub task: TaskId,
    pub volume: usize,
    pub command: BlockCommand,
    /// The outcomes of its requests; none while it waits for its turn.
    pub gather: Option<Gather>,
    /// It ends without an answer.
    pub aborted: bool,
}

/// The step of a command whose requests are sent: COMPARE AND WRITE has both, others the first
/// alone.
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
    /// It is the first write of its extent.
    pub first_write: bool,
    /// The shard that completed it, while that place is being persisted.
    pub persisting_shard: Option<u32>,
    /// How often it was sent again above a newer version.
    pub retries: u32,
}

/// A write that has ended and may still take effect.
#[derive(Clone, Copy)]
pub(super) struct LateWrite {
    pub until: Duration,
    pub volume: usize,
    pub command: u64,
}

/// A connection in its login; ordered by when that began.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PendingLogin {
    pub since: Duration,
    pub conn: ConnNo,
}
