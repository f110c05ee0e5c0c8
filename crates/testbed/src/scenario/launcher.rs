//! Starts the scenario's processes: builds their command lines and names their files.

use super::process::ChildProcess;
use super::{ScenarioError, ScenarioOptions};
use grebecleat_wire::clock;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// An address of the loopback interface whose port the system chooses.
pub(super) const ANY_PORT: &str = "127.0.0.1:0";

/// The options of the run and the start of its script; it starts processes with them.
pub(super) struct Launcher<'a> {
    options: &'a ScenarioOptions<'a>,
    /// The machine's clock at the script's start.
    t0: Duration,
}

impl<'a> Launcher<'a> {
    pub(super) fn new(options: &'a ScenarioOptions<'a>, t0: Duration) -> Self {
        Launcher { options, t0 }
    }

    pub(super) fn options(&self) -> &'a ScenarioOptions<'a> {
        self.options
    }

    pub(super) fn t0(&self) -> Duration {
        self.t0
    }

    /// Returns the path of a file in the scenario's folder.
    pub(super) fn path(&self, file: &str) -> PathBuf {
        self.options.dir.join(file)
    }

    /// Returns the path of a file in the scenario's folder as an argument.
    pub(super) fn path_argument(&self, file: &str) -> String {
        self.path(file).display().to_string()
    }

    /// Sleeps until a time of the script.
    pub(super) fn sleep_until(&self, at: Duration) {
        std::thread::sleep((self.t0 + at).saturating_sub(clock::now()));
    }

    /// Starts a process that logs to `NAME.log`. Returns the text of its ready line.
    pub(super) fn start(
        &self,
        name: &str,
        args: &[String],
    ) -> Result<(ChildProcess, String), ScenarioError> {
        let log = self.path(&format!("{name}.log"));
        ChildProcess::start(self.options.program, name, args, log)
    }

    /// Returns the arguments that every process has: its command, the script and its trace.
    pub(super) fn arguments(&self, command: &str, trace: &str) -> Vec<String> {
        let script = self.options.script.display().to_string();
        let trace = self.path_argument(&format!("{trace}.trace"));
        vec![command.into(), script, "--trace".into(), trace]
    }

    /// Returns the arguments of a process that injects the script's faults by itself.
    fn fault_arguments(&self, command: &str, trace: &str) -> Vec<String> {
        let mut args = self.arguments(command, trace);
        args.extend(["--t0".into(), self.t0.as_nanos().to_string()]);
        if !self.options.kinds.is_empty() {
            let names: Vec<&str> = self.options.kinds.iter().map(|kind| kind.name()).collect();
            args.extend(["--kinds".into(), names.join("+")]);
        }
        if let Some(seed) = self.options.seed {
            args.extend(["--seed".into(), seed.to_string()]);
        }
        args
    }

    /// Starts the discovery service. Returns its address.
    pub(super) fn start_discovery_service(
        &self,
    ) -> Result<(ChildProcess, SocketAddr), ScenarioError> {
        let mut args = self.fault_arguments("discovery-service", "list");
        args.extend(["--listen".into(), ANY_PORT.into()]);
        let (process, ready) = self.start("list", &args)?;
        Ok((process, ready.parse()?))
    }

    /// Starts one process with all nodes.
    pub(super) fn start_nodes(&self, discovery: SocketAddr) -> Result<ChildProcess, ScenarioError> {
        let mut args = self.fault_arguments("node", "nodes");
        args.extend(["--list".into(), discovery.to_string()]);
        Ok(self.start("nodes", &args)?.0)
    }
}
