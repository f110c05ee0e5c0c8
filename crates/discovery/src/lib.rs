//! Client of the discovery service: it keeps the endpoint list of one host current.
//!
//! State machine: [`DiscoveryClient::step`] takes one event and returns the actions to perform.
//! No I/O and no clock. The host's router calls it. The router and the sockets only carry bytes and
//! perform the actions; every rule about when discovery is called, and about the meaning of its
//! silence, is here:
//!
//! - [`endpoint_list`]: the endpoint list, as discovery sent it and as it is stored over a restart;
//! - [`DiscoveryClient`]: the links to discovery, their requests and timeouts, and the overdue
//!   links that are still read;
//! - [`poll_deadline`]: the latest time of the next call, so that a change is known in time even if
//!   calls fail;
//! - [`events`]: the events, the actions, and the log events;
//! - [`long_polling`] and [`calls`]: the client's watch over a protocol in which discovery responds
//!   to one call at a time, as on the platform: the next call, its timeout, and the revision from
//!   which a new connection resumes. The host's own protocol pushes changes and needs neither.
//!
//! Two decisions are the scheduler's. `grebecleat_scheduler::scheduler::fetch_backoff` decides
//! the backoff after a failed call. `grebecleat_scheduler::scheduler::endpoint_lease` decides how long
//! the list may be used without a response. The scheduler requests a watch or a fetch
//! ([`Event::Watch`], [`Event::Fetch`]); the client calls earlier if the poll deadline demands it.
//!
//! Bounds: one active link and at most three overdue links; one record for each endpoint that
//! discovery has ever listed.

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod calls;
mod client;
pub mod endpoint_list;
pub mod events;
mod history;
mod links;
pub mod long_polling;
pub mod poll_deadline;

pub use client::DiscoveryClient;
pub use events::{Action, Event, FailureReason, LinkId, ListUpdate, LogEvent};
