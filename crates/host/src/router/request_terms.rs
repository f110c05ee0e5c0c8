//! Validates an arriving request against the settings and the catalog, and determines its service
//! terms: the plan and the number of hosts of its volume, and the deadline of its traffic class.

use super::types::{request_id, WireMode};
use crate::config_follower::{ConfigFollower, VolumePlacement};
use crate::log_event::ProtocolViolation;
use grebecleat_scheduler::api::{PlanId, RequestId, VolumeId};
use grebecleat_settings::Settings;
use grebecleat_wire::pb;
use std::time::Duration;

/// The service terms of a request.
pub(super) struct RequestTerms {
    pub id: RequestId,
    pub plan: PlanId,
    /// The number of hosts that serve the volume.
    pub hosts: usize,
    /// The longest time that a request of its traffic class may take.
    pub class_deadline: Duration,
}

/// Why a request is not accepted.
pub(super) enum TermsError {
    /// The request violates the protocol. The connection of its client is closed.
    Violation(ProtocolViolation),
    /// This host does not serve the volume. The client may know an older or a newer revision of the
    /// catalog than this host, so the request is answered and the connection stays open.
    NotServedHere(VolumePlacement),
}

impl From<ProtocolViolation> for TermsError {
    fn from(violation: ProtocolViolation) -> Self {
        TermsError::Violation(violation)
    }
}

/// Returns the service terms of a request. `is_open` returns whether a request with this id is open.
pub(super) fn request_terms(
    message: &pb::SubmitRequest,
    settings: &Settings,
    config: &ConfigFollower,
    wire_mode: WireMode,
    is_open: impl FnOnce(&RequestId) -> bool,
) -> Result<RequestTerms, TermsError> {
    let id = request_id(&message.id).ok_or(ProtocolViolation::MalformedRequestId)?;
    if is_open(&id) {
        return Err(ProtocolViolation::DuplicateRequestId.into());
    }
    let class = settings.traffic_classes.get(message.traffic_class as usize);
    let class = class.ok_or(ProtocolViolation::UnknownTrafficClass)?;
    let stated = message.plan.zip(message.hosts);
    let placement = match stated.filter(|_| wire_mode.terms_from_requests()) {
        Some((plan, hosts)) => VolumePlacement::Here {
            plan: PlanId(plan as usize),
            hosts: hosts as usize,
        },
        None => config.placement(VolumeId(message.volume)),
    };
    let (plan, hosts) = match placement {
        VolumePlacement::Here { plan, .. } if plan.0 >= settings.plans.len() => {
            return Err(ProtocolViolation::UnknownPlan.into());
        }
        VolumePlacement::Here { plan, hosts } => (plan, hosts),
        VolumePlacement::Unknown if !config.follows_state_service() => {
            return Err(ProtocolViolation::UnknownVolume.into());
        }
        other => return Err(TermsError::NotServedHere(other)),
    };
    let units = message.units;
    if !(units.is_finite() && units > 0.0 && units <= settings.units.largest) {
        return Err(ProtocolViolation::InvalidSize.into());
    }
    Ok(RequestTerms {
        id,
        plan,
        hosts,
        class_deadline: class.deadline,
    })
}
