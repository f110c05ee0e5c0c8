//! The replicated catalog: the configuration of a deployment (plans, volumes, nodes, drains,
//! targets) as versioned data. The crate performs no I/O.
//!
//! - The catalog: [`records`], [`change`] and [`errors`] are its types. [`catalog`] is the state
//!   with its audit log. [`propose`] creates revisions from changes, after [`validation`].
//! - The change feed: [`feed`] determines which host follows which version, and the quota that a
//!   host may use while hosts follow different versions. [`leader`] is the catalog service's side,
//!   [`follower`] a host's side.
//! - Reservations: [`planner`] computes whether all reservations can be met. [`incremental_flow`]
//!   updates that result when a site changes, by a maximum flow ([`flow`]). [`admission`] decides
//!   whether a change is admitted. [`moves`] proposes which extents to move so that reservations can
//!   be met.
//!
//! This crate makes no decisions about single requests. Begin with [`catalog`].

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod admission;
mod audit_log;
pub mod catalog;
mod catalog_state;
pub mod change;
pub mod errors;
pub mod feed;
pub mod flow;
pub mod follower;
pub mod incremental_flow;
mod interner;
pub mod leader;
mod limit_lowering;
pub mod moves;
mod overlay;
pub mod planner;
pub mod propose;
pub mod records;
pub mod validation;
