//! Answers operators' queries: the state, the audit log, the status, and proposals of moves.
//!
//! Called by [`super::requests`]. State: the extent size of the settings, and the channel to the owner
//! for results that a separate thread computes.

use super::event::ServiceEvent;
use super::peer_table::PeerTable;
use super::service_state::ServiceState;
use crate::codec::{change_to_proto, revision_to_proto};
use crate::parts::send_in_parts;
use grebecleat_catalog::leader::Leader;
use grebecleat_catalog::moves::{self, Size};
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, frame::Body, query::What};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::Sender;

/// Size of a block.
const BLOCK_BYTES: u64 = 512;
/// Size of an extent if the settings have no portal, which would state the size. Proposals of moves
/// count extents of this size: with a wrong size their numbers of extents are wrong, but not their
/// bytes.
const DEFAULT_EXTENT_BYTES: u64 = 64 << 10;

/// Answers queries.
pub(super) struct QueryHandler {
    extent_bytes: u64,
    to_owner: Sender<ServiceEvent>,
}

impl QueryHandler {
    /// Returns a handler. The first portal of the settings states the size of an extent.
    /// `to_owner`: receives the proposals of moves.
    pub fn new(settings: &Settings, to_owner: Sender<ServiceEvent>) -> Self {
        let extent_bytes = match settings.portals.first() {
            Some(portal) => u64::from(portal.extent_blocks) * BLOCK_BYTES,
            None => DEFAULT_EXTENT_BYTES,
        };
        QueryHandler {
            extent_bytes,
            to_owner,
        }
    }

    /// Answers a query of a connected operator.
    pub fn handle(&self, conn: u64, query: pb::Query, state: &ServiceState, peers: &PeerTable) {
        let leader = state.leader;
        let head = pb::QueryResult {
            call: query.call,
            version: leader.persisted().0,
            stable: leader.stable().0,
            epoch: state.epoch.0,
            store_fault: state.store_fault.to_string(),
            ..pb::QueryResult::default()
        };
        let send = |result| peers.send(conn, Body::QueryResult(result));
        match query.what() {
            What::State => send_state(leader, &head, send),
            What::AuditLog => send_audit_log(leader, &query, &head, send),
            What::Status | What::Unknown => send(status(leader, peers, head)),
            What::Proposal => self.propose_moves(conn, leader, query.empty, head),
        }
    }

    /// Starts the computation of moves of extents that would meet the reservations without the
    /// nodes in `empty`. A separate thread computes them: it may take seconds, and hosts must not
    /// wait for it.
    fn propose_moves(&self, conn: u64, leader: &Leader, empty: Vec<u32>, head: pb::QueryResult) {
        let catalog = leader.catalog();
        let admission = leader.admission();
        let site = admission.site(catalog);
        let mut empty: BTreeSet<u32> = empty.into_iter().collect();
        empty.extend(admission.drains());
        let mut volume_bytes = BTreeMap::new();
        for (id, volume) in catalog.volumes() {
            volume_bytes.insert(id, volume.blocks * BLOCK_BYTES);
        }
        let extent_bytes = self.extent_bytes;
        let to_owner = self.to_owner.clone();
        std::thread::spawn(move || {
            let size = |id: u64| Size {
                extents: volume_bytes[&id].div_ceil(extent_bytes).max(1),
                bytes: extent_bytes,
            };
            let proposal = moves::propose(&site, &empty, size).unwrap_or_default();
            let result = pb::QueryResult {
                moves: proposal.moves.iter().map(move_to_proto).collect(),
                short: proposal.short,
                ..head
            };
            let _ = to_owner.send(ServiceEvent::QueryResult {
                conn,
                result: Box::new(result),
            });
        });
    }
}

/// Sends one change for each subject that exists.
fn send_state(leader: &Leader, head: &pb::QueryResult, send: impl Fn(pb::QueryResult)) {
    let state = leader.catalog().state_at(leader.persisted());
    let state = state.map(|change| change_to_proto(&change));
    send_in_parts(state, |state, more| {
        send(pb::QueryResult {
            state,
            more,
            ..head.clone()
        });
    });
}

/// Sends the newest revisions after `query.after`, at most `query.most` (0: all of them).
fn send_audit_log(
    leader: &Leader,
    query: &pb::Query,
    head: &pb::QueryResult,
    send: impl Fn(pb::QueryResult),
) {
    let persisted = leader.persisted();
    let audit_log = leader.catalog().audit_log();
    let revisions = audit_log
        .filter(|revision| revision.version <= persisted && revision.version.0 > query.after);
    let count = revisions.clone().count();
    let limit = match query.most {
        0 => count,
        most => most as usize,
    };
    let revisions = revisions
        .skip(count.saturating_sub(limit))
        .map(revision_to_proto);
    send_in_parts(revisions, |revisions, more| {
        send(pb::QueryResult {
            revisions,
            more,
            ..head.clone()
        });
    });
}

/// Returns the status of the hosts and of the reservations.
fn status(leader: &Leader, peers: &PeerTable, head: pb::QueryResult) -> pb::QueryResult {
    let shortfall = leader.admission().shortfall();
    pb::QueryResult {
        hosts: peers.host_status(leader),
        short: shortfall.short,
        out_of_reach: shortfall.out_of_reach,
        behind: leader.behind().map(|version| version.0),
        ..head
    }
}

fn move_to_proto(extent_move: &moves::Move) -> pb::ExtentMove {
    pb::ExtentMove {
        volume: extent_move.volume,
        from: extent_move.from,
        to: extent_move.to,
        extents: extent_move.extents,
        bytes: extent_move.bytes,
    }
}
