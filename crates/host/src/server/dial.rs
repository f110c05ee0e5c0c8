//! Connections that this host dials.

use super::connection::{greet, serve, ConnectionError, FramesInput, UpInput};
use super::Shared;
use crate::router::{ConnId, Input};
use grebecleat_wire::{frame, pb};
use may::go;
use may::net::TcpStream;
use std::net::SocketAddr;

/// What a dial needs to know of its connection.
struct Dial {
    conn: ConnId,
    address: SocketAddr,
    /// What the peer must be.
    role: pb::Role,
    up: UpInput,
    frames: FramesInput,
    /// Whatever came of it.
    gone: Input,
}

/// Dials a node.
pub(super) fn node(shared: &Shared, conn: ConnId, address: SocketAddr) {
    start(
        shared,
        Dial {
            conn,
            address,
            role: pb::Role::Node,
            up: Box::new(move |outbox| Input::NodeUp { conn, outbox }),
            frames: Box::new(move |at, frames| Input::NodeFrames { conn, at, frames }),
            gone: Input::NodeGone { conn },
        },
    );
}

/// Dials discovery.
pub(super) fn discovery(shared: &Shared, conn: ConnId) {
    start(
        shared,
        Dial {
            conn,
            address: shared.options.list,
            role: pb::Role::List,
            up: Box::new(move |outbox| Input::DiscoveryUp { conn, outbox }),
            frames: Box::new(move |_, frames| Input::DiscoveryFrames { conn, frames }),
            gone: Input::DiscoveryGone { conn },
        },
    );
}

/// Dials the state service, where one is followed.
pub(super) fn state_service(shared: &Shared, conn: ConnId) {
    let Some(link) = &shared.options.state else {
        return;
    };
    start(
        shared,
        Dial {
            conn,
            address: link.address,
            role: pb::Role::State,
            up: Box::new(move |outbox| Input::StateServiceUp { conn, outbox }),
            frames: Box::new(move |_, frames| Input::StateServiceFrames { conn, frames }),
            gone: Input::StateServiceGone { conn },
        },
    );
}

/// Dials, and serves the connection until it ends.
fn start(shared: &Shared, dial: Dial) {
    let shared = shared.clone();
    go!(move || {
        let Dial {
            conn,
            address,
            role,
            up,
            frames,
            gone,
        } = dial;
        if let Err(error) = connect(&shared, conn, address, role, up, &frames) {
            tracing::debug!(conn = conn.0, %address, "connection over: {error}");
        }
        shared.send(gone);
    });
}

fn connect(
    shared: &Shared,
    conn: ConnId,
    address: SocketAddr,
    role: pb::Role,
    up: UpInput,
    frames: &FramesInput,
) -> Result<(), ConnectionError> {
    let timeout = shared.bounds().dial_timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    let mut reader = frame::Reader::new(shared.bounds().max_frame);
    let peer = greet(&mut stream, &mut reader, &shared.hello, timeout)?;
    if peer.role() != role {
        return Err(ConnectionError::UnexpectedRole {
            found: peer.role().as_str_name(),
            expected: role.as_str_name(),
        });
    }
    serve(shared, conn, stream, reader, &peer, up, frames)
}
