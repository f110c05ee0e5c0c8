//! Errors that end a command, and their exit codes.

use std::process::ExitCode;

/// The reason why a command did not succeed.
pub enum CommandError {
    /// The command ran, but its check failed or the change was rejected.
    CheckFailed,
    /// Arguments or a settings file are invalid; nothing was started. Holds the lines to print.
    InvalidInput(Vec<String>),
    /// The operating system, or a service that the command needs, prevented it from running.
    CouldNotRun(String),
}

/// Exit code of [`CommandError::CheckFailed`].
const CHECK_FAILED: u8 = 1;
/// Exit code of [`CommandError::InvalidInput`].
const INVALID_INPUT: u8 = 2;
/// Exit code of [`CommandError::CouldNotRun`].
pub const COULD_NOT_RUN: u8 = 3;

/// Returns an error for invalid arguments or settings.
pub fn invalid(message: impl std::fmt::Display) -> CommandError {
    CommandError::InvalidInput(vec![format!("grebecleat: {message}")])
}

/// Returns an error that prevented the command from running.
pub fn could_not_run(error: impl std::fmt::Display) -> CommandError {
    CommandError::CouldNotRun(error.to_string())
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> Self {
        could_not_run(error)
    }
}

/// Prints the error of a failed command, and returns the exit code.
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
