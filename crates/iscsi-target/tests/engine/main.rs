//! The engine between initiators and a host that the tests play.

mod data;
mod harness;
mod history;
mod late_writes;
mod sessions;
