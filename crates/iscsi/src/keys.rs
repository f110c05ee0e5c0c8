//! Text keys and their negotiation (RFC 7143, sections 6.1, 6.2 and 13).
//!
//! [`TABLE`] corresponds to section 13: for each key its kind, its range, its result function and
//! where it is permitted. [`Negotiation`] answers an initiator's offers by that table and owns the
//! agreed [`Params`]. [`crate::login`] and [`crate::session`] call this module. Memory: one
//! negotiation step takes [`MAX_TEXT`] bytes of text. No I/O.

mod negotiation;
mod params;
mod table;

pub use negotiation::Negotiation;
pub use params::{Params, Preferences};
pub use table::{Key, Kind, Use, TABLE};

/// The maximum length of a key name, in bytes (section 6.1). A smaller bound rejects valid keys; a
/// larger one accepts names that the standard forbids.
pub const MAX_NAME: usize = 63;

/// The maximum length of a value, in bytes, except for CHAP values (section 6.1). A smaller bound
/// rejects valid values; a larger one accepts values that the standard forbids.
pub const MAX_VALUE: usize = 255;

/// The maximum text of one negotiation step, in bytes, over all PDUs with the C bit. A larger bound
/// lets a peer occupy more memory; a smaller one rejects long negotiations.
pub const MAX_TEXT: usize = 16 << 10;

/// The reason why text or an offer is a protocol error.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The text exceeds [`MAX_TEXT`].
    #[error("text of {length} bytes, expected at most {MAX_TEXT}")]
    TextTooLong {
        /// The length of the text, in bytes.
        length: usize,
    },
    /// A pair is not UTF-8.
    #[error("text of a key-value pair is not UTF-8")]
    NotUtf8,
    /// A pair has no `=`.
    #[error("key-value pair without '='")]
    NoEqualsSign,
    /// The name or the value of this key is too long.
    #[error("key or value too long: {0:.20}")]
    PairTooLong(String),
    /// The key is offered a second time in one negotiation (section 6.2).
    #[error("{0} is offered a second time")]
    Duplicate(String),
    /// The key cannot have this value, or is not permitted here.
    #[error("{key}: expected {expected}, found {value}")]
    Value {
        /// The key's name.
        key: String,
        /// The start of the value.
        value: String,
        /// The permitted values or the permitted use.
        expected: String,
    },
}

/// Splits the text of a data segment into its key-value pairs.
///
/// ```
/// use grebecleat_iscsi::keys::parse;
/// let pairs = parse(b"SessionType=Normal\0MaxConnections=0x4\0").unwrap();
/// assert_eq!(pairs[1], ("MaxConnections".to_string(), "0x4".to_string()));
/// assert!(parse(b"SessionType\0").is_err() && parse(&[b'a'; 65_536]).is_err());
/// assert_eq!(parse(b"").unwrap(), []);
/// ```
pub fn parse(text: &[u8]) -> Result<Vec<(String, String)>, KeyError> {
    if text.len() > MAX_TEXT {
        return Err(KeyError::TextTooLong { length: text.len() });
    }
    let parts = text
        .split(|byte| *byte == 0)
        .filter(|part| !part.is_empty());
    parts
        .map(|part| {
            let part = std::str::from_utf8(part).map_err(|_| KeyError::NotUtf8)?;
            let (key, value) = part.split_once('=').ok_or(KeyError::NoEqualsSign)?;
            let is_long = value.len() > MAX_VALUE && !key.starts_with("CHAP_");
            if key.is_empty()
                || key.len() > MAX_NAME
                || is_long
                || value.len() > 2 * crate::chap::MAX_VALUE + 2
            {
                return Err(KeyError::PairTooLong(key.to_string()));
            }
            Ok((key.to_string(), value.to_string()))
        })
        .collect()
}

/// Encodes pairs as the text of a data segment.
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
