//! `grebecleat fleet`: one running host's view of its fleet, from the metrics that it sends to
//! subscribers.

use crate::exit::{could_not_run, CommandError};
use grebecleat_testbed::net::hello;
use grebecleat_wire::pb::{self, frame::Body};
use grebecleat_wire::{clock, frame};
use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum frame size in bytes. It bounds the memory used if the peer is not a host.
const MAX_FRAME: usize = 16 << 20;
/// Timeout for connecting and for each read. A host sends metrics every second; a timeout close to that
/// would fail on a busy host.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the fleet as seen by the host that listens at this address.
pub fn show(at: SocketAddr) -> Result<(), CommandError> {
    let metrics = fetch_metrics(at).map_err(|error| could_not_run(format!("{at}: {error}")))?;
    print!("{}", format_metrics(&metrics));
    Ok(())
}

/// Connects to a host as a subscriber, and returns the first metrics that it sends.
fn fetch_metrics(at: SocketAddr) -> io::Result<pb::HostMetrics> {
    let mut stream = TcpStream::connect_timeout(&at, METRICS_TIMEOUT)?;
    stream.set_read_timeout(Some(METRICS_TIMEOUT))?;
    stream.write_all(&hello_frame())?;
    let mut reader = frame::Reader::new(MAX_FRAME);
    loop {
        let frame = reader
            .next::<pb::Frame>()
            .map_err(|error| io::Error::other(error.to_string()))?;
        match frame.and_then(|frame| frame.body) {
            Some(Body::HostMetrics(metrics)) => return Ok(*metrics),
            Some(Body::Hello(peer)) if peer.role() != pb::Role::Host => {
                return Err(io::Error::other(
                    "expected a host at this address, found another kind of process",
                ));
            }
            Some(_) => {}
            None if reader.fill(&mut stream)? == 0 => {
                return Err(io::Error::other(
                    "the host closed the connection before it sent its metrics",
                ))
            }
            None => {}
        }
    }
}

fn hello_frame() -> Vec<u8> {
    let incarnation = u64::from(std::process::id());
    let hello = pb::Frame {
        sent_us: clock::micros(clock::now()),
        body: Some(Body::Hello(hello(pb::Role::Operator, "fleet", incarnation))),
    };
    let mut bytes = Vec::new();
    frame::write(&hello, &mut bytes);
    bytes
}

/// Formats the metrics as lines of text.
fn format_metrics(metrics: &pb::HostMetrics) -> String {
    let mut lines = String::new();
    let mut add = |line: String| writeln!(lines, "{line}").expect("writing to a String succeeds");
    if metrics.incarnation == 0 {
        add(format!(
            "{}: tells its peers nothing; every decision is its own",
            metrics.host
        ));
        return lines;
    }
    add(format!(
        "{}: life {}, {} peers heard",
        metrics.host,
        metrics.incarnation,
        metrics.peers.len()
    ));
    for peer in &metrics.peers {
        add(peer_line(peer));
    }
    for policy in &metrics.endpoint_policies {
        add(policy_line(policy));
    }
    for quota in &metrics.quotas {
        add(quota_line(quota));
    }
    lines
}

fn peer_line(peer: &pb::PeerMetrics) -> String {
    let age = Duration::from_micros(peer.age_us).as_secs_f64();
    format!(
        "  peer {:<12} {age:>6.1} s old, tried {} nodes, {} badly",
        peer.host, peer.tried, peer.badly
    )
}

fn policy_line(status: &pb::EndpointPolicyMetrics) -> String {
    let policy = match status.policy() {
        pb::EndpointPolicy::AsToday => "by its own evidence",
        pb::EndpointPolicy::OwnWay => "its own way there is bad",
        pb::EndpointPolicy::Avoid => "avoided",
        pb::EndpointPolicy::Look => "avoided by others, looked at by this host",
    };
    format!(
        "  node {:<6} {:<9} {} hosts for it ({:.1}), {} against ({:.1}): {policy}",
        status.node,
        status.verdict,
        status.well,
        status.well_weight,
        status.badly,
        status.badly_weight
    )
}

fn quota_line(quota: &pb::QuotaMetrics) -> String {
    format!(
        "  volume {:<6} {:>5.1}% of its limit: settled {:.1}% of {} hosts', lent {:.1}%, borrowed {:.1}%",
        quota.volume,
        100.0 * quota.part,
        100.0 * quota.base,
        quota.sharers,
        100.0 * quota.lent,
        100.0 * quota.borrowed
    )
}
