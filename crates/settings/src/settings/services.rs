//! Discovery, the state service, and the coordination among hosts.

use super::topology::address;
use super::{ms, DAY};
use crate::fields::Fields;
use grebecleat_scheduler::api::DiscoveryPolicy;
use std::net::SocketAddr;
use std::time::Duration;

/// The discovery service, as `node_list()` declares it.
#[derive(Debug, Clone)]
pub struct DiscoverySpec {
    /// The address of the discovery service, if the settings name one.
    pub address: Option<SocketAddr>,
    /// The way in which hosts poll the endpoint list.
    pub rule: DiscoveryPolicy,
    /// Delay in rehearsals until the list shows a node that was added, drains or was removed.
    pub lag: Duration,
    /// Fraction of the calls of discovery that fail in rehearsals.
    pub fails: f64,
}

/// The state service, as `state_service()` declares it.
#[derive(Debug, Clone)]
pub struct StateSpec {
    /// The address of the state service, if the settings name one.
    pub address: Option<SocketAddr>,
    /// How long a host may act on the last configuration that it received.
    pub lease: Duration,
    /// The greatest drift of clocks within one lease.
    pub margin: Duration,
    /// The greatest concentration of a volume's load on a part of its nodes; 1 for an even
    /// distribution.
    pub spread: f64,
    /// Revisions that remain in the audit log.
    pub max_audit_log: u64,
    /// Time between two snapshots.
    pub snapshot_every: Duration,
}

/// The coordination among hosts, as `fleet()` declares it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CoordinationSpec {
    /// The time between two gossip rounds.
    pub every: Duration,
    /// The duration of a quota lease.
    pub loan: Duration,
    /// The greatest drift of clocks within one quota lease.
    pub margin: Duration,
}

/// Reads a `node_list()`.
pub(super) fn list(fields: &mut Fields) -> DiscoverySpec {
    DiscoverySpec {
        address: address(fields, "address"),
        rule: DiscoveryPolicy {
            polled: fields.boolean("on_asking", Some(true)),
            poll_interval: fields.duration("ask_every", Some(ms(10_000)), DAY),
            lease: None,
        },
        lag: fields.duration("lag", Some(ms(1000)), DAY),
        fails: fields.number("fails", Some(0.0), (0.0, 1.0)),
    }
}

/// Reads a `state_service()`.
pub(super) fn state(fields: &mut Fields) -> StateSpec {
    let spec = StateSpec {
        address: address(fields, "address"),
        lease: fields.duration("lease", Some(ms(6000)), DAY),
        margin: fields.duration("margin", Some(ms(1000)), DAY),
        spread: fields.number("spread", Some(2.0), (1.0, 1000.0)),
        max_audit_log: fields.integer("most_trail", Some(100_000), (100, 10_000_000)),
        snapshot_every: fields.duration("snapshot_every", Some(ms(600_000)), DAY),
    };
    if spec.lease < ms(100) {
        fields.fault(
            "lease",
            format!("expected at least ms(100), found {:?}", spec.lease),
        );
    }
    spec
}

/// Reads a `fleet()`.
pub(super) fn fleet(fields: &mut Fields) -> CoordinationSpec {
    let every = fields.duration("every", Some(ms(200)), DAY);
    let loan = fields.duration("loan", Some(ms(2000)), DAY);
    let margin = fields.duration("margin", Some(ms(250)), DAY);
    if every < ms(20) {
        fields.fault("every", format!("expected at least 20ms, found {every:?}"));
    }
    // A quota lease is renewed in its second half, and the answer needs some rounds to arrive.
    if loan < every * 4 {
        fields.fault(
            "loan",
            format!(
                "expected at least four times every, {:?}, found {loan:?}",
                every * 4
            ),
        );
    }
    // Clocks of one machine drift less, and clocks of several machines well below a hundredth.
    if margin < loan / 100 {
        fields.fault(
            "margin",
            format!(
                "expected at least a hundredth of loan, {:?}, found {margin:?}",
                loan / 100
            ),
        );
    }
    CoordinationSpec {
        every,
        loan,
        margin,
    }
}
