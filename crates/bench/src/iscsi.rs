//! Compares iSCSI commands through a portal with requests sent to the same host over its own protocol
//! (the native path): reads in closed loops, with the host pinned to one core and the initiators,
//! clients and nodes on the others.

use crate::sockets::{
    load_targets, pin_to_cores, process_usage, run_in_parallel, write_test_data, TestSetup,
    CONNECTIONS,
};
use grebecleat_testbed::initiator::{cdb16, Initiator, LoginParameters};
use grebecleat_wire::clock;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

const TARGET_NAME: &str = "iqn.2026-12.org.example:bench";
const NODES: u32 = 10;
const UNITS: u64 = 4;
/// Locations read in each logical unit, so that commands read as much data as the native path.
const LOCATIONS_PER_UNIT: u64 = 16;
const BLOCK: u32 = 512;

/// The load of one session.
struct Load {
    portal: SocketAddr,
    number: u8,
    digests: bool,
    bytes: u32,
    open: usize,
}

impl Load {
    fn login(&self) -> io::Result<Initiator> {
        let parameters = LoginParameters {
            initiator: "iqn.2026-12.org.example:load".into(),
            target: TARGET_NAME.into(),
            isid: self.number,
            digests: self.digests,
            chap: None,
        };
        let mut session = Initiator::login(self.portal, &parameters)?;
        for lun in 0..UNITS {
            session.command(lun, &[0], &[], 0)?; // takes the power-on UNIT ATTENTION condition
        }
        Ok(session)
    }

    fn write_all(&self) -> io::Result<()> {
        let mut session = self.login()?;
        let data = vec![7; self.bytes as usize];
        for lun in 0..UNITS {
            for location in 0..LOCATIONS_PER_UNIT {
                let lba = location * u64::from(self.bytes / BLOCK);
                while session.write(lun, lba, &data)?.status != 0 {
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
        }
        Ok(())
    }

    /// Reads for the duration `span`; returns the commands per second with status GOOD and the fraction of
    /// commands with another status.
    fn reads(&self, span: Duration) -> io::Result<(f64, f64)> {
        let mut session = self.login()?;
        let blocks = self.bytes / BLOCK;
        let (mut number, mut outstanding, mut good, mut failed) =
            (u64::from(self.number), 0, 0u64, 0u64);
        let start = clock::now();
        while clock::now() < start + span {
            while outstanding < self.open && session.may_send() {
                number += 1;
                let lba = number / UNITS % LOCATIONS_PER_UNIT * u64::from(blocks);
                session.submit(number % UNITS, &cdb16(0x88, lba, blocks), &[], self.bytes)?;
                outstanding += 1;
            }
            let mut next = Some(session.any()?);
            while let Some((_, answer)) = next {
                outstanding -= 1;
                match answer.status {
                    0 => good += 1,
                    _ => failed += 1,
                }
                next = session.ready()?;
            }
        }
        let elapsed = (clock::now() - start).as_secs_f64();
        Ok((
            good as f64 / elapsed,
            failed as f64 / (good + failed).max(1) as f64,
        ))
    }
}

pub fn measure(span: Duration, program: &Path, bytes: &[u32], open: &[usize]) -> io::Result<()> {
    pin_to_cores(&[0, 1, 2])?;
    println!(
        "| bytes | open | native path, per second | commands per second | of native | with digests, per second | of native | MB/s | not GOOD | \
         host CPU, us: native / command / with digests |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for bytes in bytes {
        let portal = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let mut extra_settings = String::new();
        for unit in 0..UNITS {
            extra_settings += &format!(
                "volume(id = {}, plan = \"p\", blocks = 1048576)\n",
                1000 + unit
            );
        }
        let luns: Vec<String> = (0..UNITS).map(|unit| (1000 + unit).to_string()).collect();
        extra_settings += &format!(
            "portal(listen = \"{portal}\", read = \"read\", write = \"write\", large_read = \"read\", extent_blocks = 512, \
             unit_bytes = 262144, first_commands = 128, most_commands = 1024, commands_each = 128)\n\
             target(name = \"{TARGET_NAME}\", volumes = [{}])\n",
            luns.join(", ")
        );
        let setup =
            TestSetup::with_host_args(program, NODES, &extra_settings, &["--store", "PLACES"])?;
        write_test_data(&setup, *bytes)?;
        let load = |open: usize, digests: bool| -> Vec<Load> {
            let each = open.div_ceil(CONNECTIONS.min(open));
            let sessions = 0..CONNECTIONS.min(open) as u8;
            sessions
                .map(|number| Load {
                    portal,
                    number,
                    digests,
                    bytes: *bytes,
                    open: each,
                })
                .collect()
        };
        load(1, false)[0].write_all()?;
        // With more open requests, the host would close the connection of the native client, as too many
        // response bytes would be unread.
        for open in open.iter().filter(|o| **o as u32 <= (16 << 20) / *bytes) {
            let pid = setup.host.0.id();
            let timed = |run: &dyn Fn() -> io::Result<(f64, f64)>| -> io::Result<(f64, f64, f64)> {
                let (before, started) = (process_usage(pid)?.0, clock::now());
                let (rate, failed) = run()?;
                let elapsed = (clock::now() - started).as_secs_f64();
                Ok((
                    rate,
                    failed,
                    (process_usage(pid)?.0 - before) / elapsed / rate * 1e6,
                ))
            };
            let connections = CONNECTIONS.min(*open);
            let native = || {
                let host_targets = load_targets(&setup, *bytes)
                    .0
                    .into_iter()
                    .take(connections)
                    .collect();
                run_in_parallel(host_targets, |t| {
                    t.closed_loop(open.div_ceil(connections), span)
                })
            };
            let commands = |digests: bool| run_in_parallel(load(*open, digests), |l| l.reads(span));
            native()?; // warm-up, not measured
            let (p, c, d) = (
                timed(&native)?,
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
        setup.end()?;
    }
    Ok(())
}
