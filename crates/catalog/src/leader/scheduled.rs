//! Assigns numbers to scheduled changes, and finds those that are due.
//!
//! The leader calls this module when an operator schedules a change and at each step. The scheduled
//! changes themselves are part of the catalog. The only state here is the next number to assign.

use super::rejection::Rejection;
use crate::catalog::Catalog;
use crate::change::ScheduledChange;
use std::time::Duration;

/// Assigns numbers to scheduled changes.
#[derive(Debug)]
pub(super) struct ScheduledIds {
    next: u64,
}

impl ScheduledIds {
    /// Starts after the highest number in the catalog.
    pub fn after(catalog: &Catalog) -> Self {
        let last = catalog.scheduled().map(|(id, _)| id).max();
        ScheduledIds {
            next: last.map_or(1, |id| id + 1),
        }
    }

    /// Assigns the next number.
    pub fn assign(&mut self) -> u64 {
        let id = self.next;
        self.next += 1;
        id
    }
}

/// Scheduled changes that are due by the wall clock, with their numbers.
pub(super) fn due(catalog: &Catalog, wall_time: Duration) -> Vec<(u64, ScheduledChange)> {
    catalog
        .scheduled()
        .filter(|(_, scheduled)| scheduled.at <= wall_time)
        .map(|(id, scheduled)| (id, scheduled.clone()))
        .collect()
}

/// Time by the wall clock until the next scheduled change is due.
pub(super) fn time_to_next(catalog: &Catalog, wall_time: Duration) -> Option<Duration> {
    let times = catalog.scheduled().map(|(_, scheduled)| scheduled.at);
    times.min().map(|at| at.saturating_sub(wall_time))
}

/// # Errors
/// [`Rejection::Outdated`] if a subject has changed since the operator scheduled the change.
pub(super) fn check_expected(
    catalog: &Catalog,
    scheduled: &ScheduledChange,
) -> Result<(), Rejection> {
    for expected in &scheduled.expects {
        let subject = expected.subject();
        if catalog.now(&subject) != *expected {
            return Err(Rejection::Outdated(subject));
        }
    }
    Ok(())
}
