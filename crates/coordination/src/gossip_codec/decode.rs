//! Decodes the parts of a gossip message and checks that their numbers are in range.

use super::error::GossipDecodeError;
use super::wire::{
    WireEntry, WireSay, WireSight, KIND_CLEARED, KIND_GRANT, KIND_RECOVERING, KIND_RELEASE,
    KIND_REQUEST, MAX_AGE_MS, MAX_COUNT, MAX_INCARNATION,
};
use crate::gossip_message::{VolumeLeaseMessage, MAX_REPORT_ITEMS};
use crate::host_report::{
    GossipEntry, HostReport, LeaseOffer, Observation, ServedUnits, VersionStamp,
};
use crate::lease_message::{LeaseMessage, FULL_LIMIT};
use crate::{HostNumber, Incarnation};
use std::time::Duration;

/// Returns an error if a list has more than `limit` items. The error names the `list`.
pub(super) fn check_count(
    list: &'static str,
    count: usize,
    limit: usize,
) -> Result<(), GossipDecodeError> {
    if count > limit {
        return Err(GossipDecodeError::TooMany { list, count, limit });
    }
    Ok(())
}

/// Decodes an incarnation; returns an error if it is out of range.
pub(super) fn decode_incarnation(incarnation: u64) -> Result<Incarnation, GossipDecodeError> {
    if !(1..MAX_INCARNATION).contains(&incarnation) {
        return Err(GossipDecodeError::Incarnation { incarnation });
    }
    Ok(Incarnation(incarnation))
}

/// Decodes a report and its version; returns an error if a number is out of range.
pub(super) fn decode_entry(wire: WireEntry) -> Result<GossipEntry, GossipDecodeError> {
    let version = VersionStamp {
        incarnation: decode_incarnation(wire.incarnation)?,
        count: wire.count,
    };
    check_entry(&wire)?;
    let observations = wire.sights.into_iter().map(decode_observation);
    let offers = wire.offers.into_iter().map(|offer| LeaseOffer {
        volume: offer.volume,
        spare: offer.spare,
    });
    let served = wire.served.into_iter().map(|served| ServedUnits {
        volume: served.volume,
        units: served.units,
    });
    let report = HostReport {
        nodes_tried: wire.tried,
        bad_nodes: wire.badly,
        observations: observations.collect(),
        offers: offers.collect(),
        served: served.collect(),
    };
    Ok(GossipEntry {
        writer: HostNumber(wire.writer),
        version,
        age: Duration::from_millis(wire.age_ms),
        report,
    })
}

fn check_entry(wire: &WireEntry) -> Result<(), GossipDecodeError> {
    let writer = wire.writer;
    if wire.count >= MAX_COUNT || wire.age_ms >= MAX_AGE_MS {
        return Err(GossipDecodeError::EntryNumbers {
            writer,
            count: wire.count,
            age_ms: wire.age_ms,
        });
    }
    check_count("observations", wire.sights.len(), MAX_REPORT_ITEMS)?;
    check_count("lease offers", wire.offers.len(), MAX_REPORT_ITEMS)?;
    check_count("served volumes", wire.served.len(), MAX_REPORT_ITEMS)?;
    let mut observations = wire.sights.iter();
    if wire.badly > wire.tried || observations.any(|observed| observed.bad > observed.sent) {
        return Err(GossipDecodeError::MoreBadThanSent { writer });
    }
    if wire.offers.iter().any(|offer| offer.spare > FULL_LIMIT) {
        return Err(GossipDecodeError::OfferAboveLimit { writer });
    }
    Ok(())
}

fn decode_observation(wire: WireSight) -> Observation {
    Observation {
        node: wire.node,
        start: wire.start,
        attempts: wire.sent,
        failed: wire.bad,
        age: Duration::from_millis(u64::from(wire.ago_ms)),
        contradicts_ejection: wire.clears,
    }
}

/// Decodes a lease message; returns an error if a number is out of range.
pub(super) fn decode_lease(wire: WireSay) -> Result<VolumeLeaseMessage, GossipDecodeError> {
    if wire.amount > FULL_LIMIT || wire.sharers == 0 {
        return Err(GossipDecodeError::LeaseNumbers {
            volume: wire.volume,
            amount: wire.amount,
            sharers: wire.sharers,
        });
    }
    let message = decode_lease_message(&wire)?;
    Ok(VolumeLeaseMessage {
        volume: wire.volume,
        sharers: wire.sharers,
        message,
    })
}

fn decode_lease_message(wire: &WireSay) -> Result<LeaseMessage, GossipDecodeError> {
    Ok(match wire.kind {
        KIND_REQUEST => LeaseMessage::Request {
            request: wire.number,
            lease: wire.loan,
            amount: wire.amount,
        },
        KIND_GRANT => LeaseMessage::Grant {
            request: wire.number,
            borrower_incarnation: decode_incarnation(wire.loan)?,
            amount: wire.amount,
        },
        KIND_RELEASE => LeaseMessage::Release { lease: wire.loan },
        KIND_CLEARED => LeaseMessage::Cleared {
            recovering_incarnation: decode_incarnation(wire.number)?,
        },
        KIND_RECOVERING => LeaseMessage::Recovering,
        kind => {
            return Err(GossipDecodeError::LeaseKind {
                volume: wire.volume,
                kind,
            })
        }
    })
}
