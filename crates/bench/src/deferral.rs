//! Deferral in use: twice what the nodes can do, from initiators that heed BUSY's retry delay and
//! from ones that do not. Volumes with a reserve ask for less than it; the others ask for all the
//! rest and more.

use crate::sockets::{stay_on, Stage};
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
/// Units a second that all nodes can do: two cores each, 5 ms a unit.
const CAPACITY: f64 = 1600.0;
const RESERVED: u64 = 4;
const OTHERS: u64 = 4;
/// Of each volume with a reserve, and how much of it is asked for.
const RESERVE: f64 = 100.0;
const ASKED: f64 = 90.0;
const EXTENTS: u64 = 32;
const EXTENT_BLOCKS: u64 = 128;
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(300);
/// After that long nobody wants the answer any more.
const GIVEN_UP: Duration = Duration::from_millis(1500);
/// How soon initiators that know of no delay come again.
const PLAIN_RETRY: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    pieces: u64,
    timely: u64,
    done: u64,
    given_up: u64,
    commands: u64,
    busy: u64,
    other: u64,
}

impl Seen {
    fn add(&mut self, o: Seen) {
        let all = [
            (&mut self.pieces, o.pieces),
            (&mut self.timely, o.timely),
            (&mut self.done, o.done),
            (&mut self.given_up, o.given_up),
            (&mut self.commands, o.commands),
            (&mut self.busy, o.busy),
            (&mut self.other, o.other),
        ];
        all.into_iter().for_each(|(a, b)| *a += b);
    }
}

struct Load {
    at: SocketAddr,
    target: &'static str,
    lun: u64,
    a_second: f64,
    heeds: bool,
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
        let mut i = Initiator::login(self.at, &parameters)?;
        i.command(self.lun, &[0], &[], 0)?;
        Ok(i)
    }

    fn prepare(&self) -> io::Result<()> {
        let mut i = self.login()?;
        for extent in 0..EXTENTS {
            while i
                .write(self.lun, extent * EXTENT_BLOCKS, &[7; 4096])?
                .status
                != 0
            {
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Reads arrive by chance at a steady rate, whatever becomes of those before.
    fn run(&self, span: Duration) -> io::Result<Seen> {
        let (mut i, mut rng, mut seen) = (
            self.login()?,
            Pcg64Mcg::seed_from_u64(self.seed),
            Seen::default(),
        );
        let (start, mut fresh, mut later) = (clock::now(), VecDeque::new(), BTreeMap::new());
        let (mut next, mut open, mut number) = (start, BTreeMap::new(), 0u64);
        while clock::now() < start + span + GIVEN_UP {
            let now = clock::now();
            while next <= now && next < start + span {
                fresh.push_back(next);
                seen.pieces += 1;
                next += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / self.a_second);
            }
            while let Some((at, _)) = later
                .first_key_value()
                .map(|(k, v): (&(Duration, u64), &Duration)| (k.0, *v))
            {
                if at > now {
                    break;
                }
                fresh.extend(later.pop_first().map(|l| l.1));
            }
            while let Some(since) = fresh.front().copied().filter(|_| i.may_send()) {
                fresh.pop_front();
                if now > since + GIVEN_UP {
                    seen.given_up += 1;
                    continue;
                }
                let lba = rng.random_range(0..EXTENTS) * EXTENT_BLOCKS;
                open.insert(i.submit(self.lun, &cdb16(0x88, lba, 8), &[], 4096)?, since);
                seen.commands += 1;
            }
            let wake = later.keys().next().map_or(next, |l| l.0.min(next));
            let wait = wake
                .saturating_sub(clock::now())
                .clamp(Duration::from_micros(200), Duration::from_millis(5));
            let Some((itt, answer)) = i.any_within(wait)? else {
                continue;
            };
            let Some(since) = open.remove(&itt) else {
                continue;
            };
            let now = clock::now();
            match answer.status {
                0 => {
                    seen.done += 1;
                    seen.timely += u64::from(now <= since + LATENCY_OBJECTIVE);
                }
                8 => {
                    seen.busy += 1;
                    number += 1;
                    let told = answer.retry.filter(|_| self.heeds);
                    // Spread over the delay's step, or all that were sent away together come back
                    // together.
                    let wait = told.map_or(PLAIN_RETRY, |t| t.mul_f64(rng.random_range(0.9..1.3)));
                    later.insert((now + wait, number), since);
                }
                _ => seen.other += 1,
            }
        }
        seen.given_up += (fresh.len() + later.len() + open.len()) as u64;
        Ok(seen)
    }
}

/// Without `window` a portal takes all that comes: the window is so wide that deferrals hardly
/// narrow it.
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
plan(name = "reserved", rate = {RESERVE}, reservation = {RESERVE})
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
    stay_on(&[0, 1, 2])?;
    println!("| initiators | volumes | pieces | done | in {LATENCY_OBJECTIVE:?} | given up | BUSY | commands a done piece | other |");
    println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for (heeds, window) in [(true, true), (false, true), (true, false), (false, false)] {
        let portal = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let stage = Stage::of(
            program,
            &site(portal, window),
            NODES,
            &["--store", "PLACES"],
        )?;
        let rest = (times * CAPACITY - ASKED * RESERVED as f64) / OTHERS as f64;
        let load = |lun, reserved: bool| Load {
            at: portal,
            target: if reserved {
                "iqn.2026-12.org.example:reserved"
            } else {
                "iqn.2026-12.org.example:others"
            },
            lun,
            a_second: if reserved { ASKED } else { rest },
            heeds,
            seed: lun + if reserved { 100 } else { 200 },
        };
        let all: Vec<(bool, Load)> = (0..RESERVED)
            .map(|lun| (true, load(lun, true)))
            .chain((0..OTHERS).map(|lun| (false, load(lun, false))))
            .collect();
        for (_, l) in &all {
            l.prepare()?;
        }
        let (mut kept, mut shed) = (Seen::default(), Seen::default());
        std::thread::scope(|s| -> io::Result<()> {
            let runs: Vec<_> = all
                .iter()
                .map(|(r, l)| (*r, s.spawn(|| l.run(span))))
                .collect();
            for (reserved, run) in runs {
                let seen = run
                    .join()
                    .map_err(|_| io::Error::other("a load panicked"))??;
                if reserved { &mut kept } else { &mut shed }.add(seen);
            }
            Ok(())
        })?;
        for (name, s) in [("reserved", kept), ("others", shed)] {
            let part = |n: u64| 100.0 * n as f64 / s.pieces.max(1) as f64;
            println!(
                "| {} | {name} | {} | {:.1}% | {:.2}% | {} | {} | {:.2} | {} |",
                match (heeds, window) {
                    (true, true) => "heed window and delay",
                    (false, true) => "heed the window, come again at once",
                    (true, false) => "wide window, heed the delay",
                    (false, false) => "wide window, come again at once",
                },
                s.pieces,
                part(s.done),
                part(s.timely),
                s.given_up,
                s.busy,
                s.commands as f64 / s.done.max(1) as f64,
                s.other
            );
        }
        stage.end()?;
    }
    Ok(())
}
