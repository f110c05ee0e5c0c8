//! Plans as data, without input or output.
//!
//! For: what is decided about plans and volumes while they are in service, by whom, and when it is in force.
//! [`changes`] is the catalog; [`feed`] says who follows which version of it and what a host may send
//! meanwhile; [`leader`] is the state service's decisions over both, [`follow`] a host's; [`planner`] says
//! whether promises can be kept, [`admission`] whether a change may land, [`moves`] what would mend a site,
//! both by a flow that stands ([`volumes_of_plan`], [`flow`]). It must never decide over a single request. Begin
//! with [`changes`].

pub mod admission;
pub mod changes;
pub mod feed;
pub mod flow;
pub mod follower;
pub mod incremental_flow;
pub mod leader;
pub mod moves;
pub mod planner;
