//! Text keys and their negotiation (RFC 7143, sections 6.1, 6.2 and 13).
//!
//! [`TABLE`] stands beside section 13: for each key its kind, its range, its result function and
//! where it may be used. [`Negotiation`] answers an initiator's offers by that table and keeps what
//! is agreed.

use std::collections::BTreeSet;
use std::fmt;

/// Longest key name (section 6.1), and longest value but for the ones that say otherwise.
pub const MAX_NAME: usize = 63;
pub const MAX_VALUE: usize = 255;
/// All text of one negotiation step that we take, over however many PDUs with the C bit.
pub const MAX_TEXT: usize = 16 << 10;

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyFault {
    /// No `key=value`, an overlong name or value, or too much text.
    Format(String),
    /// Offered a second time in one negotiation (section 6.2: a protocol error).
    Again(String),
    /// A value that the key cannot have, or a key that cannot be used here.
    Value {
        key: String,
        value: String,
        expected: String,
    },
}

impl fmt::Display for KeyFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyFault::Format(what) => write!(f, "{what}"),
            KeyFault::Again(key) => write!(f, "{key} stands a second time"),
            KeyFault::Value {
                key,
                value,
                expected,
            } => {
                write!(f, "{key}: expected {expected}, found {value}")
            }
        }
    }
}

impl std::error::Error for KeyFault {}

/// The pairs of a data segment.
///
/// ```
/// use grebecleat_iscsi::keys::parse;
/// let pairs = parse(b"SessionType=Normal\0MaxConnections=0x4\0").unwrap();
/// assert_eq!(pairs[1], ("MaxConnections".to_string(), "0x4".to_string()));
/// assert!(parse(b"SessionType\0").is_err() && parse(&[b'a'; 65_536]).is_err());
/// assert_eq!(parse(b"").unwrap(), []);
/// ```
pub fn parse(text: &[u8]) -> Result<Vec<(String, String)>, KeyFault> {
    if text.len() > MAX_TEXT {
        return Err(KeyFault::Format(format!(
            "{} bytes of text, at most {MAX_TEXT}",
            text.len()
        )));
    }
    let parts = text.split(|b| *b == 0).filter(|p| !p.is_empty());
    parts
        .map(|part| {
            let part =
                std::str::from_utf8(part).map_err(|_| KeyFault::Format("not UTF-8".into()))?;
            let (key, value) = part
                .split_once('=')
                .ok_or(KeyFault::Format("a key without '='".into()))?;
            let long = value.len() > MAX_VALUE && !key.starts_with("CHAP_");
            if key.is_empty()
                || key.len() > MAX_NAME
                || long
                || value.len() > 2 * crate::chap::MAX_VALUE + 2
            {
                return Err(KeyFault::Format(format!(
                    "key or value too long: {:.20}",
                    key
                )));
            }
            Ok((key.to_string(), value.to_string()))
        })
        .collect()
}

pub fn format(pairs: &[(String, String)]) -> Vec<u8> {
    let mut text = Vec::new();
    for (key, value) in pairs {
        text.extend_from_slice(key.as_bytes());
        text.push(b'=');
        text.extend_from_slice(value.as_bytes());
        text.push(0);
    }
    text
}

/// How a key's value comes about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Said by one side, not answered.
    Declares {
        least: u32,
        most: u32,
    },
    DeclaresText,
    Minimum {
        least: u32,
        most: u32,
    },
    Maximum {
        least: u32,
        most: u32,
    },
    /// Yes only if both say so.
    And,
    /// Yes if either says so.
    Or,
    /// The first of the offered list that the answering side has.
    FirstOf(&'static [&'static str]),
    /// Of older versions, and always declined.
    Obsolete(&'static str),
}

/// Where a key may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// Only in the leading login, for the whole session (LO).
    Leading,
    /// Only in logins (IO).
    Login,
    /// At any time (ALL).
    Any,
}

pub struct Key {
    pub name: &'static str,
    pub kind: Kind,
    pub at: Use,
    /// Means nothing in a discovery session, and is answered Irrelevant there.
    pub normal_only: bool,
    pub section: &'static str,
}

const MAX_LENGTH: u32 = (1 << 24) - 1;
const DIGESTS: &[&str] = &["CRC32C", "None"];

const fn key(
    name: &'static str,
    kind: Kind,
    at: Use,
    normal_only: bool,
    section: &'static str,
) -> Key {
    Key {
        name,
        kind,
        at,
        normal_only,
        section,
    }
}

/// Section 13, key by key.
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
            least: 1,
            most: 65_535,
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
            least: 512,
            most: MAX_LENGTH,
        },
        Use::Any,
        false,
        "13.12",
    ),
    key(
        "MaxBurstLength",
        Kind::Minimum {
            least: 512,
            most: MAX_LENGTH,
        },
        Use::Leading,
        true,
        "13.13",
    ),
    key(
        "FirstBurstLength",
        Kind::Minimum {
            least: 512,
            most: MAX_LENGTH,
        },
        Use::Leading,
        true,
        "13.14",
    ),
    key(
        "DefaultTime2Wait",
        Kind::Maximum {
            least: 0,
            most: 3600,
        },
        Use::Leading,
        false,
        "13.15",
    ),
    key(
        "DefaultTime2Retain",
        Kind::Minimum {
            least: 0,
            most: 3600,
        },
        Use::Leading,
        false,
        "13.16",
    ),
    key(
        "MaxOutstandingR2T",
        Kind::Minimum {
            least: 1,
            most: 65_535,
        },
        Use::Leading,
        true,
        "13.17",
    ),
    key("DataPDUInOrder", Kind::Or, Use::Leading, true, "13.18"),
    key("DataSequenceInOrder", Kind::Or, Use::Leading, true, "13.19"),
    key(
        "ErrorRecoveryLevel",
        Kind::Minimum { least: 0, most: 2 },
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
        Kind::Minimum { least: 0, most: 31 },
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

/// What a connection and its session work by; the defaults are the standard's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Params {
    pub header_digest: bool,
    pub data_digest: bool,
    pub max_connections: u32,
    pub initial_r2t: bool,
    pub immediate_data: bool,
    /// What the other side takes in one data segment.
    pub their_segment: u32,
    pub max_burst: u32,
    pub first_burst: u32,
    pub time2wait: u32,
    pub time2retain: u32,
    pub max_outstanding_r2t: u32,
    pub pdu_in_order: bool,
    pub sequence_in_order: bool,
    pub recovery_level: u32,
    /// From 2 on, responses carry a status qualifier (RFC 7144).
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
            their_segment: 8192,
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

/// What this side wants of each key, and takes at most.
#[derive(Debug, Clone)]
pub struct Wishes {
    pub digests: bool,
    pub params: Params,
    pub our_segment: u32,
}

impl Default for Wishes {
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
        Wishes {
            digests: true,
            params,
            our_segment: 256 << 10,
        }
    }
}

/// One side's answers to the other's offers, over one login or text negotiation.
#[derive(Debug)]
pub struct Negotiation {
    wishes: Wishes,
    pub agreed: Params,
    pub discovery: bool,
    /// The login that makes the session.
    leading: bool,
    login: bool,
    seen: BTreeSet<String>,
}

fn number(text: &str) -> Option<u32> {
    match text.strip_prefix("0x").or(text.strip_prefix("0X")) {
        Some(hex) => u32::from_str_radix(hex, 16).ok(),
        None => text.parse().ok(),
    }
}

fn yes(text: &str) -> Option<bool> {
    match text {
        "Yes" => Some(true),
        "No" => Some(false),
        _ => None,
    }
}

impl Negotiation {
    pub fn new(wishes: Wishes, agreed: Params, login: bool, leading: bool) -> Self {
        Negotiation {
            wishes,
            agreed,
            discovery: false,
            leading,
            login,
            seen: BTreeSet::new(),
        }
    }

    /// Answers one offered pair: what to send back, if anything is due. Reserved words in answer to
    /// an offer of ours are for whoever made the offer, not for here.
    pub fn offer(&mut self, name: &str, value: &str) -> Result<Option<(String, String)>, KeyFault> {
        let said = |v: &str| Ok(Some((name.to_string(), v.to_string())));
        if !self.seen.insert(name.to_string()) {
            return Err(KeyFault::Again(name.into()));
        }
        let Some(key) = TABLE.iter().find(|k| k.name == name) else {
            return said("NotUnderstood");
        };
        let bad = |expected: String| {
            Err(KeyFault::Value {
                key: name.into(),
                value: format!("{value:.40}"),
                expected,
            })
        };
        match key.at {
            Use::Leading if !self.leading => return bad("only in a session's first login".into()),
            Use::Login if !self.login => return bad("only in a login".into()),
            _ => {}
        }
        if key.normal_only && self.discovery {
            return said("Irrelevant");
        }
        let ranged = |least: u32, most: u32| number(value).filter(|n| (least..=most).contains(n));
        match key.kind {
            Kind::DeclaresText => Ok(None),
            Kind::Obsolete(answer) => said(answer),
            Kind::Declares { least, most } => match ranged(least, most) {
                Some(n) => {
                    self.agreed.their_segment = n;
                    Ok(None)
                }
                None => bad(format!("a number from {least} to {most}")),
            },
            Kind::Minimum { least, most } | Kind::Maximum { least, most } => {
                // Out of range is answered Reject, and the default stays (section 6.2.2).
                let Some(theirs) = ranged(least, most) else {
                    return said("Reject");
                };
                let (ours, at) = self.figure(name);
                let wish = if matches!(key.kind, Kind::Minimum { .. }) {
                    ours.min(theirs)
                } else {
                    ours.max(theirs)
                };
                *at(&mut self.agreed) = wish;
                self.agreed.first_burst = self.agreed.first_burst.min(self.agreed.max_burst);
                said(&wish.to_string())
            }
            Kind::And | Kind::Or => {
                let Some(theirs) = yes(value) else {
                    return said("Reject");
                };
                let (ours, at) = self.choice(name);
                let wish = if key.kind == Kind::And {
                    ours && theirs
                } else {
                    ours || theirs
                };
                *at(&mut self.agreed) = wish;
                said(if wish { "Yes" } else { "No" })
            }
            Kind::FirstOf(known) => {
                let have = |o: &&str| known.contains(o) && (*o != "CRC32C" || self.wishes.digests);
                let Some(first) = value.split(',').find(have) else {
                    return said("Reject");
                };
                let on = first == "CRC32C";
                match name {
                    "HeaderDigest" => self.agreed.header_digest = on,
                    "DataDigest" => self.agreed.data_digest = on,
                    _ => {}
                }
                said(first)
            }
        }
    }

    fn figure(&self, name: &str) -> (u32, fn(&mut Params) -> &mut u32) {
        let at: fn(&mut Params) -> &mut u32 = match name {
            "MaxConnections" => |p| &mut p.max_connections,
            "MaxBurstLength" => |p| &mut p.max_burst,
            "FirstBurstLength" => |p| &mut p.first_burst,
            "DefaultTime2Wait" => |p| &mut p.time2wait,
            "DefaultTime2Retain" => |p| &mut p.time2retain,
            "MaxOutstandingR2T" => |p| &mut p.max_outstanding_r2t,
            "iSCSIProtocolLevel" => |p| &mut p.protocol_level,
            _ => |p| &mut p.recovery_level,
        };
        (*at(&mut self.wishes.params.clone()), at)
    }

    fn choice(&self, name: &str) -> (bool, fn(&mut Params) -> &mut bool) {
        let at: fn(&mut Params) -> &mut bool = match name {
            "InitialR2T" => |p| &mut p.initial_r2t,
            "ImmediateData" => |p| &mut p.immediate_data,
            "DataPDUInOrder" => |p| &mut p.pdu_in_order,
            _ => |p| &mut p.sequence_in_order,
        };
        (*at(&mut self.wishes.params.clone()), at)
    }

    /// What we declare without being asked, once in a login.
    pub fn declarations(&self) -> Vec<(String, String)> {
        vec![(
            "MaxRecvDataSegmentLength".into(),
            self.wishes.our_segment.to_string(),
        )]
    }
}
