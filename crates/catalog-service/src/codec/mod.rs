//! Changes and revisions as protobuf messages, for the store and for the wire, and back.
//!
//! What is decoded may be damaged or forged: everything that makes no sense is a [`DecodeError`]
//! with its place, and nothing of the message is accepted. No state, no I/O.

mod decode;
mod encode;

pub use decode::{change_from_proto, changes_from_proto, revision_from_proto, DecodeError};
pub use encode::{change_to_proto, revision_to_proto};
