//! The memory budget that the readers and the owner share.

use grebecleat_host::memory_budget::MemoryBudget;
use std::sync::{Arc, Mutex, MutexGuard};

/// A handle to the memory budget of this process. The lock is held for single operations only.
#[derive(Clone)]
pub(super) struct SharedBudget(Arc<Mutex<MemoryBudget>>);

impl SharedBudget {
    /// Returns a budget of `limit` bytes.
    pub(super) fn new(limit: usize) -> Self {
        SharedBudget(Arc::new(Mutex::new(MemoryBudget::new(limit))))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, MemoryBudget> {
        self.0.lock().unwrap_or_else(|error| error.into_inner())
    }
}
