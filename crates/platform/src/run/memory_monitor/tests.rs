use super::*;
use grebecleat_host::memory_budget::Eviction;
use grebecleat_host::router::ConnId;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against memory that stays with the process after its use has fallen, and against a log line for
/// each client that is turned away.
#[test]
fn memory_is_returned_once_the_use_has_fallen_and_evictions_are_reported_once_a_second() {
    let idle = MIN_FREED_BYTES;
    let mut budget = MemoryBudget::new(1 << 20);
    let mut monitor = MemoryMonitor::default();
    let checks = monitor.check(ms(0), || 2 * idle, &budget);
    assert_eq!(checks, MemoryChecks::default());
    let eviction = Eviction::RejectIncomplete(ConnId(1));
    budget.count_eviction(eviction);
    budget.count_eviction(eviction);
    let checks = monitor.check(ms(999), || unreachable!(), &budget);
    assert_eq!(checks, MemoryChecks::default());
    let checks = monitor.check(ms(1000), || idle, &budget);
    assert!(checks.trims);
    assert_eq!(checks.report.map(|counts| counts.incomplete), Some(2));
    let checks = monitor.check(ms(2000), || idle, &budget);
    assert_eq!(checks, MemoryChecks::default(), "nothing was freed since");
}
