//! Parsers for the fields of a client's request: names, numbers and the placement header.

/// Returns the index, in the settings' `names`, of the name that a client sent.
///
/// The sent bytes are compared first, and the decodings only if no name equals the sent bytes. The
/// settings may have passed the simulator's wire, which replaces spaces and commas with underscores;
/// a decoding is compared in that form only if no name equals it unchanged.
pub(super) fn position<'n>(
    names: impl Iterator<Item = &'n str> + Clone,
    sent: &[u8],
    decodings: impl FnOnce() -> Vec<String>,
) -> Option<usize> {
    let exact = names.clone().position(|name| name.as_bytes() == sent);
    if exact.is_some() {
        return exact;
    }
    let decodings = decodings();
    let matches_decoding = |name: &str| decodings.iter().any(|decoding| decoding == name.trim());
    let matches_rewritten = |name: &str| {
        decodings
            .iter()
            .any(|decoding| decoding.replace([' ', ','], "_") == name)
    };
    let decoded = names.clone().position(matches_decoding);
    decoded.or_else(|| names.clone().position(matches_rewritten))
}

/// Returns the possible decodings of a path segment: unchanged and percent-decoded.
pub(super) fn path_decodings(part: &str) -> Vec<String> {
    let mut decodings = vec![part.to_string()];
    if let Ok(decoded) = percent_encoding::percent_decode_str(part).decode_utf8() {
        decodings.push(decoded.into_owned());
    }
    decodings
}

/// Returns the possible decodings of a header's value: some clients encode non-ASCII letters in UTF-8,
/// and some in Latin-1.
pub(super) fn header_decodings(value: &[u8]) -> Vec<String> {
    let mut decodings = Vec::new();
    if let Ok(text) = String::from_utf8(value.to_vec()) {
        decodings.push(text);
    }
    decodings.push(value.iter().map(|byte| char::from(*byte)).collect());
    decodings
}

/// Maximum number of digits of a decimal number. The number times 1000 must fit into 64 bits.
const MAX_DECIMAL_DIGITS: usize = 15;

/// Parses a number that consists of decimal digits only, without sign or spaces.
pub(super) fn decimal(text: &str) -> Option<u64> {
    let is_decimal = !text.is_empty()
        && text.len() <= MAX_DECIMAL_DIGITS
        && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_decimal {
        return None;
    }
    text.parse().ok()
}

/// Parses exactly 16 hexadecimal digits.
pub(super) fn hex16(text: &str) -> Option<u64> {
    let is_hex16 = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex16 {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// The placement header of a request: where its data is stored, and its size.
pub(super) struct Placement {
    pub(super) volume: u64,
    /// Size of the request, in units.
    pub(super) units: f64,
    /// The shard that stores the data, or `None` if the data is not stored yet.
    pub(super) shard: Option<u32>,
    /// Number of hosts that the volume's clients use.
    pub(super) hosts: u32,
}

impl Placement {
    /// Parses the header. Returns `None` if a field is missing, malformed, or present twice, in which
    /// case it is unknown which value is meant.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let mut volume = None;
        let mut units = None;
        let mut shard = None;
        let mut hosts = None;
        for part in text.split(',') {
            let (name, value) = part.trim().split_once('=')?;
            let occurs_twice = match name {
                "volume" => volume.replace(hex16(value)?).is_some(),
                "units" => units.replace(value.parse::<f64>().ok()?).is_some(),
                "shard" => shard.replace(parse_shard(value)?).is_some(),
                "hosts" => hosts
                    .replace(u32::try_from(decimal(value)?).ok()?)
                    .is_some(),
                _ => false,
            };
            if occurs_twice {
                return None;
            }
        }
        Some(Placement {
            volume: volume?,
            units: units?,
            shard: shard?,
            hosts: hosts?,
        })
    }
}

/// Parses a shard. Returns `Some(None)` for -1, which means that the data is not stored yet.
fn parse_shard(value: &str) -> Option<Option<u32>> {
    if value == "-1" {
        return Some(None);
    }
    let shard = u32::try_from(decimal(value)?).ok()?;
    Some(Some(shard))
}
