//! Connections that this host accepts: clients, operators' programs and other hosts.

use super::connection::{greet, read_frames, serve, ConnectionError};
use super::Shared;
use crate::router::{ConnId, Input};
use grebecleat_scheduler::api::PeerId;
use grebecleat_wire::delay::Delay;
use grebecleat_wire::frame;
use grebecleat_wire::pb::{self, frame::Body};
use may::net::{TcpListener, TcpStream};
use may::{coroutine, go};
use std::fs::File;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tracing::{error, warn};

/// Time until the next try where nothing can be accepted.
const RETRY: Duration = Duration::from_millis(10);

/// Accepts connections until the process ends.
pub(super) fn accept(listener: &TcpListener, shared: &Shared) {
    // One descriptor is kept back: when all are used up, it lets a caller in to be closed, where a
    // listener without one would spin on a caller that it can neither take nor refuse.
    let mut spare = File::open("/dev/null").ok();
    loop {
        match listener.accept() {
            Ok((stream, _)) if shared.closing.load(Ordering::Relaxed) => drop(stream),
            Ok((stream, from)) => admit(shared, stream, from),
            Err(e) if matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE)) => {
                error!("no file descriptors left; a caller is turned away");
                drop(spare.take());
                drop(listener.accept());
                spare = File::open("/dev/null").ok();
                coroutine::sleep(RETRY);
            }
            Err(e) => {
                warn!("cannot accept: {e}");
                coroutine::sleep(RETRY);
            }
        }
    }
}

/// Serves a connection in its own coroutine, unless too many are open.
fn admit(shared: &Shared, stream: TcpStream, from: SocketAddr) {
    let max_clients = shared.bounds().max_clients;
    if shared.accepted.fetch_add(1, Ordering::Relaxed) >= max_clients {
        shared.accepted.fetch_sub(1, Ordering::Relaxed);
        warn!("{from} turned away: {max_clients} connections");
        return;
    }
    let shared = shared.clone();
    go!(move || {
        let conn = ConnId(shared.next_accepted.fetch_add(1, Ordering::Relaxed));
        if let Err(error) = serve_accepted(&shared, conn, stream) {
            warn!(conn = conn.0, %from, "connection closed: {error}");
        }
        shared.send(Input::ClientGone { conn });
        shared.accepted.fetch_sub(1, Ordering::Relaxed);
    });
}

fn serve_accepted(
    shared: &Shared,
    conn: ConnId,
    mut stream: TcpStream,
) -> Result<(), ConnectionError> {
    let mut reader = frame::Reader::new(shared.bounds().max_frame);
    let timeout = shared.bounds().patience;
    let peer = greet(&mut stream, &mut reader, &shared.hello, timeout)?;
    let frames = move |at, frames| Input::ClientFrames { conn, at, frames };
    match peer.role() {
        pb::Role::Client => {
            let up = move |outbox| Input::ClientUp { conn, outbox };
            let (up, frames) = (Box::new(up), Box::new(frames) as _);
            serve(shared, conn, stream, reader, &peer, up, &frames)
        }
        pb::Role::Operator => {
            let up = move |outbox| Input::SubscriberUp { conn, outbox };
            let (up, frames) = (Box::new(up), Box::new(frames) as _);
            serve(shared, conn, stream, reader, &peer, up, &frames)
        }
        pb::Role::Host => serve_peer(shared, conn, stream, reader, &peer),
        role => Err(ConnectionError::NoClient(role.as_str_name())),
    }
}

/// Hands another host's gossip to the owner.
fn serve_peer(
    shared: &Shared,
    conn: ConnId,
    mut stream: TcpStream,
    mut reader: frame::Reader,
    peer: &pb::Hello,
) -> Result<(), ConnectionError> {
    let mut hosts = shared.options.settings.hosts.iter();
    let Some(index) = hosts.position(|host| host.name == peer.name) else {
        return Err(ConnectionError::UnknownHost(peer.name.clone()));
    };
    let from = PeerId(index as u32);
    let timeout = shared.bounds().patience;
    let mut delay = Delay::default();
    read_frames(&mut stream, &mut reader, timeout, |at, frames| {
        shared.options.tracer.read(conn.0, at, &frames);
        for frame in frames {
            // What lay in a socket while either side stood still is that much older.
            let waited = delay.waited(frame.sent_us, at);
            let Some(Body::GossipMessage(message)) = frame.body else {
                return Err(ConnectionError::UnexpectedPeerMessage);
            };
            shared.send(Input::PeerMessage {
                from,
                waited,
                bytes: message.text.to_vec(),
            });
        }
        Ok(())
    })
}
