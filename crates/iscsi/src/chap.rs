//! CHAP (RFC 1994), as iSCSI uses it in the security stage (RFC 7143, section 12.1.3).
//!
//! The response is the hash of the identifier, the secret and the challenge. The
//! settings reject secrets of under 12 bytes (section 9.2.1: at least 96 bits of randomness). The
//! login rejects a reflected challenge: the target must not compute for an initiator the response to
//! the target's own challenge.
//!
//! [`crate::login`] calls this module. It owns no state. No I/O.

use md5::Md5;
use sha2::{Digest, Sha256};

/// The maximum length of a binary CHAP value, in bytes (section 12.1.3). A larger bound lets a peer
/// occupy more memory before it is authenticated; a smaller one rejects valid challenges.
pub const MAX_VALUE: usize = 1024;

/// The supported hash algorithms, by their CHAP_A numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Algorithm {
    /// MD5.
    Md5 = 5,
    /// SHA-256.
    Sha256 = 7,
}

impl Algorithm {
    /// Returns the first supported algorithm of an initiator's list, which is in order of preference.
    ///
    /// ```
    /// use grebecleat_iscsi::chap::Algorithm;
    /// assert_eq!(Algorithm::choose("7,5"), Some(Algorithm::Sha256));
    /// assert_eq!(Algorithm::choose("6,5"), Some(Algorithm::Md5));
    /// assert_eq!(Algorithm::choose("6"), None);
    /// ```
    pub fn choose(list: &str) -> Option<Algorithm> {
        list.split(',').find_map(|number| match number.trim() {
            "5" => Some(Algorithm::Md5),
            "7" => Some(Algorithm::Sha256),
            _ => None,
        })
    }

    /// Returns the response that proves knowledge of `secret` to the sender of `challenge`.
    pub fn response(self, id: u8, secret: &[u8], challenge: &[u8]) -> Vec<u8> {
        let input = [&[id], secret, challenge].concat();
        match self {
            Algorithm::Md5 => Md5::digest(input).to_vec(),
            Algorithm::Sha256 => Sha256::digest(input).to_vec(),
        }
    }
}

/// Returns whether two values are equal. The time depends on the lengths alone, so that it does not
/// disclose the position of the first difference.
pub fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let byte_pairs = left.iter().zip(right);
    left.len() == right.len() && byte_pairs.fold(0, |bits, (x, y)| bits | (x ^ y)) == 0
}

/// Decodes a binary value: hexadecimal after `0x` or base64 after `0b` (section 6.1). Returns None for
/// any other text.
///
/// ```
/// use grebecleat_iscsi::chap::{from_text, to_text};
/// assert_eq!(from_text("0x0aFF"), Some(vec![10, 255]));
/// assert_eq!(from_text("0bAQID"), Some(vec![1, 2, 3]));
/// assert_eq!(from_text("0xabc"), None);
/// assert_eq!(from_text("12"), None);
/// assert_eq!(to_text(&[10, 255]), "0x0aff");
/// ```
pub fn from_text(text: &str) -> Option<Vec<u8>> {
    let (prefix, rest) = text.split_at_checked(2)?;
    match prefix {
        "0x" | "0X" if rest.len().is_multiple_of(2) && rest.is_ascii() => (0..rest.len())
            .step_by(2)
            .map(|start| u8::from_str_radix(&rest[start..start + 2], 16).ok())
            .collect(),
        "0b" | "0B" => {
            base64::Engine::decode(&base64::engine::general_purpose::STANDARD, rest).ok()
        }
        _ => None,
    }
}

/// Encodes a binary value as hexadecimal text with the prefix `0x` (section 6.1).
pub fn to_text(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold("0x".to_string(), |text, byte| text + &format!("{byte:02x}"))
}
