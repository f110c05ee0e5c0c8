//! Errors that prevent a check: faults of the traces, not violations of the rules.

use thiserror::Error;

/// Reason why traces cannot be checked.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CheckError {
    /// A trace does not begin with the record of its process.
    #[error("a trace names no writer")]
    NoWriter,
    /// A trace reached its bound and is incomplete.
    #[error("the trace of {process} was cut at its bound: nothing can be judged")]
    Truncated {
        /// Name of the process that wrote the trace.
        process: String,
    },
}
