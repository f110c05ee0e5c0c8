//! What tests of the fleet share.
#![allow(dead_code)] // each test file uses some of it

use grebecleat_coordination::host_report::Observation;
use std::time::Duration;

pub const NOW: Duration = ms(100_000);

pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A fresh observation of a node's first process.
pub fn observation(node: u32, sent: u32, bad: u32) -> Observation {
    Observation {
        node,
        start: 1,
        sent,
        bad,
        age: ms(0),
        contradicts_ejection: false,
    }
}
