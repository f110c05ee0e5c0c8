//! The iSCSI portal: sockets on one side, the host on the other, the engine between.
//!
//! One thread owns the engine; each connection has a coroutine that reads and one that writes, as
//! the host's own connections have. Towards the host the engine is a client inside the process: its
//! requests go through the same scheduling as any other's, with ids of their own. Called once for
//! each portal at the start of a host process.

mod connection;
mod line;
mod owner;
mod requests;
mod setup;

use connection::accept;
use grebecleat_catalog_service::extents::Extents;
use grebecleat_catalog_service::group_commit::GroupCommit;
use grebecleat_host::server::Handle;
use grebecleat_settings::{PortalSpec, Settings};
use may::go;
use may::net::TcpListener;
use owner::{Event, Owner, ShardCounts};
use requests::RequestBuilder;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::sync::Arc;

/// Bytes that one command may read.
const MAX_READ: usize = 1 << 20;
/// Bytes of PDU headers beside the data that one command reads.
const MAX_HEADERS: usize = 4096;

/// Where extents lie, and the ceiling of versions, as they were persisted before this start.
pub struct Places<'a> {
    /// Persists places and ceilings.
    pub keeper: &'a GroupCommit,
    /// Places of extents by volume id.
    pub places: &'a BTreeMap<u64, Extents>,
    /// Versions below it may have been used by earlier starts.
    pub ceiling: u64,
}

/// Why a portal did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its address cannot be listened on.
    #[error("portal on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The system refused something else: the listener's address, or a thread.
    #[error(transparent)]
    System(#[from] io::Error),
}

/// Starts a portal beside a running host; the address on which it listens.
pub fn start(
    settings: &Arc<Settings>,
    spec: &PortalSpec,
    host: &Handle,
    store: Places,
) -> Result<SocketAddr, StartError> {
    let (events, received) = mpsc::channel();
    let listener = TcpListener::bind(spec.listen).map_err(|source| StartError::Listen {
        address: spec.listen,
        source,
    })?;
    let address = listener.local_addr()?;
    let engine = setup::engine(settings, spec, address, &store);
    // One event for all answers that come until they are read: one for each would wake the owner
    // for nothing.
    let answers_pending = Arc::new(AtomicBool::new(false));
    let local = host.local({
        let events = events.clone();
        let answers_pending = answers_pending.clone();
        move || {
            if !answers_pending.swap(true, Ordering::AcqRel) {
                let _ = events.send(Event::Answers);
            }
        }
    });
    let accepting = events.clone();
    let tracer = host.tracer().clone();
    let max_unsent = spec.commands.2 as usize * (MAX_READ + MAX_HEADERS);
    go!(move || accept(&listener, &accepting, &tracer, max_unsent));
    let owner = Owner {
        engine,
        shard_counts: ShardCounts::report_first(host.clone(), store.places.values()),
        local,
        answers_pending,
        store: Some(store.keeper.clone()),
        events,
        lines: BTreeMap::new(),
        requests: RequestBuilder::new(settings.clone(), spec.clone()),
    };
    std::thread::Builder::new()
        .name("iscsi".into())
        .spawn(move || owner.run(&received))?;
    Ok(address)
}
