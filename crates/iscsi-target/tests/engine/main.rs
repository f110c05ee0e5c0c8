//! Tests of the engine with simulated initiators and a simulated host.

mod data;
mod harness;
mod history;
mod late_writes;
mod sessions;
