//! Messages between the scheduler and its host: events in, actions out, and the settings and metrics that both
//! share.
//!
//! [`Event`] and [`Action`] are all that [`crate::scheduler::Scheduler::step`] takes and returns. Decides nothing.
//! Rates are units a second, where a unit is the settings' measure of node work; times are spans since the
//! host's start unless stated otherwise.

mod actions;
mod events;
mod ids;
mod metrics;
mod settings;

pub use actions::{Action, EjectionReason, LogEvent};
pub use events::{
    AttemptEnd, AttemptOutcome, Endpoint, EndpointUpdateKind, Event, NodeState, Request,
};
pub use ids::{
    KeyId, NodeId, PeerId, PlanId, RequestId, ShardId, TimerTag, TrafficClassId, VolumeId, ZoneId,
};
pub use metrics::{BlockReason, NodeMetrics, QueueMetrics};
pub use settings::{
    DeduplicationScope, DiscoveryPolicy, HostLimits, Idempotency, LimitQuota, Plan, RetryBudget,
    SlowStartPolicy, TrafficClass, UnitSettings, VolumeTerms,
};
