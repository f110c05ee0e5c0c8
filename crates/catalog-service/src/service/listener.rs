//! Accepts connections, up to a limit, and starts a reader thread for each.

use super::connection::run_connection;
use super::event::ServiceEvent;
use grebecleat_wire::trace::Tracer;
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;
use tracing::warn;

/// Maximum number of open connections; further ones are closed at once. Each has two threads and a
/// queue: a larger limit costs memory, a smaller one locks out hosts of a large site.
pub(super) const MAX_CONNECTIONS: usize = 1024;
/// Delay after an error of `accept`, for instance for lack of file descriptors. A shorter delay wastes
/// processor time on retries; a longer one delays the next connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Starts the thread that accepts connections.
pub(super) fn accept(listener: TcpListener, tracer: &Tracer, to_owner: Sender<ServiceEvent>) {
    let tracer = tracer.clone();
    std::thread::spawn(move || accept_loop(&listener, &tracer, &to_owner));
}

fn accept_loop(listener: &TcpListener, tracer: &Tracer, to_owner: &Sender<ServiceEvent>) {
    let mut next_conn = 1;
    let open = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming() {
        let stream = match stream {
            Ok(stream) => stream,
            Err(error) => {
                warn!(%error, "accepting a connection failed; retrying");
                std::thread::sleep(ACCEPT_RETRY_DELAY);
                continue;
            }
        };
        if open.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
            open.fetch_sub(1, Ordering::Relaxed);
            warn!(
                connections = MAX_CONNECTIONS,
                "connection limit reached; connection closed"
            );
            continue;
        }
        let tracer = tracer.clone();
        let to_owner = to_owner.clone();
        let open = open.clone();
        let conn = next_conn;
        next_conn += 1;
        std::thread::spawn(move || {
            if let Err(error) = run_connection(stream, conn, &tracer, &to_owner) {
                warn!(conn, %error, "connection closed");
            }
            let _ = to_owner.send(ServiceEvent::Disconnected { conn });
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}
