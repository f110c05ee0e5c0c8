//! What one running host knows of the fleet, as it tells whoever watches it.

use crate::exit::{could_not_run, CommandError};
use grebecleat_testbed::net::hello;
use grebecleat_wire::pb::{self, frame::Body};
use grebecleat_wire::{clock, frame};
use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const MAX_FRAME: usize = 16 << 20;
/// Figures come every second.
const PATIENCE: Duration = Duration::from_secs(5);

fn figures(at: SocketAddr) -> io::Result<pb::HostMetrics> {
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let me = hello(pb::Role::Operator, "fleet", u64::from(std::process::id()));
    let mut bytes = Vec::new();
    let sent_us = clock::micros(clock::now());
    frame::write(
        &pb::Frame {
            sent_us,
            body: Some(Body::Hello(me)),
        },
        &mut bytes,
    );
    stream.write_all(&bytes)?;
    let mut reader = frame::Reader::new(MAX_FRAME);
    loop {
        match reader
            .next::<pb::Frame>()
            .map_err(|e| io::Error::other(e.to_string()))?
            .and_then(|f| f.body)
        {
            Some(Body::HostMetrics(f)) => return Ok(*f),
            Some(Body::Hello(them)) if them.role() != pb::Role::Host => {
                return Err(io::Error::other("no host answers there"));
            }
            Some(_) => {}
            None if reader.fill(&mut stream)? == 0 => {
                return Err(io::Error::other("the host hung up"))
            }
            None => {}
        }
    }
}

/// The figures as they are printed.
pub fn table(f: &pb::HostMetrics) -> String {
    let mut out = String::new();
    let mut line = |text: String| writeln!(out, "{text}").expect("a String takes all");
    if f.incarnation == 0 {
        line(format!(
            "{}: tells its peers nothing; every decision is its own",
            f.host
        ));
        return out;
    }
    line(format!(
        "{}: life {}, {} peers heard",
        f.host,
        f.incarnation,
        f.peers.len()
    ));
    for p in &f.peers {
        let age = Duration::from_micros(p.age_us).as_secs_f64();
        line(format!(
            "  peer {:<12} {age:>6.1} s old, tried {} nodes, {} badly",
            p.host, p.tried, p.badly
        ));
    }
    for b in &f.endpoint_policies {
        let belief = match b.policy() {
            pb::EndpointPolicy::AsToday => "by its own evidence",
            pb::EndpointPolicy::OwnWay => "its own way there is bad",
            pb::EndpointPolicy::Avoid => "avoided",
            pb::EndpointPolicy::Look => "avoided by others, looked at by this host",
        };
        line(format!(
            "  node {:<6} {:<9} {} hosts for it ({:.1}), {} against ({:.1}): {belief}",
            b.node, b.verdict, b.well, b.well_weight, b.badly, b.badly_weight
        ));
    }
    for p in &f.quotas {
        line(format!(
            "  volume {:<6} {:>5.1}% of its limit: settled {:.1}% of {} hosts', lent {:.1}%, borrowed {:.1}%",
            p.volume,
            100.0 * p.part,
            100.0 * p.base,
            p.sharers,
            100.0 * p.lent,
            100.0 * p.borrowed
        ));
    }
    out
}

pub fn show(at: SocketAddr) -> Result<(), CommandError> {
    let f = figures(at).map_err(|e| could_not_run(format!("{at}: {e}")))?;
    print!("{}", table(&f));
    Ok(())
}
