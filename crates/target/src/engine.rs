//! The target: connections, logins, sessions and commands, between the sockets and the host.
//!
//! Called as `step(now, inputs) -> outputs`, without input or output of its own. A command on blocks becomes
//! a request for each extent it touches; the host answers each by its number. Three promises:
//!
//! - a command is answered when the last of its requests is, and an aborted one ends then too: the response
//!   to an abort or a reset says that nothing of the command is still under way at the host;
//! - each write carries a version, higher than those of all writes before, and a node keeps the newest: an attempt
//!   that is still queued somewhere, of this start or an earlier one, cannot overwrite what is written after.
//!   Reads of its blocks wait until it can no longer appear;
//! - an extent is first written by one request alone, and GOOD follows only once its place is kept.

mod block_commands;
mod commands;
mod completion;
mod connections;
mod requests;
mod sessions;
mod task_management;

use crate::blocks::{Answer, Gather, Layout, Piece, Whole};
use crate::overlaps::{Overlaps, Range};
use crate::pressure::{Ended, Figures, Pressure, SessionNo};
use crate::versions::Versions;
use bytes::{Bytes, BytesMut};
use grebecleat_iscsi::login::{LoggedIn, Login, Portal, Standing, Status as LoginStatus};
use grebecleat_iscsi::pdu::{Digests, Fault, Pdu};
use grebecleat_iscsi::reservations::{Nexus, Refused, Reservations};
use grebecleat_iscsi::scsi::{decode, unmap_ranges, Command, Sense, Status, Unit};
use grebecleat_iscsi::session::{Act, Cid, Limits, Outcome, Session, TaskNo, Why};
use grebecleat_state::extents::Extents;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Connections that have not come through their login; beyond, the oldest is closed.
const MAX_LOGINS: usize = 256;
/// A login must be through in this time.
const LOGIN_TIME: Duration = Duration::from_secs(15);
const LIMITS: Limits = Limits {
    max_data: 1 << 20,
    max_kept: 1024,
};
/// How often a write goes again above a version that it found at its node.
const MAX_TRIES: u32 = 4;
/// Unit attentions kept for one session at one unit (SAM-5 lets a device keep few).
const MAX_ATTENTIONS: usize = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnNo(pub u64);

/// A request that a command asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

#[derive(Debug)]
pub enum Input {
    Up {
        conn: ConnNo,
    },
    Pdu {
        conn: ConnNo,
        read: Result<Pdu, Fault>,
    },
    Gone {
        conn: ConnNo,
    },
    /// The host's final answer, and where the data lies if it is done.
    Final {
        no: RequestNumber,
        answer: Answer,
        shard: Option<u32>,
    },
    /// An extent's place is kept.
    Stored {
        no: RequestNumber,
    },
    /// A ceiling of versions is kept.
    Reserved {
        ceiling: u64,
    },
    /// Nothing can be kept any more.
    StoreGone,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub no: RequestNumber,
    pub volume: u64,
    pub extent: u64,
    /// None: nobody has written it, any node may take it.
    pub shard: Option<u32>,
    pub write: bool,
    pub offset: u32,
    pub length: u32,
    pub data: Bytes,
    /// Of writes.
    pub version: Option<u64>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    Send {
        conn: ConnNo,
        pdu: Pdu,
        digests: Digests,
    },
    /// From here on the connection's reader expects these.
    Reads {
        conn: ConnNo,
        digests: Digests,
        most: usize,
    },
    Close {
        conn: ConnNo,
    },
    Take(Request),
    Store {
        no: RequestNumber,
        volume: u64,
        extent: u64,
        shard: u32,
    },
    Reserve {
        ceiling: u64,
    },
    Note {
        text: String,
    },
}

/// A volume as a logical unit.
#[derive(Debug, Clone)]
pub struct VolumeFacts {
    pub volume: u64,
    pub unit: Unit,
    pub extent_blocks: u32,
    /// Places of extents, as they were kept.
    pub placed: Extents,
}

#[derive(Debug, Clone)]
pub struct TargetFacts {
    pub name: String,
    /// LUN 0, 1, ...: places among the volumes.
    pub luns: Vec<usize>,
}

#[derive(Debug)]
struct Volume {
    facts: VolumeFacts,
    layout: Layout,
    overlaps: Overlaps,
    pressure: Pressure,
    reservations: Reservations,
    /// Extents being written for the first time, and what waits for their place.
    placing: BTreeMap<u64, VecDeque<RequestNumber>>,
}

enum Phase {
    Login(Box<Login>),
    Full { session: u64, cid: Cid },
}

struct Conn {
    phase: Phase,
    since: Duration,
    stat_sn: u32,
    digests: Digests,
}

struct SessionState {
    session: Session,
    who: LoggedIn,
    tsih: u16,
    target: Option<usize>,
    conns: BTreeMap<Cid, ConnNo>,
    attentions: BTreeMap<usize, VecDeque<Sense>>,
    /// Commands that each unit allows it to have open.
    allowed: BTreeMap<usize, u32>,
}

/// What a command does with its blocks.
#[derive(Debug, Clone)]
enum Deed {
    Read,
    Write(Bytes),
    /// Reads, and compares if there is something to compare with.
    Verify(Option<Bytes>),
    /// Reads and compares; then writes.
    Compare {
        with: Bytes,
        then: Bytes,
    },
}

struct Op {
    session: u64,
    task: TaskNo,
    volume: usize,
    deed: Deed,
    lba: u64,
    blocks: u64,
    gather: Option<Gather>,
    /// Aborted: it ends without an answer.
    ended: bool,
}

struct OpenRequest {
    op: u64,
    place: usize,
    request: Request,
    /// It is the first write of its extent.
    places: bool,
    /// Where it was done, while that is being kept.
    shard: Option<u32>,
    /// How often it went above a version that was there.
    tries: u32,
}

pub struct Engine {
    portal: Portal,
    addresses: Vec<String>,
    targets: Vec<TargetFacts>,
    volumes: Vec<Volume>,
    rest: Duration,
    chance: Box<dyn FnMut() -> [u8; 17] + Send>,
    conns: BTreeMap<ConnNo, Conn>,
    /// Connections in their login, by when it began.
    logins: BTreeSet<(Duration, ConnNo)>,
    sessions: BTreeMap<u64, SessionState>,
    ops: BTreeMap<u64, Op>,
    requests: BTreeMap<RequestNumber, OpenRequest>,
    /// Writes that may still have their effect: until when, of which volume, by which op.
    resting: VecDeque<(Duration, usize, u64)>,
    versions: Versions,
    /// Requests that wait for a version.
    unnumbered: Vec<RequestNumber>,
    /// The store takes what is to be kept.
    keeps: bool,
    /// Volumes whose windows may have changed: a step must not look at every volume there is.
    pressed: BTreeSet<usize>,
    now: Duration,
    next: u64,
    next_tsih: u16,
    out: Vec<Output>,
}

fn attention_passes(command: &Command) -> bool {
    matches!(
        command,
        Command::Inquiry { .. } | Command::ReportLuns { .. } | Command::RequestSense { .. }
    )
}

impl Engine {
    /// `chance` gives 17 new bytes of it at each call, for challenges. `rest` is how long a write that was
    /// given up may still have its effect.
    pub fn new(
        portal: Portal,
        addresses: Vec<String>,
        targets: Vec<TargetFacts>,
        volumes: Vec<VolumeFacts>,
        (figures, rest, versions): (Figures, Duration, Versions),
        chance: Box<dyn FnMut() -> [u8; 17] + Send>,
    ) -> Self {
        let volume = |facts: VolumeFacts| Volume {
            layout: Layout {
                block_size: facts.unit.block_size,
                extent_blocks: facts.extent_blocks,
            },
            overlaps: Overlaps::default(),
            pressure: Pressure::new(figures),
            reservations: Reservations::default(),
            placing: BTreeMap::new(),
            facts,
        };
        Engine {
            portal,
            addresses,
            targets,
            volumes: volumes.into_iter().map(volume).collect(),
            rest,
            chance,
            conns: BTreeMap::new(),
            logins: BTreeSet::new(),
            sessions: BTreeMap::new(),
            ops: BTreeMap::new(),
            requests: BTreeMap::new(),
            resting: VecDeque::new(),
            versions,
            unnumbered: Vec::new(),
            keeps: true,
            pressed: BTreeSet::new(),
            now: Duration::ZERO,
            next: 0,
            next_tsih: 0,
            out: Vec::new(),
        }
    }

    /// Commands and requests open now.
    pub fn open(&self) -> (usize, usize) {
        (self.ops.len(), self.requests.len())
    }

    /// When `step` must be called if nothing comes before.
    pub fn wake_at(&self) -> Option<Duration> {
        let login = self.logins.first().map(|l| l.0 + LOGIN_TIME);
        [login, self.resting.front().map(|r| r.0)]
            .into_iter()
            .flatten()
            .min()
    }

    pub fn step(&mut self, now: Duration, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        self.now = now;
        for input in inputs {
            match input {
                Input::Up { conn } => self.up(conn),
                Input::Pdu { conn, read } => self.read(conn, read),
                Input::Gone { conn } => self.gone(conn),
                Input::Final { no, answer, shard } => self.answered(no, answer, shard),
                Input::Stored { no } => self.stored(no),
                Input::Reserved { ceiling } => {
                    self.versions.kept(ceiling);
                    std::mem::take(&mut self.unnumbered)
                        .into_iter()
                        .for_each(|no| self.send(no));
                }
                Input::StoreGone => self.store_gone(),
            }
        }
        while let Some((_, conn)) = self
            .logins
            .first()
            .copied()
            .filter(|l| now >= l.0 + LOGIN_TIME)
        {
            self.refuse(conn, "login takes too long");
        }
        while let Some((_, volume, op)) = self.resting.front().copied().filter(|r| r.0 <= now) {
            self.resting.pop_front();
            let free = self.volumes[volume].overlaps.close(op);
            free.into_iter().for_each(|no| self.launch(no, false));
        }
        if let Some(ceiling) = self.versions.wants().filter(|_| self.keeps) {
            self.out.push(Output::Reserve { ceiling });
        }
        self.press();
        std::mem::take(&mut self.out)
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn note(&mut self, text: String) {
        self.out.push(Output::Note { text });
    }
}
