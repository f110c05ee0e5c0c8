//! The iSCSI portal: connects the sockets to the engine, and the engine to the host.
//!
//! One thread owns the engine; each connection has a reading and a writing coroutine, like the
//! host's own connections. To the host the engine is an in-process client: its requests have their
//! own ids and are scheduled like those of any client. Started once for each portal when the host
//! process starts.

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

/// Maximum bytes that one command may read.
const MAX_READ_BYTES: usize = 1 << 20;
/// Bytes of PDU headers for the data that one command reads.
const MAX_HEADER_BYTES: usize = 4096;

/// Placements of extents and the version ceiling, as persisted by earlier runs of the process.
pub struct PersistedState<'a> {
    /// Persists placements and ceilings.
    pub keeper: &'a GroupCommit,
    /// Placements of extents by volume id.
    pub places: &'a BTreeMap<u64, Extents>,
    /// Earlier runs may have used versions below it.
    pub ceiling: u64,
}

/// Reason why a portal did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The portal cannot listen on its address.
    #[error("iSCSI portal cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// Another system call failed: reading the listener's address or creating the thread.
    #[error(transparent)]
    System(#[from] io::Error),
}

/// Starts a portal for a running host; returns the address on which it listens.
pub fn start(
    settings: &Arc<Settings>,
    spec: &PortalSpec,
    host: &Handle,
    store: PersistedState,
) -> Result<SocketAddr, StartError> {
    let (events, received) = mpsc::channel();
    let listener = TcpListener::bind(spec.listen).map_err(|source| StartError::Listen {
        address: spec.listen,
        source,
    })?;
    let address = listener.local_addr()?;
    let engine = setup::engine(settings, spec, address, &store);
    // One event announces all responses until they are read; one for each would wake the owner
    // needlessly.
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
    let max_unsent = spec.commands.2 as usize * (MAX_READ_BYTES + MAX_HEADER_BYTES);
    go!(move || accept(&listener, &accepting, &tracer, max_unsent));
    let owner = Owner {
        engine,
        shard_counts: ShardCounts::count_and_report(host.clone(), store.places.values()),
        local,
        answers_pending,
        store: Some(store.keeper.clone()),
        events,
        queues: BTreeMap::new(),
        requests: RequestBuilder::new(settings.clone(), spec.clone()),
    };
    std::thread::Builder::new()
        .name("iscsi".into())
        .spawn(move || owner.run(&received))?;
    Ok(address)
}
