//! Encodes the parts of a gossip message.

use super::wire::{
    WireEntry, WireOffer, WireSay, WireServed, WireSight, KIND_CLEARED, KIND_GRANT,
    KIND_RECOVERING, KIND_RELEASE, KIND_REQUEST,
};
use crate::gossip_message::VolumeLeaseMessage;
use crate::host_report::{GossipEntry, Observation};
use crate::lease_message::LeaseMessage;

/// Encodes a report and its version.
pub(super) fn encode_entry(entry: &GossipEntry) -> WireEntry {
    let report = &entry.report;
    let offers = report.offers.iter().map(|offer| WireOffer {
        volume: offer.volume,
        spare: offer.spare,
    });
    let served = report.served.iter().map(|served| WireServed {
        volume: served.volume,
        units: served.units,
    });
    WireEntry {
        writer: entry.writer.0,
        incarnation: entry.version.incarnation.0,
        count: entry.version.count,
        age_ms: entry.age.as_millis() as u64,
        tried: report.nodes_tried,
        badly: report.bad_nodes,
        sights: report.observations.iter().map(encode_observation).collect(),
        offers: offers.collect(),
        served: served.collect(),
    }
}

fn encode_observation(observation: &Observation) -> WireSight {
    let ago_ms = observation.age.as_millis().min(u128::from(u32::MAX));
    WireSight {
        node: observation.node,
        start: observation.start,
        sent: observation.attempts,
        bad: observation.failed,
        ago_ms: ago_ms as u32,
        clears: observation.contradicts_ejection,
    }
}

/// Encodes a lease message.
pub(super) fn encode_lease(lease: &VolumeLeaseMessage) -> WireSay {
    let empty = WireSay {
        volume: lease.volume,
        sharers: lease.sharers,
        ..WireSay::default()
    };
    match lease.message {
        LeaseMessage::Request {
            request,
            lease,
            amount,
        } => WireSay {
            kind: KIND_REQUEST,
            number: request,
            loan: lease,
            amount,
            ..empty
        },
        LeaseMessage::Grant {
            request,
            borrower_incarnation,
            amount,
        } => WireSay {
            kind: KIND_GRANT,
            number: request,
            loan: borrower_incarnation.0,
            amount,
            ..empty
        },
        LeaseMessage::Release { lease } => WireSay {
            kind: KIND_RELEASE,
            loan: lease,
            ..empty
        },
        LeaseMessage::Cleared {
            recovering_incarnation,
        } => WireSay {
            kind: KIND_CLEARED,
            number: recovering_incarnation.0,
            ..empty
        },
        LeaseMessage::Recovering => WireSay {
            kind: KIND_RECOVERING,
            ..empty
        },
    }
}
