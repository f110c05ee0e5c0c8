//! The `grebecleat` program: arguments, logs and exit codes. It has no logic of its own.

mod args;
mod fleet;
mod logs;
mod plans;

use args::{
    Args, Command, HostArgs, ListArgs, NodeArgs, RehearseArgs, Stage as StageArgs, StateArgs,
};
use clap::{CommandFactory, Parser};
use grebecleat_audit::{Case, Verdict, RULES};
use grebecleat_host::server as host;
use grebecleat_plans::follower::{Follower, InitialState};
use grebecleat_platform::{config::Config, run as platform, statistics::StatisticsTable};
use grebecleat_settings::{Kind, Settings};
use grebecleat_standin::clients::Tally;
use grebecleat_standin::{net, rehearse, serve};
use grebecleat_state::{
    declared_config::deployment, group_commit::GroupCommit, service, store::StoreContents,
};
use grebecleat_target::portal::{self, Places};
use grebecleat_wire::{clock, pb, trace::Tracer};
use indicatif::{ProgressBar, ProgressStyle};
use std::io::{IsTerminal, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tracing::info;

/// The bad day that comes with the program.
const BAD_DAY: &str = include_str!("../../../examples/bad-day.star");

/// How a command ends beside success.
enum Stop {
    /// 1: it ran, and what it checks does not hold.
    Broken,
    /// 2: arguments or a settings file; nothing was started.
    Bad(Vec<String>),
    /// 3: the machine did not let it run.
    Failed(String),
}

impl From<std::io::Error> for Stop {
    fn from(e: std::io::Error) -> Self {
        Stop::Failed(e.to_string())
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    if let Err(e) = logs::start(&args.logs) {
        eprintln!("grebecleat: {e}");
        return ExitCode::from(3);
    }
    let ended = match args.command {
        Command::Run(a) => run(a),
        Command::Platform => on_platform(),
        Command::Account { logs, every, parts } => account(&logs, every, parts),
        Command::StateService(a) => state_service(a),
        Command::Plans(a) => plans::run(a),
        Command::Fleet { at } => fleet::show(at),
        Command::Check { file } => check(&file),
        Command::Rehearse(a) => rehearsal(a),
        Command::Audit { dir, script } => audit(&dir, &script),
        Command::Show { file, with } => show_trace(&file, &with),
        Command::Node(a) => nodes(a),
        Command::ListService(a) => list(a),
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Args::command(),
                "grebecleat",
                &mut std::io::stdout(),
            );
            Ok(())
        }
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(Stop::Broken) => ExitCode::from(1),
        Err(Stop::Bad(lines)) => {
            lines.iter().for_each(|l| eprintln!("{l}"));
            ExitCode::from(2)
        }
        Err(Stop::Failed(why)) => {
            eprintln!("grebecleat: {why}");
            ExitCode::from(3)
        }
    }
}

fn load(file: &Path) -> Result<Settings, Stop> {
    Settings::load(file).map_err(|faults| Stop::Bad(faults.iter().map(|f| f.to_string()).collect()))
}

fn bad(what: String) -> Stop {
    Stop::Bad(vec![format!("grebecleat: {what}")])
}

fn check(file: &Path) -> Result<(), Stop> {
    let s = load(file)?;
    println!(
        "{}: {} is in order: {} zones, {} hosts, {} nodes, {} volumes on {} plans, {} stream types",
        file.display(),
        s.name,
        s.zones.len(),
        s.hosts.len(),
        s.nodes.len(),
        s.volumes.len(),
        s.plans.len(),
        s.traffic_classes.len()
    );
    Ok(())
}

fn tracer(path: Option<PathBuf>, who: pb::Hello) -> Result<Tracer, Stop> {
    let Some(path) = path else {
        return Ok(Tracer::default());
    };
    Tracer::create(&path, rehearse::MAX_TRACE, who)
        .map_err(|e| Stop::Failed(format!("cannot record to {}: {e}", path.display())))
}

/// The one line on standard output by which who started us learns where we listen.
fn listening(what: impl std::fmt::Display) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "listening {what}").and_then(|()| out.flush());
}

/// Entries that a store keeps of its trail.
const MAX_TRAIL: u64 = 100_000;

fn open_store(path: &Path) -> Result<(GroupCommit, StoreContents), Stop> {
    GroupCommit::open(path, MAX_TRAIL)
        .map_err(|e| Stop::Failed(format!("store {}: {e}", path.display())))
}

/// A host's place and where it answers.
fn peer(text: &str, names: &[&str]) -> Result<(usize, SocketAddr), Stop> {
    let read = || {
        let (name, address) = text.split_once('=')?;
        Some((
            names.iter().position(|n| *n == name)?,
            address.parse().ok()?,
        ))
    };
    let expected = "expected NAME=ADDRESS with one of";
    read().ok_or_else(|| {
        bad(format!(
            "--peer: {expected} {}, found {text}",
            names.join(", ")
        ))
    })
}

fn run(a: HostArgs) -> Result<(), Stop> {
    let settings = Arc::new(load(&a.file)?);
    let names: Vec<&str> = settings.hosts.iter().map(|h| h.name.as_str()).collect();
    let host = match &a.host {
        None if names.len() == 1 => 0,
        None => return Err(bad(format!("--host: expected one of {}", names.join(", ")))),
        Some(name) => names.iter().position(|n| n == name).ok_or_else(|| {
            bad(format!(
                "--host: expected one of {}, found {name}",
                names.join(", ")
            ))
        })?,
    };
    let here = |a: Option<SocketAddr>, b: Option<SocketAddr>, what: &str| {
        a.or(b)
            .ok_or_else(|| bad(format!("{what}: neither given nor in {}", "the settings")))
    };
    let listen = here(a.listen, settings.hosts[host].listen, "--listen")?;
    let list = here(a.list, settings.list.address, "--list")?;
    let given: Vec<(usize, SocketAddr)> = a
        .peers
        .iter()
        .map(|p| peer(p, &names))
        .collect::<Result<_, _>>()?;
    let at = |i: usize| {
        given
            .iter()
            .find(|g| g.0 == i)
            .map(|g| g.1)
            .or(settings.hosts[i].listen)
    };
    let others = (0..names.len()).filter(|i| *i != host);
    let peers = others
        .filter_map(|i| Some((host::peer(i), at(i)?)))
        .collect();
    let started = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let seed = a
        .seed
        .unwrap_or_else(|| clock::now().as_nanos() as u64 ^ u64::from(std::process::id()) << 40);
    let me = net::hello(pb::Role::Host, names[host], seed);
    let (name, tracer) = (names[host].to_string(), tracer(a.trace, me)?);
    let mut portals: Vec<_> = settings
        .portals
        .iter()
        .filter(|p| p.host == host)
        .cloned()
        .collect();
    if let (Some(portal), Some(at)) = (portals.first_mut(), a.portal) {
        portal.listen = at;
    }
    if let (true, None) = (!portals.is_empty(), &a.store) {
        return Err(bad(
            "--store: needed, since the settings give this host a portal".into(),
        ));
    }
    let store = a.store.as_deref().map(open_store).transpose()?;
    let state = match (&settings.state, &store) {
        (None, _) => None,
        (Some(_), None) => {
            return Err(bad(
                "--store: needed, since the settings name a state_service()".into(),
            ));
        }
        (Some(spec), Some((keeper, contents))) => {
            let kept = &contents.state;
            let address = here(a.state, spec.address, "--state")?;
            let catalog = Follower::empty_catalog(deployment(&settings));
            let catalog =
                catalog.restored(kept.version, kept.state.clone(), kept.audit_log.clone());
            let start = InitialState {
                catalog,
                stable: kept.stable,
                epoch: kept.epoch,
            };
            Some(host::StateLink {
                address,
                store: keeper.clone(),
                start,
            })
        }
    };
    let options = host::Options {
        settings: settings.clone(),
        host,
        listen,
        list,
        state,
        peers,
        incarnation: started.as_millis() as u64,
        tracer,
        remember: a.remember,
        seed,
        workers: a.workers,
    };
    let counts = host::run(options, |address, handle| {
        for spec in &portals {
            let Some((keeper, contents)) = &store else {
                continue;
            };
            let places = Places {
                keeper,
                places: &contents.extents,
                ceiling: contents.state.ceiling,
            };
            match portal::start(&settings, spec, &handle, places) {
                Ok(at) => info!(host = %name, portal = %at, "iscsi portal up"),
                Err(why) => {
                    eprintln!("grebecleat: {why}");
                    std::process::exit(3);
                }
            }
        }
        listening(address);
        info!(host = %name, %address, "up");
        host::on_signals(handle);
    })?;
    info!(host = %name, ?counts, "drained and ended");
    Ok(())
}

fn on_platform() -> Result<(), Stop> {
    let (file, config) = Config::from_env().map_err(|error| bad(error.to_string()))?;
    let name = config.name.clone();
    let options = platform::Options {
        config,
        file: Some(file),
    };
    let counts = platform::run(options, |address| info!(host = %name, %address, "up"))?;
    info!(host = %name, ?counts, "ended");
    Ok(())
}

fn account(logs: &[PathBuf], every: u64, parts: usize) -> Result<(), Stop> {
    let (mut table, mut lines) = (StatisticsTable::default(), 0usize);
    for log in logs {
        let text =
            std::fs::read(log).map_err(|e| bad(format!("{}: cannot read: {e}", log.display())))?;
        let text = String::from_utf8_lossy(&text);
        lines += text.lines().filter(|line| table.read(line)).count();
    }
    if lines == 0 {
        return Err(bad(
            "no account in these logs; a host tells it at debug level".into(),
        ));
    }
    print!("{}", table.format(every, parts));
    Ok(())
}

fn state_service(a: StateArgs) -> Result<(), Stop> {
    let settings = Arc::new(load(&a.file)?);
    let Some(spec) = &settings.state else {
        return Err(bad(format!(
            "{}: no state_service() in the file",
            a.file.display()
        )));
    };
    let listen = a.listen.or(spec.address);
    let listen = listen.ok_or_else(|| bad("--listen: neither given nor in the settings".into()))?;
    let tracer = tracer(a.trace, net::hello(pb::Role::State, "state", 1))?;
    let (file, store) = (a.file.display().to_string(), a.store);
    let options = service::Options {
        settings: settings.clone(),
        file,
        store,
        listen,
        tracer,
    };
    let started = |address, handle: service::Handle| {
        listening(address);
        info!(%address, "state service up");
        host::on_signals_do(move || handle.stop());
    };
    service::serve(options, started).map_err(|error| Stop::Failed(error.to_string()))?;
    info!("state service ended");
    Ok(())
}

fn kinds_of(text: Option<&str>) -> Result<Vec<Kind>, Stop> {
    let Some(text) = text else {
        return Ok(Vec::new());
    };
    let known = || Kind::ALL.iter().map(|k| k.0).collect::<Vec<_>>().join(", ");
    Kind::read(text).map_err(|name| {
        bad(format!(
            "--kinds: expected some of {}, found {name}",
            known()
        ))
    })
}

fn stage(a: &StageArgs, role: pb::Role, name: &str) -> Result<serve::Stage, Stop> {
    let mut settings = load(&a.file)?;
    rehearse::play(&mut settings, &kinds_of(a.kinds.as_deref())?, a.seed);
    let tracer = tracer(a.trace.clone(), net::hello(role, name, 1))?;
    let t0 = a.t0.map_or_else(clock::now, Duration::from_nanos);
    Ok(serve::Stage {
        settings: Arc::new(settings),
        t0,
        tracer,
    })
}

fn nodes(a: NodeArgs) -> Result<(), Stop> {
    let stage = stage(&a.stage, pb::Role::Node, "nodes")?;
    let known = |id: &u32| stage.settings.nodes.iter().any(|n| n.id == *id);
    if let Some(id) = a.ids.iter().find(|id| !known(id)) {
        return Err(bad(format!(
            "--ids: {} has no node {id}",
            a.stage.file.display()
        )));
    }
    Ok(serve::nodes(&stage, &a.ids, a.list, |n| {
        listening(format_args!("with {n} nodes"))
    })?)
}

fn list(a: ListArgs) -> Result<(), Stop> {
    let stage = stage(&a.stage, pb::Role::List, "list")?;
    let listen = a.listen.or(stage.settings.list.address);
    let listen = listen.ok_or_else(|| bad("--listen: neither given nor in the settings".into()))?;
    let listener = TcpListener::bind(listen)
        .map_err(|e| Stop::Failed(format!("cannot listen on {listen}: {e}")))?;
    listening(listener.local_addr()?);
    Ok(serve::list(&stage, listener)?)
}

/// The script's path; the embedded one is laid into the folder where no file of that name is at hand.
fn script_at(script: &Path, dir: &Path) -> Result<PathBuf, Stop> {
    if script.exists() || !script.ends_with("bad-day.star") {
        return Ok(script.to_path_buf());
    }
    let path = dir.join("bad-day.star");
    std::fs::write(&path, BAD_DAY)?;
    Ok(path)
}

fn rehearsal(a: RehearseArgs) -> Result<(), Stop> {
    let dir = a.dir.clone().unwrap_or_else(rehearse::folder);
    std::fs::create_dir_all(&dir)?;
    let script = script_at(&a.script, &dir)?;
    let mut settings = load(&script)?;
    let mut kinds = kinds_of(a.kinds.as_deref())?;
    if let Some(journal) = &a.journal {
        let text = std::fs::read_to_string(journal)
            .map_err(|e| bad(format!("--journal: cannot read {}: {e}", journal.display())))?;
        kinds = Kind::find(&text);
        if kinds.is_empty() {
            return Err(bad(format!(
                "--journal: {} names no kinds of trouble",
                journal.display()
            )));
        }
    }
    rehearse::play(&mut settings, &kinds, a.seed);
    let Some(plan) = &settings.rehearsal else {
        return Err(bad(format!(
            "{}: no rehearsal() in the file",
            script.display()
        )));
    };
    let names: Vec<&str> = plan.troubles.iter().map(|t| t.kind.name()).collect();
    println!(
        "{}: {} hosts, {} nodes, {:?}, seed {}, troubles {}",
        settings.name,
        settings.hosts.len(),
        settings.nodes.len(),
        plan.length,
        plan.seed,
        if names.is_empty() {
            "none".into()
        } else {
            names.join("+")
        }
    );
    let bar = progress_bar(plan.length);
    let program = std::env::current_exe()?;
    let options = rehearse::Options {
        settings: &settings,
        script: &script,
        kinds: &kinds,
        seed: a.seed,
        dir: &dir,
        program: &program,
        progress: Box::new(|now, tally| {
            bar.set_position(now.as_millis() as u64);
            bar.set_message(format!("{} done, {} deferred", tally.done, tally.deferred));
        }),
    };
    let rehearse::Seen {
        tally,
        disks,
        changes,
    } = rehearse::rehearse(options)?;
    bar.finish_and_clear();
    report(&settings, &tally);
    report_changes(&settings, &tally, &changes);
    let judged = Case::open(&dir)?.judge(&settings).map_err(Stop::Failed)?;
    show(&judged, &dir);
    let fine = judged.breaches.is_empty()
        && judged.commands.fine()
        && tally.wrong_content == 0
        && tally.doubled == 0
        && (disks.wrong, disks.missing, disks.doubled) == (0, 0, 0);
    if fine && a.dir.is_none() && !a.keep {
        std::fs::remove_dir_all(&dir)?;
    } else {
        println!("traces and logs: {}", dir.display());
    }
    if disks.commands > 0 {
        println!(
            "iscsi: {} good, {} busy, {} of unknown outcome, {} logins, {} aborted and sent again; {} blocks checked, \
             {} wrong",
            disks.good,
            disks.busy,
            disks.unknown,
            disks.logins,
            disks.aborted,
            disks.blocks_checked,
            disks.wrong
        );
        println!(
            "commands {}, answered {}, missing {}, doubled {}",
            disks.commands, disks.answered, disks.missing, disks.doubled
        );
    }
    println!("{}", judged.line());
    if fine {
        Ok(())
    } else {
        Err(Stop::Broken)
    }
}

fn progress_bar(length: Duration) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(length.as_millis() as u64);
    let style = ProgressStyle::with_template("{bar:30} {percent}% {msg}");
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn report(s: &Settings, t: &Tally) {
    println!(
        "clients: {} tries, {} done, {} deferred, {} abandoned; {} lost with their host, {} unanswered, {} \
         answered twice, {} reads with wrong content, {} found no host",
        t.tries,
        t.done,
        t.deferred,
        t.abandoned,
        t.lost,
        t.unanswered,
        t.doubled,
        t.wrong_content,
        t.unreached
    );
    for (plan, (all, timely, late)) in &t.plans {
        let part = |n: u64| 100.0 * n as f64 / (*all).max(1) as f64;
        println!(
            "plan {:<10} {all:>7} pieces of work, {:>5.1}% in their SLO time, {:>4.1}% late",
            s.plans[*plan].name,
            part(*timely),
            part(*late)
        );
    }
}

/// What came of the script's changes, and how the volumes they name were served before and after.
fn report_changes(s: &Settings, t: &Tally, changes: &[rehearse::Played]) {
    const SPAN: u64 = 4;
    for c in changes {
        println!("at {:?}: {} -> {}", c.at, c.words.join(", "), c.said);
        let named = c.words.iter().filter_map(|w| {
            w.strip_prefix("volume ")?
                .split(' ')
                .next()?
                .parse::<u64>()
                .ok()
        });
        for (place, id) in
            named.filter_map(|id| Some((s.volumes.iter().position(|v| v.id == id)?, id)))
        {
            let at = c.at.as_secs();
            // Whoever is placed anew has a second for it.
            let spans = [at.saturating_sub(SPAN)..at, at + 1..at + 1 + SPAN];
            let part = |span: std::ops::Range<u64>| match t.timely(place, span) {
                Some(part) => format!("{:.0}%", 100.0 * part),
                None => "nothing asked".into(),
            };
            let [before, after] = spans.map(part);
            println!(
                "    volume {id}: in its SLO time in the {SPAN} s before {before}, from 1 s after {after}"
            );
        }
    }
}

fn show(v: &Verdict, dir: &Path) {
    for b in &v.breaches {
        println!(
            "rule {} ({}): {}",
            b.rule,
            RULES[usize::from(b.rule) - 1],
            b.what
        );
        b.frames.iter().for_each(|f| println!("    {f}"));
    }
    info!(dir = %dir.display(), attempts = v.attempts, effects = v.effects, "audited");
    println!(
        "audit: {} legs, {} effects, {} transfers lost with their host; last new leg {:.0} ms after a drain \
         was told",
        v.attempts, v.effects, v.lost, v.drain_ms
    );
    if !v.settled.is_empty() {
        let mut took: Vec<Duration> = v.settled.iter().map(|s| s.1).collect();
        took.sort_unstable();
        println!(
            "plans: {} entries over everywhere, half of them within {:.1} s of being told, all within {:.1} s",
            took.len(),
            took[took.len() / 2].as_secs_f64(),
            took[took.len() - 1].as_secs_f64()
        );
    }
    if v.commands.taken > 0 {
        v.commands.wrong.iter().for_each(|w| println!("{w}"));
        println!("{}", v.commands.line());
    }
}

fn show_trace(file: &Path, with: &str) -> Result<(), Stop> {
    let mut out = std::io::stdout().lock();
    for r in grebecleat_wire::trace::read_file(file)? {
        let line = grebecleat_audit::run::show("", &r);
        if line.contains(with) && writeln!(out, "{line}").is_err() {
            return Ok(()); // nobody reads any more
        }
    }
    Ok(())
}

fn audit(dir: &Path, script: &Path) -> Result<(), Stop> {
    let settings = load(script)?;
    let judged = Case::open(dir)?.judge(&settings).map_err(Stop::Failed)?;
    show(&judged, dir);
    println!("{}", judged.line());
    if judged.breaches.is_empty() && judged.commands.fine() {
        Ok(())
    } else {
        Err(Stop::Broken)
    }
}
