//! A way between two sockets that can be cut and made late: what lies between a host and the state
//! service.
//!
//! One listener; each connection is carried on to where the relay points, in both directions. While
//! it is cut, what is open is hung up on and callers are refused; while it is late, bytes wait that
//! long on their way.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(5);
/// Bytes that wait in one direction before the sender is left waiting.
const MAX_WAITING: usize = 4 << 20;

#[derive(Debug, Default)]
struct State {
    cut: bool,
    late: Duration,
    open: Vec<TcpStream>,
}

#[derive(Debug, Clone)]
pub struct Relay {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
}

impl Relay {
    /// Begins to carry what comes to a new address on to that one.
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
                let Ok(onward) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
                    continue;
                };
                let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
                let clones = (
                    stream.try_clone(),
                    onward.try_clone(),
                    stream.try_clone(),
                    onward.try_clone(),
                );
                let (Ok(a), Ok(b), Ok(c), Ok(d)) = clones else {
                    continue;
                };
                lock(&state).open.extend([c, d]);
                for (from, to) in [(stream, b), (onward, a)] {
                    let state = state.clone();
                    std::thread::spawn(move || carry(from, to, &state));
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
        lock(&self.state).late = by;
    }
}

fn lock(state: &Arc<Mutex<State>>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|e| e.into_inner())
}

/// Carries bytes one way until either end is gone.
fn carry(mut from: TcpStream, mut to: TcpStream, state: &Arc<Mutex<State>>) {
    let mut waiting: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let mut bytes = [0; 64 << 10];
    let _ = from.set_read_timeout(Some(TICK));
    let mut open = true;
    while open || !waiting.is_empty() {
        let held: usize = waiting.iter().map(|w| w.1.len()).sum();
        if open && held < MAX_WAITING {
            match from.read(&mut bytes) {
                Ok(0) => open = false,
                Ok(n) => {
                    waiting.push_back((Instant::now() + lock(state).late, bytes[..n].to_vec()))
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => open = false,
            }
        } else {
            std::thread::sleep(TICK);
        }
        while waiting.front().is_some_and(|w| w.0 <= Instant::now()) {
            let (_, part) = waiting.pop_front().expect("looked at above");
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
