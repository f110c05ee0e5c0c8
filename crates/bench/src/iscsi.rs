//! Commands through a portal beside requests through the same host: reads in closed loops, the host
//! held to one core, initiators, clients and nodes on the others.

use crate::sockets::{prepare, stay_on, targets, together, used, Stage, LINES};
use grebecleat_testbed::initiator::{cdb16, Initiator, LoginParameters};
use grebecleat_wire::clock;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

const NAME: &str = "iqn.2026-12.org.example:bench";
const NODES: u32 = 10;
const UNITS: u64 = 4;
/// Commands' places in each unit: as much data as the plain path reads.
const PLACES: u64 = 16;
const BLOCK: u32 = 512;

/// One session's load.
struct Load {
    at: SocketAddr,
    number: u8,
    digests: bool,
    bytes: u32,
    open: usize,
}

impl Load {
    fn login(&self) -> io::Result<Initiator> {
        let parameters = LoginParameters {
            initiator: "iqn.2026-12.org.example:load".into(),
            target: NAME.into(),
            isid: self.number,
            digests: self.digests,
            chap: None,
        };
        let mut i = Initiator::login(self.at, &parameters)?;
        for lun in 0..UNITS {
            i.command(lun, &[0], &[], 0)?; // the unit came up
        }
        Ok(i)
    }

    fn write_all(&self) -> io::Result<()> {
        let mut i = self.login()?;
        let data = vec![7; self.bytes as usize];
        for lun in 0..UNITS {
            for place in 0..PLACES {
                let lba = place * u64::from(self.bytes / BLOCK);
                while i.write(lun, lba, &data)?.status != 0 {
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
        }
        Ok(())
    }

    /// Reads for a span; how many were GOOD a second, and the part that was not.
    fn reads(&self, span: Duration) -> io::Result<(f64, f64)> {
        let mut i = self.login()?;
        let blocks = self.bytes / BLOCK;
        let (mut drawn, mut out, mut good, mut not) = (u64::from(self.number), 0, 0u64, 0u64);
        let start = clock::now();
        while clock::now() < start + span {
            while out < self.open && i.may_send() {
                drawn += 1;
                let lba = drawn / UNITS % PLACES * u64::from(blocks);
                i.submit(drawn % UNITS, &cdb16(0x88, lba, blocks), &[], self.bytes)?;
                out += 1;
            }
            let mut next = Some(i.any()?);
            while let Some((_, answer)) = next {
                out -= 1;
                match answer.status {
                    0 => good += 1,
                    _ => not += 1,
                }
                next = i.ready()?;
            }
        }
        let took = (clock::now() - start).as_secs_f64();
        Ok((good as f64 / took, not as f64 / (good + not).max(1) as f64))
    }
}

pub fn measure(span: Duration, program: &Path, bytes: &[u32], open: &[usize]) -> io::Result<()> {
    stay_on(&[0, 1, 2])?;
    println!(
        "| bytes | open | plain path, a second | commands a second | of it | with digests | of it | MB/s | not GOOD | \
         us of the core: plain / command / digests |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for bytes in bytes {
        let portal = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let mut more = String::new();
        for unit in 0..UNITS {
            more += &format!(
                "volume(id = {}, plan = \"p\", blocks = 1048576)\n",
                1000 + unit
            );
        }
        let luns: Vec<String> = (0..UNITS).map(|unit| (1000 + unit).to_string()).collect();
        more += &format!(
            "portal(listen = \"{portal}\", read = \"read\", write = \"write\", large_read = \"read\", extent_blocks = 512, \
             unit_bytes = 262144, first_commands = 128, most_commands = 1024, commands_each = 128)\n\
             target(name = \"{NAME}\", volumes = [{}])\n",
            luns.join(", ")
        );
        let stage = Stage::with(program, NODES, &more, &["--store", "PLACES"])?;
        prepare(&stage, *bytes)?;
        let load = |open: usize, digests: bool| -> Vec<Load> {
            let each = open.div_ceil(LINES.min(open));
            let sessions = 0..LINES.min(open) as u8;
            sessions
                .map(|number| Load {
                    at: portal,
                    number,
                    digests,
                    bytes: *bytes,
                    open: each,
                })
                .collect()
        };
        load(1, false)[0].write_all()?;
        // Beyond that the plain path's client is hung up on: it would leave too much unread.
        for open in open.iter().filter(|o| **o as u32 <= (16 << 20) / *bytes) {
            let pid = stage.host.0.id();
            let timed = |run: &dyn Fn() -> io::Result<(f64, f64)>| -> io::Result<(f64, f64, f64)> {
                let (before, begun) = (used(pid)?.0, clock::now());
                let (rate, not) = run()?;
                let took = (clock::now() - begun).as_secs_f64();
                Ok((rate, not, (used(pid)?.0 - before) / took / rate * 1e6))
            };
            let lines = LINES.min(*open);
            let plain = || {
                let through = targets(&stage, *bytes).0.into_iter().take(lines).collect();
                together(through, |t| t.closed(open.div_ceil(lines), span))
            };
            let commands = |digests: bool| together(load(*open, digests), |l| l.reads(span));
            plain()?; // warm
            let (p, c, d) = (
                timed(&plain)?,
                timed(&|| commands(false))?,
                timed(&|| commands(true))?,
            );
            println!(
                "| {bytes} | {open} | {:.0} | {:.0} | {:.2} | {:.0} | {:.2} | {:.0} | {:.1}% | {:.1} / {:.1} / {:.1} |",
                p.0,
                c.0,
                c.0 / p.0,
                d.0,
                d.0 / p.0,
                c.0 * f64::from(*bytes) / 1e6,
                100.0 * c.1.max(d.1),
                p.2,
                c.2,
                d.2
            );
        }
        stage.end()?;
    }
    Ok(())
}
