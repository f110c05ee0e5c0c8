//! What operators look at: the state, the audit log, the status, and proposals of moves.

use super::event::ServiceEvent;
use super::owner::Owner;
use crate::codec::{change_to_proto, revision_to_proto};
use crate::parts::send_in_parts;
use grebecleat_catalog::moves::{self, Size};
use grebecleat_wire::pb::{self, frame::Body, query::What};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of a block.
const BLOCK_BYTES: u64 = 512;
/// Bytes of an extent, where no portal states how large its extents are.
const DEFAULT_EXTENT_BYTES: u64 = 64 << 10;

impl Owner<'_> {
    /// Answers a query of a connected operator.
    pub(super) fn handle_query(&mut self, conn: u64, query: pb::Query) {
        let head = pb::QueryResult {
            call: query.call,
            version: self.leader.persisted().0,
            stable: self.leader.stable().0,
            epoch: self.epoch.0,
            store_fault: self.store_fault.clone(),
            ..pb::QueryResult::default()
        };
        match query.what() {
            What::State => self.send_state(conn, &head),
            What::AuditLog => self.send_audit_log(conn, &query, &head),
            What::Status | What::Unknown => self.send_status(conn, head),
            What::Proposal => self.propose_moves(conn, query.empty, head),
        }
    }

    fn send_result(&self, conn: u64, result: pb::QueryResult) {
        if let Some(peer) = self.peers.get(&conn) {
            peer.frames.send(Body::QueryResult(result));
        }
    }

    fn send_state(&self, conn: u64, head: &pb::QueryResult) {
        let state = self.leader.catalog().state_at(self.leader.persisted());
        let state = state.map(|change| change_to_proto(&change));
        send_in_parts(state, |state, more| {
            let result = pb::QueryResult {
                state,
                more,
                ..head.clone()
            };
            self.send_result(conn, result);
        });
    }

    /// Sends the newest revisions after `query.after`, at most `query.most` (0: all of them).
    fn send_audit_log(&self, conn: u64, query: &pb::Query, head: &pb::QueryResult) {
        let persisted = self.leader.persisted();
        let revisions =
            self.leader.catalog().audit_log().filter(|revision| {
                revision.version <= persisted && revision.version.0 > query.after
            });
        let count = revisions.clone().count();
        let limit = match query.most {
            0 => count,
            most => most as usize,
        };
        let revisions = revisions
            .skip(count.saturating_sub(limit))
            .map(revision_to_proto);
        send_in_parts(revisions, |revisions, more| {
            let result = pb::QueryResult {
                revisions,
                more,
                ..head.clone()
            };
            self.send_result(conn, result);
        });
    }

    fn send_status(&self, conn: u64, head: pb::QueryResult) {
        let shortfall = self.leader.admission().shortfall();
        let result = pb::QueryResult {
            hosts: self.host_status(),
            short: shortfall.short,
            out_of_reach: shortfall.out_of_reach,
            behind: self.leader.behind().map(|version| version.0),
            ..head
        };
        self.send_result(conn, result);
    }

    /// Works out moves of extents that would meet the reservations without the nodes in `empty`, in
    /// a thread of its own: it may take seconds, and hosts must not wait for it.
    fn propose_moves(&self, conn: u64, empty: Vec<u32>, head: pb::QueryResult) {
        let catalog = self.leader.catalog();
        let admission = self.leader.admission();
        let site = admission.site(catalog);
        let mut empty: BTreeSet<u32> = empty.into_iter().collect();
        empty.extend(admission.drains());
        let mut volume_bytes = BTreeMap::new();
        for (id, volume) in catalog.volumes() {
            volume_bytes.insert(id, volume.blocks * BLOCK_BYTES);
        }
        let extent_bytes = self.extent_bytes();
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

    /// Bytes of an extent, as the first portal of the settings states them.
    fn extent_bytes(&self) -> u64 {
        match self.options.settings.portals.first() {
            Some(portal) => u64::from(portal.extent_blocks) * BLOCK_BYTES,
            None => DEFAULT_EXTENT_BYTES,
        }
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
