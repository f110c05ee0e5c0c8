//! What lies between hosts that tell each other something: for each ordered pair it can be cut by
//! itself.
//!
//! One listener leads to each host. Who calls says so in its greeting, by which the pair is known;
//! while that is cut, what is open between the two is hung up on and calls are dropped. A way that
//! is cut in one direction alone carries the other's words: each host dials for what it says
//! itself.

use grebecleat_wire::frame::Reader;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(2);
const MAX_GREETING: usize = 4096;

#[derive(Debug, Default)]
struct State {
    targets: Vec<Option<SocketAddr>>,
    /// From which host to which nothing crosses.
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
                    std::thread::spawn(move || drop(links.carry_between(stream, to)));
                }
            });
        }
        Ok(links)
    }

    /// Where each host is to be called.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Where a host has come up.
    pub fn set_target(&self, host: usize, address: SocketAddr) {
        self.lock().targets[host] = Some(address);
    }

    /// From now on these pairs are cut, and no others.
    pub fn set_cut(&self, pairs: BTreeSet<(usize, usize)>) {
        let mut state = self.lock();
        let (gone, open) = std::mem::take(&mut state.open)
            .into_iter()
            .partition(|(pair, _)| pairs.contains(pair));
        (state.cut, state.open) = (pairs, open);
        let gone: Vec<((usize, usize), TcpStream)> = gone;
        gone.iter()
            .for_each(|(_, s)| drop(s.shutdown(Shutdown::Both)));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn carry_between(&self, mut caller: TcpStream, to: usize) -> io::Result<()> {
        let nobody = || io::Error::other("no greeting of a host");
        caller.set_read_timeout(Some(PATIENCE))?;
        let (mut reader, mut had) = (Reader::new(MAX_GREETING), Vec::new());
        let name = loop {
            match reader
                .next::<pb::Frame>()
                .map_err(io::Error::other)?
                .and_then(|f| f.body)
            {
                Some(Body::Hello(them)) => break them.name,
                Some(_) => return Err(nobody()),
                None => {
                    let mut bytes = [0; 512];
                    let n = caller.read(&mut bytes)?;
                    if n == 0 {
                        return Err(nobody());
                    }
                    had.extend_from_slice(&bytes[..n]);
                    reader.push(&bytes[..n]);
                }
            }
        };
        let from = self
            .names
            .iter()
            .position(|n| *n == name)
            .ok_or_else(nobody)?;
        let pair = (from, to);
        let mut onward = {
            let mut state = self.lock();
            let target = state.targets[to].filter(|_| !state.cut.contains(&pair));
            let onward = TcpStream::connect_timeout(&target.ok_or_else(nobody)?, PATIENCE)?;
            state.open.retain(|(_, s)| s.peer_addr().is_ok());
            state
                .open
                .extend([(pair, caller.try_clone()?), (pair, onward.try_clone()?)]);
            onward
        };
        let _ = (caller.set_nodelay(true), onward.set_nodelay(true));
        caller.set_read_timeout(None)?;
        onward.write_all(&had)?;
        let (back, forth) = (onward.try_clone()?, caller.try_clone()?);
        std::thread::spawn(move || carry(back, forth));
        carry(caller, onward);
        Ok(())
    }
}

/// Carries bytes one way until either end is gone.
fn carry(mut from: TcpStream, mut to: TcpStream) {
    let _ = io::copy(&mut from, &mut to);
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

#[cfg(test)]
mod tests;
