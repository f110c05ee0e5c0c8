//! The running host on the platform: its sockets, and the loop of the one owner of all state.
//!
//! The command line calls [`run`]. One thread owns the host's `RequestRouter` and the order of
//! things (`owner`). Each connection has one `may` coroutine (`reader`), which reads bytes and
//! reports them; the owner parses complete messages, and writes the contents of the outboxes at once,
//! without waiting. `listener` accepts clients; `socket` queries the system about a socket.
//!
//! Bounds. Descriptors: [`crate::config::Descriptors`] has separate parts for clients and nodes, each
//! descriptor counts until its socket is closed, and discovery's descriptors are reserved apart from both:
//! when one part is used up, the others are not affected. How long a client with a request may wait
//! for a slot: see `eviction`. Memory of a connection: its coroutine's stack, one message that is
//! being read, the bytes that are being written, and the bytes by which its reader is ahead
//! (`reader`). Times: no `may` timer is used; the owner's sweep closes connections that are slow,
//! silent or idle.

mod client_conn;
mod client_ids;
mod connection;
mod connection_table;
mod dials;
mod discovery_conn;
mod eviction;
mod listener;
mod log_limiter;
mod node_conn;
mod owner;
mod reader;
mod request_intake;
mod shutdown;
mod socket;
mod statistics_log;
mod sweep;
mod wall_clock;

use crate::config::Config;
use grebecleat_host::router::Counters;
use listener::{accept, ClientSlots, ListenerHandle};
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

/// Number of coroutine stacks that are retained for new connections. By default, `may` creates a
/// thousand at the start and touches each of them, which was 8 of the 10 MB of an idle host. Further
/// stacks are created when they are needed. A larger value costs memory; a smaller one costs
/// allocations.
const SPARE_STACKS: usize = 32;
/// Size of a coroutine's stack in words of eight bytes. The coroutines only read and send. A smaller
/// value overflows; a larger one costs memory.
const STACK_WORDS: usize = 4 << 10;
/// Size of the signal thread's stack in bytes.
const SIGNAL_STACK_BYTES: usize = 64 << 10;
/// Time after which a worker without events polls by itself; see the host's own loop. A larger value
/// delays a missed wake; a smaller one costs processing time.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The options of [`run`].
pub struct Options {
    /// The configuration at the start.
    pub config: Config,
    /// The configuration's file, which is read again on SIGHUP; None: SIGHUP has no effect.
    pub file: Option<PathBuf>,
}

/// Runs the host until SIGTERM has shut it down. `started`: gets the address at which it listens.
///
/// Errors: the signals cannot be caught, or the address is in use or does not exist.
pub fn run(options: Options, started: impl FnOnce(SocketAddr)) -> io::Result<Counters> {
    configure_coroutines();
    let (to_owner, events) = mpsc::channel();
    // The signals are caught before a peer can find this host ready.
    forward_signals(to_owner.clone())?;
    let listener = TcpListener::bind(options.config.listen)?;
    let address = listener.local_addr()?;
    let slots = Arc::new(ClientSlots::new(options.config.descriptors.clients));
    let mut owner = Owner::new(
        options.config,
        options.file,
        ListenerHandle::new(slots.clone(), listener.as_raw_fd()),
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
    // By default, `may` binds its one worker to the first core, on every host of the machine: a busy
    // first core would keep all hosts from reading, even if the other cores were idle.
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
