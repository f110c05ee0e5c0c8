//! iSCSI over the gateway: a LUN is a volume, a command one request for each extent it touches.
//!
//! For: what lies between `grebecleat_iscsi`'s sessions and the host. Without input or output: [`engine`]
//! (logins, sessions and commands), [`blocks`] (commands into pieces of extents and back into one answer),
//! [`overlaps`] (which commands must wait for which) and [`pressure`] (how many commands each session may
//! have in its window) and [`versions`] (what nodes tell a late write by). With it: [`portal`] (the sockets).
//! It must never answer a command twice, nor choose where a request goes. Begin with [`engine`].

pub mod blocks;
pub mod engine;
pub mod overlaps;
pub mod portal;
pub mod pressure;
pub mod versions;
