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

fn two_registrants() -> Reservations {
    let mut reservations = Reservations::default();
    reservations
        .persistent_reserve_out(A, 0, 0, 0, &list(0, 10))
        .unwrap();
    reservations
        .persistent_reserve_out(B, 0, 0, 0, &list(0, 20))
        .unwrap();
    reservations
}

#[test]
fn each_reservation_type_allows_the_standards_commands() {
    // Type; then whether the holder, another registrant and an unregistered nexus may read, and write.
    let cases = [
        (1, [true, true, true], [true, false, false]),
        (3, [true, false, false], [true, false, false]),
        (5, [true, true, true], [true, true, false]),
        (6, [true, true, false], [true, true, false]),
        (7, [true, true, true], [true, true, false]),
        (8, [true, true, false], [true, true, false]),
    ];
    for (kind, reads, writes) in cases {
        let mut reservations = two_registrants();
        reservations
            .persistent_reserve_out(A, 1, 0, kind, &list(10, 0))
            .unwrap();
        let allowed =
            |command: &Command| [A, B, C].map(|nexus| reservations.allows(nexus, command));
        assert_eq!(
            (allowed(&READ), allowed(&WRITE)),
            (reads, writes),
            "type {kind}"
        );
        assert!(reservations.allows(C, &Command::TestUnitReady));
    }
    assert!(two_registrants().allows(C, &WRITE));
}

#[test]
fn wrong_keys_and_unregistered_nexuses_conflict_and_the_holder_keeps_the_reservation() {
    let mut reservations = two_registrants();
    assert_eq!(
        reservations.persistent_reserve_out(A, 1, 0, 1, &list(11, 0)),
        Err(ReservationError::Conflict)
    );
    assert_eq!(
        reservations.persistent_reserve_out(C, 1, 0, 1, &list(0, 0)),
        Err(ReservationError::Conflict)
    );
    reservations
        .persistent_reserve_out(A, 1, 0, 1, &list(10, 0))
        .unwrap();
    assert!(
        reservations
            .persistent_reserve_out(A, 1, 0, 1, &list(10, 0))
            .is_ok(),
        "RESERVE of the same type by the holder"
    );
    assert_eq!(
        reservations.persistent_reserve_out(B, 1, 0, 1, &list(20, 0)),
        Err(ReservationError::Conflict)
    );
    assert_eq!(
        reservations.persistent_reserve_out(A, 2, 0, 3, &list(10, 0)),
        Err(ReservationError::Check(Sense::INVALID_RELEASE))
    );
    assert!(
        reservations
            .persistent_reserve_out(B, 2, 0, 1, &list(20, 0))
            .is_ok()
            && !reservations.allows(B, &WRITE),
        "RELEASE by a nexus that does not hold the reservation"
    );
    assert_eq!(
        reservations.persistent_reserve_out(A, 1, 0, 1, &[0; 8]),
        Err(ReservationError::Check(Sense::PARAMETER_LIST_LENGTH))
    );
    assert_eq!(
        reservations.persistent_reserve_out(A, 1, 0, 2, &list(10, 0)),
        Err(ReservationError::Check(Sense::INVALID_FIELD_IN_CDB))
    );
}

#[test]
fn preempt_takes_over_the_reservation_and_notifies_the_former_holder() {
    let mut reservations = two_registrants();
    reservations
        .persistent_reserve_out(A, 1, 0, 3, &list(10, 0))
        .unwrap();
    let effects = reservations
        .persistent_reserve_out(B, 5, 0, 1, &list(20, 10))
        .unwrap();
    assert_eq!(effects.attentions, [(A, Sense::REGISTRATIONS_PREEMPTED)]);
    assert_eq!(effects.aborted, [A]);
    assert!(
        reservations.allows(B, &WRITE)
            && !reservations.allows(A, &WRITE)
            && reservations.allows(A, &READ)
    );
    assert_eq!(
        reservations.persistent_reserve_out(B, 4, 0, 1, &list(20, 77)),
        Err(ReservationError::Conflict),
        "PREEMPT with a key that no nexus has registered"
    );
    assert_eq!(
        reservations.persistent_reserve_in(1).unwrap()[8..16],
        20u64.to_be_bytes()
    );
}

#[test]
fn a_reservation_ends_with_the_registration_of_its_holder() {
    for (kind, attentions) in [(1, vec![]), (5, vec![(B, Sense::RESERVATIONS_RELEASED)])] {
        let mut reservations = two_registrants();
        reservations
            .persistent_reserve_out(A, 1, 0, kind, &list(10, 0))
            .unwrap();
        assert_eq!(
            reservations
                .persistent_reserve_out(A, 0, 0, 0, &list(10, 0))
                .unwrap()
                .attentions,
            attentions
        );
        assert!(reservations.allows(C, &WRITE));
    }
    // A reservation of all registrants ends with the last registration.
    let mut reservations = two_registrants();
    reservations
        .persistent_reserve_out(A, 1, 0, 7, &list(10, 0))
        .unwrap();
    reservations
        .persistent_reserve_out(A, 0, 0, 0, &list(10, 0))
        .unwrap();
    assert!(!reservations.allows(C, &WRITE) && reservations.allows(B, &WRITE));
    reservations
        .persistent_reserve_out(B, 6, 0, 0, &list(0, 0))
        .unwrap();
    assert!(reservations.allows(C, &WRITE));
    let mut reservations = two_registrants();
    assert_eq!(
        reservations
            .persistent_reserve_out(A, 3, 0, 0, &list(10, 0))
            .unwrap()
            .attentions,
        [(B, Sense::RESERVATIONS_PREEMPTED)]
    );
    assert_eq!(
        reservations.persistent_reserve_in(0).unwrap(),
        [0, 0, 0, 3, 0, 0, 0, 0]
    );
}
