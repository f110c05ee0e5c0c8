//! Sends gossip to other hosts, over one connection to each, which is opened when there is a message and
//! closed when it is idle.
//!
//! The owner calls it with each message to a peer. Messages may be lost: a message that cannot be
//! written soon is superseded by a later one. Memory: [`MAX_QUEUED`] messages for each peer.

use super::connection::{greet, ConnectionError};
use super::Shared;
use grebecleat_scheduler::api::PeerId;
use grebecleat_wire::pb::{self, frame::Body};
use grebecleat_wire::{clock, frame};
use may::go;
use may::net::TcpStream;
use may::sync::mpsc::{channel, Receiver, Sender};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// The largest number of messages that wait for one peer; further ones are dropped. With a larger bound,
/// a slow peer receives outdated gossip; with a smaller one, messages are lost in a short delay of the
/// peer.
const MAX_QUEUED: usize = 8;

/// The queue of messages to one peer.
struct PeerLink {
    queued: Arc<AtomicUsize>,
    messages: Sender<Vec<u8>>,
}

/// The queues of messages to all peers.
#[derive(Clone, Default)]
pub(super) struct PeerLinks(Arc<Mutex<BTreeMap<PeerId, PeerLink>>>);

impl PeerLinks {
    /// Queues a message to a peer, and opens a connection to the peer if there is none.
    pub fn send(&self, shared: &Shared, peer: PeerId, address: SocketAddr, message: &[u8]) {
        let mut links = self.0.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(link) = links.get(&peer) {
            if link.queued.load(Ordering::Acquire) >= MAX_QUEUED {
                return;
            }
            link.queued.fetch_add(1, Ordering::AcqRel);
            if link.messages.send(message.to_vec()).is_ok() {
                return;
            }
        }
        let (messages, to_write) = channel();
        let queued = Arc::new(AtomicUsize::new(1));
        let _ = messages.send(message.to_vec());
        let link = PeerLink {
            queued: queued.clone(),
            messages,
        };
        links.insert(peer, link);
        let shared = shared.clone();
        go!(move || {
            if let Err(error) = write_messages(&shared, address, &queued, &to_write) {
                tracing::debug!(%address, %error, "gossip connection to a peer closed");
            }
        });
    }
}

/// Writes messages over one connection until none has been queued for the idle time of the settings, or
/// the connection fails.
fn write_messages(
    shared: &Shared,
    address: SocketAddr,
    queued: &AtomicUsize,
    messages: &Receiver<Vec<u8>>,
) -> Result<(), ConnectionError> {
    let timeout = shared.bounds().dial_timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    let mut reader = frame::Reader::new(shared.bounds().max_frame);
    greet(&mut stream, &mut reader, &shared.hello, timeout)?;
    stream.set_write_timeout(Some(shared.bounds().patience))?;
    while let Ok(text) = messages.recv_timeout(shared.bounds().idle) {
        queued.fetch_sub(1, Ordering::AcqRel);
        let message = pb::GossipMessage { text: text.into() };
        let gossip = pb::Frame {
            sent_us: clock::micros(clock::now()),
            body: Some(Body::GossipMessage(message)),
        };
        let mut bytes = Vec::new();
        frame::write(&gossip, &mut bytes);
        stream.write_all(&bytes)?;
    }
    Ok(())
}
