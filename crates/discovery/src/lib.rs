//! Client of the discovery service, which keeps the endpoint list of one host up to date.
//!
//! The client is a state machine without I/O and without a clock: the host's router calls
//! [`DiscoveryClient::step`] with one event, and performs the actions that it returns. Every rule about when
//! discovery is called, and about what it means if discovery does not respond, is in this crate:
//!
//! - [`endpoint_list`]: the endpoint list, as discovery sent it and as the host stores it for its next start;
//! - [`DiscoveryClient`]: the links to discovery, their requests and timeouts, and the overdue links that the
//!   client still reads;
//! - [`poll_deadline`]: the latest time of the next call, so that the host learns of a change in time even if
//!   calls fail;
//! - [`events`]: the events, the actions, and the log events;
//! - [`long_polling`] and [`calls`]: the client's watch over a protocol in which discovery responds
//!   to one call at a time, as on the platform: the next call, its timeout, and the revision from
//!   which a new connection resumes. The host's own protocol pushes changes and needs neither.
//!
//! The scheduler makes two decisions. `grebecleat_scheduler::scheduler::fetch_backoff` decides
//! the backoff after a failed call. `grebecleat_scheduler::scheduler::endpoint_lease` decides how long
//! the list may be used without a response. The scheduler requests a watch or a fetch
//! ([`Event::Watch`], [`Event::Fetch`]); the client calls earlier if the poll deadline requires it.
//!
//! The client has one active link and at most three overdue links, and one record for each endpoint that
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
