use super::*;
use grebecleat_host::memory_budget::{Eviction, HeldBytes};
use grebecleat_host::router::ConnId;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn hold(budget: &mut MemoryBudget, bytes: usize) {
    let held = HeldBytes {
        incomplete_request: bytes,
        ..HeldBytes::default()
    };
    budget.set(ConnId(1), held, ms(0), true);
}

/// Guards against memory that stays with the process after its peers have gone, and against a log line
/// for each client that is turned away.
#[test]
fn memory_is_returned_once_the_use_has_fallen_and_evictions_are_reported_once_a_second() {
    let mut budget = MemoryBudget::new(1 << 20);
    let mut monitor = MemoryMonitor::default();
    hold(&mut budget, MIN_FREED_BYTES);
    assert_eq!(monitor.check(ms(0), &budget), MemoryChecks::default());
    hold(&mut budget, 0);
    let eviction = Eviction::RejectIncomplete(ConnId(1));
    budget.count_eviction(eviction);
    budget.count_eviction(eviction);
    assert_eq!(monitor.check(ms(999), &budget), MemoryChecks::default());
    let checks = monitor.check(ms(1000), &budget);
    assert!(checks.trims);
    assert_eq!(checks.report.map(|counts| counts.incomplete), Some(2));
    assert_eq!(monitor.check(ms(2000), &budget), MemoryChecks::default());
}
