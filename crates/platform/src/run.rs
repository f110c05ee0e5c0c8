//! Runs the host on the platform: its sockets, and the event loop that owns all state.
//!
//! The command line calls [`run`]. One thread, the owner (`owner`), holds the host's `RequestRouter`
//! and processes all events in order. Each connection has one `may` coroutine (`reader`), which reads
//! bytes and passes them to the owner; the owner parses complete messages, and writes the contents of
//! the outboxes immediately, without blocking. `listener` accepts clients; `socket` queries the
//! operating system about a socket.
//!
//! File descriptors: [`crate::config::Descriptors`] has separate limits for clients and nodes, and
//! descriptors for discovery are reserved apart from both. A descriptor counts until its socket is
//! closed. A limit that is reached does not affect the other kinds of connection. `eviction` says how
//! long a client with a request may wait for a slot.
//!
//! Memory: a connection takes its coroutine's stack and a record. Everything else that its peer can make
//! this process hold counts in one budget (`grebecleat_host::memory_budget`), whose size
//! [`crate::config::MemoryLimits`] derives from the memory limit. The readers reserve the memory of a
//! read before they read; `owner::memory` turns clients away when the budget is used up; `allocator`
//! returns freed memory to the operating system.
//!
//! Timeouts: no `may` timer is used; the owner's sweep closes connections that are slow, silent or
//! idle.

mod allocator;
mod client_conn;
mod client_ids;
mod connection;
mod connection_table;
mod dials;
mod discovery_port;
mod eviction;
mod inbox;
mod input_schedule;
mod listener;
mod log_limiter;
mod memory_monitor;
mod memory_usage;
mod node_conn;
mod owner;
mod owner_time;
mod reader;
mod request_intake;
mod shared_budget;
mod shutdown;
mod socket;
mod statistics_log;
mod sweep;
mod wall_clock;
mod write_queue;

use crate::config::Config;
use grebecleat_host::router::Counters;
use listener::{accept, ClientSlots, ListenerHandle};
use may::go;
use may::net::TcpListener;
use owner::Owner;
use reader::OwnerEvent;
use shared_budget::SharedBudget;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::sync::mpsc::{self, Sender};
use std::sync::Arc;
use std::time::Duration;

/// Number of coroutine stacks that are kept for new connections. By default, `may` creates a thousand
/// at startup and touches each of them, which took 8 of the 10 MB of an idle host. Further stacks are
/// created on demand. A larger value takes more memory; a smaller one costs more allocations.
const RETAINED_STACKS: usize = 32;
/// Size of a coroutine's stack in words of eight bytes. The coroutines only read and send. A smaller
/// stack overflows; a larger one takes more memory.
const STACK_WORDS: usize = 4 << 10;
/// Size of the signal thread's stack in bytes.
const SIGNAL_STACK_BYTES: usize = 64 << 10;
/// Time after which an idle worker polls without an event, as in the host's other event loop. A larger
/// value prolongs the delay of a missed wake-up; a smaller one costs CPU time.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The options of [`run`].
pub struct Options {
    /// The initial configuration.
    pub config: Config,
    /// The configuration file, which is read again on SIGHUP. If it is `None`, SIGHUP has no effect.
    pub file: Option<PathBuf>,
}

/// Runs the host until SIGTERM or SIGINT has shut it down. Calls `started` with the address at which
/// it listens.
///
/// Returns an error if the signal handlers cannot be installed, or if the host cannot listen at its
/// address.
pub fn run(options: Options, started: impl FnOnce(SocketAddr)) -> io::Result<Counters> {
    configure_coroutines();
    allocator::return_freed_memory();
    let (event_sender, events) = mpsc::channel();
    // Signal handlers are installed before a peer can find this host ready.
    forward_signals(event_sender.clone())?;
    let listener = TcpListener::bind(options.config.listen)?;
    let address = listener.local_addr()?;
    let slots = Arc::new(ClientSlots::new(options.config.descriptors.clients));
    let budget = SharedBudget::new(options.config.memory.budget);
    let mut owner = Owner::new(
        options.config,
        options.file,
        ListenerHandle::new(slots.clone(), listener.as_raw_fd()),
        budget.clone(),
        event_sender.clone(),
    );
    go!(move || accept(&listener, &slots, &budget, &event_sender));
    started(address);
    owner.run(&events);
    Ok(owner.counters())
}

fn configure_coroutines() {
    may::config()
        .set_workers(1)
        .set_stack_size(STACK_WORDS)
        .set_timeout_ns(POLL_INTERVAL.as_nanos() as u64);
    // By default, `may` pins its one worker to the first core, in every host process of the machine: a
    // busy first core would keep all hosts from reading, even if the other cores were idle.
    may::config()
        .set_pool_capacity(RETAINED_STACKS)
        .set_worker_pin(false);
}

fn forward_signals(event_sender: Sender<OwnerEvent>) -> io::Result<()> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGHUP, SIGTERM, SIGINT])?;
    std::thread::Builder::new()
        .name("signals".into())
        .stack_size(SIGNAL_STACK_BYTES)
        .spawn(move || {
            for signal in signals.forever() {
                if event_sender.send(OwnerEvent::Signal(signal)).is_err() {
                    return;
                }
            }
        })?;
    Ok(())
}
