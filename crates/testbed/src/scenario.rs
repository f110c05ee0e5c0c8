//! Scenario runner: runs a scripted scenario with injected faults on the loopback interface.
//!
//! The discovery service, the nodes, the hosts and the state service are processes of this program;
//! the clients and the iSCSI initiators run in the calling process. All of them end with the
//! scenario. `grebecleat scenario` calls it. Each process records the frames of its sockets in a
//! trace in the scenario's folder; the trace checker judges the traces.
//!
//! - `process` owns one child process, `launcher` builds the command lines;
//! - `host_processes` owns the hosts' addresses and the faults between hosts and the rest;
//! - `state_service` owns the state service's process and the changes of the catalog;
//! - `runner` starts them, runs the load and shuts them down.
//!
//! Bounds: one thread for each host, each session and each group of injected faults; [`MAX_TRACE`] bytes
//! for each trace.

mod error;
mod host_processes;
mod launcher;
mod process;
mod runner;
mod state_service;

pub use error::ScenarioError;
pub use runner::{run_scenario, ScenarioResult};
pub use state_service::CatalogChangeResult;

use crate::clients::Progress;
use crate::draw::faults_of_kinds;
use grebecleat_settings::{FaultKind, Settings};
use grebecleat_wire::clock;
use std::path::{Path, PathBuf};

/// Limit on the bytes of one trace. A larger limit costs disk space; a smaller one truncates the
/// trace of a long scenario, which then cannot be checked.
pub const MAX_TRACE: u64 = 512 << 20;

/// Options of one run.
pub struct ScenarioOptions<'a> {
    /// The script's settings, with the overrides of `kinds` and `seed`.
    pub settings: &'a Settings,
    /// The path of the script, which each process reads by itself.
    pub script: &'a Path,
    /// The kinds of faults that replace the script's faults; if empty, the script's faults apply.
    pub kinds: &'a [FaultKind],
    /// The seed that replaces the script's own.
    pub seed: Option<u64>,
    /// The folder for traces, logs and stores.
    pub dir: &'a Path,
    /// The path of this program.
    pub program: &'a Path,
    /// The callback for the progress, called about once a second.
    pub progress: Progress<'a>,
}

/// Replaces the script's seed if a seed is given, and its faults if kinds of faults are given.
pub fn override_faults(settings: &mut Settings, kinds: &[FaultKind], seed: Option<u64>) {
    let Some(script) = settings.rehearsal.as_mut() else {
        return;
    };
    script.seed = seed.unwrap_or(script.seed);
    if !kinds.is_empty() {
        script.injected_faults = faults_of_kinds(kinds, script.length, script.seed);
    }
}

/// Returns the path of a new folder for a scenario's traces and logs. The folder is not created.
pub fn temporary_directory() -> PathBuf {
    let process = std::process::id();
    let now = clock::now().as_millis();
    std::env::temp_dir().join(format!("grebecleat-{process}-{now}"))
}
