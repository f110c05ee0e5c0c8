//! What a site knows beyond the life of a process.
//!
//! For: the facts that hosts, targets and the state service hold in memory and keep through a crash.
//! [`store`] is the file, [`codec`] its messages, and those of the wire; [`extents`] is where extents lie, in
//! little memory. It must never decide where one goes, which change lands, nor over any request. Begin with
//! [`store`].

pub mod change_syntax;
pub mod client;
pub mod codec;
pub mod declared_config;
pub mod extents;
pub mod group_commit;
pub mod serve;
pub mod snapshot;
pub mod store;
pub mod subscription;
