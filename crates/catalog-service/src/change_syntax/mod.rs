//! The text form of changes, which operators type and read.
//!
//! One change is one line. It names the subject, and then the subject's new value:
//!
//! ```text
//! plan basic limit=20 burst=40 slack=5      omitted fields keep their values
//! plan basic drop
//! volume 103 plan=priority hosts=h1,h2      a new volume needs plan, hosts, cells and blocks
//! volume 103 retire
//! node 5 name=box5.example.org zone=room-a cell=5 capacity=120
//! node 5 drop
//! drain box5.example.org within=10m         nothing new goes there, until it is empty
//! drain 5 queued                            the same, once admission allows it
//! drain 5 out                               the node is removed
//! undrain 5                                 the node returns, or its drain is cancelled
//! target iqn.2026-12.org.example:x volumes=1,2
//! target iqn.2026-12.org.example:x drop
//! timed 4 off                               cancels a scheduled change
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
