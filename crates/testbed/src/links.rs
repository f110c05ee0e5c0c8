//! Relays between hosts, with which a scenario partitions ordered pairs of hosts.
//!
//! One listener forwards to each host. The caller's name in its greeting identifies the pair. While a
//! pair is cut, its open connections are closed and new ones are dropped. A host sends its messages only
//! on the connections that it dialed, so cutting one direction leaves the other working.

use grebecleat_wire::frame::Reader;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

const GREETING_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_GREETING_BYTES: usize = 4096;

#[derive(Debug, Default)]
struct State {
    targets: Vec<Option<SocketAddr>>,
    /// The pairs (caller, target) whose connections are cut.
    cut: BTreeSet<(usize, usize)>,
    open: Vec<((usize, usize), TcpStream)>,
}

#[derive(Debug, Clone)]
pub struct Links {
    state: Arc<Mutex<State>>,
    names: Arc<Vec<String>>,
    addresses: Arc<Vec<SocketAddr>>,
}

impl Links {
    pub fn between(names: Vec<String>) -> io::Result<Links> {
        let listeners: Vec<TcpListener> = names
            .iter()
            .map(|_| TcpListener::bind(("127.0.0.1", 0)))
            .collect::<io::Result<_>>()?;
        let addresses = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<_>>()?;
        let state = State {
            targets: vec![None; names.len()],
            ..State::default()
        };
        let links = Links {
            state: Arc::new(Mutex::new(state)),
            names: Arc::new(names),
            addresses: Arc::new(addresses),
        };
        for (to, listener) in listeners.into_iter().enumerate() {
            let links = links.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let links = links.clone();
                    std::thread::spawn(move || drop(links.relay_connection(stream, to)));
                }
            });
        }
        Ok(links)
    }

    /// Returns the address of the relay to each host.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sets the address at which a host listens after its start.
    pub fn set_target(&self, host: usize, address: SocketAddr) {
        self.lock().targets[host] = Some(address);
    }

    /// Cuts exactly these pairs (caller, target), and restores all others.
    pub fn set_cut(&self, pairs: BTreeSet<(usize, usize)>) {
        let mut state = self.lock();
        let (closed, open) = std::mem::take(&mut state.open)
            .into_iter()
            .partition(|(pair, _)| pairs.contains(pair));
        (state.cut, state.open) = (pairs, open);
        let closed: Vec<((usize, usize), TcpStream)> = closed;
        closed
            .iter()
            .for_each(|(_, s)| drop(s.shutdown(Shutdown::Both)));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn relay_connection(&self, mut caller: TcpStream, to: usize) -> io::Result<()> {
        let rejected = || {
            io::Error::other("connection rejected: expected a greeting of a known host over a link that is not cut")
        };
        caller.set_read_timeout(Some(GREETING_TIMEOUT))?;
        let (mut reader, mut greeting_bytes) = (Reader::new(MAX_GREETING_BYTES), Vec::new());
        let name = loop {
            match reader
                .next::<pb::Frame>()
                .map_err(io::Error::other)?
                .and_then(|f| f.body)
            {
                Some(Body::Hello(hello)) => break hello.name,
                Some(_) => return Err(rejected()),
                None => {
                    let mut bytes = [0; 512];
                    let n = caller.read(&mut bytes)?;
                    if n == 0 {
                        return Err(rejected());
                    }
                    greeting_bytes.extend_from_slice(&bytes[..n]);
                    reader.push(&bytes[..n]);
                }
            }
        };
        let from = self
            .names
            .iter()
            .position(|n| *n == name)
            .ok_or_else(rejected)?;
        let pair = (from, to);
        let mut target_stream = {
            let mut state = self.lock();
            let target = state.targets[to].filter(|_| !state.cut.contains(&pair));
            let target_stream =
                TcpStream::connect_timeout(&target.ok_or_else(rejected)?, GREETING_TIMEOUT)?;
            state.open.retain(|(_, s)| s.peer_addr().is_ok());
            state.open.extend([
                (pair, caller.try_clone()?),
                (pair, target_stream.try_clone()?),
            ]);
            target_stream
        };
        let _ = (caller.set_nodelay(true), target_stream.set_nodelay(true));
        caller.set_read_timeout(None)?;
        target_stream.write_all(&greeting_bytes)?;
        let (target_reader, caller_writer) = (target_stream.try_clone()?, caller.try_clone()?);
        std::thread::spawn(move || forward(target_reader, caller_writer));
        forward(caller, target_stream);
        Ok(())
    }
}

/// Forwards bytes in one direction until either end closes.
fn forward(mut from: TcpStream, mut to: TcpStream) {
    let _ = io::copy(&mut from, &mut to);
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

#[cfg(test)]
mod tests;
