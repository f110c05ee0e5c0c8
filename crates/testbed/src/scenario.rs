//! A rehearsal: list, nodes and hosts as processes of this program, clients in this one, and the
//! script's troubles played on them.
//!
//! Everything is on loopback and ends with the script. Each process records what crosses its
//! sockets into the rehearsal's folder; judging it is the audit's work, not ours.

use crate::clients::{ClientCounts, Clients, Progress};
use crate::disks::{self, Disks};
use crate::draw::{faults_of_kinds, injected_faults, InjectedFault};
use crate::links::Links;
use crate::net::hello;
use crate::relay::Relay;
use grebecleat_settings::{Kind, Settings};
use grebecleat_wire::pb::{self, marked::What, Marked};
use grebecleat_wire::{clock, trace::Tracer};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bytes that one trace may take.
pub const MAX_TRACE: u64 = 512 << 20;
/// From the first process's start to the script's start.
const LEAD: Duration = Duration::from_millis(1500);
/// And for each host beside.
const START: Duration = Duration::from_millis(40);
/// A drained host must end within this beyond the longest deadline.
const END: Duration = Duration::from_secs(10);

/// Puts a seed and kinds of trouble, where given, in place of the script's own.
pub fn override_faults(settings: &mut Settings, kinds: &[Kind], seed: Option<u64>) {
    let Some(r) = settings.rehearsal.as_mut() else {
        return;
    };
    r.seed = seed.unwrap_or(r.seed);
    if !kinds.is_empty() {
        r.troubles = faults_of_kinds(kinds, r.length, r.seed);
    }
}

pub struct ScenarioOptions<'a> {
    pub settings: &'a Settings,
    /// The script as the processes read it.
    pub script: &'a Path,
    pub kinds: &'a [Kind],
    pub seed: Option<u64>,
    pub dir: &'a Path,
    pub program: &'a Path,
    pub progress: Progress<'a>,
}

/// A process that ends with us.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Running {
    fn signal(&self, signal: &str) -> io::Result<()> {
        let status = Command::new("kill")
            .args(["-s", signal, &self.0.id().to_string()])
            .status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other(format!(
            "signal {signal} did not reach process {}",
            self.0.id()
        )))
    }

    fn ends_within(&mut self, span: Duration) -> io::Result<Option<i32>> {
        let until = clock::now() + span;
        while clock::now() < until {
            if let Some(status) = self.0.try_wait()? {
                return Ok(status.code());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(None)
    }
}

struct ScenarioRunner<'a> {
    o: &'a ScenarioOptions<'a>,
    t0: Duration,
    list: SocketAddr,
    hosts: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    /// Where each host's portal listens, over its restarts.
    portals: Vec<Option<SocketAddr>>,
    /// Where the state service listens, over its restarts, and what lies between it and each host.
    state: Option<SocketAddr>,
    relays: Vec<Relay>,
    /// What lies between hosts, where they tell each other something.
    links: Option<Links>,
    tracer: Tracer,
}

impl ScenarioRunner<'_> {
    /// Starts a process and reads the address that it prints once it listens.
    fn start(&self, name: &str, args: &[String]) -> io::Result<(Running, String)> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.o.dir.join(format!("{name}.log")))?;
        let mut command = Command::new(self.o.program);
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log);
        let mut child = Running(command.spawn()?);
        let mut line = String::new();
        BufReader::new(child.0.stdout.take().expect("piped")).read_line(&mut line)?;
        match line.trim().strip_prefix("listening ") {
            Some(said) => Ok((child, said.to_string())),
            None => {
                let log = self.o.dir.join(format!("{name}.log"));
                Err(io::Error::other(format!(
                    "{name} did not start; see {}",
                    log.display()
                )))
            }
        }
    }

    fn args(&self, first: &str, trace: &str) -> Vec<String> {
        let mut args = vec![first.to_string(), self.o.script.display().to_string()];
        let trace = self
            .o
            .dir
            .join(format!("{trace}.trace"))
            .display()
            .to_string();
        args.extend(["--trace".into(), trace]);
        args
    }

    fn script_args(&self, first: &str, trace: &str) -> Vec<String> {
        let mut args = self.args(first, trace);
        args.extend(["--t0".into(), self.t0.as_nanos().to_string()]);
        if !self.o.kinds.is_empty() {
            let names: Vec<&str> = self.o.kinds.iter().map(|k| k.name()).collect();
            args.extend(["--kinds".into(), names.join("+")]);
        }
        if let Some(seed) = self.o.seed {
            args.extend(["--seed".into(), seed.to_string()]);
        }
        args
    }

    fn host(&self, place: usize, start: u32, listen: &str) -> io::Result<Running> {
        let name = &self.o.settings.hosts[place].name;
        let mut args = self.args("run", &format!("{name}-{start}"));
        let remember = self
            .o
            .dir
            .join(format!("{name}.list"))
            .display()
            .to_string();
        args.extend([
            "--host".into(),
            name.clone(),
            "--list".into(),
            self.list.to_string(),
        ]);
        args.extend([
            "--listen".into(),
            listen.into(),
            "--remember".into(),
            remember,
        ]);
        if self.portals[place].is_some() || self.state.is_some() {
            args.extend([
                "--store".into(),
                self.o
                    .dir
                    .join(format!("{name}.store"))
                    .display()
                    .to_string(),
            ]);
        }
        if let Some(portal) = self.portals[place] {
            args.extend(["--portal".into(), portal.to_string()]);
        }
        if let Some(relay) = self.relays.get(place) {
            args.extend(["--state".into(), relay.address.to_string()]);
        }
        for (peer, at) in self
            .links
            .iter()
            .flat_map(|l| l.addresses().iter().enumerate())
        {
            if peer != place {
                args.extend([
                    "--peer".into(),
                    format!("{}={at}", self.o.settings.hosts[peer].name),
                ]);
            }
        }
        let (child, said) = self.start(name, &args)?;
        let address = said.parse().map_err(io::Error::other)?;
        self.links.iter().for_each(|l| l.set_target(place, address));
        self.hosts.lock().unwrap_or_else(|e| e.into_inner())[place] = Some(address);
        Ok(child)
    }

    fn store(&self) -> PathBuf {
        self.o.dir.join("state.store")
    }

    fn state_service(&self, start: u32) -> io::Result<Option<Running>> {
        let Some(listen) = self.state else {
            return Ok(None);
        };
        let mut args = self.args("state-service", &format!("state-{start}"));
        args.extend(["--listen".into(), listen.to_string()]);
        args.extend(["--store".into(), self.store().display().to_string()]);
        Ok(Some(self.start("state", &args)?.0))
    }

    /// An operator at the command line; what was said, and whether it was done.
    fn plans(&self, args: &[&str]) -> io::Result<(bool, String)> {
        let at = self.state.map(|a| a.to_string()).unwrap_or_default();
        let out = Command::new(self.o.program)
            .args(["plans", "--at", &at])
            .args(args)
            .output()?;
        let said = [out.stdout, out.stderr].concat();
        Ok((
            out.status.success(),
            String::from_utf8_lossy(&said).trim().replace('\n', "; "),
        ))
    }

    /// Kills the state service, and puts it back, as the script says; answers its last process.
    fn inject_state_service_faults(
        &self,
        mut child: Option<Running>,
        injected_faults: &[InjectedFault],
    ) -> io::Result<Option<Running>> {
        let kinds = [Kind::StateCrash, Kind::StateRestored];
        let mut own: Vec<&InjectedFault> = injected_faults
            .iter()
            .filter(|s| kinds.contains(&s.kind))
            .collect();
        own.sort_by_key(|s| s.at);
        let snapshot = self.o.dir.join("state.kept").display().to_string();
        for (n, s) in own.into_iter().enumerate() {
            self.sleep_to(s.at);
            if s.kind == Kind::StateCrash {
                drop(child.take());
                self.sleep_to(s.at + s.len);
                child = self.state_service(n as u32 + 1)?;
                continue;
            }
            // What lands between the snapshot and the end of the span is lost with it.
            self.plans(&["snapshot", &snapshot])?;
            self.sleep_to(s.at + s.len);
            drop(child.take());
            let store = self.store().display().to_string();
            let restored = Command::new(self.o.program)
                .args(["plans", "restore", &snapshot, &store])
                .output()?;
            if !restored.status.success() {
                return Err(io::Error::other(
                    String::from_utf8_lossy(&restored.stderr).to_string(),
                ));
            }
            child = self.state_service(n as u32 + 1)?;
            // An operator sees that hosts know more, and says what counts; perhaps one shows only
            // later.
            for _ in 0..20 {
                std::thread::sleep(Duration::from_millis(250));
                self.plans(&["prevail", "--why", "restored"])?;
            }
        }
        Ok(child)
    }

    /// Cuts hosts off from the state service, or lets them hear of it late.
    fn inject_feed_faults(&self, injected_faults: &[InjectedFault]) {
        let kinds = [Kind::FeedCut, Kind::FeedLate];
        let mut steps: Vec<(Duration, &InjectedFault, bool)> = Vec::new();
        for s in injected_faults.iter().filter(|s| kinds.contains(&s.kind)) {
            steps.extend([(s.at, s, true), (s.at + s.len, s, false)]);
        }
        steps.sort_by_key(|s| s.0);
        for (at, s, on) in steps {
            self.sleep_to(at);
            for relay in s.hosts.iter().filter_map(|h| self.relays.get(*h)) {
                match s.kind {
                    Kind::FeedCut => relay.cut(on),
                    _ => relay.late(Duration::from_secs_f64(if on { s.size } else { 0.0 })),
                }
            }
        }
    }

    /// Cuts hosts off from each other, or makes them deaf.
    fn inject_gossip_faults(&self, injected_faults: &[InjectedFault]) {
        let Some(links) = &self.links else { return };
        let mut steps: Vec<(Duration, &InjectedFault)> = Vec::new();
        for s in injected_faults
            .iter()
            .filter(|s| matches!(s.kind, Kind::HostCut | Kind::HostDeaf))
        {
            steps.extend([(s.at, s), (s.at + s.len, s)]);
        }
        steps.sort_by_key(|s| s.0);
        for (at, _) in &steps {
            self.sleep_to(*at);
            // All that holds now, since cuts overlap.
            let on = |s: &&InjectedFault| (s.at..s.at + s.len).contains(at);
            let mut cut = std::collections::BTreeSet::new();
            for s in injected_faults.iter().filter(on) {
                for (a, b) in s
                    .hosts
                    .iter()
                    .flat_map(|a| (0..self.o.settings.hosts.len()).map(move |b| (*a, b)))
                {
                    match s.kind {
                        Kind::HostCut if !s.hosts.contains(&b) => cut.extend([(a, b), (b, a)]),
                        Kind::HostDeaf if a != b => _ = cut.insert((b, a)),
                        _ => {}
                    }
                }
            }
            links.cut(cut);
        }
    }

    /// Changes plans as the script says; when, what, and what came of it.
    fn apply_catalog_changes(&self) -> Vec<CatalogChangeResult> {
        let mut all: Vec<_> = self
            .o
            .settings
            .rehearsal
            .iter()
            .flat_map(|r| &r.changes)
            .collect();
        all.sort_by_key(|c| c.at);
        let each = all.into_iter().map(|c| {
            self.sleep_to(c.at);
            let mut args = vec!["--who", &c.who, "set"];
            args.extend(c.words.iter().map(String::as_str));
            args.extend(c.force.then_some("--force"));
            let (accepted, said) = self.plans(&args).unwrap_or_else(|e| (false, e.to_string()));
            CatalogChangeResult {
                at: c.at,
                words: c.words.clone(),
                accepted,
                output: said,
            }
        });
        each.collect()
    }

    fn mark(&self, what: What, place: usize) {
        let name = self.o.settings.hosts[place].name.clone();
        self.tracer.mark(Marked {
            what: what.into(),
            name,
            ..Marked::default()
        });
    }

    fn sleep_to(&self, at: Duration) {
        std::thread::sleep((self.t0 + at).saturating_sub(clock::now()));
    }

    /// Kills, stops and restarts one host as the script says; answers its last process.
    fn inject_host_faults(
        &self,
        place: usize,
        mut child: Running,
        injected_faults: &[InjectedFault],
    ) -> io::Result<Running> {
        let mut start = 0;
        let mut own: Vec<&InjectedFault> = injected_faults
            .iter()
            .filter(|s| s.hosts.contains(&place))
            .collect();
        own.sort_by_key(|s| s.at);
        for s in own {
            match s.kind {
                Kind::HostCrash => {
                    self.sleep_to(s.at);
                    let listen = self.hosts.lock().unwrap_or_else(|e| e.into_inner())[place].take();
                    self.mark(What::Killed, place);
                    drop(child);
                    self.sleep_to(s.at + s.len);
                    start += 1;
                    let listen = listen.map(|a| a.to_string()).unwrap_or_default();
                    child = self.host(place, start, &listen)?;
                }
                Kind::HostStall => {
                    self.sleep_to(s.at);
                    self.mark(What::Stopped, place);
                    child.signal("STOP")?;
                    self.sleep_to(s.at + s.len);
                    child.signal("CONT")?;
                    self.mark(What::Continued, place);
                }
                _ => {}
            }
        }
        Ok(child)
    }
}

/// A change of plans that was asked for, and what came of it.
#[derive(Debug, Clone)]
pub struct CatalogChangeResult {
    pub at: Duration,
    pub words: Vec<String>,
    pub accepted: bool,
    pub output: String,
}

/// What a rehearsal amounted to for those who asked.
#[derive(Debug, Default)]
pub struct ScenarioResult {
    pub counts: ClientCounts,
    pub disks: Disks,
    pub changes: Vec<CatalogChangeResult>,
}

fn panicked<T>() -> io::Result<T> {
    Err(io::Error::other("a player panicked"))
}

/// A port for each host that has a portal: free now, and asked for again at every start of the
/// host.
fn portals(settings: &Settings) -> io::Result<Vec<Option<SocketAddr>>> {
    let has = |place: usize| settings.portals.iter().any(|p| p.host == place);
    let free = || TcpListener::bind(("127.0.0.1", 0)).and_then(|l| l.local_addr());
    (0..settings.hosts.len())
        .map(|place| has(place).then(free).transpose())
        .collect()
}

/// Plays the script; what the clients and the initiators saw. The folder then holds every trace.
pub fn run_scenario(o: ScenarioOptions) -> io::Result<ScenarioResult> {
    std::fs::create_dir_all(o.dir)?;
    let me = hello(pb::Role::Client, "clients", 1);
    let tracer = Tracer::create(&o.dir.join("clients.trace"), MAX_TRACE, me)?;
    let script = o.settings.rehearsal.as_ref();
    let script = script.ok_or_else(|| io::Error::other("the script has no rehearsal()"))?;
    let injected_faults = injected_faults(o.settings, script);
    let hosts = Arc::new(Mutex::new(vec![None; o.settings.hosts.len()]));
    let nowhere: SocketAddr = ([127, 0, 0, 1], 0).into();
    let portals = portals(o.settings)?;
    let state = match &o.settings.state {
        Some(_) => Some(TcpListener::bind(("127.0.0.1", 0)).and_then(|l| l.local_addr())?),
        None => None,
    };
    let relays = match state {
        Some(at) => o
            .settings
            .hosts
            .iter()
            .map(|_| Relay::to(at))
            .collect::<io::Result<_>>()?,
        None => Vec::new(),
    };
    let links = match &o.settings.fleet {
        Some(_) => Some(Links::between(
            o.settings.hosts.iter().map(|h| h.name.clone()).collect(),
        )?),
        None => None,
    };
    // Processes start one after another.
    let t0 = clock::now() + LEAD + START * o.settings.hosts.len() as u32;
    let mut runner = ScenarioRunner {
        o: &o,
        t0,
        list: nowhere,
        hosts: hosts.clone(),
        portals,
        state,
        relays,
        links,
        tracer,
    };
    let service = runner.state_service(0)?;
    let mut args = runner.script_args("discovery-service", "list");
    args.extend(["--listen".into(), "127.0.0.1:0".into()]);
    let (_list, said) = runner.start("list", &args)?;
    runner.list = said.parse().map_err(io::Error::other)?;
    let mut args = runner.script_args("node", "nodes");
    args.extend(["--list".into(), runner.list.to_string()]);
    let (_nodes, _) = runner.start("nodes", &args)?;
    let children: Vec<Running> = (0..o.settings.hosts.len())
        .map(|place| runner.host(place, 0, "127.0.0.1:0"))
        .collect::<io::Result<_>>()?;
    let clients = Clients::new(o.settings, runner.t0, hosts, runner.tracer.clone());
    let mut clients = clients.ok_or_else(|| io::Error::other("the script has no rehearsal()"))?;
    let progress = &o.progress;
    clients.progress = Box::new(move |now, counts| progress(now, counts));
    let (runner, injected_faults) = (&runner, &injected_faults);
    let (seen, ended) = std::thread::scope(|scope| {
        let service =
            scope.spawn(move || runner.inject_state_service_faults(service, injected_faults));
        let changes = scope.spawn(move || runner.apply_catalog_changes());
        scope.spawn(move || runner.inject_feed_faults(injected_faults));
        scope.spawn(move || runner.inject_gossip_faults(injected_faults));
        let hosts_under_faults: Vec<_> = children
            .into_iter()
            .enumerate()
            .map(|(place, child)| {
                scope.spawn(move || runner.inject_host_faults(place, child, injected_faults))
            })
            .collect();
        // Every portal has as many sessions as the script says at every target.
        let at = runner.portals.iter().flatten();
        let sessions = at.flat_map(|at| o.settings.targets.iter().map(move |t| (*at, t)));
        let sessions: Vec<_> = sessions
            .flat_map(|(at, target)| {
                (0..script.sessions).map(move |number| disks::Session {
                    at,
                    target,
                    settings: o.settings,
                    number,
                    t0: runner.t0,
                    length: script.length,
                })
            })
            .map(|session| scope.spawn(move || session.run(script.seed)))
            .collect();
        let counts = clients.run();
        let mut disks = Disks::default();
        sessions
            .into_iter()
            .filter_map(|s| s.join().ok())
            .for_each(|d| disks.add(&d));
        let changes = changes.join().unwrap_or_default();
        let service = service.join().unwrap_or_else(|_| panicked());
        let ended: Vec<io::Result<Running>> = hosts_under_faults
            .into_iter()
            .map(|p| p.join().unwrap_or_else(|_| panicked()))
            .collect();
        (
            service.map(|s| {
                (
                    ScenarioResult {
                        counts,
                        disks,
                        changes,
                    },
                    s,
                )
            }),
            ended,
        )
    });
    let (seen, service) = seen?;
    let longest = o.settings.longest_deadline();
    for (place, child) in ended.into_iter().enumerate() {
        let (mut child, name) = (child?, &o.settings.hosts[place].name);
        child.signal("TERM")?;
        match child.ends_within(longest + END)? {
            Some(0) => {}
            Some(code) => {
                return Err(io::Error::other(format!(
                    "{name} ended with {code} when drained"
                )))
            }
            None => return Err(io::Error::other(format!("{name} did not end when drained"))),
        }
    }
    if let Some(mut service) = service {
        service.signal("TERM")?;
        if service.ends_within(END)? != Some(0) {
            return Err(io::Error::other("the state service did not end well"));
        }
    }
    Ok(seen)
}

/// A new folder for a rehearsal's traces and logs.
pub fn temporary_directory() -> PathBuf {
    std::env::temp_dir().join(format!(
        "grebecleat-{}-{}",
        std::process::id(),
        clock::now().as_millis()
    ))
}
