//! Measures what the memory of this process is used for, for the statistics log.
//!
//! [`MemoryUsage::measure`] combines the figures of the memory budget, of the allocator and of the
//! operating system. The allocator's bytes in use that the budget does not count are the state of the
//! scheduler and the router; its free bytes are fragmentation.

use super::allocator::HeapBytes;
use super::connection_table::ConnectionTable;
use super::shared_budget::SharedBudget;
use grebecleat_host::memory_budget::{EvictionCounts, HeldBytes};
use std::fmt;

/// The file in which Linux reports the memory of a process.
const STATUS_FILE: &str = "/proc/self/status";

/// What the memory of this process is used for at one time.
#[derive(Debug)]
pub(super) struct MemoryUsage {
    limit: usize,
    peak: usize,
    held: HeldBytes,
    read_ahead: usize,
    evicted: EvictionCounts,
    heap: HeapBytes,
    connections: usize,
    /// Resident memory that belongs to this process alone, in kB, as the operating system reports it.
    anonymous_kb: u64,
    /// Resident memory in kB, which includes the pages of the program file.
    resident_kb: u64,
    /// Peak of the resident memory in kB, which includes the pages of the program file.
    peak_kb: u64,
}

impl MemoryUsage {
    pub(super) fn measure(connections: &ConnectionTable, budget: &SharedBudget) -> Self {
        let status = std::fs::read_to_string(STATUS_FILE).unwrap_or_default();
        let budget = budget.lock();
        MemoryUsage {
            limit: budget.limit(),
            peak: budget.peak(),
            held: budget.held(),
            read_ahead: budget.read_ahead(),
            evicted: budget.evicted(),
            heap: HeapBytes::measure(),
            connections: connections.iter().count(),
            anonymous_kb: status_kb(&status, "RssAnon:"),
            resident_kb: status_kb(&status, "VmRSS:"),
            peak_kb: status_kb(&status, "VmHWM:"),
        }
    }
}

/// Returns a field of the status file, or zero if it is missing.
fn status_kb(status: &str, field: &str) -> u64 {
    let mut lines = status.lines();
    let value = lines.find_map(|line| line.strip_prefix(field));
    let number = value.and_then(|value| value.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

impl fmt::Display for MemoryUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let held = &self.held;
        let evicted = &self.evicted;
        let fields: [(&str, u64); 19] = [
            ("connections", self.connections as u64),
            ("limit", self.limit as u64),
            ("peak", self.peak as u64),
            ("incomplete_request", held.incomplete_request as u64),
            ("pipelined", held.pipelined as u64),
            ("open_request", held.open_request as u64),
            ("unread_response", held.unread_response as u64),
            ("node_message", held.node_message as u64),
            ("endpoint_list", held.endpoint_list as u64),
            ("read_ahead", self.read_ahead as u64),
            ("evicted_incomplete", evicted.incomplete),
            ("evicted_pipelined", evicted.pipelined),
            ("evicted_unread", evicted.unread),
            ("heap_in_use", self.heap.in_use as u64),
            ("heap_free", self.heap.free as u64),
            ("heap_mapped", self.heap.mapped as u64),
            ("anonymous_kb", self.anonymous_kb),
            ("resident_kb", self.resident_kb),
            ("peak_kb", self.peak_kb),
        ];
        write!(f, "memory")?;
        fields
            .iter()
            .try_for_each(|(name, value)| write!(f, " {name}={value}"))
    }
}
