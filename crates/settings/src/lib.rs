//! Settings and scripts in Starlark.
//!
//! This package turns a file into [`Settings`], or into the list of all its faults. Each fault has
//! the file, the line, the field and the expected value. A file is checked completely before any
//! process starts. The package contains no parameter of the scheduling algorithm, and starts no
//! process. Begin with [`settings`] for the meaning of each call, [`script`] for the language, and
//! [`fields`] for the checks.

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod fields;
pub mod kinds;
pub mod script;
pub mod settings;

pub use fields::Fault;
pub use grebecleat_scheduler::api::{DeduplicationScope, Idempotency, SlowStartPolicy};
pub use kinds::FaultKind;
pub use settings::{
    Bounds, CoordinationSpec, DiscoverySpec, FaultSpec, HostSpec, NodeSpec, PlanSpec, PortalSpec,
    Rehearsal, Rules, ScriptedChange, Settings, StateSpec, TargetSpec, TrafficClassSpec,
    VolumeSpec,
};
