//! The negotiated parameters and this side's preferences. No I/O.

/// The parameters of a connection and its session. The defaults are the standard's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Params {
    /// HeaderDigest is CRC32C.
    pub header_digest: bool,
    /// DataDigest is CRC32C.
    pub data_digest: bool,
    /// MaxConnections of the session.
    pub max_connections: u32,
    /// InitialR2T: the initiator sends no unsolicited Data-Out.
    pub initial_r2t: bool,
    /// ImmediateData: a command may carry data.
    pub immediate_data: bool,
    /// MaxRecvDataSegmentLength of the other side, in bytes.
    pub peer_max_segment: u32,
    /// MaxBurstLength, in bytes.
    pub max_burst: u32,
    /// FirstBurstLength, in bytes.
    pub first_burst: u32,
    /// DefaultTime2Wait, in seconds.
    pub time2wait: u32,
    /// DefaultTime2Retain, in seconds.
    pub time2retain: u32,
    /// MaxOutstandingR2T for each task.
    pub max_outstanding_r2t: u32,
    /// DataPDUInOrder.
    pub pdu_in_order: bool,
    /// DataSequenceInOrder.
    pub sequence_in_order: bool,
    /// ErrorRecoveryLevel.
    pub recovery_level: u32,
    /// iSCSIProtocolLevel. From 2 on, responses carry a status qualifier (RFC 7144).
    pub protocol_level: u32,
}

impl Default for Params {
    fn default() -> Self {
        Params {
            header_digest: false,
            data_digest: false,
            max_connections: 1,
            initial_r2t: true,
            immediate_data: true,
            peer_max_segment: 8192,
            max_burst: 262_144,
            first_burst: 65_536,
            time2wait: 2,
            time2retain: 20,
            max_outstanding_r2t: 1,
            pdu_in_order: true,
            sequence_in_order: true,
            recovery_level: 0,
            protocol_level: 1,
        }
    }
}

/// This side's preferences and bounds in a negotiation.
#[derive(Debug, Clone)]
pub struct Preferences {
    /// This side supports CRC32C digests.
    pub digests: bool,
    /// The preferred value of each parameter.
    pub params: Params,
    /// MaxRecvDataSegmentLength of this side, in bytes.
    pub own_max_segment: u32,
}

impl Default for Preferences {
    fn default() -> Self {
        let params = Params {
            max_connections: 4,
            initial_r2t: false,
            max_burst: 1 << 20,
            first_burst: 256 << 10,
            max_outstanding_r2t: 4,
            recovery_level: 1,
            protocol_level: 2,
            ..Params::default()
        };
        Preferences {
            digests: true,
            params,
            own_max_segment: 256 << 10,
        }
    }
}
