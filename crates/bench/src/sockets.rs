//! A host process held to one core, between clients in this process and stand-in nodes in another.
//!
//! Closed loops give requests a second; open loops at half that rate give the time added, beside
//! the same reads sent to the stand-in nodes directly. Loopback only; every loop ends with its
//! span.

use crate::site;
use bytes::Bytes;
use grebecleat_testbed::net::hello;
use grebecleat_wire::pb::{self, frame::Body, Outcome};
use grebecleat_wire::{clock, frame};
use hdrhistogram::Histogram;
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Connections that load comes over.
pub const LINES: usize = 2;
/// Extents written before they are read, for each volume.
const EXTENTS: u64 = 4;
const VOLUMES: u64 = 20;
static NEXT: AtomicU64 = AtomicU64::new(1);

pub struct Running(pub Child, pub String);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(
    program: &Path,
    args: &[&str],
    cores: &'static [usize],
    log: &Path,
) -> io::Result<Running> {
    let mut command = Command::new(program);
    command
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped());
    command.stderr(fs::File::options().create(true).append(true).open(log)?);
    // SAFETY: only async-signal-safe calls between fork and exec.
    unsafe { command.pre_exec(move || stay_on(cores)) };
    let mut child = command.spawn()?;
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line)?;
    let said = line.trim().strip_prefix("listening ").map(str::to_string);
    Ok(Running(
        child,
        said.ok_or_else(|| io::Error::other(format!("{args:?} did not start: {line}")))?,
    ))
}

pub fn stay_on(cores: &[usize]) -> io::Result<()> {
    // SAFETY: a plain set of bits, handed to the kernel by address.
    let done = unsafe {
        let mut set: libc::cpu_set_t = std::mem::zeroed();
        cores.iter().for_each(|c| libc::CPU_SET(*c, &mut set));
        libc::sched_setaffinity(0, size_of::<libc::cpu_set_t>(), &set)
    };
    if done == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

/// Seconds of processor time, and bytes resident.
pub fn used(pid: u32) -> io::Result<(f64, f64)> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    // SAFETY: no pointers.
    let a_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) } as f64;
    // SAFETY: no pointers.
    let page = unsafe { libc::sysconf(libc::_SC_PAGESIZE) } as f64;
    Ok(((ticks(11) + ticks(12)) / a_second, ticks(21) * page))
}

/// A list, nodes and a host of their own.
pub struct Stage {
    dir: PathBuf,
    _list: Running,
    _nodes: Running,
    pub host: Running,
    /// Node ids with their addresses.
    nodes: Vec<(u32, SocketAddr)>,
}

impl Stage {
    fn new(program: &Path, nodes: u32, more: &str) -> io::Result<Self> {
        Stage::with(program, nodes, more, &[])
    }

    /// `own` are arguments of the host's alone; `PLACES` stands for a new file in the stage's
    /// folder.
    pub fn with(program: &Path, nodes: u32, more: &str, own: &[&str]) -> io::Result<Self> {
        Stage::of(program, &(site(nodes, 30) + more), nodes, own)
    }

    /// Of settings of its own.
    pub fn of(program: &Path, text: &str, nodes: u32, own: &[&str]) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("grebecleat-bench-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let (script, log) = (dir.join("site.star"), dir.join("log"));
        fs::write(&script, text)?;
        let file = script.to_str().expect("a plain path");
        let _ = fs::remove_file(&log);
        let list = start(
            program,
            &["discovery-service", file, "--listen", "127.0.0.1:0"],
            &[0, 1, 2],
            &log,
        )?;
        let running = start(
            program,
            &["node", file, "--list", &list.1],
            &[0, 1, 2],
            &log,
        )?;
        let args = [
            "run",
            file,
            "--listen",
            "127.0.0.1:0",
            "--list",
            &list.1,
            "--workers",
            "1",
        ];
        let places = dir.join("places");
        let _ = fs::remove_file(&places);
        let places = places.to_str().expect("a plain path");
        let own: Vec<&str> = own
            .iter()
            .map(|a| if *a == "PLACES" { places } else { *a })
            .collect();
        let host = start(program, &[&args[..], &own].concat(), &[3], &log)?;
        let known = || ask_list(&list.1).unwrap_or_default();
        let mut there = known();
        while there.len() < nodes as usize {
            std::thread::sleep(Duration::from_millis(50));
            there = known();
        }
        let stage = Stage {
            dir,
            _list: list,
            _nodes: running,
            host,
            nodes: there,
        };
        std::thread::sleep(Duration::from_millis(800)); // the host's watch
        Ok(stage)
    }

    pub fn address(&self) -> SocketAddr {
        self.host.1.parse().expect("an address")
    }

    /// Drains the host; its events for each step.
    pub fn end(mut self) -> io::Result<f64> {
        let pid = self.host.0.id().to_string();
        Command::new("kill").args(["-s", "TERM", &pid]).status()?;
        self.host.0.wait()?;
        let log = fs::read_to_string(self.dir.join("log"))?;
        let count = |name: &str| -> f64 {
            let after = log.rsplit(&format!("{name}: ")).next().unwrap_or("");
            after
                .split(|c: char| !c.is_ascii_digit())
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0.0)
        };
        Ok(count("events") / count("steps").max(1.0))
    }
}

fn put(stream: &mut TcpStream, bodies: impl IntoIterator<Item = Body>) -> io::Result<()> {
    let sent_us = clock::micros(clock::now());
    let mut bytes = Vec::new();
    for body in bodies {
        frame::write(
            &pb::Frame {
                sent_us,
                body: Some(body),
            },
            &mut bytes,
        );
    }
    stream.write_all(&bytes)
}

fn connect(to: SocketAddr, role: pb::Role) -> io::Result<(TcpStream, frame::Reader)> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    put(&mut stream, [Body::Hello(hello(role, "bench", 1))])?;
    let mut reader = frame::Reader::new(32 << 20);
    get(&mut stream, &mut reader)?;
    Ok((stream, reader))
}

/// What has come, at least one.
fn get(stream: &mut TcpStream, reader: &mut frame::Reader) -> io::Result<Vec<Body>> {
    loop {
        let mut all = Vec::new();
        while let Some(f) = reader.next::<pb::Frame>().map_err(io::Error::other)? {
            all.extend(f.body);
        }
        if !all.is_empty() {
            return Ok(all);
        }
        if reader.fill(stream)? == 0 {
            return Err(io::Error::other("hung up"));
        }
    }
}

fn ask_list(at: &str) -> io::Result<Vec<(u32, SocketAddr)>> {
    let (mut s, mut r) = connect(at.parse().map_err(io::Error::other)?, pb::Role::Client)?;
    put(&mut s, [Body::FetchEndpoints(pb::FetchEndpoints {})])?;
    let mut all = Vec::new();
    for body in get(&mut s, &mut r)? {
        if let Body::EndpointUpdate(l) = body {
            all.extend(
                l.endpoints
                    .iter()
                    .filter_map(|e| Some((e.node, e.address.parse().ok()?))),
            );
        }
    }
    Ok(all)
}

/// One piece of work, as a client's request or straight as an attempt.
#[derive(Clone, Copy)]
struct Work {
    number: u64,
    node: u32,
    volume: u64,
    extent: u64,
    length: u32,
    write: bool,
}

impl Work {
    fn draw(nodes: &[(u32, SocketAddr)], length: u32, write: bool) -> Self {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let node = nodes[(number % nodes.len() as u64) as usize].0;
        Work {
            number,
            node,
            volume: number % VOLUMES,
            extent: number / 7 % EXTENTS,
            length,
            write,
        }
    }

    fn data(&self) -> Bytes {
        Bytes::from(vec![7; if self.write { self.length as usize } else { 0 }])
    }

    fn take(&self) -> Body {
        let id = Bytes::from(format!("{:036}", self.number));
        Body::SubmitRequest(pb::SubmitRequest {
            piece: id.clone(),
            id,
            traffic_class: u32::from(self.write),
            volume: self.volume,
            shard: Some(self.node),
            units: 1.0,
            left_us: 30_000_000,
            extent: self.extent,
            length: self.length,
            write: self.write,
            data: self.data(),
            ..Default::default()
        })
    }

    fn attempt(&self) -> Body {
        let id = Bytes::from(format!("{:036}", self.number));
        Body::Attempt(pb::Attempt {
            attempt: self.number,
            piece: id.clone(),
            id,
            node: self.node,
            traffic_class: u32::from(self.write),
            volume: self.volume,
            units: 1.0,
            left_us: 30_000_000,
            extent: self.extent,
            length: self.length,
            write: self.write,
            data: self.data(),
            ..Default::default()
        })
    }
}

/// The number of the work that an answer is to, and whether it was done.
fn answer(body: &Body) -> Option<(u64, bool)> {
    match body {
        Body::Response(f) => {
            let number = std::str::from_utf8(&f.id).ok()?.parse().ok()?;
            Some((number, f.outcome() == Outcome::Completed))
        }
        Body::AttemptResponse(a) => Some((a.attempt, a.result() == pb::Result::Ok)),
        _ => None,
    }
}

/// Where load goes: to the host, or to nodes directly.
#[derive(Clone)]
pub struct Target {
    through_host: bool,
    at: SocketAddr,
    nodes: Vec<(u32, SocketAddr)>,
    length: u32,
}

impl Target {
    fn body(&self, w: &Work) -> Body {
        if self.through_host {
            w.take()
        } else {
            w.attempt()
        }
    }

    fn connect(&self) -> io::Result<(TcpStream, frame::Reader)> {
        connect(
            self.at,
            if self.through_host {
                pb::Role::Client
            } else {
                pb::Role::Host
            },
        )
    }

    /// Keeps `open` requests open for a span; how many were done a second, and the part that was
    /// not done.
    pub fn closed(&self, open: usize, span: Duration) -> io::Result<(f64, f64)> {
        let (mut stream, mut reader) = self.connect()?;
        let draw = || self.body(&Work::draw(&self.nodes, self.length, false));
        put(&mut stream, (0..open).map(|_| draw()))?;
        let (start, mut done, mut not) = (clock::now(), 0u64, 0u64);
        while clock::now() < start + span {
            let answers: Vec<_> = get(&mut stream, &mut reader)?
                .iter()
                .filter_map(answer)
                .collect();
            not += answers.iter().filter(|a| !a.1).count() as u64;
            done += answers.iter().filter(|a| a.1).count() as u64;
            put(&mut stream, answers.iter().map(|_| draw()))?;
        }
        let took = (clock::now() - start).as_secs_f64();
        Ok((done as f64 / took, not as f64 / (done + not).max(1) as f64))
    }

    /// Sends at a steady rate for a span; the times from when each should have gone to its answer.
    fn open(&self, rate: f64, span: Duration) -> io::Result<Histogram<u64>> {
        let (mut stream, mut reader) = self.connect()?;
        let count = (rate * span.as_secs_f64()) as u64;
        let first = NEXT.fetch_add(count * self.nodes.len() as u64, Ordering::Relaxed);
        let (mut writer, start) = (
            stream.try_clone()?,
            clock::now() + Duration::from_millis(20),
        );
        let due = move |i: u64| start + Duration::from_secs_f64(i as f64 / rate);
        let target = self.clone();
        let sender = std::thread::spawn(move || -> io::Result<()> {
            let mut i = 0;
            while i < count {
                let now = clock::now();
                let ready = (i..count).take_while(|j| due(*j) <= now).count() as u64;
                let node = |n: u64| target.nodes[(n % target.nodes.len() as u64) as usize].0;
                let work = (i..i + ready).map(|j| first + j).map(|number| Work {
                    number,
                    node: node(number),
                    volume: number % VOLUMES,
                    extent: number / 7 % EXTENTS,
                    length: target.length,
                    write: false,
                });
                put(&mut writer, work.map(|w| target.body(&w)))?;
                i += ready;
                std::thread::sleep(
                    due(i)
                        .saturating_sub(clock::now())
                        .min(Duration::from_micros(200)),
                );
            }
            Ok(())
        });
        let mut times = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        let mut left = count;
        while left > 0 {
            for (number, _) in get(&mut stream, &mut reader)?.iter().filter_map(answer) {
                let took = clock::now().saturating_sub(due(number - first));
                times.saturating_record(took.as_micros() as u64);
                left -= 1;
            }
        }
        sender
            .join()
            .map_err(|_| io::Error::other("the sender panicked"))??;
        Ok(times)
    }
}

pub fn together<T: Sync + Send>(
    targets: Vec<T>,
    each: impl Fn(&T) -> io::Result<(f64, f64)> + Sync,
) -> io::Result<(f64, f64)> {
    std::thread::scope(|s| {
        let all: Vec<_> = targets.iter().map(|t| s.spawn(|| each(t))).collect();
        let (mut sum, mut part) = (0.0, 0.0);
        for one in all {
            let (rate, not) = one
                .join()
                .map_err(|_| io::Error::other("a load panicked"))??;
            (sum, part) = (sum + rate, part + not / targets.len() as f64);
        }
        Ok((sum, part))
    })
}

#[derive(Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Table {
    Throughput,
    Latency,
    Memory,
}

pub fn measure(
    span: Duration,
    program: &Path,
    only: Option<Table>,
    nodes: &[u32],
) -> io::Result<()> {
    stay_on(&[0, 1, 2])?;
    let wanted = |t: Table| only.is_none_or(|o| o == t);
    if wanted(Table::Throughput) {
        println!(
            "| nodes | bytes | open | through the host, a second | not done | directly, a second | host's core \
             | us of it a transfer | events a step |"
        );
        println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
        for n in nodes {
            for (length, open) in [
                (512, 1),
                (512, 100),
                (512, 1000),
                (32 << 10, 32),
                (256 << 10, 16),
            ] {
                throughput(span, program, *n, length, open)?;
            }
        }
        println!();
    }
    if wanted(Table::Latency) {
        println!("| nodes | bytes | rate | directly 50% / 99% / 99.9%, us | through the host 50% / 99% / 99.9%, us |");
        println!("| ---: | ---: | ---: | ---: | ---: |");
        for n in nodes {
            for (length, rate) in [
                (512, 2000.0),
                (512, 5000.0),
                (512, 10_000.0),
                (32 << 10, 2000.0),
            ] {
                latency(span, program, *n, length, rate)?;
            }
        }
        println!();
    }
    if wanted(Table::Memory) {
        memory(program)?;
    }
    Ok(())
}

pub fn targets(stage: &Stage, length: u32) -> (Vec<Target>, Vec<Target>) {
    let host = Target {
        through_host: true,
        at: stage.address(),
        nodes: stage.nodes.clone(),
        length,
    };
    let node = |i: usize| {
        let own = stage.nodes[i * stage.nodes.len() / LINES];
        Target {
            through_host: false,
            at: own.1,
            nodes: vec![own],
            length,
        }
    };
    (vec![host; LINES], (0..LINES).map(node).collect())
}

/// Writes what will be read.
pub fn prepare(stage: &Stage, length: u32) -> io::Result<()> {
    for (id, at) in stage.nodes.iter().take(100) {
        let (mut stream, mut reader) = connect(*at, pb::Role::Host)?;
        for volume in 0..VOLUMES {
            for extent in 0..EXTENTS {
                let work = Work {
                    volume,
                    extent,
                    write: true,
                    ..Work::draw(&[(*id, *at)], length, true)
                };
                put(&mut stream, [work.attempt()])?;
                get(&mut stream, &mut reader)?;
            }
        }
    }
    Ok(())
}

fn throughput(
    span: Duration,
    program: &Path,
    nodes: u32,
    length: u32,
    open: usize,
) -> io::Result<()> {
    let stage = Stage::new(program, nodes, "")?;
    prepare(&stage, length)?;
    let (through, direct) = targets(&stage, length);
    let each = |t: &Target| t.closed(open.div_ceil(LINES), span);
    together(through.clone(), |t| {
        t.closed(open.div_ceil(LINES), span / 3)
    })?; // warm
    let before = used(stage.host.0.id())?;
    let begun = clock::now();
    let (rate, not) = together(through, each)?;
    let took = (clock::now() - begun).as_secs_f64();
    let cpu = used(stage.host.0.id())?.0 - before.0;
    let (plain, _) = together(direct, each)?;
    let batch = stage.end()?;
    println!(
        "| {nodes} | {length} | {open} | {rate:.0} | {:.1}% | {plain:.0} | {:.0}% | {:.1} | {batch:.1} |",
        100.0 * not,
        100.0 * cpu / took,
        cpu / took / rate * 1e6
    );
    Ok(())
}

fn latency(span: Duration, program: &Path, nodes: u32, length: u32, rate: f64) -> io::Result<()> {
    let stage = Stage::new(program, nodes, "")?;
    prepare(&stage, length)?;
    let (through, direct) = targets(&stage, length);
    through[0].open(rate, span / 3)?;
    let show = |h: &Histogram<u64>| {
        format!(
            "{} / {} / {}",
            h.value_at_quantile(0.5),
            h.value_at_quantile(0.99),
            h.value_at_quantile(0.999)
        )
    };
    let host = through[0].open(rate, span)?;
    let plain = direct[0].open(rate, span)?;
    stage.end()?;
    println!(
        "| {nodes} | {length} | {rate:.0} | {} | {} |",
        show(&plain),
        show(&host)
    );
    Ok(())
}

/// Resident bytes for each request that is out, and each that is held, at nodes that answer
/// nothing.
fn memory(program: &Path) -> io::Result<()> {
    println!("| nodes | open | resident before | with them open | bytes for each |");
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for (nodes, open) in [(10, 10_000u64), (1000, 4000)] {
        let hang = "trouble(kind = \"hang\", at = s(0), len = s(3000), part = 1.0)\n";
        let stage = Stage::new(program, nodes, hang)?;
        let before = used(stage.host.0.id())?.1;
        let (mut stream, _reader) = connect(stage.address(), pb::Role::Client)?;
        put(
            &mut stream,
            (0..open).map(|_| Work::draw(&stage.nodes, 512, false).take()),
        )?;
        std::thread::sleep(Duration::from_millis(1500));
        let after = used(stage.host.0.id())?.1;
        let each = (after - before) / open as f64;
        println!(
            "| {nodes} | {open} | {:.1} MB | {:.1} MB | {each:.0} |",
            before / 1e6,
            after / 1e6
        );
    }
    Ok(())
}
