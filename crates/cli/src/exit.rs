//! How a command ends beside success, and the exit code of each.

use std::process::ExitCode;

/// Why a command did not succeed.
pub enum CommandError {
    /// It ran, and what it checks does not hold.
    CheckFailed,
    /// Arguments or a settings file are wrong; nothing was started. The lines to print.
    InvalidInput(Vec<String>),
    /// The machine, or a service it needs, did not let it run.
    CouldNotRun(String),
}

const CHECK_FAILED: u8 = 1;
const INVALID_INPUT: u8 = 2;
pub const COULD_NOT_RUN: u8 = 3;

/// An error in the arguments.
pub fn invalid(message: impl std::fmt::Display) -> CommandError {
    CommandError::InvalidInput(vec![format!("grebecleat: {message}")])
}

/// An error that kept the command from running.
pub fn could_not_run(error: impl std::fmt::Display) -> CommandError {
    CommandError::CouldNotRun(error.to_string())
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> Self {
        could_not_run(error)
    }
}

/// Prints why a command did not succeed, and returns its exit code.
pub fn report(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::CheckFailed) => ExitCode::from(CHECK_FAILED),
        Err(CommandError::InvalidInput(lines)) => {
            for line in lines {
                eprintln!("{line}");
            }
            ExitCode::from(INVALID_INPUT)
        }
        Err(CommandError::CouldNotRun(reason)) => {
            eprintln!("grebecleat: {reason}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
