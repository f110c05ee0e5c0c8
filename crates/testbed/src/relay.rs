//! TCP relay between a host and the state service, with which a scenario cuts or delays connections.
//!
//! One listener forwards each connection to the target in both directions. While the relay is cut, open
//! connections are closed and new ones are dropped. A delay applies to each direction.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Limit on the delayed bytes in one direction; beyond it the relay stops reading from the sender.
const MAX_DELAYED_BYTES: usize = 4 << 20;

#[derive(Debug, Default)]
struct State {
    cut: bool,
    delay: Duration,
    open: Vec<TcpStream>,
}

#[derive(Debug, Clone)]
pub struct Relay {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
}

impl Relay {
    /// Listens on a new address and forwards its connections to `target`.
    pub fn to(target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let relay = Relay {
            state: Arc::default(),
            address: listener.local_addr()?,
        };
        let state = relay.state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if lock(&state).cut {
                    continue;
                }
                let Ok(target_stream) = TcpStream::connect_timeout(&target, Duration::from_secs(1))
                else {
                    continue;
                };
                let _ = (stream.set_nodelay(true), target_stream.set_nodelay(true));
                let clones = (
                    stream.try_clone(),
                    target_stream.try_clone(),
                    stream.try_clone(),
                    target_stream.try_clone(),
                );
                let (Ok(a), Ok(b), Ok(c), Ok(d)) = clones else {
                    continue;
                };
                lock(&state).open.extend([c, d]);
                for (from, to) in [(stream, b), (target_stream, a)] {
                    let state = state.clone();
                    std::thread::spawn(move || forward(from, to, &state));
                }
            }
        });
        Ok(relay)
    }

    /// Returns the address at which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_cut(&self, cut: bool) {
        let mut state = lock(&self.state);
        state.cut = cut;
        if cut {
            state
                .open
                .drain(..)
                .for_each(|s| drop(s.shutdown(Shutdown::Both)));
        }
    }

    pub fn set_delay(&self, by: Duration) {
        lock(&self.state).delay = by;
    }
}

fn lock(state: &Arc<Mutex<State>>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|e| e.into_inner())
}

/// Forwards bytes in one direction, with the delay, until either end closes.
fn forward(mut from: TcpStream, mut to: TcpStream, state: &Arc<Mutex<State>>) {
    let mut delayed: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let mut bytes = [0; 64 << 10];
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut open = true;
    while open || !delayed.is_empty() {
        let delayed_bytes: usize = delayed.iter().map(|w| w.1.len()).sum();
        if open && delayed_bytes < MAX_DELAYED_BYTES {
            match from.read(&mut bytes) {
                Ok(0) => open = false,
                Ok(n) => {
                    delayed.push_back((Instant::now() + lock(state).delay, bytes[..n].to_vec()))
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => open = false,
            }
        } else {
            std::thread::sleep(POLL_INTERVAL);
        }
        while delayed.front().is_some_and(|w| w.0 <= Instant::now()) {
            let (_, part) = delayed.pop_front().expect("the front was checked above");
            if to.write_all(&part).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests;
