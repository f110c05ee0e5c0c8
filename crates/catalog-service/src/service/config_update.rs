//! Answers a host's poll with the granted configuration, in parts.

use super::frame_sender::FrameSender;
use super::peer_table::PeerTable;
use crate::codec::{change_to_proto, revision_to_proto};
use crate::parts::send_in_parts;
use grebecleat_catalog::leader::{filter_for_host, is_needed_by, Epoch, Grant, Leader};
use grebecleat_catalog::records::Name;
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};

/// Answers a host's poll with a lease and the revisions that the host lacks. Drops the answer if
/// the host has disconnected.
pub(super) fn send_grant(peers: &mut PeerTable, leader: &Leader, epoch: Epoch, grant: &Grant) {
    let Some(peer_call) = peers.take_call(grant.call) else {
        return;
    };
    let Some((name, frames)) = peers.connection(peer_call.conn) else {
        return;
    };
    let host = Name::from(name);
    let head = pb::ConfigUpdate {
        call: peer_call.call,
        epoch: epoch.0,
        version: grant.to.0,
        stable: grant.stable.0,
        lease_us: clock::micros(grant.lease),
        snapshot: grant.snapshot,
        at: grant.from.0,
        ..pb::ConfigUpdate::default()
    };
    if grant.snapshot {
        send_state(frames, leader, grant, &host, &head);
    }
    send_revisions(frames, leader, grant, &host, head);
}

/// Sends the complete state at the version that the revisions continue from.
fn send_state(
    frames: &FrameSender,
    leader: &Leader,
    grant: &Grant,
    host: &Name,
    head: &pb::ConfigUpdate,
) {
    let state = leader
        .catalog()
        .state_at(grant.from)
        .filter(|change| is_needed_by(change, host))
        .map(|change| change_to_proto(&change));
    send_in_parts(state, |state, _| {
        frames.send(Body::ConfigUpdate(pb::ConfigUpdate {
            state,
            // The revisions follow in at least one part, which may be empty.
            more: true,
            ..head.clone()
        }));
    });
}

fn send_revisions(
    frames: &FrameSender,
    leader: &Leader,
    grant: &Grant,
    host: &Name,
    head: pb::ConfigUpdate,
) {
    let catalog = leader.catalog();
    let revisions = catalog.since(grant.from).into_iter().flatten();
    let revisions = revisions
        .filter(|revision| revision.version <= grant.to)
        .map(|revision| revision_to_proto(&filter_for_host(catalog, grant.stable, revision, host)));
    send_in_parts(revisions, |revisions, more| {
        frames.send(Body::ConfigUpdate(pb::ConfigUpdate {
            revisions,
            more,
            ..head.clone()
        }));
    });
}
