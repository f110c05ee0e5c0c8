//! Connections that this host dials: to nodes, to discovery and to the state service.
//!
//! The owner calls it when it performs the outputs of the router. Each dial has a coroutine, which
//! serves the connection until it ends. The module keeps no state.

use super::connection::{greet, serve, ConnectionError, FramesInput, UpInput};
use super::Shared;
use crate::router::{ConnId, Input};
use grebecleat_wire::{frame, pb};
use may::go;
use may::net::TcpStream;
use std::net::SocketAddr;

/// A connection to be dialled.
struct Dial {
    conn: ConnId,
    address: SocketAddr,
    /// The role that the peer must have.
    role: pb::Role,
    up: UpInput,
    frames: FramesInput,
    /// The input that tells the owner that the connection has ended or the dial has failed.
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

/// Dials the discovery service.
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

/// Dials the state service, if this host follows one.
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

/// Dials in a coroutine, which serves the connection until it ends.
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
            tracing::debug!(conn = conn.0, %address, %error, "connection closed");
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
