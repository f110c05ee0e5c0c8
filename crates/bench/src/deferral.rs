//! Measures deferral under overload, by default twice the capacity of the nodes, with initiators that
//! honour the retry delay of status BUSY and with initiators that ignore it. The load on volumes with
//! a reservation stays below the reservation; the load on the other volumes exceeds the remaining
//! capacity.

use crate::sockets::{pin_to_cores, TestSetup};
use grebecleat_testbed::initiator::{cdb16, Initiator, LoginParameters};
use grebecleat_wire::clock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

const NODES: u32 = 4;
/// Capacity of all nodes in units per second: two cores per node and 5 ms per unit.
const CAPACITY: f64 = 1600.0;
const RESERVED: u64 = 4;
const OTHERS: u64 = 4;
/// Reservation of each volume that has one, in units per second.
const RESERVATION: f64 = 100.0;
/// Load on each volume with a reservation, in requests per second.
const RESERVED_LOAD: f64 = 90.0;
const EXTENTS: u64 = 32;
const EXTENT_BLOCKS: u64 = 128;
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(300);
/// Time after which an initiator gives up a read.
const GIVE_UP_AFTER: Duration = Duration::from_millis(1500);
/// Retry delay of initiators that ignore the delay sent with BUSY.
const FIXED_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Counts of reads and of the commands sent for them.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    reads: u64,
    within_objective: u64,
    completed: u64,
    given_up: u64,
    commands: u64,
    busy: u64,
    other: u64,
}

impl Counts {
    fn add(&mut self, other: Counts) {
        let all = [
            (&mut self.reads, other.reads),
            (&mut self.within_objective, other.within_objective),
            (&mut self.completed, other.completed),
            (&mut self.given_up, other.given_up),
            (&mut self.commands, other.commands),
            (&mut self.busy, other.busy),
            (&mut self.other, other.other),
        ];
        all.into_iter().for_each(|(a, b)| *a += b);
    }
}

/// The load of one initiator on one volume.
struct Load {
    portal: SocketAddr,
    target: &'static str,
    lun: u64,
    reads_per_second: f64,
    honours_delay: bool,
    seed: u64,
}

impl Load {
    fn login(&self) -> io::Result<Initiator> {
        let (initiator, isid) = (
            format!("iqn.2026-12.org.example:load-{}", self.seed),
            self.lun as u8,
        );
        let parameters = LoginParameters {
            initiator,
            target: self.target.into(),
            isid,
            digests: false,
            chap: None,
        };
        let mut session = Initiator::login(self.portal, &parameters)?;
        session.command(self.lun, &[0], &[], 0)?;
        Ok(session)
    }

    fn write_all(&self) -> io::Result<()> {
        let mut session = self.login()?;
        for extent in 0..EXTENTS {
            while session
                .write(self.lun, extent * EXTENT_BLOCKS, &[7; 4096])?
                .status
                != 0
            {
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Issues reads as a Poisson process of constant rate, regardless of the outcome of earlier reads.
    fn run(&self, span: Duration) -> io::Result<Counts> {
        let (mut session, mut rng, mut counts) = (
            self.login()?,
            Pcg64Mcg::seed_from_u64(self.seed),
            Counts::default(),
        );
        let (start, mut ready, mut retries) = (clock::now(), VecDeque::new(), BTreeMap::new());
        let (mut next, mut open, mut number) = (start, BTreeMap::new(), 0u64);
        while clock::now() < start + span + GIVE_UP_AFTER {
            let now = clock::now();
            while next <= now && next < start + span {
                ready.push_back(next);
                counts.reads += 1;
                next += Duration::from_secs_f64(
                    -(1.0 - rng.random::<f64>()).ln() / self.reads_per_second,
                );
            }
            while let Some((at, _)) = retries
                .first_key_value()
                .map(|(k, v): (&(Duration, u64), &Duration)| (k.0, *v))
            {
                if at > now {
                    break;
                }
                ready.extend(retries.pop_first().map(|l| l.1));
            }
            while let Some(arrived) = ready.front().copied().filter(|_| session.may_send()) {
                ready.pop_front();
                if now > arrived + GIVE_UP_AFTER {
                    counts.given_up += 1;
                    continue;
                }
                let lba = rng.random_range(0..EXTENTS) * EXTENT_BLOCKS;
                open.insert(
                    session.submit(self.lun, &cdb16(0x88, lba, 8), &[], 4096)?,
                    arrived,
                );
                counts.commands += 1;
            }
            let wake = retries.keys().next().map_or(next, |l| l.0.min(next));
            let wait = wake
                .saturating_sub(clock::now())
                .clamp(Duration::from_micros(200), Duration::from_millis(5));
            let Some((itt, response)) = session.wait_any_timeout(wait)? else {
                continue;
            };
            let Some(arrived) = open.remove(&itt) else {
                continue;
            };
            let now = clock::now();
            match response.status {
                0 => {
                    counts.completed += 1;
                    counts.within_objective += u64::from(now <= arrived + LATENCY_OBJECTIVE);
                }
                8 => {
                    counts.busy += 1;
                    number += 1;
                    let delay = response.retry.filter(|_| self.honours_delay);
                    // Adds jitter; otherwise all commands that were deferred together would be retried
                    // together.
                    let wait =
                        delay.map_or(FIXED_RETRY_DELAY, |t| t.mul_f64(rng.random_range(0.9..1.3)));
                    retries.insert((now + wait, number), arrived);
                }
                _ => counts.other += 1,
            }
        }
        counts.given_up += (ready.len() + retries.len() + open.len()) as u64;
        Ok(counts)
    }
}

/// Settings of the site. Without `window`, the command window is so large that deferrals hardly
/// reduce it, and the portal accepts every command.
fn site(portal: SocketAddr, window: bool) -> String {
    let commands = if window {
        ""
    } else {
        ", first_commands = 1e6, most_commands = 1e6, commands_each = 4000"
    };
    let ids = |from: u64, n: u64| {
        (from..from + n)
            .map(|v| v.to_string())
            .collect::<Vec<_>>()
            .join(", ")
    };
    format!(
        r#"
zone(name = "a")
stream_type(name = "read", slo = ms(300), expiry = ms(1500), repeat = "repeatable", unit_work = ms(5))
stream_type(name = "write", slo = ms(300), expiry = ms(1500), repeat = "repeatable", write = True, unit_work = ms(5))
plan(name = "reserved", rate = {RESERVATION}, reservation = {RESERVATION})
plan(name = "others", rate = 1000, reservation = 50)
host(name = "h")
for i in range({NODES}):
    node(id = i + 1, zone = "a", cores = 2, queue = 200, flush_every = s(1000))
for v in range({RESERVED}):
    volume(id = 100 + v, plan = "reserved", blocks = 65536)
for v in range({OTHERS}):
    volume(id = 200 + v, plan = "others", blocks = 65536)
node_list(lag = ms(0))
units(mean = 1, largest = 4)
rehearsal(seed = 1, length = s(3600))
portal(listen = "{portal}", read = "read", write = "write", large_read = "read"{commands})
target(name = "iqn.2026-12.org.example:reserved", volumes = [{}])
target(name = "iqn.2026-12.org.example:others", volumes = [{}])
"#,
        ids(100, RESERVED),
        ids(200, OTHERS)
    )
}

pub fn measure(span: Duration, program: &Path, times: f64) -> io::Result<()> {
    pin_to_cores(&[0, 1, 2])?;
    println!("| initiators | volumes | reads | completed | within {LATENCY_OBJECTIVE:?} | given up | BUSY | commands per completed read | other status |");
    println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for (honours_delay, window) in [(true, true), (false, true), (true, false), (false, false)] {
        let portal = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let setup = TestSetup::with_settings(
            program,
            &site(portal, window),
            NODES,
            &["--store", "PLACES"],
        )?;
        let others_load = (times * CAPACITY - RESERVED_LOAD * RESERVED as f64) / OTHERS as f64;
        let load = |lun, reserved: bool| Load {
            portal,
            target: if reserved {
                "iqn.2026-12.org.example:reserved"
            } else {
                "iqn.2026-12.org.example:others"
            },
            lun,
            reads_per_second: if reserved { RESERVED_LOAD } else { others_load },
            honours_delay,
            seed: lun + if reserved { 100 } else { 200 },
        };
        let all: Vec<(bool, Load)> = (0..RESERVED)
            .map(|lun| (true, load(lun, true)))
            .chain((0..OTHERS).map(|lun| (false, load(lun, false))))
            .collect();
        for (_, l) in &all {
            l.write_all()?;
        }
        let (mut reserved_counts, mut other_counts) = (Counts::default(), Counts::default());
        std::thread::scope(|s| -> io::Result<()> {
            let runs: Vec<_> = all
                .iter()
                .map(|(r, l)| (*r, s.spawn(|| l.run(span))))
                .collect();
            for (reserved, run) in runs {
                let counts = run
                    .join()
                    .map_err(|_| io::Error::other("a load thread panicked"))??;
                if reserved {
                    &mut reserved_counts
                } else {
                    &mut other_counts
                }
                .add(counts);
            }
            Ok(())
        })?;
        for (name, s) in [("reserved", reserved_counts), ("others", other_counts)] {
            let percent = |n: u64| 100.0 * n as f64 / s.reads.max(1) as f64;
            println!(
                "| {} | {name} | {} | {:.1}% | {:.2}% | {} | {} | {:.2} | {} |",
                match (honours_delay, window) {
                    (true, true) => "honour window and delay",
                    (false, true) => "honour the window, retry after 10 ms",
                    (true, false) => "wide window, honour the delay",
                    (false, false) => "wide window, retry after 10 ms",
                },
                s.reads,
                percent(s.completed),
                percent(s.within_objective),
                s.given_up,
                s.busy,
                s.commands as f64 / s.completed.max(1) as f64,
                s.other
            );
        }
        setup.end()?;
    }
    Ok(())
}
