//! The change syntax: changes as operators type and read them.
//!
//! One change is one line. It has the subject, and then the subject's new value:
//!
//! ```text
//! plan basic limit=20 burst=40 slack=5      fields that are not named stay as they are
//! plan basic drop
//! volume 103 plan=priority hosts=h1,h2      a new volume needs plan, hosts, cells and blocks
//! volume 103 retire
//! node 5 name=box5.example.org zone=room-a cell=5 capacity=120
//! node 5 drop
//! drain box5.example.org within=10m         nothing new there, until it is empty
//! drain 5 queued                            the same, as soon as admission allows it
//! drain 5 out                               it is removed
//! undrain 5                                 it is returned, or its drain called off
//! target iqn.2026-12.org.example:x volumes=1,2
//! target iqn.2026-12.org.example:x drop
//! timed 4 off                               calls off a scheduled change
//! ```
//!
//! The operator's commands call it. No state, no I/O.

mod error;
mod fields;
mod format;
mod parse;
mod time;

pub use error::{SyntaxError, SyntaxFault};
pub use format::{format_change, format_differences};
pub use parse::parse_change;
pub use time::{format_time, parse_time};
