//! The hosts of a scenario: their processes and addresses, and the faults that are injected into
//! them and into their connections.

use super::launcher::Launcher;
use super::process::ChildProcess;
use super::ScenarioError;
use crate::draw::InjectedFault;
use crate::links::Links;
use crate::relay::Relay;
use grebecleat_settings::{FaultKind, Settings};
use grebecleat_wire::pb::{marked::What, Marked};
use grebecleat_wire::trace::Tracer;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The address of each host that is up, by the host's index.
pub(super) type HostAddresses = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// The hosts, and the relays through which their connections run.
pub(super) struct HostProcesses<'a> {
    launcher: &'a Launcher<'a>,
    discovery: SocketAddr,
    addresses: HostAddresses,
    /// The address of each host's iSCSI portal, which is the same after a restart.
    portals: Vec<Option<SocketAddr>>,
    /// The relay between each host and the state service; empty without a state service.
    relays: Vec<Relay>,
    /// The relays between hosts, where the script has a fleet.
    links: Option<Links>,
    tracer: Tracer,
}

impl<'a> HostProcesses<'a> {
    /// Opens the relays. No process is started.
    pub(super) fn new(
        launcher: &'a Launcher<'a>,
        network: HostNetwork,
        discovery: SocketAddr,
        tracer: Tracer,
    ) -> Self {
        let count = launcher.options().settings.hosts.len();
        HostProcesses {
            launcher,
            discovery,
            addresses: Arc::new(Mutex::new(vec![None; count])),
            portals: network.portals,
            relays: network.relays,
            links: network.links,
            tracer,
        }
    }

    /// Returns the addresses of the hosts; they change while faults are injected.
    pub(super) fn addresses(&self) -> HostAddresses {
        self.addresses.clone()
    }

    /// Returns the addresses of the portals.
    pub(super) fn portals(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.portals.iter().flatten().copied()
    }

    fn lock_addresses(&self) -> MutexGuard<'_, Vec<Option<SocketAddr>>> {
        let addresses = self.addresses.lock();
        addresses.unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a host. `start` counts its starts and numbers its traces.
    pub(super) fn start(
        &self,
        host: usize,
        start: u32,
        listen: &str,
    ) -> Result<ChildProcess, ScenarioError> {
        let name = &self.launcher.options().settings.hosts[host].name;
        let args = self.arguments(host, start, listen);
        let (process, ready) = self.launcher.start(name, &args)?;
        let address = ready.parse()?;
        if let Some(links) = &self.links {
            links.set_target(host, address);
        }
        self.lock_addresses()[host] = Some(address);
        Ok(process)
    }

    fn arguments(&self, host: usize, start: u32, listen: &str) -> Vec<String> {
        let hosts = &self.launcher.options().settings.hosts;
        let name = &hosts[host].name;
        let mut args = self.launcher.arguments("run", &format!("{name}-{start}"));
        let mut option = |name: &str, value: String| args.extend([name.into(), value]);
        option("--host", name.clone());
        option("--list", self.discovery.to_string());
        option("--listen", listen.into());
        let remember = self.launcher.path_argument(&format!("{name}.list"));
        option("--remember", remember);
        let portal = self.portals[host];
        if portal.is_some() || !self.relays.is_empty() {
            let store = self.launcher.path_argument(&format!("{name}.store"));
            option("--store", store);
        }
        if let Some(portal) = portal {
            option("--portal", portal.to_string());
        }
        if let Some(relay) = self.relays.get(host) {
            option("--state", relay.address().to_string());
        }
        let peers = self.links.iter().flat_map(Links::addresses).enumerate();
        for (peer, address) in peers.filter(|(peer, _)| *peer != host) {
            option("--peer", format!("{}={address}", hosts[peer].name));
        }
        args
    }

    /// Crashes, stops and restarts one host at the script's times. Returns its last process.
    pub(super) fn inject_faults(
        &self,
        host: usize,
        mut process: ChildProcess,
        faults: &[InjectedFault],
    ) -> Result<ChildProcess, ScenarioError> {
        let mut start = 0;
        let mut faults: Vec<&InjectedFault> = faults
            .iter()
            .filter(|fault| fault.hosts.contains(&host))
            .collect();
        faults.sort_by_key(|fault| fault.start);
        for fault in faults {
            match fault.kind {
                FaultKind::HostCrash => {
                    start += 1;
                    process = self.crash(host, process, fault, start)?;
                }
                FaultKind::HostStall => self.stall(host, &process, fault)?,
                _ => {}
            }
        }
        Ok(process)
    }

    /// Kills the host, and starts it again at the same address at the end of the fault.
    fn crash(
        &self,
        host: usize,
        process: ChildProcess,
        fault: &InjectedFault,
        start: u32,
    ) -> Result<ChildProcess, ScenarioError> {
        self.launcher.sleep_until(fault.start);
        let listen = self.lock_addresses()[host].take();
        self.mark(What::Killed, host);
        drop(process);
        self.launcher.sleep_until(fault.end());
        let listen = listen.map(|address| address.to_string());
        self.start(host, start, &listen.unwrap_or_default())
    }

    /// Stops the host's process, and continues it at the end of the fault.
    fn stall(
        &self,
        host: usize,
        process: &ChildProcess,
        fault: &InjectedFault,
    ) -> Result<(), ScenarioError> {
        self.launcher.sleep_until(fault.start);
        self.mark(What::Stopped, host);
        process.signal("STOP")?;
        self.launcher.sleep_until(fault.end());
        process.signal("CONT")?;
        self.mark(What::Continued, host);
        Ok(())
    }

    /// Records a fault in the clients' trace.
    fn mark(&self, what: What, host: usize) {
        let name = self.launcher.options().settings.hosts[host].name.clone();
        self.tracer.mark(Marked {
            what: what.into(),
            name,
            ..Marked::default()
        });
    }

    /// Cuts or delays the connections between hosts and the state service at the script's times.
    pub(super) fn inject_feed_faults(&self, faults: &[InjectedFault]) {
        let kinds = [FaultKind::FeedCut, FaultKind::FeedLate];
        let mut steps: Vec<(Duration, &InjectedFault, bool)> = Vec::new();
        for fault in faults.iter().filter(|fault| kinds.contains(&fault.kind)) {
            steps.extend([(fault.start, fault, true), (fault.end(), fault, false)]);
        }
        steps.sort_by_key(|step| step.0);
        for (at, fault, begins) in steps {
            self.launcher.sleep_until(at);
            let relays = fault.hosts.iter().filter_map(|host| self.relays.get(*host));
            for relay in relays {
                if fault.kind == FaultKind::FeedCut {
                    relay.set_cut(begins);
                } else {
                    let seconds = if begins { fault.magnitude } else { 0.0 };
                    relay.set_delay(Duration::from_secs_f64(seconds));
                }
            }
        }
    }

    /// Partitions hosts from each other, in both directions or one, at the script's times.
    pub(super) fn inject_gossip_faults(&self, faults: &[InjectedFault]) {
        let Some(links) = &self.links else { return };
        let kinds = [FaultKind::HostCut, FaultKind::HostDeaf];
        let faults = faults.iter().filter(|fault| kinds.contains(&fault.kind));
        let faults: Vec<&InjectedFault> = faults.collect();
        let times = faults.iter().flat_map(|fault| [fault.start, fault.end()]);
        let mut times: Vec<Duration> = times.collect();
        times.sort();
        for now in times {
            self.launcher.sleep_until(now);
            // Faults overlap, so each step sets all pairs that are cut now.
            let active = faults.iter().filter(|fault| fault.is_active(now));
            let pairs = active.flat_map(|fault| self.cut_pairs(fault));
            links.set_cut(pairs.collect());
        }
    }

    /// Returns the ordered pairs of hosts whose connections a fault cuts.
    fn cut_pairs(&self, fault: &InjectedFault) -> BTreeSet<(usize, usize)> {
        let count = self.launcher.options().settings.hosts.len();
        let mut pairs = BTreeSet::new();
        for affected in &fault.hosts {
            for other in 0..count {
                let inward = (other, *affected);
                let outward = (*affected, other);
                match fault.kind {
                    FaultKind::HostCut if !fault.hosts.contains(&other) => {
                        pairs.extend([outward, inward]);
                    }
                    FaultKind::HostDeaf if other != *affected => pairs.extend([inward]),
                    _ => {}
                }
            }
        }
        pairs
    }
}

/// The hosts' portals, and the relays through which their connections run.
pub(super) struct HostNetwork {
    portals: Vec<Option<SocketAddr>>,
    relays: Vec<Relay>,
    links: Option<Links>,
}

impl HostNetwork {
    /// Chooses the portals' ports, and opens the relays: one for each host to the state service,
    /// and one for each ordered pair of hosts.
    pub(super) fn open(
        settings: &Settings,
        portals: Vec<Option<SocketAddr>>,
        state_service: Option<SocketAddr>,
    ) -> Result<Self, ScenarioError> {
        let mut relays = Vec::new();
        if let Some(address) = state_service {
            for _ in &settings.hosts {
                relays.push(Relay::to(address)?);
            }
        }
        let names = settings.hosts.iter().map(|host| host.name.clone());
        let links = match &settings.fleet {
            Some(_) => Some(Links::between(names.collect())?),
            None => None,
        };
        Ok(HostNetwork {
            portals,
            relays,
            links,
        })
    }
}

/// Returns a free port for each host that has a portal. The host binds it at each of its starts.
pub(super) fn choose_portals(
    settings: &Settings,
) -> Result<Vec<Option<SocketAddr>>, ScenarioError> {
    let has_portal = |host: usize| settings.portals.iter().any(|portal| portal.host == host);
    let hosts = 0..settings.hosts.len();
    let portals = hosts.map(|host| has_portal(host).then(free_address).transpose());
    portals.collect()
}

/// Returns an address of the loopback interface with a port that is free now.
pub(super) fn free_address() -> Result<SocketAddr, ScenarioError> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    Ok(listener.local_addr()?)
}
