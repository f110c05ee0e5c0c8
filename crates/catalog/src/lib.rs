//! The configuration of a deployment (plans, volumes, nodes, drains, targets) as versioned data. No
//! I/O.
//!
//! - The catalog: [`records`], [`change`] and [`errors`] are its types; [`catalog`] is the state
//!   with its audit log; [`propose`] makes revisions from changes after [`validation`].
//! - The change feed: [`feed`] says who follows which version and what a host may send meanwhile;
//!   [`leader`] is the state service's side, [`follower`] a host's.
//! - Promises: [`planner`] says whether all reservations can be met, [`incremental_flow`] the same
//!   as a site changes (by [`flow`]), [`admission`] whether a change may land, [`moves`] which
//!   extents to move so that they can.
//!
//! Nothing here decides over a single request. Begin with [`catalog`].

#![warn(missing_docs)]

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
