//! The state service of a scenario: its process, its faults, and the scripted changes of the
//! catalog.

use super::launcher::Launcher;
use super::process::ChildProcess;
use super::ScenarioError;
use crate::draw::InjectedFault;
use grebecleat_settings::{FaultKind, ScriptedChange};
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

/// The file of the service's store in the scenario's folder.
const STORE: &str = "state.store";
/// The file of the snapshot in the scenario's folder.
const SNAPSHOT: &str = "state.kept";
/// Number of times that the operator declares the restored state authoritative. A host may report
/// its newer state late; with fewer repetitions such a host stays in conflict.
const PREVAIL_REPETITIONS: u32 = 20;
/// Wait before each repetition.
const PREVAIL_INTERVAL: Duration = Duration::from_millis(250);

/// A scripted change of the catalog, and its result.
#[derive(Debug, Clone)]
pub struct CatalogChangeResult {
    /// The time of the change since the start of the scenario.
    pub at: Duration,
    /// The change as the script states it, one statement each.
    pub words: Vec<String>,
    /// Whether the change was accepted.
    pub accepted: bool,
    /// The output of the command, its lines joined by `; `.
    pub output: String,
}

/// The state service, if the script has one. Its address is the same after a restart.
pub(super) struct StateService<'a> {
    launcher: &'a Launcher<'a>,
    address: Option<SocketAddr>,
}

impl<'a> StateService<'a> {
    pub(super) fn new(launcher: &'a Launcher<'a>, address: Option<SocketAddr>) -> Self {
        StateService { launcher, address }
    }

    /// Starts the process. `start` counts its starts and numbers its traces.
    pub(super) fn start(&self, start: u32) -> Result<Option<ChildProcess>, ScenarioError> {
        let Some(listen) = self.address else {
            return Ok(None);
        };
        let mut args = self
            .launcher
            .arguments("state-service", &format!("state-{start}"));
        args.extend(["--listen".into(), listen.to_string()]);
        args.extend(["--store".into(), self.launcher.path_argument(STORE)]);
        Ok(Some(self.launcher.start("state", &args)?.0))
    }

    /// Runs an operator's `plans` command. Returns whether it succeeded, and its output.
    fn run_plans(&self, args: &[&str]) -> Result<(bool, String), ScenarioError> {
        let address = self.address.map(|address| address.to_string());
        let output = Command::new(self.launcher.options().program)
            .args(["plans", "--at", &address.unwrap_or_default()])
            .args(args)
            .output()?;
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text).trim().replace('\n', "; ");
        Ok((output.status.success(), text))
    }

    /// Crashes and restores the service at the script's times. Returns its last process.
    pub(super) fn inject_faults(
        &self,
        mut process: Option<ChildProcess>,
        faults: &[InjectedFault],
    ) -> Result<Option<ChildProcess>, ScenarioError> {
        let kinds = [FaultKind::StateCrash, FaultKind::StateRestored];
        let mut faults: Vec<&InjectedFault> = faults
            .iter()
            .filter(|fault| kinds.contains(&fault.kind))
            .collect();
        faults.sort_by_key(|fault| fault.start);
        for (start, fault) in (1..).zip(faults) {
            self.launcher.sleep_until(fault.start);
            process = if fault.kind == FaultKind::StateCrash {
                self.crash(process, fault, start)?
            } else {
                self.restore(process, fault, start)?
            };
        }
        Ok(process)
    }

    /// Kills the process, and starts it again at the end of the fault.
    fn crash(
        &self,
        process: Option<ChildProcess>,
        fault: &InjectedFault,
        start: u32,
    ) -> Result<Option<ChildProcess>, ScenarioError> {
        drop(process);
        self.launcher.sleep_until(fault.end());
        self.start(start)
    }

    /// Takes a snapshot, and restores it at the end of the fault. Changes in between are lost. The
    /// operator then declares the restored state authoritative, since hosts know newer revisions.
    fn restore(
        &self,
        process: Option<ChildProcess>,
        fault: &InjectedFault,
        start: u32,
    ) -> Result<Option<ChildProcess>, ScenarioError> {
        let snapshot = self.launcher.path_argument(SNAPSHOT);
        let store = self.launcher.path_argument(STORE);
        self.run_plans(&["snapshot", &snapshot])?;
        self.launcher.sleep_until(fault.end());
        drop(process);
        let restored = Command::new(self.launcher.options().program)
            .args(["plans", "restore", &snapshot, &store])
            .output()?;
        if !restored.status.success() {
            let text = String::from_utf8_lossy(&restored.stderr).to_string();
            return Err(ScenarioError::Restore(text));
        }
        let process = self.start(start)?;
        for _ in 0..PREVAIL_REPETITIONS {
            std::thread::sleep(PREVAIL_INTERVAL);
            self.run_plans(&["prevail", "--why", "restored"])?;
        }
        Ok(process)
    }

    /// Applies the script's changes of the catalog at their times. Returns their results.
    pub(super) fn apply_changes(&self) -> Vec<CatalogChangeResult> {
        let script = self.launcher.options().settings.rehearsal.as_ref();
        let mut changes: Vec<&ScriptedChange> =
            script.iter().flat_map(|script| &script.changes).collect();
        changes.sort_by_key(|change| change.at);
        let results = changes.into_iter().map(|change| self.apply_change(change));
        results.collect()
    }

    fn apply_change(&self, change: &ScriptedChange) -> CatalogChangeResult {
        self.launcher.sleep_until(change.at);
        let mut args = vec!["--who", &change.who, "set"];
        args.extend(change.words.iter().map(String::as_str));
        args.extend(change.force.then_some("--force"));
        let result = self.run_plans(&args);
        let (accepted, output) = result.unwrap_or_else(|error| (false, error.to_string()));
        CatalogChangeResult {
            at: change.at,
            words: change.words.clone(),
            accepted,
            output,
        }
    }
}
