//! Settings of the decisions: traffic classes, plans and units.

use crate::api::{Plan, PlanId, Request, TrafficClass, UnitSettings};
use std::time::Duration;

/// Settings that several mechanisms read. Only a change of a plan changes them.
#[derive(Debug)]
pub(super) struct Settings {
    pub(super) traffic_classes: Vec<TrafficClass>,
    pub(super) plans: Vec<Plan>,
    pub(super) units: UnitSettings,
    /// The longest Retry-After; None: clients are given none.
    pub(super) max_retry_after: Option<Duration>,
}

impl Settings {
    /// The traffic class of a request.
    pub(super) fn class(&self, request: &Request) -> &TrafficClass {
        &self.traffic_classes[request.traffic_class.0]
    }

    pub(super) fn plan(&self, id: PlanId) -> &Plan {
        &self.plans[id.0]
    }

    /// Sets the figures of a plan; a new plan has the next number.
    pub(super) fn set_plan(&mut self, id: PlanId, plan: Plan) {
        let plans = self.plans.len().max(id.0 + 1);
        self.plans.resize(plans, Plan::default());
        self.plans[id.0] = plan;
    }
}
