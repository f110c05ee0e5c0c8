//! Encodes changes and revisions as protobuf messages, for the store and for the wire, and decodes
//! them.
//!
//! A message may be damaged or forged. Decoding returns the [`DecodeError`] of the first invalid
//! value, and accepts no part of the message. No state, no I/O.

mod decode;
mod encode;

pub use decode::{change_from_proto, changes_from_proto, revision_from_proto, DecodeError};
pub use encode::{change_to_proto, revision_to_proto};
