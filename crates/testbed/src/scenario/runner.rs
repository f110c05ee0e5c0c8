//! The order of a scenario: starts the processes, injects the faults while the load runs, and ends
//! the processes.

use super::host_processes::{choose_portals, free_address, HostNetwork, HostProcesses};
use super::launcher::{Launcher, ANY_PORT};
use super::process::ChildProcess;
use super::state_service::{CatalogChangeResult, StateService};
use super::{ScenarioError, ScenarioOptions, MAX_TRACE};
use crate::clients::{ClientCounts, Clients};
use crate::draw::{injected_faults, InjectedFault};
use crate::iscsi_load::{IscsiCounts, Session};
use crate::net::hello;
use grebecleat_settings::Rehearsal;
use grebecleat_wire::{clock, pb, trace::Tracer};
use std::thread::{Scope, ScopedJoinHandle};
use std::time::Duration;

/// Time from the start of the first process to the start of the script. With less time the script
/// begins before all processes listen; more time lengthens each scenario.
const LEAD_TIME: Duration = Duration::from_millis(1500);
/// Additional lead time for each host, since the hosts start one after another.
const LEAD_TIME_PER_HOST: Duration = Duration::from_millis(40);
/// Time beyond the longest deadline in which a drained host must end. With less time a slow machine
/// fails the scenario; with more time a hung host is reported late.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The results of a scenario at its clients.
#[derive(Debug, Default)]
pub struct ScenarioResult {
    /// The counts of the clients.
    pub counts: ClientCounts,
    /// The counts of the iSCSI initiators.
    pub iscsi_load: IscsiCounts,
    /// The results of the changes of the catalog.
    pub changes: Vec<CatalogChangeResult>,
}

/// Runs the script. Returns the results at the clients and the initiators. The folder then holds
/// the trace of each process.
///
/// # Errors
///
/// Returns an error if a process does not start, or does not end as it should.
pub fn run_scenario(options: ScenarioOptions) -> Result<ScenarioResult, ScenarioError> {
    std::fs::create_dir_all(options.dir)?;
    let me = hello(pb::Role::Client, "clients", 1);
    let tracer = Tracer::create(&options.dir.join("clients.trace"), MAX_TRACE, me)?;
    let settings = options.settings;
    let script = settings.rehearsal.as_ref();
    let script = script.ok_or(ScenarioError::NoScenario)?;
    let faults = injected_faults(settings, script);
    let portals = choose_portals(settings)?;
    let state_address = settings.state.as_ref().map(|_| free_address());
    let state_address = state_address.transpose()?;
    let network = HostNetwork::open(settings, portals, state_address)?;
    let t0 = clock::now() + LEAD_TIME + LEAD_TIME_PER_HOST * settings.hosts.len() as u32;
    let launcher = Launcher::new(&options, t0);
    let state_service = StateService::new(&launcher, state_address);
    let state_process = state_service.start(0)?;
    let (_discovery_process, discovery) = launcher.start_discovery_service()?;
    let _node_process = launcher.start_nodes(discovery)?;
    let hosts = HostProcesses::new(&launcher, network, discovery, tracer.clone());
    let host_processes = (0..settings.hosts.len())
        .map(|host| hosts.start(host, 0, ANY_PORT))
        .collect::<Result<Vec<ChildProcess>, ScenarioError>>()?;
    let runner = ScenarioRunner {
        launcher: &launcher,
        script,
        faults: &faults,
        state_service: &state_service,
        hosts: &hosts,
    };
    let clients = Clients::new(settings, t0, hosts.addresses(), tracer);
    let mut clients = clients.ok_or(ScenarioError::NoScenario)?;
    clients.set_progress(Box::new(|now, counts| (options.progress)(now, counts)));
    let (result, processes) = runner.run(clients, state_process, host_processes)?;
    runner.shut_down(processes)?;
    Ok(result)
}

/// The last processes of the hosts and of the state service, after all faults.
struct Processes {
    /// By the host's index; an error if the host could not be started again.
    hosts: Vec<Result<ChildProcess, ScenarioError>>,
    state_service: Option<ChildProcess>,
}

/// The parts of a scenario whose processes have started.
struct ScenarioRunner<'a> {
    launcher: &'a Launcher<'a>,
    script: &'a Rehearsal,
    faults: &'a [InjectedFault],
    state_service: &'a StateService<'a>,
    hosts: &'a HostProcesses<'a>,
}

impl ScenarioRunner<'_> {
    /// Runs the load while faults are injected. Returns the processes that then run.
    fn run(
        &self,
        clients: Clients,
        state_service: Option<ChildProcess>,
        hosts: Vec<ChildProcess>,
    ) -> Result<(ScenarioResult, Processes), ScenarioError> {
        std::thread::scope(|scope| {
            let faults = self.faults;
            let state_service =
                scope.spawn(move || self.state_service.inject_faults(state_service, faults));
            let changes = scope.spawn(|| self.state_service.apply_changes());
            scope.spawn(|| self.hosts.inject_feed_faults(faults));
            scope.spawn(|| self.hosts.inject_gossip_faults(faults));
            let hosts = hosts.into_iter().enumerate();
            let hosts: Vec<_> = hosts
                .map(|(host, process)| {
                    scope.spawn(move || self.hosts.inject_faults(host, process, faults))
                })
                .collect();
            let sessions = self.start_sessions(scope);
            let counts = clients.run();
            let iscsi_load = sum_sessions(sessions);
            let changes = changes.join().unwrap_or_default();
            let state_service = joined(state_service);
            let processes = Processes {
                hosts: hosts.into_iter().map(joined).collect(),
                state_service: state_service?,
            };
            let result = ScenarioResult {
                counts,
                iscsi_load,
                changes,
            };
            Ok((result, processes))
        })
    }

    /// Starts the script's number of sessions to each target of each portal.
    fn start_sessions<'scope>(
        &'scope self,
        scope: &'scope Scope<'scope, '_>,
    ) -> Vec<ScopedJoinHandle<'scope, IscsiCounts>> {
        let settings = self.launcher.options().settings;
        let mut sessions = Vec::new();
        for portal in self.hosts.portals() {
            for target in &settings.targets {
                for number in 0..self.script.sessions {
                    let session = Session {
                        at: portal,
                        target,
                        settings,
                        number,
                        t0: self.launcher.t0(),
                        length: self.script.length,
                    };
                    sessions.push(scope.spawn(move || session.run(self.script.seed)));
                }
            }
        }
        sessions
    }

    /// Drains the hosts, and ends the state service.
    fn shut_down(&self, processes: Processes) -> Result<(), ScenarioError> {
        let settings = self.launcher.options().settings;
        let timeout = settings.longest_deadline() + EXIT_TIMEOUT;
        for (host, process) in settings.hosts.iter().zip(processes.hosts) {
            let mut process = process?;
            process.signal("TERM")?;
            let name = host.name.clone();
            match process.wait_for_exit(timeout)? {
                Some(0) => {}
                Some(code) => return Err(ScenarioError::DrainFailed { name, code }),
                None => return Err(ScenarioError::DrainTimeout { name }),
            }
        }
        if let Some(mut state_service) = processes.state_service {
            state_service.signal("TERM")?;
            if state_service.wait_for_exit(EXIT_TIMEOUT)? != Some(0) {
                return Err(ScenarioError::StateServiceExit);
            }
        }
        Ok(())
    }
}

/// Returns the result of a thread, or an error if it panicked.
fn joined<T>(thread: ScopedJoinHandle<Result<T, ScenarioError>>) -> Result<T, ScenarioError> {
    let result = thread.join();
    result.unwrap_or(Err(ScenarioError::InjectorPanicked))
}

/// Adds up the counts of the sessions. A session that panicked is left out.
fn sum_sessions(sessions: Vec<ScopedJoinHandle<IscsiCounts>>) -> IscsiCounts {
    let mut sum = IscsiCounts::default();
    for session in sessions {
        if let Ok(counts) = session.join() {
            sum.add(&counts);
        }
    }
    sum
}
