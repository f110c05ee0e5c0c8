//! The error of a scenario that could not run to its end.

use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why a scenario could not run to its end.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The script declares no scenario.
    #[error("the script has no rehearsal()")]
    NoScenario,
    /// A process ended or printed something else before its ready line.
    #[error("{name} did not start; see {}", log.display())]
    NotStarted {
        /// The process's name.
        name: String,
        /// The path of its log.
        log: PathBuf,
    },
    /// A ready line has no address.
    #[error(transparent)]
    ReadyLine(#[from] AddrParseError),
    /// A signal could not be delivered.
    #[error("signal {signal} did not reach process {process}")]
    Signal {
        /// The signal's name.
        signal: &'static str,
        /// The process's id.
        process: u32,
    },
    /// A host ended with an error after it was drained.
    #[error("{name} ended with {code} when drained")]
    DrainFailed {
        /// The host's name.
        name: String,
        /// The exit code.
        code: i32,
    },
    /// A host did not end in time after it was drained.
    #[error("{name} did not end when drained")]
    DrainTimeout {
        /// The host's name.
        name: String,
    },
    /// The state service ended with an error, or not in time.
    #[error("the state service did not exit with code 0 in time after the signal TERM")]
    StateServiceExit,
    /// The restore of a snapshot failed.
    #[error("{0}")]
    Restore(
        /// The standard error of the command.
        String,
    ),
    /// A thread that injects faults panicked.
    #[error("a thread that injects faults panicked")]
    InjectorPanicked,
    /// An input or output operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<ScenarioError> for io::Error {
    fn from(error: ScenarioError) -> Self {
        match error {
            ScenarioError::Io(error) => error,
            other => io::Error::other(other),
        }
    }
}
