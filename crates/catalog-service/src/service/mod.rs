//! The state service on its sockets.
//!
//! One thread, the owner, has the [`Leader`] and all other state; each connection has one thread
//! that reads and one that writes. Hosts and operators speak frames of `plans.proto`. What the
//! decisions want stored goes to the [`GroupCommit`], one commit for all of a step. Nothing is
//! decided here but when to disconnect a peer.
//!
//! - `listener`: accepts connections. `connection`: the reader and writer threads.
//! - `owner`: the loop; `peers`: who is connected; `frames`: what peers ask; `actions`: what the
//!   leader decides; `membership`: what the drains' state machine decides; `query`: what operators
//!   look at; `snapshots`: the regular snapshot.
//!
//! Called by the command `state-service`, as [`serve`], which returns once [`Handle::stop`] was
//! called.
//!
//! Bounds: 1,024 connections; a writer's queue has 1,024 frames, each of at most some 128 KiB or
//! one record, and a peer that leaves more unread is disconnected. Snapshots are written beside the
//! store, by a thread of their own.

mod actions;
mod connection;
mod error;
mod event;
mod frame_sender;
mod frames;
mod listener;
mod membership;
mod membership_link;
mod options;
mod owner;
mod peer;
mod peers;
mod query;
mod snapshot_schedule;
mod snapshots;
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

/// Stops a running service.
#[derive(Clone)]
pub struct Handle {
    to_owner: Sender<ServiceEvent>,
}

impl Handle {
    /// Makes the service end once everything that it has decided is stored.
    pub fn stop(&self) {
        let _ = self.to_owner.send(ServiceEvent::Stop);
    }
}

/// A number for a new epoch, which differs from every other service's.
pub fn new_epoch() -> Epoch {
    Epoch((wall_time().as_nanos() as u64) ^ u64::from(std::process::id()) << 48 | 1)
}

/// Serves until [`Handle::stop`]. `started` gets the address that the service listens on.
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
        owner.declare_settings()?;
    }
    owner.step_membership(Vec::new());
    listener::accept(listener, &options.tracer, to_owner.clone());
    started(address, Handle { to_owner });
    owner.run(&events);
    Ok(())
}

/// Opens the store, and gives a new one its first epoch.
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

/// The contents of a store as the leader starts with them.
fn initial_state(stored: StoredState, settings: &Settings, spec: &StateSpec) -> InitialState {
    let catalog = Catalog::new(deployment(settings), spec.max_audit_log as usize);
    let catalog = catalog.restored(stored.version, stored.state, stored.audit_log);
    let hosts: Vec<Name> = settings
        .hosts
        .iter()
        .map(|host| Name::from(host.name.as_str()))
        .collect();
    let mut applied: BTreeMap<HostNumber, Version> = BTreeMap::new();
    for (index, name) in hosts.iter().enumerate() {
        let host = HostNumber(index as u32);
        if let Some(version) = stored.hosts.get(name) {
            applied.insert(host, *version);
        } else if stored.restored {
            // It may have joined after the snapshot: it counts as known, with nothing applied.
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

fn new_membership(settings: &Settings, now: Duration) -> Membership {
    let hosts = (0..settings.hosts.len() as u32).map(HostNumber);
    Membership::new(
        now,
        settings.rules.cold.warm_up_time,
        settings.longest_deadline(),
        hosts,
    )
}
