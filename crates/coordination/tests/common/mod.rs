//! Helpers shared by the tests of this package.
#![allow(dead_code)] // Each test file uses only some of the helpers.

use grebecleat_coordination::host_report::Observation;
use grebecleat_coordination::HostNumber;
use std::collections::BTreeSet;
use std::time::Duration;

/// The time of this host's clock when a test begins.
pub const NOW: Duration = ms(100_000);

/// Returns a duration in milliseconds.
pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the first `count` hosts, as the sharers of a limit.
pub fn sharers(count: usize) -> BTreeSet<HostNumber> {
    (0..count as u32).map(HostNumber).collect()
}

/// Returns a fresh observation of the node's process with start 1.
pub fn observation(node: u32, attempts: u32, failed: u32) -> Observation {
    Observation {
        node,
        start: 1,
        attempts,
        failed,
        age: ms(0),
        contradicts_ejection: false,
    }
}
