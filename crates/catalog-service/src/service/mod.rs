//! The server of the state service.
//!
//! One thread, the owner, owns the [`Leader`] and all other state. Each connection has a reader
//! thread and a writer thread. Hosts and operators exchange frames of `plans.proto` with the
//! service. The records of all decisions of one step go to the [`GroupCommit`] as one commit. This
//! module decides only when to disconnect a peer.
//!
//! - `owner`: the event loop, which steps the modules below.
//! - `peer_table`, `call_table`: the connected peers, and their calls without an answer.
//! - `requests`: translates frames into events; `query_handler`: answers queries.
//! - `leader_actions`, `config_update`: perform the leader's decisions.
//! - `membership_link`: connects the drains' state machine with the leader.
//! - `commit_pipeline`: commits records asynchronously; `snapshot_scheduler`: writes the regular
//!   snapshot.
//! - `subscriptions`: the watch subscriptions of operators; `service_state`: the state that they
//!   read.
//! - `listener`: accepts connections; `connection`: the reader and writer threads.
//!
//! The command `state-service` calls [`serve`], which returns after [`Handle::stop`].
//!
//! Limits: 1,024 connections. The queue of a writer has 1,024 frames, each of at most about 128 KiB
//! or one record; a peer that leaves more frames unread is disconnected. A separate thread writes
//! each snapshot, into the store's directory.

mod call_table;
mod commit_pipeline;
mod config_update;
mod connection;
mod error;
mod event;
mod frame_sender;
mod leader_actions;
mod listener;
mod membership_link;
mod options;
mod owner;
mod peer_table;
mod query_handler;
mod requests;
mod service_state;
mod snapshot_scheduler;
mod subscriptions;
mod wall_time;

pub use error::ServiceError;
pub use options::Options;

use crate::declared_config::deployment;
use crate::group_commit::GroupCommit;
use crate::store::{Record, StoredState};
use event::ServiceEvent;
use grebecleat_catalog::catalog::Catalog;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::leader::{Epoch, InitialState, Leader};
use grebecleat_catalog::records::{Name, Version};
use grebecleat_membership::drains::Membership;
use grebecleat_settings::{Settings, StateSpec};
use grebecleat_wire::clock;
use owner::{Owner, OwnerStart};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, Sender};
use std::time::Duration;
use wall_time::wall_time;

/// A handle that stops a running service.
#[derive(Clone)]
pub struct Handle {
    to_owner: Sender<ServiceEvent>,
}

impl Handle {
    /// Makes the service end after all its decisions are stored.
    pub fn stop(&self) {
        let _ = self.to_owner.send(ServiceEvent::Stop);
    }
}

/// Returns a number for a new epoch. It is derived from the wall clock and the process ID, so that it
/// differs from the epochs of all other services.
pub fn new_epoch() -> Epoch {
    Epoch((wall_time().as_nanos() as u64) ^ u64::from(std::process::id()) << 48 | 1)
}

/// Serves until [`Handle::stop`]. `started` receives the address that the service listens on.
///
/// Returns an error if the service cannot start: see [`ServiceError`].
pub fn serve(
    options: Options,
    started: impl FnOnce(SocketAddr, Handle),
) -> Result<(), ServiceError> {
    let spec = options
        .settings
        .state
        .clone()
        .ok_or(ServiceError::NotInSettings)?;
    let (group_commit, stored) = open_store(&options, &spec)?;
    let epoch = stored.epoch;
    let is_new = stored.version == Version(0);
    let now = clock::now();
    let leader = Leader::new(
        initial_state(stored, &options.settings, &spec),
        spec.lease,
        spec.margin,
        spec.spread,
        now,
    );
    let membership = new_membership(&options.settings, now);
    let listener = TcpListener::bind(options.listen).map_err(|error| ServiceError::Listen {
        address: options.listen,
        error,
    })?;
    let address = listener.local_addr().map_err(ServiceError::LocalAddress)?;
    let (to_owner, events) = mpsc::channel();
    let mut owner = Owner::new(OwnerStart {
        options: &options,
        spec,
        leader,
        membership,
        epoch,
        group_commit,
        to_owner: to_owner.clone(),
    });
    if is_new {
        owner.declare_settings(&options)?;
        owner.wait_for_declaration(&events);
    }
    owner.step_membership(Vec::new());
    listener::accept(listener, &options.tracer, to_owner.clone());
    started(address, Handle { to_owner });
    owner.run(&events);
    Ok(())
}

/// Opens the store. Stores a new epoch if the store has none.
fn open_store(
    options: &Options,
    spec: &StateSpec,
) -> Result<(GroupCommit, StoredState), ServiceError> {
    let store_error = |fault| ServiceError::Store {
        path: options.store.clone(),
        fault,
    };
    let opened = GroupCommit::open(&options.store, spec.max_audit_log);
    let (group_commit, contents) = opened.map_err(store_error)?;
    let mut stored = contents.state;
    if stored.epoch == Epoch(0) {
        stored.epoch = new_epoch();
        let (done, committed) = mpsc::channel();
        group_commit.commit(vec![Record::Epoch(stored.epoch)], move |result| {
            drop(done.send(result))
        });
        committed.recv()?.map_err(store_error)?;
    }
    Ok((group_commit, stored))
}

/// Returns the leader's initial state from the contents of a store.
fn initial_state(stored: StoredState, settings: &Settings, spec: &StateSpec) -> InitialState {
    let catalog = Catalog::new(deployment(settings), spec.max_audit_log as usize);
    let catalog = catalog.restored(stored.version, stored.state, stored.audit_log);
    let hosts = host_names(settings);
    let mut applied: BTreeMap<HostNumber, Version> = BTreeMap::new();
    for (index, name) in hosts.iter().enumerate() {
        let host = HostNumber(index as u32);
        if let Some(version) = stored.hosts.get(name) {
            applied.insert(host, *version);
        } else if stored.restored {
            // The host may have joined after the snapshot, so it counts as a known follower that
            // has applied nothing.
            applied.insert(host, Version(0));
        }
    }
    InitialState {
        catalog,
        stable: stored.stable,
        applied,
        hosts,
        epoch: stored.epoch,
        epochs: stored.epochs,
        epoch_forced_at: stored.epoch_forced_at,
    }
}

/// Returns the names of the settings' hosts, indexed by host number.
fn host_names(settings: &Settings) -> Vec<Name> {
    let hosts = settings.hosts.iter();
    hosts.map(|host| Name::from(host.name.as_str())).collect()
}

fn new_membership(settings: &Settings, now: Duration) -> Membership {
    let hosts = (0..settings.hosts.len() as u32).map(HostNumber);
    Membership::new(
        now,
        settings.rules.cold.warm_up_time,
        settings.longest_deadline(),
        hosts,
    )
}
