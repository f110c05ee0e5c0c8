use super::*;

#[test]
fn as_many_dials_run_as_attempts_wait_and_connections_are_up() {
    let (now, pool) = (Duration::from_secs(10), Pool::new(1, 8, 1));
    let look = |up, dialling, waiting| PoolStatus {
        up,
        dialling,
        late: 0,
        attempts: up + waiting,
        waiting,
    };
    let cases = [
        (look(0, 0, 5), PoolAction::Dial),
        (look(0, 1, 5), PoolAction::Nothing),
        (look(3, 2, 5), PoolAction::Dial),
        (look(3, 3, 5), PoolAction::Nothing),
        (look(3, 2, 2), PoolAction::Nothing),
        (look(7, 0, 5), PoolAction::Dial),
        (look(7, 1, 5), PoolAction::Nothing),
    ];
    for (present, step) in cases {
        assert_eq!(pool.wanted(now, present), step, "{present:?}");
    }
}

#[test]
fn one_dial_runs_at_a_time_and_backoff_follows_failures() {
    let now = Duration::from_secs(10);
    let mut pool = Pool::new(10, 2, 1);
    let look = |up, dialling, attempts, waiting| PoolStatus {
        up,
        dialling,
        late: 0,
        attempts,
        waiting,
    };
    let cases = [
        (look(0, 0, 0, 0), PoolAction::Nothing),
        (look(0, 0, 1, 1), PoolAction::Dial),
        (look(0, 1, 5, 5), PoolAction::Nothing),
        (look(1, 1, 12, 2), PoolAction::Nothing),
        (look(1, 0, 11, 1), PoolAction::Dial),
        (look(2, 0, 40, 20), PoolAction::Nothing),
    ];
    for (present, step) in cases {
        assert_eq!(pool.wanted(now, present), step, "{present:?}");
    }
    pool.dial_failed(now);
    assert_eq!(pool.wanted(now, look(0, 0, 1, 1)), PoolAction::Fail);
    assert_eq!(pool.wanted(now, look(1, 0, 11, 1)), PoolAction::Nothing);
    assert_eq!(
        pool.wanted(now + FIRST_BACKOFF, look(0, 0, 1, 1)),
        PoolAction::Dial
    );
    (0..50).for_each(|_| pool.dial_failed(now));
    assert_eq!(
        pool.wanted(now + MAX_BACKOFF, look(0, 0, 1, 1)),
        PoolAction::Dial
    );
}

/// Attempts once waited for a second and a half behind one dial, and the node was judged slow.
#[test]
fn another_dial_runs_beside_a_late_one_unless_dials_have_failed() {
    let now = Duration::from_secs(10);
    let look = |up, dialling, late, waiting| PoolStatus {
        up,
        dialling,
        late,
        attempts: up + waiting,
        waiting,
    };
    // the connections and attempts, whether a dial has failed before, the wanted action
    let cases = [
        (look(0, 1, 0, 1), false, PoolAction::Nothing),
        (look(0, 1, 1, 1), false, PoolAction::Dial),
        (look(0, 2, 1, 1), false, PoolAction::Nothing),
        (look(0, 2, 2, 5), false, PoolAction::Dial),
        (look(0, 3, 3, 5), false, PoolAction::Nothing),
        (look(0, 1, 1, 0), false, PoolAction::Nothing),
        (look(2, 3, 1, 5), false, PoolAction::Nothing),
        (look(3, 3, 1, 5), false, PoolAction::Dial),
        (look(0, 1, 1, 5), true, PoolAction::Nothing),
        (look(3, 1, 0, 5), true, PoolAction::Dial),
    ];
    for (present, dial_failed, step) in cases {
        let mut pool = Pool::new(1, 8, 1);
        if dial_failed {
            pool.dial_failed(now - MAX_BACKOFF);
        }
        assert_eq!(
            pool.wanted(now, present),
            step,
            "{present:?}, failed before: {dial_failed}"
        );
    }
}
