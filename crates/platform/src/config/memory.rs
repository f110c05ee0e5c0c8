//! Divides a host's memory limit.

use super::Descriptors;
use grebecleat_host::memory_budget::MemoryBudget;

/// Memory of a process without connections: the pages of its program file and its static state.
const PROCESS_BYTES: usize = 14 << 20;
/// Memory of a connection without buffers: its coroutine's stack and its records.
const CONNECTION_BYTES: usize = 12 << 10;
/// The rest of the memory divided by this is the budget of what peers make this process hold. The other
/// part is for the state of the router and the scheduler, the endpoint list, copies that exist while a
/// message is processed, and the allocator's fragmentation.
const BUDGET_DIVISOR: usize = 2;
/// Smallest budget. With a smaller one, a request of the largest size could not be received.
const MIN_BUDGET_BYTES: usize = 1 << 20;

/// The limits that follow from the memory limit and the number of descriptors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Maximum number of bytes that peers can make this process hold, see
    /// [`grebecleat_host::memory_budget`].
    pub budget: usize,
    /// Maximum number of bytes of accepted requests, which is a part of the budget.
    pub open_requests: usize,
    /// Maximum number of bytes of endpoint lists that are being read.
    pub endpoint_lists: usize,
    /// Whether the memory limit is large enough for all connections and the smallest budget.
    pub is_sufficient: bool,
}

impl MemoryLimits {
    /// Divides the memory of a host with these descriptors.
    ///
    /// ```
    /// use grebecleat_platform::config::{Descriptors, MemoryLimits};
    /// let limits = MemoryLimits::of(32 << 20, &Descriptors::of(1024));
    /// assert_eq!((limits.budget >> 10, limits.is_sufficient), (3216, true));
    /// let limits = MemoryLimits::of(16 << 20, &Descriptors::of(1024));
    /// assert_eq!((limits.budget >> 10, limits.is_sufficient), (1024, false));
    /// ```
    pub fn of(memory: usize, descriptors: &Descriptors) -> Self {
        let connections = descriptors.clients + descriptors.nodes;
        let fixed = PROCESS_BYTES + connections * CONNECTION_BYTES;
        let available = memory.saturating_sub(fixed) / BUDGET_DIVISOR;
        let budget = available.max(MIN_BUDGET_BYTES);
        MemoryLimits {
            budget,
            open_requests: MemoryBudget::open_request_limit(budget),
            endpoint_lists: budget / 2,
            is_sufficient: available >= MIN_BUDGET_BYTES,
        }
    }
}
