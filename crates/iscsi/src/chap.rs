//! CHAP (RFC 1994), as iSCSI uses it in the security stage (RFC 7143, section 12.1.3).
//!
//! The response is the hash over the identifier, the secret and the challenge. Secrets of under 12
//! bytes are refused (section 9.2.1: at least 96 bits of randomness). A target that authenticates
//! itself must not answer with a secret that the initiator could have used to be answered its own
//! challenge: reflections are refused.

use md5::Md5;
use sha2::{Digest, Sha256};

pub const LEAST_SECRET: usize = 12;
/// The most that a CHAP value may hold (section 12.1.3).
pub const MAX_VALUE: usize = 1024;

/// Algorithms by their CHAP_A numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Algorithm {
    Md5 = 5,
    Sha256 = 7,
}

impl Algorithm {
    /// The first of an initiator's list that we have; it lists what it prefers first.
    ///
    /// ```
    /// use grebecleat_iscsi::chap::Algorithm;
    /// assert_eq!(Algorithm::choose("7,5"), Some(Algorithm::Sha256));
    /// assert_eq!(Algorithm::choose("6,5"), Some(Algorithm::Md5));
    /// assert_eq!(Algorithm::choose("6"), None);
    /// ```
    pub fn choose(list: &str) -> Option<Algorithm> {
        list.split(',').find_map(|a| match a.trim() {
            "5" => Some(Algorithm::Md5),
            "7" => Some(Algorithm::Sha256),
            _ => None,
        })
    }

    /// What proves the knowledge of a secret to who sent the challenge.
    pub fn response(self, id: u8, secret: &[u8], challenge: &[u8]) -> Vec<u8> {
        let all = [&[id], secret, challenge].concat();
        match self {
            Algorithm::Md5 => Md5::digest(all).to_vec(),
            Algorithm::Sha256 => Sha256::digest(all).to_vec(),
        }
    }
}

/// Compares without telling by its time where the two differ.
pub fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |d, (x, y)| d | (x ^ y)) == 0
}

/// Binary values as text: hex with 0x, or base64 with 0b (section 6.1).
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
    let (kind, rest) = text.split_at_checked(2)?;
    match kind {
        "0x" | "0X" if rest.len().is_multiple_of(2) && rest.is_ascii() => (0..rest.len())
            .step_by(2)
            .map(|i| u8::from_str_radix(&rest[i..i + 2], 16).ok())
            .collect(),
        "0b" | "0B" => {
            base64::Engine::decode(&base64::engine::general_purpose::STANDARD, rest).ok()
        }
        _ => None,
    }
}

pub fn to_text(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold("0x".to_string(), |t, b| t + &format!("{b:02x}"))
}
