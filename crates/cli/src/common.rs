//! What several commands need: settings, traces, the store, and the line that says where a process
//! listens.

use crate::exit::{could_not_run, invalid, CommandError};
use grebecleat_catalog_service::{group_commit::GroupCommit, store::StoreContents};
use grebecleat_settings::Settings;
use grebecleat_testbed::rehearse;
use grebecleat_wire::{pb, trace::Tracer};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Revisions of the audit log that a store keeps.
const MAX_AUDIT_LOG: u64 = 100_000;

pub fn load(file: &Path) -> Result<Settings, CommandError> {
    Settings::load(file).map_err(|faults| {
        CommandError::InvalidInput(faults.iter().map(|fault| fault.to_string()).collect())
    })
}

pub fn tracer(path: Option<PathBuf>, hello: pb::Hello) -> Result<Tracer, CommandError> {
    let Some(path) = path else {
        return Ok(Tracer::default());
    };
    Tracer::create(&path, rehearse::MAX_TRACE, hello)
        .map_err(|error| could_not_run(format!("cannot record to {}: {error}", path.display())))
}

/// Prints the one line on standard output by which whoever started the process learns where it
/// listens.
pub fn print_listening(address: impl std::fmt::Display) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "listening {address}").and_then(|()| out.flush());
}

pub fn open_store(path: &Path) -> Result<(GroupCommit, StoreContents), CommandError> {
    GroupCommit::open(path, MAX_AUDIT_LOG)
        .map_err(|error| could_not_run(format!("store {}: {error}", path.display())))
}

/// An address given as an option, else the one of the settings.
pub fn address(
    given: Option<SocketAddr>,
    in_settings: Option<SocketAddr>,
    option: &str,
) -> Result<SocketAddr, CommandError> {
    given
        .or(in_settings)
        .ok_or_else(|| invalid(format!("{option}: neither given nor in the settings")))
}
