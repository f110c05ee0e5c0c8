//! Converts requests of the engine into frames for the host, and responses of the host into inputs
//! of the engine.
//!
//! Called by the owner. The only state is the prefix that distinguishes the request ids of this run
//! of the process from those of others.

use crate::blocks::RequestOutcome;
use crate::engine::{Input, Request, RequestNumber};
use bytes::Bytes;
use grebecleat_settings::{PortalSpec, Settings};
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body, Outcome, Response};
use std::sync::Arc;
use std::time::Duration;

/// Length of a request id's prefix in bytes: 16 hex digits that identify this run, and a hyphen.
const ID_PREFIX: usize = 17;
/// Low bits of an ordering key that hold the extent; the volume's id is above them.
const EXTENT_BITS: u32 = 40;

pub(super) struct RequestBuilder {
    /// Distinguishes the requests of this run of the process from those of others.
    start: u64,
    settings: Arc<Settings>,
    spec: PortalSpec,
}

impl RequestBuilder {
    pub fn new(settings: Arc<Settings>, spec: PortalSpec) -> Self {
        let process = u64::from(std::process::id()) << 32;
        RequestBuilder {
            start: process ^ clock::now().as_nanos() as u64,
            settings,
            spec,
        }
    }

    pub fn submit(&self, request: Request) -> Body {
        let class = if request.write {
            self.spec.write
        } else if request.length >= self.spec.large_from {
            self.spec.large_read
        } else {
            self.spec.read
        };
        let units = f64::from(request.length.div_ceil(self.spec.unit_bytes).max(1));
        let id = Bytes::from(format!("{:016x}-{:019}", self.start, request.no.0));
        Body::SubmitRequest(pb::SubmitRequest {
            piece: id.clone(),
            id,
            traffic_class: class as u32,
            volume: request.volume,
            shard: request.shard,
            key: Some(request.volume << EXTENT_BITS ^ request.extent),
            units: units.min(self.settings.units.largest),
            left_us: clock::micros(self.settings.traffic_classes[class].deadline),
            extent: request.extent,
            length: request.length,
            write: request.write,
            data: request.data,
            offset: Some(request.offset),
            version: request.version,
            plan: None,
            hosts: None,
        })
    }
}

/// Returns the input for a response; `None` for frames that are not responses to requests of this
/// portal.
pub(super) fn finished(body: Body) -> Option<Input> {
    let Body::Response(response) = body else {
        return None;
    };
    let id = std::str::from_utf8(&response.id).ok()?;
    let no = RequestNumber(id.get(ID_PREFIX..)?.parse().ok()?);
    let shard = response.shard;
    Some(Input::RequestFinished {
        no,
        outcome: outcome_of(response),
        shard,
    })
}

fn outcome_of(response: Response) -> RequestOutcome {
    let may_still_apply = response.unsure;
    match (response.outcome(), response.superseded) {
        (Outcome::Completed, Some(found)) => RequestOutcome::Superseded(found),
        (Outcome::Completed, None) => RequestOutcome::Completed(response.data),
        (Outcome::Rejected, _) => RequestOutcome::Rejected {
            retry_after: response.retry_after_us.map(Duration::from_micros),
            may_still_apply,
        },
        (Outcome::Failed | Outcome::Unknown, _) => RequestOutcome::Failed { may_still_apply },
    }
}
