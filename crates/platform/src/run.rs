//! The running host on the platform: its sockets, and the loop of the one owner of all state.
//!
//! Called by the command line. One thread owns the host's `RequestRouter` and every connection's
//! state (`owner`). Each connection has one `may` coroutine (`reader`), which reads and reports
//! what came; complete messages are parsed by the owner, and what the router puts into an outbox is
//! written by the owner at once, without waiting. `listener` accepts clients; `socket` asks the
//! system about a socket.
//!
//! Bounds. Descriptors: [`crate::config::Descriptors`], clients and nodes apart, each counted until
//! its socket is closed, and discovery's set aside from both: when one part is used up, the others
//! are not touched. How long a client with a request may wait for a slot: see `owner/eviction.rs`.
//! Memory of a connection: its coroutine's stack, one message read, what is being written, and what
//! its reader is ahead (`reader`). Times: no `may` timer is used; the owner's sweep closes what is
//! slow, silent or idle.

mod client_ids;
mod connection;
mod listener;
mod log_limiter;
mod owner;
mod reader;
mod socket;

use crate::config::Config;
use grebecleat_host::router::Counters;
use listener::{accept, ClientSlots};
use may::go;
use may::net::TcpListener;
use owner::Owner;
use reader::OwnerEvent;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::sync::mpsc::{self, Sender};
use std::sync::Arc;
use std::time::Duration;

/// Coroutine stacks kept for connections to come. `may` makes a thousand at the start and touches
/// each, which was 8 of the 10 MB that an idle host had; what is needed beyond these is made when
/// it is needed.
const SPARE_STACKS: usize = 32;
/// Size of a coroutine's stack in words of eight bytes. Only a read and a send happen on it.
const STACK_WORDS: usize = 4 << 10;
/// Size of the signal thread's stack in bytes.
const SIGNAL_STACK_BYTES: usize = 64 << 10;
/// How long a worker without events waits before it polls by itself; see the host's own loop.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What [`run`] is to do.
pub struct Options {
    /// The configuration to begin with.
    pub config: Config,
    /// Its file, read again on SIGHUP; None: SIGHUP does nothing.
    pub file: Option<PathBuf>,
}

/// Runs the host until SIGTERM has shut it down. `started` gets the address it listens on.
///
/// Errors: the signals cannot be caught, or the address cannot be listened on.
pub fn run(options: Options, started: impl FnOnce(SocketAddr)) -> io::Result<Counters> {
    configure_coroutines();
    let (to_owner, events) = mpsc::channel();
    // Before any peer can see this host as ready.
    forward_signals(to_owner.clone())?;
    let listener = TcpListener::bind(options.config.listen)?;
    let address = listener.local_addr()?;
    let slots = Arc::new(ClientSlots::new(options.config.descriptors.clients));
    let mut owner = Owner::new(
        options.config,
        options.file,
        slots.clone(),
        listener.as_raw_fd(),
        to_owner.clone(),
    );
    go!(move || accept(&listener, &slots, &to_owner));
    started(address);
    owner.run(&events);
    Ok(owner.counters())
}

fn configure_coroutines() {
    may::config()
        .set_workers(1)
        .set_stack_size(STACK_WORDS)
        .set_timeout_ns(POLL_INTERVAL.as_nanos() as u64);
    // Its one worker would be bound to the first core, as that of every other host on the machine:
    // what keeps that core busy keeps all of them from reading, whatever the other cores do.
    may::config()
        .set_pool_capacity(SPARE_STACKS)
        .set_worker_pin(false);
}

fn forward_signals(to_owner: Sender<OwnerEvent>) -> io::Result<()> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGHUP, SIGTERM, SIGINT])?;
    std::thread::Builder::new()
        .name("signals".into())
        .stack_size(SIGNAL_STACK_BYTES)
        .spawn(move || {
            for signal in signals.forever() {
                if to_owner.send(OwnerEvent::Signal(signal)).is_err() {
                    return;
                }
            }
        })?;
    Ok(())
}
