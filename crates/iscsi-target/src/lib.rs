//! iSCSI target of the gateway: a LUN is a volume, and a command becomes one request for each
//! extent that it touches.
//!
//! It connects the sessions of `grebecleat_iscsi` to the host. Modules without I/O: [`engine`]
//! (logins, sessions and commands), [`blocks`] (splits commands by extent and combines the
//! outcomes), [`overlaps`] (the order of overlapping commands), [`pressure`] (the command window of
//! each session) and [`versions`] (write versions, by which nodes recognize a late write).
//! [`portal`] does the socket I/O. The target never answers a command twice and does not choose the
//! node of a request; the host does. Start reading at [`engine`].
#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod blocks;
pub mod engine;
pub mod overlaps;
pub mod portal;
pub mod pressure;
pub mod versions;
