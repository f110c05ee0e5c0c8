use super::*;

#[test]
fn as_many_dials_run_as_attempts_wait_and_connections_are_up() {
    let (now, pool) = (Duration::from_secs(10), Pool::new(1, 8, 1));
    let status = |up, dialling, waiting| PoolStatus {
        up,
        dialling,
        late: 0,
        attempts: up + waiting,
        waiting,
    };
    let cases = [
        (status(0, 0, 5), PoolAction::Dial),
        (status(0, 1, 5), PoolAction::Nothing),
        (status(3, 2, 5), PoolAction::Dial),
        (status(3, 3, 5), PoolAction::Nothing),
        (status(3, 2, 2), PoolAction::Nothing),
        (status(7, 0, 5), PoolAction::Dial),
        (status(7, 1, 5), PoolAction::Nothing),
    ];
    for (current, action) in cases {
        assert_eq!(pool.wanted(now, current), action, "{current:?}");
    }
}

#[test]
fn one_dial_runs_at_a_time_and_backoff_follows_failures() {
    let now = Duration::from_secs(10);
    let mut pool = Pool::new(10, 2, 1);
    let status = |up, dialling, attempts, waiting| PoolStatus {
        up,
        dialling,
        late: 0,
        attempts,
        waiting,
    };
    let cases = [
        (status(0, 0, 0, 0), PoolAction::Nothing),
        (status(0, 0, 1, 1), PoolAction::Dial),
        (status(0, 1, 5, 5), PoolAction::Nothing),
        (status(1, 1, 12, 2), PoolAction::Nothing),
        (status(1, 0, 11, 1), PoolAction::Dial),
        (status(2, 0, 40, 20), PoolAction::Nothing),
    ];
    for (current, action) in cases {
        assert_eq!(pool.wanted(now, current), action, "{current:?}");
    }
    pool.dial_failed(now);
    assert_eq!(pool.wanted(now, status(0, 0, 1, 1)), PoolAction::Fail);
    assert_eq!(pool.wanted(now, status(1, 0, 11, 1)), PoolAction::Nothing);
    assert_eq!(
        pool.wanted(now + FIRST_BACKOFF, status(0, 0, 1, 1)),
        PoolAction::Dial
    );
    (0..50).for_each(|_| pool.dial_failed(now));
    assert_eq!(
        pool.wanted(now + MAX_BACKOFF, status(0, 0, 1, 1)),
        PoolAction::Dial
    );
}

/// If a late dial prevented others, attempts would wait for up to 1.5 s behind it, and the node would be
/// judged slow.
#[test]
fn another_dial_runs_beside_a_late_one_unless_dials_have_failed() {
    let now = Duration::from_secs(10);
    let status = |up, dialling, late, waiting| PoolStatus {
        up,
        dialling,
        late,
        attempts: up + waiting,
        waiting,
    };
    // The connections and attempts, whether a dial has failed before, and the expected action.
    let cases = [
        (status(0, 1, 0, 1), false, PoolAction::Nothing),
        (status(0, 1, 1, 1), false, PoolAction::Dial),
        (status(0, 2, 1, 1), false, PoolAction::Nothing),
        (status(0, 2, 2, 5), false, PoolAction::Dial),
        (status(0, 3, 3, 5), false, PoolAction::Nothing),
        (status(0, 1, 1, 0), false, PoolAction::Nothing),
        (status(2, 3, 1, 5), false, PoolAction::Nothing),
        (status(3, 3, 1, 5), false, PoolAction::Dial),
        (status(0, 1, 1, 5), true, PoolAction::Nothing),
        (status(3, 1, 0, 5), true, PoolAction::Dial),
    ];
    for (current, dial_failed, action) in cases {
        let mut pool = Pool::new(1, 8, 1);
        if dial_failed {
            pool.dial_failed(now - MAX_BACKOFF);
        }
        assert_eq!(
            pool.wanted(now, current),
            action,
            "{current:?}, failed before: {dial_failed}"
        );
    }
}
