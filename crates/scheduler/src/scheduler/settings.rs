//! Settings that the scheduler's decisions use: traffic classes, plans and units.

use crate::api::{Plan, PlanId, Request, TrafficClass, UnitSettings};
use std::time::Duration;

/// Settings that several mechanisms read. They change only when a plan changes.
#[derive(Debug)]
pub(super) struct Settings {
    pub(super) traffic_classes: Vec<TrafficClass>,
    pub(super) plans: Vec<Plan>,
    pub(super) units: UnitSettings,
    /// The longest Retry-After; `None` if rejections carry no Retry-After.
    pub(super) max_retry_after: Option<Duration>,
}

impl Settings {
    /// Returns the traffic class of a request.
    pub(super) fn class(&self, request: &Request) -> &TrafficClass {
        &self.traffic_classes[request.traffic_class.0]
    }

    pub(super) fn plan(&self, id: PlanId) -> &Plan {
        &self.plans[id.0]
    }

    /// Sets the parameters of a plan; a new plan has the next unused id.
    pub(super) fn set_plan(&mut self, id: PlanId, plan: Plan) {
        let plans = self.plans.len().max(id.0 + 1);
        self.plans.resize(plans, Plan::default());
        self.plans[id.0] = plan;
    }
}
