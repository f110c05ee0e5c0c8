//! The keys of RFC 7143, section 13, as a table. No state and no I/O.

/// The rule that determines a key's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// One side declares a number; the other does not answer.
    Declares {
        /// The least permitted number.
        min_value: u32,
        /// The greatest permitted number.
        max_value: u32,
    },
    /// One side declares a text; the other does not answer.
    DeclaresText,
    /// The result is the smaller of both sides' numbers.
    Minimum {
        /// The least permitted number.
        min_value: u32,
        /// The greatest permitted number.
        max_value: u32,
    },
    /// The result is the larger of both sides' numbers.
    Maximum {
        /// The least permitted number.
        min_value: u32,
        /// The greatest permitted number.
        max_value: u32,
    },
    /// The result is Yes if both sides send Yes.
    And,
    /// The result is Yes if either side sends Yes.
    Or,
    /// The result is the first value of the offered list that the answering side supports.
    FirstOf(&'static [&'static str]),
    /// A key of former versions of the standard. It is always answered with this text.
    Obsolete(&'static str),
}

/// The phase that permits a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// The leading login alone; the value holds for the session (LO).
    Leading,
    /// Every login (IO).
    Login,
    /// Every phase (ALL).
    Any,
}

/// One key of section 13.
pub struct Key {
    /// The key's name.
    pub name: &'static str,
    /// The rule that determines the value.
    pub kind: Kind,
    /// The phase that permits the key.
    pub phase: Use,
    /// The key has no meaning in a discovery session and is answered Irrelevant there.
    pub normal_only: bool,
    /// The section of RFC 7143, or another standard's.
    pub section: &'static str,
}

/// The maximum of the keys for data lengths, in bytes: the range of DataSegmentLength. The standard
/// fixes it.
const MAX_LENGTH: u32 = (1 << 24) - 1;
/// The values of the digest keys.
const DIGESTS: &[&str] = &["CRC32C", "None"];

const fn key(
    name: &'static str,
    kind: Kind,
    phase: Use,
    normal_only: bool,
    section: &'static str,
) -> Key {
    Key {
        name,
        kind,
        phase,
        normal_only,
        section,
    }
}

/// The keys of section 13.
pub const TABLE: &[Key] = &[
    key(
        "HeaderDigest",
        Kind::FirstOf(DIGESTS),
        Use::Login,
        false,
        "13.1",
    ),
    key(
        "DataDigest",
        Kind::FirstOf(DIGESTS),
        Use::Login,
        false,
        "13.1",
    ),
    key(
        "MaxConnections",
        Kind::Minimum {
            min_value: 1,
            max_value: 65_535,
        },
        Use::Leading,
        true,
        "13.2",
    ),
    key("TargetName", Kind::DeclaresText, Use::Login, false, "13.4"),
    key(
        "InitiatorName",
        Kind::DeclaresText,
        Use::Login,
        false,
        "13.5",
    ),
    key("TargetAlias", Kind::DeclaresText, Use::Any, false, "13.6"),
    key(
        "InitiatorAlias",
        Kind::DeclaresText,
        Use::Any,
        false,
        "13.7",
    ),
    key("TargetAddress", Kind::DeclaresText, Use::Any, false, "13.8"),
    key(
        "TargetPortalGroupTag",
        Kind::DeclaresText,
        Use::Login,
        false,
        "13.9",
    ),
    key("InitialR2T", Kind::Or, Use::Leading, true, "13.10"),
    key("ImmediateData", Kind::And, Use::Leading, true, "13.11"),
    key(
        "MaxRecvDataSegmentLength",
        Kind::Declares {
            min_value: 512,
            max_value: MAX_LENGTH,
        },
        Use::Any,
        false,
        "13.12",
    ),
    key(
        "MaxBurstLength",
        Kind::Minimum {
            min_value: 512,
            max_value: MAX_LENGTH,
        },
        Use::Leading,
        true,
        "13.13",
    ),
    key(
        "FirstBurstLength",
        Kind::Minimum {
            min_value: 512,
            max_value: MAX_LENGTH,
        },
        Use::Leading,
        true,
        "13.14",
    ),
    key(
        "DefaultTime2Wait",
        Kind::Maximum {
            min_value: 0,
            max_value: 3600,
        },
        Use::Leading,
        false,
        "13.15",
    ),
    key(
        "DefaultTime2Retain",
        Kind::Minimum {
            min_value: 0,
            max_value: 3600,
        },
        Use::Leading,
        false,
        "13.16",
    ),
    key(
        "MaxOutstandingR2T",
        Kind::Minimum {
            min_value: 1,
            max_value: 65_535,
        },
        Use::Leading,
        true,
        "13.17",
    ),
    key("DataPDUInOrder", Kind::Or, Use::Leading, true, "13.18"),
    key("DataSequenceInOrder", Kind::Or, Use::Leading, true, "13.19"),
    key(
        "ErrorRecoveryLevel",
        Kind::Minimum {
            min_value: 0,
            max_value: 2,
        },
        Use::Leading,
        false,
        "13.20",
    ),
    key(
        "SessionType",
        Kind::DeclaresText,
        Use::Leading,
        false,
        "13.21",
    ),
    key("IFMarker", Kind::Obsolete("No"), Use::Login, false, "13.25"),
    key("OFMarker", Kind::Obsolete("No"), Use::Login, false, "13.25"),
    key(
        "IFMarkInt",
        Kind::Obsolete("Reject"),
        Use::Login,
        false,
        "13.25",
    ),
    key(
        "OFMarkInt",
        Kind::Obsolete("Reject"),
        Use::Login,
        false,
        "13.25",
    ),
    key(
        "iSCSIProtocolLevel",
        Kind::Minimum {
            min_value: 0,
            max_value: 31,
        },
        Use::Leading,
        true,
        "RFC 7144, 7.1.1",
    ),
    key(
        "TaskReporting",
        Kind::FirstOf(&["RFC3720"]),
        Use::Leading,
        true,
        "13.23",
    ),
];
