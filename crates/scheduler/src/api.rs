//! Interface between the scheduler and its host: events as input, actions as output, and the settings and
//! metrics that both use.
//!
//! [`crate::scheduler::Scheduler::step`] takes [`Event`]s and returns [`Action`]s. The types here contain no
//! decision logic. A unit is the measure of node work that the settings define, and rates are in units per
//! second. Times are durations since the host's start unless stated otherwise.

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
