//! Errors that prevent a check: faults of the traces, not violations of the rules.

use thiserror::Error;

/// Reason why traces cannot be checked.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CheckError {
    /// A trace does not begin with the record of its process.
    #[error("the first record of a trace names no process; expected the process that wrote it")]
    NoWriter,
    /// A trace reached its bound and is incomplete.
    #[error("the trace of {process} was cut at its size limit; expected a complete trace")]
    Truncated {
        /// Name of the process that wrote the trace.
        process: String,
    },
}
