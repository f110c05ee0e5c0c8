//! Measures the store and the state service with large contents: the time to open a large store, and
//! the number of changes per second committed through sockets, each written to disk before it is
//! acknowledged.

use grebecleat_catalog::change::Change;
use grebecleat_catalog::records::{Plan, Version, Volume};
use grebecleat_catalog_service::client::{Client, Reply};
use grebecleat_catalog_service::codec::change_to_proto;
use grebecleat_catalog_service::store::{Record, Store};
use grebecleat_wire::pb::{self, frame::Body};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

fn plan(rate: f64) -> Option<Plan> {
    Some(Plan {
        rate,
        weight: 1.0,
        price: 1.0,
        ..Plan::default()
    })
}

/// Resident memory of this process in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find(|l| l.starts_with("VmRSS:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Fills a store, opens it again, and prints one table row.
pub fn open(volumes: u64, extents: u64, run: u64) -> std::io::Result<()> {
    let dir = std::env::temp_dir().join(format!("grebecleat-bench-state-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let path = dir.join("large.store");
    let to_io_error =
        |e: grebecleat_catalog_service::store::StoreFault| std::io::Error::other(e.to_string());
    let started = Instant::now();
    {
        let (mut store, ..) = Store::open(&path, 1000).map_err(to_io_error)?;
        let name = |n: u64| format!("plan-{}", n % 100);
        let plans = (0..100).map(|n| Change::Plan {
            name: name(n).into(),
            to: plan(10.0),
        });
        let volume = |id: u64| Volume {
            plan: name(id).into(),
            hosts: [
                format!("host-{}", id % 20).into(),
                format!("host-{}", id % 20 + 20).into(),
            ]
            .into(),
            shards: [(id % 400) as u32, (id % 400) as u32 + 1].into(),
            blocks: 1 << 21,
        };
        let all = plans.chain((0..volumes).map(|id| Change::Volume {
            id,
            to: Some(volume(id)),
        }));
        let snapshot = Record::Snapshot {
            version: Version(1),
            state: all.collect(),
            audit_log: Vec::new(),
        };
        store.commit(&[snapshot]).map_err(to_io_error)?;
        let mut rng = Pcg64Mcg::seed_from_u64(5);
        let (mut batch, mut shard, mut remaining) = (Vec::new(), 0, 0);
        for n in 0..extents {
            if remaining == 0 {
                (shard, remaining) = (
                    rng.random_range(0..400),
                    rng.random_range(1..run.max(1) * 2),
                );
            }
            remaining -= 1;
            batch.push(Record::ExtentPlacement {
                volume: n / 10_000,
                extent: n % 10_000,
                shard,
            });
            if batch.len() == 100_000 || n + 1 == extents {
                store
                    .commit(&std::mem::take(&mut batch))
                    .map_err(to_io_error)?;
            }
        }
    }
    let fill_time = started.elapsed();
    let before = resident_kb();
    let started = Instant::now();
    let (store, contents) = Store::open(&path, 1000).map_err(to_io_error)?;
    let open_time = started.elapsed();
    let extent_count: u64 = contents.extents.values().map(|p| p.len()).sum();
    println!(
        "| {} | {extent_count} | {run} | {:.0} | {:.1} | {:.2} | {:.0} |",
        contents.state.state.len() - 100,
        std::fs::metadata(&path)?.len() as f64 / 1e6,
        fill_time.as_secs_f64(),
        open_time.as_secs_f64(),
        resident_kb().saturating_sub(before) as f64 / 1e3
    );
    drop(store);
    std::fs::remove_dir_all(&dir)
}

/// A state service process, killed when dropped, and its address.
struct Service(Child, SocketAddr);

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_service(program: &Path, dir: &Path, volumes: u64, nodes: u32) -> std::io::Result<Service> {
    let site = dir.join("site.star");
    let text = format!(
        r#"
zone(name = "a")
zone(name = "b")
stream_type(name = "read", slo = s(1), expiry = s(2), repeat = "repeatable")
for p in range(100):
    plan(name = "plan-%d" % p, rate = 10, reservation = 1)
for h in range(4):
    host(name = "h%d" % h)
for n in range({nodes}):
    node(id = n, zone = "a" if n % 2 else "b", capacity = {capacity})
for v in range({volumes}):
    volume(id = v, plan = "plan-%d" % (v % 100), cells = [v % {nodes}, (v + 1) % {nodes}, (v + 2) % {nodes}])
state_service()
"#,
        capacity = volumes * 2 / u64::from(nodes) + 1
    );
    std::fs::write(&site, text)?;
    let _ = std::fs::remove_file(dir.join("bench.store"));
    let store = dir.join("bench.store");
    let args = ["--log-level", "error", "state-service"];
    let mut c = Command::new(program);
    c.args(args)
        .arg(&site)
        .arg("--store")
        .arg(&store)
        .args(["--listen", "127.0.0.1:0"]);
    let mut child = c.stdout(Stdio::piped()).spawn()?;
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("stdout is piped")).read_line(&mut line)?;
    let at = line
        .trim()
        .strip_prefix("listening ")
        .and_then(|a| a.parse().ok());
    let at = at.ok_or_else(|| {
        std::io::Error::other(
            "state service: expected `listening ADDRESS` as the first line of output",
        )
    })?;
    Ok(Service(child, at))
}

/// Changes volumes over `conns` connections, on each of them one change after the other, each as soon as
/// the one before is committed.
pub fn changes(
    program: &Path,
    span: Duration,
    volumes: u64,
    nodes: u32,
    conns: u64,
) -> std::io::Result<()> {
    let dir = std::env::temp_dir().join(format!("grebecleat-bench-changes-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let service = start_service(program, &dir, volumes, nodes)?;
    let at = service.1;
    let until = Instant::now() + span;
    let workers: Vec<_> = (0..conns)
        .map(|w| {
            std::thread::spawn(move || -> std::io::Result<(u64, Histogram<u64>)> {
                let mut c = Client::connect(at, "bench")?;
                let mut latencies =
                    Histogram::<u64>::new(3).expect("three significant digits are valid");
                let (mut n, mut committed) = (0, 0);
                while Instant::now() < until {
                    n += 1;
                    let id = (w + n * conns) % volumes;
                    let to = Volume {
                        plan: format!("plan-{}", (id + n) % 100).into(),
                        hosts: ["h0".into(), format!("h{}", 1 + n % 3).into()].into(),
                        shards: [0u32, 1, 2]
                            .map(|i| ((id + u64::from(i)) % u64::from(nodes)) as u32)
                            .into(),
                        blocks: 1 << 21,
                    };
                    let changes = vec![change_to_proto(&Change::Volume { id, to: Some(to) })];
                    let (author, reason) = ("bench".to_string(), String::new());
                    let started = Instant::now();
                    let reply = c.change(|call| {
                        Body::Propose(pb::Propose {
                            call,
                            author,
                            reason,
                            changes,
                            ..Default::default()
                        })
                    })?;
                    if let Reply::Committed(_) = reply {
                        committed += 1;
                        let _ = latencies.record(started.elapsed().as_micros() as u64);
                    }
                }
                Ok((committed, latencies))
            })
        })
        .collect();
    let (mut committed, mut latencies) = (
        0,
        Histogram::<u64>::new(3).expect("three significant digits are valid"),
    );
    for w in workers {
        let (n, own) = w
            .join()
            .map_err(|_| std::io::Error::other("a worker thread panicked"))??;
        committed += n;
        latencies.add(own).expect("histograms have the same bounds");
    }
    let size = std::fs::metadata(dir.join("bench.store"))?.len();
    let ms = |q: f64| latencies.value_at_quantile(q) as f64 / 1e3;
    println!(
        "| {volumes} | {nodes} | {conns} | {:.0} | {:.1} | {:.1} | {:.1} |",
        committed as f64 / span.as_secs_f64(),
        ms(0.5),
        ms(0.99),
        size as f64 / 1e6
    );
    drop(service);
    std::fs::remove_dir_all(&dir)
}

pub fn measure(program: &Path, span: Duration, volumes: u64, extents: u64) -> std::io::Result<()> {
    println!(
        "| volumes | extents | mean run length | file, MB | fill, s | open, s | resident, MB |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for run in [8u64, 64, 1024] {
        // Runs each measurement in a separate process, so that memory left over from one does not count in
        // the next.
        let args = [volumes, extents, run].map(|n| n.to_string());
        let status = Command::new(std::env::current_exe()?)
            .arg("state-open")
            .args(args)
            .status()?;
        if !status.success() {
            return Err(std::io::Error::other(
                "the child process of a measurement failed; expected exit status 0",
            ));
        }
    }
    println!(
        "\n| volumes | nodes | connections | changes per second | p50, ms | p99, ms | file, MB |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for (volumes, nodes, conns) in [
        (100, 10, 1),
        (100, 10, 64),
        (10_000, 200, 1),
        (10_000, 200, 64),
        (10_000, 200, 256),
    ] {
        changes(program, span, volumes, nodes, conns)?;
    }
    Ok(())
}
