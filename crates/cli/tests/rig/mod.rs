//! Test rig: processes of `grebecleat platform` on loopback, with nodes, a discovery service and
//! clients that record what they receive. Assertions rest on counts of complete requests and responses,
//! never on how long something took.
//!
//! - [`fleet`]: many hosts under load. A test injects faults into its parts: a [`node::Node`] is killed
//!   and restarts, is partitioned from some hosts, loses or corrupts responses, resets connections;
//!   the [`discovery::DiscoveryService`] is slow or moves; hosts are killed, shut down and restarted.
//!   [`fleet::Fleet::finish`] ends the load and returns the [`counters::Counters`], which check the rules.
//! - [`live`]: one host with scripted nodes.
//! - [`crowded`]: a discovery service that serves one call at a time and refuses calls when its queue is
//!   too long.
//!
//! The other modules are parts of a fleet.

#![allow(dead_code)] // each test program uses only some parts of the rig

pub mod client;
pub mod counters;
pub mod crowded;
pub mod discovery;
pub mod fleet;
pub mod host;
pub mod http;
pub mod live;
pub mod node;
pub mod site;

pub use client::request;
pub use http::{answer, next_exchange};

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread::sleep;
use std::time::Duration;

/// Returns a free address to listen on, with a loopback IP address of its own. On 127.0.0.1, from which
/// all connections are dialled, an outgoing connection could take the port before the listener does.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let process = std::process::id();
    let address = Ipv4Addr::new(
        127,
        11 + (number / 250) as u8,
        (process % 250) as u8,
        (number % 250) as u8 + 1,
    );
    let listener = TcpListener::bind((address, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Returns a duration in milliseconds.
pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

/// Calls the function until it returns a value.
///
/// # Panics
///
/// Panics if the function returns `None` for four seconds.
pub fn retry<T>(mut attempt: impl FnMut() -> Option<T>) -> T {
    for _ in 0..400 {
        if let Some(value) = attempt() {
            return value;
        }
        sleep(ms(10));
    }
    panic!("no success within four seconds");
}
