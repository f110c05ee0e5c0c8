//! Long answers in several frames.

use prost::Message;

/// Bytes after which an answer continues in another frame.
const PART_BYTES: usize = 128 << 10;

/// Sends records in parts of at most [`PART_BYTES`], or of one record that is larger.
///
/// `send` gets each part, and whether another follows. There is always at least one part, if an
/// empty one.
pub(crate) fn send_in_parts<T: Message>(
    records: impl Iterator<Item = T>,
    mut send: impl FnMut(Vec<T>, bool),
) {
    let mut part = Vec::new();
    let mut bytes = 0;
    for record in records {
        let size = record.encoded_len();
        if bytes > 0 && bytes + size > PART_BYTES {
            send(std::mem::take(&mut part), true);
            bytes = 0;
        }
        bytes += size;
        part.push(record);
    }
    send(part, false);
}
