//! Functions shared by several commands: loading settings, opening traces and stores, and printing the
//! ready line.

use crate::exit::{could_not_run, invalid, CommandError};
use grebecleat_catalog_service::{group_commit::GroupCommit, store::StoreContents};
use grebecleat_settings::Settings;
use grebecleat_testbed::scenario;
use grebecleat_wire::{pb, trace::Tracer};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Number of audit log entries that a store retains. A larger number costs more memory when a process
/// starts; a smaller one shortens the history that operators can look up.
const MAX_AUDIT_LOG: u64 = 100_000;

/// Loads a settings file; the error lists each fault with its location.
pub fn load(file: &Path) -> Result<Settings, CommandError> {
    Settings::load(file).map_err(|faults| {
        CommandError::InvalidInput(faults.iter().map(|fault| fault.to_string()).collect())
    })
}

/// Opens the trace file of a process. Without a path, the tracer records nothing.
pub fn tracer(path: Option<PathBuf>, hello: pb::Hello) -> Result<Tracer, CommandError> {
    let Some(path) = path else {
        return Ok(Tracer::default());
    };
    Tracer::create(&path, scenario::MAX_TRACE, hello)
        .map_err(|error| could_not_run(format!("cannot record to {}: {error}", path.display())))
}

/// Prints the ready line on standard output: the address on which the process listens. The process
/// that started this one waits for it.
pub fn print_listening(address: impl std::fmt::Display) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "listening {address}").and_then(|()| out.flush());
}

/// Opens a store and its group-commit writer.
pub fn open_store(path: &Path) -> Result<(GroupCommit, StoreContents), CommandError> {
    GroupCommit::open(path, MAX_AUDIT_LOG)
        .map_err(|error| could_not_run(format!("store {}: {error}", path.display())))
}

/// Returns the address given on the command line, or else the one from the settings.
pub fn address(
    given: Option<SocketAddr>,
    in_settings: Option<SocketAddr>,
    option: &str,
) -> Result<SocketAddr, CommandError> {
    given
        .or(in_settings)
        .ok_or_else(|| invalid(format!("{option}: neither given nor in the settings")))
}
