//! Inputs and outputs of the engine, and its descriptions of volumes and targets.
//!
//! The portal turns PDUs, responses of the host and acknowledgements of the store into inputs, and
//! performs the outputs in order. These are plain data types without behaviour.

use crate::blocks::RequestOutcome;
use bytes::Bytes;
use grebecleat_catalog_service::extents::Extents;
use grebecleat_iscsi::pdu::{Digests, Pdu, PduError};
use grebecleat_iscsi::scsi::Unit;

/// Connection number, assigned by the portal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnNo(pub u64);

/// Number of a command's request within this engine.
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
    /// A connection's reader has received a PDU or malformed bytes.
    Pdu {
        /// The connection on which it was received.
        conn: ConnNo,
        /// The PDU, or the error found in the bytes.
        read: Result<Pdu, PduError>,
    },
    /// A connection was closed by either side.
    ConnectionClosed {
        /// Its number, which is not used again.
        conn: ConnNo,
    },
    /// The host's final response to a request.
    RequestFinished {
        /// The request.
        no: RequestNumber,
        /// The outcome of the request.
        outcome: RequestOutcome,
        /// The shard that holds the data, if the request was completed.
        shard: Option<u32>,
    },
    /// The placement of an extent is durable; follows [`Output::PersistPlacement`].
    PlacementPersisted {
        /// The request that wrote the extent first.
        no: RequestNumber,
    },
    /// A version ceiling is durable; follows [`Output::PersistCeiling`].
    CeilingPersisted {
        /// The ceiling; versions below it may be used.
        ceiling: u64,
    },
    /// The store failed permanently: nothing more can be persisted.
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
    /// The shard of the extent; `None` if the extent was never written, so that any node may serve
    /// it.
    pub shard: Option<u32>,
    /// Whether it writes.
    pub write: bool,
    /// First byte within the extent.
    pub offset: u32,
    /// Number of bytes to read or write.
    pub length: u32,
    /// Data of a write; empty for a read.
    pub data: Bytes,
    /// Version of a write, above those of all earlier writes; `None` for a read.
    pub version: Option<u64>,
}

/// An action that the portal must perform for the engine.
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
    /// Set what the connection's reader expects from the next PDU on.
    SetReader {
        /// The connection.
        conn: ConnNo,
        /// Digests of received PDUs.
        digests: Digests,
        /// Longest data segment, in bytes.
        max_data: usize,
    },
    /// Close a connection once the PDUs queued for it are written.
    Close {
        /// The connection.
        conn: ConnNo,
    },
    /// Submit a request to the host.
    Submit(Request),
    /// Persist the placement of an extent; acknowledged by [`Input::PlacementPersisted`].
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
    /// Persist a version ceiling; acknowledged by [`Input::CeilingPersisted`].
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
pub struct VolumeDescription {
    /// The volume's id.
    pub volume: u64,
    /// Its properties as SCSI commands report them.
    pub unit: Unit,
    /// Blocks of one extent.
    pub extent_blocks: u32,
    /// Persisted placements of its extents.
    pub placed: Extents,
}

/// A target and its logical units.
#[derive(Debug, Clone)]
pub struct TargetDescription {
    /// Its iSCSI name.
    pub name: String,
    /// Indices into the list of volumes, by LUN from 0.
    pub luns: Vec<usize>,
}
