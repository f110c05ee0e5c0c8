//! Splits long answers into several frames.

use prost::Message;

/// Size in bytes after which an answer continues in another frame. A larger part delays other frames of the
/// connection; a smaller one costs more frames.
const PART_BYTES: usize = 128 << 10;

/// Sends records in parts of at most [`PART_BYTES`], or of one record that is larger.
///
/// `send` receives each part, and whether another part follows. Without records there is one empty
/// part.
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
