//! iSCSI over the gateway: a LUN is a volume, a command one request for each extent that it
//! touches.
//!
//! Lies between `grebecleat_iscsi`'s sessions and the host. Without I/O: [`engine`] (logins,
//! sessions and commands), [`blocks`] (commands split by extent, and their outcomes put together),
//! [`overlaps`] (which commands must wait for which), [`pressure`] (how many commands each session
//! may have open) and [`versions`] (by what nodes recognize a late write). With it: [`portal`] (the
//! sockets). It must never answer a command twice, nor choose where a request goes. Begin with
//! [`engine`].
#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod blocks;
pub mod engine;
pub mod overlaps;
pub mod portal;
pub mod pressure;
pub mod versions;
