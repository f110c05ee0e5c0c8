//! Connections that this host accepts: from clients, operators' programs and other hosts.
//!
//! [`super::run`] starts the listener in a coroutine; each accepted connection has another. The settings
//! bound the number of accepted connections.

use super::connection::{greet, read_frames, serve, ConnectionError, FramesInput, UpInput};
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

/// The delay after an error before another connection is accepted. With a shorter delay, a persistent
/// error keeps a processor busy; with a longer one, clients wait longer after the error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections until the process ends.
pub(super) fn accept(listener: &TcpListener, shared: &Shared) {
    // One descriptor is reserved. When all others are in use, it is released to accept a waiting
    // connection and close it. Without it, the listener would loop on a connection that it can neither
    // accept nor reject.
    let mut spare = File::open("/dev/null").ok();
    loop {
        match listener.accept() {
            Ok((stream, _)) if shared.closing.load(Ordering::Relaxed) => drop(stream),
            Ok((stream, from)) => admit(shared, stream, from),
            Err(error) if is_out_of_descriptors(&error) => {
                error!("connection rejected: no file descriptors left");
                drop(spare.take());
                drop(listener.accept());
                spare = File::open("/dev/null").ok();
                coroutine::sleep(ACCEPT_RETRY_DELAY);
            }
            Err(error) => {
                warn!(%error, "cannot accept a connection");
                coroutine::sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
}

/// Returns whether the error means that all file descriptors are in use.
fn is_out_of_descriptors(error: &std::io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}

/// Serves a connection in its own coroutine, unless too many connections are open.
fn admit(shared: &Shared, stream: TcpStream, from: SocketAddr) {
    let max_clients = shared.bounds().max_clients;
    if shared.accepted.fetch_add(1, Ordering::Relaxed) >= max_clients {
        shared.accepted.fetch_sub(1, Ordering::Relaxed);
        warn!(peer = %from, max_clients, "connection rejected: too many connections");
        return;
    }
    let shared = shared.clone();
    go!(move || {
        let conn = ConnId(shared.next_accepted.fetch_add(1, Ordering::Relaxed));
        if let Err(error) = serve_accepted(&shared, conn, stream) {
            warn!(conn = conn.0, peer = %from, %error, "connection closed");
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
    let frames: FramesInput = Box::new(move |at, frames| Input::ClientFrames { conn, at, frames });
    match peer.role() {
        pb::Role::Client => {
            let connected: UpInput = Box::new(move |outbox| Input::ClientUp { conn, outbox });
            serve(shared, conn, stream, reader, &peer, connected, &frames)
        }
        pb::Role::Operator => {
            let connected: UpInput = Box::new(move |outbox| Input::SubscriberUp { conn, outbox });
            serve(shared, conn, stream, reader, &peer, connected, &frames)
        }
        pb::Role::Host => serve_peer(shared, conn, stream, reader, &peer),
        role => Err(ConnectionError::UnservedRole(role.as_str_name())),
    }
}

/// Hands the gossip of another host to the owner until the connection ends.
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
            // A message may have waited in a socket during a pause of either side; its age includes that.
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
