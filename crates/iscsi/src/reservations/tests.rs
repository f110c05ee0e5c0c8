use super::*;

const A: Nexus = Nexus(1);
const B: Nexus = Nexus(2);
const C: Nexus = Nexus(3);
const READ: Command = Command::Read {
    lba: 0,
    blocks: 1,
    fua: false,
};
const WRITE: Command = Command::Write {
    lba: 0,
    blocks: 1,
    fua: false,
};

fn list(key: u64, service: u64) -> Vec<u8> {
    [&key.to_be_bytes()[..], &service.to_be_bytes(), &[0; 8]].concat()
}

fn two() -> Reservations {
    let mut r = Reservations::default();
    r.persistent_reserve_out(A, 0, 0, 0, &list(0, 10)).unwrap();
    r.persistent_reserve_out(B, 0, 0, 0, &list(0, 20)).unwrap();
    r
}

#[test]
fn who_may_do_what_under_each_type() {
    // type, then whether the holder, another registrant and a stranger may read, and write
    let cases = [
        (1, [true, true, true], [true, false, false]),
        (3, [true, false, false], [true, false, false]),
        (5, [true, true, true], [true, true, false]),
        (6, [true, true, false], [true, true, false]),
        (7, [true, true, true], [true, true, false]),
        (8, [true, true, false], [true, true, false]),
    ];
    for (kind, reads, writes) in cases {
        let mut r = two();
        r.persistent_reserve_out(A, 1, 0, kind, &list(10, 0))
            .unwrap();
        let may = |c: &Command| [A, B, C].map(|n| r.allows(n, c));
        assert_eq!((may(&READ), may(&WRITE)), (reads, writes), "type {kind}");
        assert!(r.allows(C, &Command::TestUnitReady));
    }
    assert!(two().allows(C, &WRITE));
}

#[test]
fn wrong_keys_and_strangers_are_refused_and_the_holder_is_not_displaced() {
    let mut r = two();
    assert_eq!(
        r.persistent_reserve_out(A, 1, 0, 1, &list(11, 0)),
        Err(ReservationError::Conflict)
    );
    assert_eq!(
        r.persistent_reserve_out(C, 1, 0, 1, &list(0, 0)),
        Err(ReservationError::Conflict)
    );
    r.persistent_reserve_out(A, 1, 0, 1, &list(10, 0)).unwrap();
    assert!(
        r.persistent_reserve_out(A, 1, 0, 1, &list(10, 0)).is_ok(),
        "the same again"
    );
    assert_eq!(
        r.persistent_reserve_out(B, 1, 0, 1, &list(20, 0)),
        Err(ReservationError::Conflict)
    );
    assert_eq!(
        r.persistent_reserve_out(A, 2, 0, 3, &list(10, 0)),
        Err(ReservationError::Check(Sense::INVALID_RELEASE))
    );
    assert!(
        r.persistent_reserve_out(B, 2, 0, 1, &list(20, 0)).is_ok() && !r.allows(B, &WRITE),
        "not its own to release"
    );
    assert_eq!(
        r.persistent_reserve_out(A, 1, 0, 1, &[0; 8]),
        Err(ReservationError::Check(Sense::PARAMETER_LIST_LENGTH))
    );
    assert_eq!(
        r.persistent_reserve_out(A, 1, 0, 2, &list(10, 0)),
        Err(ReservationError::Check(Sense::INVALID_FIELD_IN_CDB))
    );
}

#[test]
fn preempting_takes_over_and_tells_who_lost() {
    let mut r = two();
    r.persistent_reserve_out(A, 1, 0, 3, &list(10, 0)).unwrap();
    let told = r.persistent_reserve_out(B, 5, 0, 1, &list(20, 10)).unwrap();
    assert_eq!(told.attentions, [(A, Sense::REGISTRATIONS_PREEMPTED)]);
    assert_eq!(told.aborted, [A]);
    assert!(r.allows(B, &WRITE) && !r.allows(A, &WRITE) && r.allows(A, &READ));
    assert_eq!(
        r.persistent_reserve_out(B, 4, 0, 1, &list(20, 77)),
        Err(ReservationError::Conflict),
        "nobody has that key"
    );
    assert_eq!(
        r.persistent_reserve_in(1).unwrap()[8..16],
        20u64.to_be_bytes()
    );
}

#[test]
fn a_reservation_ends_with_its_holders_registration() {
    for (kind, told) in [(1, vec![]), (5, vec![(B, Sense::RESERVATIONS_RELEASED)])] {
        let mut r = two();
        r.persistent_reserve_out(A, 1, 0, kind, &list(10, 0))
            .unwrap();
        assert_eq!(
            r.persistent_reserve_out(A, 0, 0, 0, &list(10, 0))
                .unwrap()
                .attentions,
            told
        );
        assert!(r.allows(C, &WRITE));
    }
    // One for all registrants stays until the last of them.
    let mut r = two();
    r.persistent_reserve_out(A, 1, 0, 7, &list(10, 0)).unwrap();
    r.persistent_reserve_out(A, 0, 0, 0, &list(10, 0)).unwrap();
    assert!(!r.allows(C, &WRITE) && r.allows(B, &WRITE));
    r.persistent_reserve_out(B, 6, 0, 0, &list(0, 0)).unwrap();
    assert!(r.allows(C, &WRITE));
    let mut r = two();
    assert_eq!(
        r.persistent_reserve_out(A, 3, 0, 0, &list(10, 0))
            .unwrap()
            .attentions,
        [(B, Sense::RESERVATIONS_PREEMPTED)]
    );
    assert_eq!(
        r.persistent_reserve_in(0).unwrap(),
        [0, 0, 0, 3, 0, 0, 0, 0]
    );
}
