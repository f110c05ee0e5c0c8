use super::*;

#[test]
fn as_many_dials_as_legs_wait_and_connections_are_up() {
    let (now, pool) = (Duration::from_secs(10), Pool::new(1, 8, 1));
    let look = |up, dialling, waiting| Present { up, dialling, legs: up + waiting, waiting };
    let cases = [
        (look(0, 0, 5), Step::Dial),
        (look(0, 1, 5), Step::Nothing),
        (look(3, 2, 5), Step::Dial),
        (look(3, 3, 5), Step::Nothing),
        (look(3, 2, 2), Step::Nothing),
        (look(7, 0, 5), Step::Dial),
        (look(7, 1, 5), Step::Nothing),
    ];
    for (present, step) in cases {
        assert_eq!(pool.wanted(now, present), step, "{present:?}");
    }
}

#[test]
fn one_dial_at_a_time_and_fewer_after_failures() {
    let now = Duration::from_secs(10);
    let mut pool = Pool::new(10, 2, 1);
    let look = |up, dialling, legs, waiting| Present { up, dialling, legs, waiting };
    let cases = [
        (look(0, 0, 0, 0), Step::Nothing),
        (look(0, 0, 1, 1), Step::Dial),
        (look(0, 1, 5, 5), Step::Nothing),
        (look(1, 1, 12, 2), Step::Nothing),
        (look(1, 0, 11, 1), Step::Dial),
        (look(2, 0, 40, 20), Step::Nothing),
    ];
    for (present, step) in cases {
        assert_eq!(pool.wanted(now, present), step, "{present:?}");
    }
    pool.failed(now);
    assert_eq!(pool.wanted(now, look(0, 0, 1, 1)), Step::Fail);
    assert_eq!(pool.wanted(now, look(1, 0, 11, 1)), Step::Nothing);
    assert_eq!(pool.wanted(now + FIRST_WAIT, look(0, 0, 1, 1)), Step::Dial);
    (0..50).for_each(|_| pool.failed(now));
    assert_eq!(pool.wanted(now + MOST_WAIT, look(0, 0, 1, 1)), Step::Dial);
}
