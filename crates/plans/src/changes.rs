//! The former path of the catalog's types and of the catalog itself.
//!
//! Re-exported until crates/state names the new path.

pub use crate::catalog::Catalog;
pub use crate::change::{Change, ChangeContext, Revision, ScheduledChange, Subject};
pub use crate::errors::{ChangeError, InvalidValue, OutOfOrder};
pub use crate::records::{Deployment, Drain, Name, Node, Plan, Stage, Version, Volume};
