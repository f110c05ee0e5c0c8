//! Measures a host process pinned to one core, between clients in this process and simulated nodes in
//! another process, over loopback connections.
//!
//! Closed loops measure requests per second. Open loops at fixed rates measure the latency that
//! the host adds, in comparison with the same reads sent directly to the simulated nodes. Every loop
//! runs for a fixed duration.

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

/// Number of connections that carry the load.
pub const CONNECTIONS: usize = 2;
/// Extents of each volume that are written before the reads.
const EXTENTS: u64 = 4;
const VOLUMES: u64 = 20;
/// Number of the next transfer.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A child process, killed when dropped, and the address on which it listens.
pub struct ServerProcess(pub Child, pub String);

impl Drop for ServerProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a process on these cores, with its standard error appended to `log`, and waits until it listens.
fn start_server(
    program: &Path,
    args: &[&str],
    cores: &'static [usize],
    log: &Path,
) -> io::Result<ServerProcess> {
    let mut command = Command::new(program);
    command
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped());
    command.stderr(fs::File::options().create(true).append(true).open(log)?);
    // SAFETY: the closure makes only async-signal-safe calls between fork and exec.
    unsafe { command.pre_exec(move || pin_to_cores(cores)) };
    let mut child = command.spawn()?;
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("stdout is piped")).read_line(&mut line)?;
    let address = line.trim().strip_prefix("listening ").map(str::to_string);
    Ok(ServerProcess(
        child,
        address.ok_or_else(|| {
            io::Error::other(format!(
                "{program:?} {args:?}: expected `listening ADDRESS` as the first line of output, found {line:?}"
            ))
        })?,
    ))
}

/// Pins the calling thread, and the threads and processes that it starts afterwards, to these cores.
pub fn pin_to_cores(cores: &[usize]) -> io::Result<()> {
    // SAFETY: `cpu_set_t` is a plain bit set, valid when zeroed; the kernel only reads it during the call.
    let status = unsafe {
        let mut set: libc::cpu_set_t = std::mem::zeroed();
        cores.iter().for_each(|c| libc::CPU_SET(*c, &mut set));
        libc::sched_setaffinity(0, size_of::<libc::cpu_set_t>(), &set)
    };
    if status == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

/// CPU time in seconds and resident memory in bytes of a process.
pub fn process_usage(pid: u32) -> io::Result<(f64, f64)> {
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
    // SAFETY: the call takes no pointers.
    let ticks_per_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) } as f64;
    // SAFETY: the call takes no pointers.
    let page_size = unsafe { libc::sysconf(libc::_SC_PAGESIZE) } as f64;
    Ok((
        (ticks(11) + ticks(12)) / ticks_per_second,
        ticks(21) * page_size,
    ))
}

/// A discovery service, a process with simulated nodes, and a host, started for one measurement.
pub struct TestSetup {
    dir: PathBuf,
    _discovery: ServerProcess,
    _nodes: ServerProcess,
    pub host: ServerProcess,
    /// Node ids and addresses.
    nodes: Vec<(u32, SocketAddr)>,
}

impl TestSetup {
    fn new(program: &Path, nodes: u32, extra_settings: &str) -> io::Result<Self> {
        TestSetup::with_host_args(program, nodes, extra_settings, &[])
    }

    /// Starts the processes with `extra_settings` in addition to the settings common to all benchmarks.
    /// `host_args` holds extra arguments for the host only; the argument `PLACES` is replaced by the path
    /// of a new file in the temporary directory.
    pub fn with_host_args(
        program: &Path,
        nodes: u32,
        extra_settings: &str,
        host_args: &[&str],
    ) -> io::Result<Self> {
        TestSetup::with_settings(
            program,
            &(site(nodes, 30) + extra_settings),
            nodes,
            host_args,
        )
    }

    /// Starts the processes with `text` as the complete settings.
    pub fn with_settings(
        program: &Path,
        text: &str,
        nodes: u32,
        host_args: &[&str],
    ) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("grebecleat-bench-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let (script, log) = (dir.join("site.star"), dir.join("log"));
        fs::write(&script, text)?;
        let file = script.to_str().expect("the path is valid UTF-8");
        let _ = fs::remove_file(&log);
        let discovery = start_server(
            program,
            &["discovery-service", file, "--listen", "127.0.0.1:0"],
            &[0, 1, 2],
            &log,
        )?;
        let nodes_process = start_server(
            program,
            &["node", file, "--list", &discovery.1],
            &[0, 1, 2],
            &log,
        )?;
        let args = [
            "run",
            file,
            "--listen",
            "127.0.0.1:0",
            "--list",
            &discovery.1,
            "--workers",
            "1",
        ];
        let store_path = dir.join("places");
        let _ = fs::remove_file(&store_path);
        let store_path = store_path.to_str().expect("the path is valid UTF-8");
        let host_args: Vec<&str> = host_args
            .iter()
            .map(|a| if *a == "PLACES" { store_path } else { *a })
            .collect();
        let host = start_server(program, &[&args[..], &host_args].concat(), &[3], &log)?;
        let registered = || fetch_endpoints(&discovery.1).unwrap_or_default();
        let mut endpoints = registered();
        while endpoints.len() < nodes as usize {
            std::thread::sleep(Duration::from_millis(50));
            endpoints = registered();
        }
        let setup = TestSetup {
            dir,
            _discovery: discovery,
            _nodes: nodes_process,
            host,
            nodes: endpoints,
        };
        std::thread::sleep(Duration::from_millis(800)); // until the host has received the endpoint list
        Ok(setup)
    }

    pub fn address(&self) -> SocketAddr {
        self.host.1.parse().expect("the host printed its address")
    }

    /// Drains the host and returns its mean number of events per step, from its log.
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

fn send_frames(stream: &mut TcpStream, bodies: impl IntoIterator<Item = Body>) -> io::Result<()> {
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
    send_frames(&mut stream, [Body::Hello(hello(role, "bench", 1))])?;
    let mut reader = frame::Reader::new(32 << 20);
    receive_bodies(&mut stream, &mut reader)?;
    Ok((stream, reader))
}

/// Waits until at least one frame is complete and returns the bodies of all complete frames.
fn receive_bodies(stream: &mut TcpStream, reader: &mut frame::Reader) -> io::Result<Vec<Body>> {
    loop {
        let mut all = Vec::new();
        while let Some(f) = reader.next::<pb::Frame>().map_err(io::Error::other)? {
            all.extend(f.body);
        }
        if !all.is_empty() {
            return Ok(all);
        }
        if reader.fill(stream)? == 0 {
            return Err(io::Error::other(
                "peer closed the connection; expected a frame",
            ));
        }
    }
}

fn fetch_endpoints(at: &str) -> io::Result<Vec<(u32, SocketAddr)>> {
    let (mut stream, mut reader) =
        connect(at.parse().map_err(io::Error::other)?, pb::Role::Client)?;
    send_frames(&mut stream, [Body::FetchEndpoints(pb::FetchEndpoints {})])?;
    let mut all = Vec::new();
    for body in receive_bodies(&mut stream, &mut reader)? {
        if let Body::EndpointUpdate(update) = body {
            all.extend(
                update
                    .endpoints
                    .iter()
                    .filter_map(|e| Some((e.node, e.address.parse().ok()?))),
            );
        }
    }
    Ok(all)
}

/// One read or write, sent as a client's request to the host or directly as an attempt to a node.
#[derive(Clone, Copy)]
struct Transfer {
    number: u64,
    node: u32,
    volume: u64,
    extent: u64,
    length: u32,
    write: bool,
}

impl Transfer {
    fn next(nodes: &[(u32, SocketAddr)], length: u32, write: bool) -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let node = nodes[(number % nodes.len() as u64) as usize].0;
        Transfer {
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

    fn request_body(&self) -> Body {
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

    fn attempt_body(&self) -> Body {
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

/// The number of the transfer that a response belongs to, and whether the transfer succeeded.
fn parse_response(body: &Body) -> Option<(u64, bool)> {
    match body {
        Body::Response(f) => {
            let number = std::str::from_utf8(&f.id).ok()?.parse().ok()?;
            Some((number, f.outcome() == Outcome::Completed))
        }
        Body::AttemptResponse(a) => Some((a.attempt, a.result() == pb::Result::Ok)),
        _ => None,
    }
}

/// Destination of the load: the host, or a node directly.
#[derive(Clone)]
pub struct Target {
    through_host: bool,
    at: SocketAddr,
    nodes: Vec<(u32, SocketAddr)>,
    length: u32,
}

impl Target {
    fn body(&self, transfer: &Transfer) -> Body {
        if self.through_host {
            transfer.request_body()
        } else {
            transfer.attempt_body()
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

    /// Keeps `open` requests open for the duration `span`; returns the successful requests per second
    /// and the fraction of requests that failed.
    pub fn closed_loop(&self, open: usize, span: Duration) -> io::Result<(f64, f64)> {
        let (mut stream, mut reader) = self.connect()?;
        let next_body = || self.body(&Transfer::next(&self.nodes, self.length, false));
        send_frames(&mut stream, (0..open).map(|_| next_body()))?;
        let (start, mut succeeded, mut failed) = (clock::now(), 0u64, 0u64);
        while clock::now() < start + span {
            let responses: Vec<_> = receive_bodies(&mut stream, &mut reader)?
                .iter()
                .filter_map(parse_response)
                .collect();
            failed += responses.iter().filter(|a| !a.1).count() as u64;
            succeeded += responses.iter().filter(|a| a.1).count() as u64;
            send_frames(&mut stream, responses.iter().map(|_| next_body()))?;
        }
        let elapsed = (clock::now() - start).as_secs_f64();
        Ok((
            succeeded as f64 / elapsed,
            failed as f64 / (succeeded + failed).max(1) as f64,
        ))
    }

    /// Sends requests at a constant rate for the duration `span`; returns the times from the scheduled
    /// sending of each request to its response, in microseconds.
    fn open_loop(&self, rate: f64, span: Duration) -> io::Result<Histogram<u64>> {
        let (mut stream, mut reader) = self.connect()?;
        let count = (rate * span.as_secs_f64()) as u64;
        let first = NEXT_NUMBER.fetch_add(count * self.nodes.len() as u64, Ordering::Relaxed);
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
                let transfers = (i..i + ready).map(|j| first + j).map(|number| Transfer {
                    number,
                    node: node(number),
                    volume: number % VOLUMES,
                    extent: number / 7 % EXTENTS,
                    length: target.length,
                    write: false,
                });
                send_frames(
                    &mut writer,
                    transfers.map(|transfer| target.body(&transfer)),
                )?;
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
        let mut remaining = count;
        while remaining > 0 {
            for (number, _) in receive_bodies(&mut stream, &mut reader)?
                .iter()
                .filter_map(parse_response)
            {
                let elapsed = clock::now().saturating_sub(due(number - first));
                times.saturating_record(elapsed.as_micros() as u64);
                remaining -= 1;
            }
        }
        sender
            .join()
            .map_err(|_| io::Error::other("the sender thread panicked"))??;
        Ok(times)
    }
}

/// Runs the load of every target in a thread of its own; returns the sum of the rates and the mean of the
/// failed fractions.
pub fn run_in_parallel<T: Sync + Send>(
    targets: Vec<T>,
    each: impl Fn(&T) -> io::Result<(f64, f64)> + Sync,
) -> io::Result<(f64, f64)> {
    std::thread::scope(|s| {
        let threads: Vec<_> = targets.iter().map(|t| s.spawn(|| each(t))).collect();
        let (mut rate_sum, mut failed_mean) = (0.0, 0.0);
        for thread in threads {
            let (rate, failed) = thread
                .join()
                .map_err(|_| io::Error::other("a load thread panicked"))??;
            (rate_sum, failed_mean) =
                (rate_sum + rate, failed_mean + failed / targets.len() as f64);
        }
        Ok((rate_sum, failed_mean))
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
    pin_to_cores(&[0, 1, 2])?;
    let wanted = |t: Table| only.is_none_or(|o| o == t);
    if wanted(Table::Throughput) {
        println!(
            "| nodes | bytes | open | through the host, per second | failed | directly, per second | host CPU \
             | host CPU per transfer, us | events per step |"
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

/// Load targets through the host, and the same number of targets at single nodes.
pub fn load_targets(setup: &TestSetup, length: u32) -> (Vec<Target>, Vec<Target>) {
    let host = Target {
        through_host: true,
        at: setup.address(),
        nodes: setup.nodes.clone(),
        length,
    };
    let node = |i: usize| {
        let own = setup.nodes[i * setup.nodes.len() / CONNECTIONS];
        Target {
            through_host: false,
            at: own.1,
            nodes: vec![own],
            length,
        }
    };
    (
        vec![host; CONNECTIONS],
        (0..CONNECTIONS).map(node).collect(),
    )
}

/// Writes the extents that the measurements read, directly to at most 100 nodes.
pub fn write_test_data(setup: &TestSetup, length: u32) -> io::Result<()> {
    for (id, at) in setup.nodes.iter().take(100) {
        let (mut stream, mut reader) = connect(*at, pb::Role::Host)?;
        for volume in 0..VOLUMES {
            for extent in 0..EXTENTS {
                let transfer = Transfer {
                    volume,
                    extent,
                    write: true,
                    ..Transfer::next(&[(*id, *at)], length, true)
                };
                send_frames(&mut stream, [transfer.attempt_body()])?;
                receive_bodies(&mut stream, &mut reader)?;
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
    let setup = TestSetup::new(program, nodes, "")?;
    write_test_data(&setup, length)?;
    let (through, direct) = load_targets(&setup, length);
    let each = |t: &Target| t.closed_loop(open.div_ceil(CONNECTIONS), span);
    run_in_parallel(through.clone(), |t| {
        t.closed_loop(open.div_ceil(CONNECTIONS), span / 3)
    })?; // warm-up, not measured
    let before = process_usage(setup.host.0.id())?;
    let started = clock::now();
    let (rate, failed) = run_in_parallel(through, each)?;
    let elapsed = (clock::now() - started).as_secs_f64();
    let cpu = process_usage(setup.host.0.id())?.0 - before.0;
    let (direct_rate, _) = run_in_parallel(direct, each)?;
    let events_per_step = setup.end()?;
    println!(
        "| {nodes} | {length} | {open} | {rate:.0} | {:.1}% | {direct_rate:.0} | {:.0}% | {:.1} | {events_per_step:.1} |",
        100.0 * failed,
        100.0 * cpu / elapsed,
        cpu / elapsed / rate * 1e6
    );
    Ok(())
}

fn latency(span: Duration, program: &Path, nodes: u32, length: u32, rate: f64) -> io::Result<()> {
    let setup = TestSetup::new(program, nodes, "")?;
    write_test_data(&setup, length)?;
    let (through, direct) = load_targets(&setup, length);
    through[0].open_loop(rate, span / 3)?;
    let format_quantiles = |h: &Histogram<u64>| {
        format!(
            "{} / {} / {}",
            h.value_at_quantile(0.5),
            h.value_at_quantile(0.99),
            h.value_at_quantile(0.999)
        )
    };
    let host_times = through[0].open_loop(rate, span)?;
    let direct_times = direct[0].open_loop(rate, span)?;
    setup.end()?;
    println!(
        "| {nodes} | {length} | {rate:.0} | {} | {} |",
        format_quantiles(&direct_times),
        format_quantiles(&host_times)
    );
    Ok(())
}

/// Prints the resident memory per open request at nodes that do not respond, both for requests in flight
/// and for queued ones.
fn memory(program: &Path) -> io::Result<()> {
    println!(
        "| nodes | open | resident before | resident with open requests | bytes per request |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for (nodes, open) in [(10, 10_000u64), (1000, 4000)] {
        let hang = "trouble(kind = \"hang\", at = s(0), len = s(3000), part = 1.0)\n";
        let setup = TestSetup::new(program, nodes, hang)?;
        let before = process_usage(setup.host.0.id())?.1;
        let (mut stream, _reader) = connect(setup.address(), pb::Role::Client)?;
        send_frames(
            &mut stream,
            (0..open).map(|_| Transfer::next(&setup.nodes, 512, false).request_body()),
        )?;
        std::thread::sleep(Duration::from_millis(1500));
        let after = process_usage(setup.host.0.id())?.1;
        let each = (after - before) / open as f64;
        println!(
            "| {nodes} | {open} | {:.1} MB | {:.1} MB | {each:.0} |",
            before / 1e6,
            after / 1e6
        );
    }
    Ok(())
}
