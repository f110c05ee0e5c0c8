//! Encodes the report of a node and its drain for subscribers.

use grebecleat_catalog::feed::HostNumber;
use grebecleat_membership::drains::{DrainView, NodeView, Phase};
use grebecleat_membership::node_status::NodeStatus;
use grebecleat_wire::clock::micros;
use grebecleat_wire::pb;

/// Returns whether two reports are equal except for times that change without an event.
pub(super) fn equal_except_times(sent: &pb::NodeReport, now: &pb::NodeReport) -> bool {
    without_times(sent) == without_times(now)
}

fn without_times(report: &pb::NodeReport) -> pb::NodeReport {
    let drain = report.drain.clone().map(|drain| pb::DrainStatus {
        left_us: None,
        unsure_us: 0,
        ..drain
    });
    pb::NodeReport {
        up_us: None,
        drain,
        ..report.clone()
    }
}

/// Encodes the report of a node. `hosts`: the status of the hosts, indexed by host number.
pub(super) fn node_to_proto(node: &NodeView, hosts: &[pb::HostStatus]) -> pb::NodeReport {
    pb::NodeReport {
        node: node.node,
        name: node.attributes.name.to_string(),
        zone: node.attributes.zone.to_string(),
        shard: node.attributes.shard,
        status: node_status_to_proto(node.status).into(),
        by: node.status_source.to_string(),
        up_us: node.uptime.map(micros),
        start: node.list_entry.incarnation,
        drain: node
            .drain
            .as_ref()
            .map(|drain| drain_to_proto(drain, hosts)),
    }
}

fn node_status_to_proto(status: NodeStatus) -> pb::NodeStatusKind {
    match status {
        NodeStatus::Unknown => pb::NodeStatusKind::Unknown,
        NodeStatus::Warming => pb::NodeStatusKind::Warming,
        NodeStatus::Ready => pb::NodeStatusKind::IsReady,
        NodeStatus::Draining => pb::NodeStatusKind::IsDraining,
        NodeStatus::Drained => pb::NodeStatusKind::IsEmpty,
        NodeStatus::Removed => pb::NodeStatusKind::IsOut,
        NodeStatus::Suspect => pb::NodeStatusKind::Suspect,
        NodeStatus::Returned => pb::NodeStatusKind::Back,
    }
}

fn drain_to_proto(drain: &DrainView, hosts: &[pb::HostStatus]) -> pb::DrainStatus {
    let mut status = pb::DrainStatus {
        author: drain.author.to_string(),
        asked_us: micros(drain.requested_at),
        since_us: micros(drain.since),
        left_us: drain.time_left.map(micros),
        extents: drain.sole_extents,
        ..pb::DrainStatus::default()
    };
    let phase = match &drain.phase {
        Phase::Waiting { reason } => {
            status.objections = vec![reason.clone()];
            pb::DrainPhase::Waits
        }
        Phase::Notifying { hosts: waiting } => {
            for (host, connected) in waiting {
                let name = host_name(*host, hosts);
                if !connected {
                    status.lost.push(name.clone());
                }
                status.untold.push(name);
            }
            pb::DrainPhase::Telling
        }
        Phase::Quiescing {
            attempts,
            peak_attempts,
            unresolved_for,
        } => {
            status.attempts = *attempts;
            status.most = *peak_attempts;
            status.unsure_us = micros(*unresolved_for);
            pb::DrainPhase::Quiescing
        }
        Phase::Drained { objections } => {
            status.objections = objections.clone();
            pb::DrainPhase::NowEmpty
        }
        Phase::Removed => pb::DrainPhase::TakenOut,
    };
    status.phase = phase.into();
    status
}

fn host_name(host: HostNumber, hosts: &[pb::HostStatus]) -> String {
    let status = hosts.get(host.0 as usize);
    status.map(|status| status.name.clone()).unwrap_or_default()
}
