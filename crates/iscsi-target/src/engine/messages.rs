//! What the engine takes and gives: inputs, outputs, and the facts about volumes and targets.
//!
//! The portal makes inputs of PDUs, of the host's answers and of the store's acknowledgements, and
//! carries the outputs out in their order. Plain data, without behaviour.

use crate::blocks::RequestOutcome;
use bytes::Bytes;
use grebecleat_catalog_service::extents::Extents;
use grebecleat_iscsi::pdu::{Digests, Pdu, PduError};
use grebecleat_iscsi::scsi::Unit;

/// A connection, by the number that the portal gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnNo(pub u64);

/// A request of a command, by its number in this engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// An event for the engine.
#[derive(Debug)]
pub enum Input {
    /// A connection was accepted.
    ConnectionOpened {
        /// Its number, not used before.
        conn: ConnNo,
    },
    /// A connection's reader has a PDU, or bytes that are none.
    Pdu {
        /// The connection that it came on.
        conn: ConnNo,
        /// The PDU, or what is wrong with the bytes.
        read: Result<Pdu, PduError>,
    },
    /// A connection is closed, by either side.
    ConnectionClosed {
        /// Its number, which is not used again.
        conn: ConnNo,
    },
    /// The host's final answer to a request.
    RequestFinished {
        /// The request.
        no: RequestNumber,
        /// What became of it.
        outcome: RequestOutcome,
        /// The shard that holds the data, if the request was completed.
        shard: Option<u32>,
    },
    /// The place of an extent is durable, after [`Output::PersistPlacement`].
    PlacementPersisted {
        /// The request that wrote the extent first.
        no: RequestNumber,
    },
    /// A ceiling of versions is durable, after [`Output::PersistCeiling`].
    CeilingPersisted {
        /// The ceiling; versions below it may be used.
        ceiling: u64,
    },
    /// The store failed for good: nothing can be persisted any more.
    StoreFailed,
}

/// A read or write inside one extent, for the host.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its number, unique within the engine.
    pub no: RequestNumber,
    /// The volume's id.
    pub volume: u64,
    /// The extent's index in the volume.
    pub extent: u64,
    /// The shard of the extent; none while the extent was never written: any node may take it.
    pub shard: Option<u32>,
    /// Whether it writes.
    pub write: bool,
    /// First byte within the extent.
    pub offset: u32,
    /// Bytes that it reads or writes.
    pub length: u32,
    /// Data of a write; empty for a read.
    pub data: Bytes,
    /// Version of a write, above those of all writes before; none for a read.
    pub version: Option<u64>,
}

/// An action that the engine asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a PDU.
    Send {
        /// The connection to send on.
        conn: ConnNo,
        /// The PDU.
        pdu: Pdu,
        /// The digests to send it with.
        digests: Digests,
    },
    /// From here on the connection's reader expects these.
    SetReader {
        /// The connection.
        conn: ConnNo,
        /// Digests of the PDUs that it receives.
        digests: Digests,
        /// Longest data segment, in bytes.
        max_data: usize,
    },
    /// Close a connection behind what was sent on it.
    Close {
        /// The connection.
        conn: ConnNo,
    },
    /// Submit a request to the host.
    Submit(Request),
    /// Persist the place of an extent; acknowledged by [`Input::PlacementPersisted`].
    PersistPlacement {
        /// The request that wrote the extent first.
        no: RequestNumber,
        /// The volume's id.
        volume: u64,
        /// The extent's index in the volume.
        extent: u64,
        /// The shard that holds it.
        shard: u32,
    },
    /// Persist a ceiling of versions; acknowledged by [`Input::CeilingPersisted`].
    PersistCeiling {
        /// The ceiling.
        ceiling: u64,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}

/// A volume as a logical unit.
#[derive(Debug, Clone)]
pub struct VolumeFacts {
    /// The volume's id.
    pub volume: u64,
    /// What SCSI commands learn about it.
    pub unit: Unit,
    /// Blocks of one extent.
    pub extent_blocks: u32,
    /// Places of its extents, as they were persisted.
    pub placed: Extents,
}

/// A target and its logical units.
#[derive(Debug, Clone)]
pub struct TargetFacts {
    /// Its iSCSI name.
    pub name: String,
    /// LUN 0, 1, ...: indices into the list of volumes.
    pub luns: Vec<usize>,
}
