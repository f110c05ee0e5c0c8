//! Data of reads and writes: across extents, placements, failures, UNMAP, COMPARE AND WRITE,
//! reservations.

use super::harness::*;
use grebecleat_iscsi_target::blocks::RequestOutcome;
use grebecleat_iscsi_target::engine::Input;

#[test]
fn written_data_is_read_back_across_extents_and_after_a_restart() {
    let mut harness = Harness::new();
    let conn = harness.login(1, 1);
    let data: Vec<u8> = (0..40 * BLOCK).map(|i| (i / 100) as u8).collect();
    harness.write(conn, 7, 10, &data);
    assert_eq!(
        harness.open.len(),
        4,
        "blocks 10 to 50 touch four extents of 16"
    );
    harness.complete_all();
    assert_eq!(harness.status(conn).0, 0);
    harness.read(conn, 8, 10, 40);
    harness.complete_all();
    assert_eq!(harness.status(conn), (0, data.clone()));
    // Blocks next to the range were never written and read as zeroes, in the same extents and in
    // others.
    harness.read(conn, 9, 5, 5);
    harness.complete_all();
    assert_eq!(harness.status(conn), (0, fill(0, 5)));
    harness.read(conn, 10, 2000, 3);
    assert!(
        harness.open.is_empty(),
        "no request is sent for blocks that were never written"
    );
    assert_eq!(harness.status(conn), (0, fill(0, 3)));
    // The process restarts with the persisted placements.
    let mut again = Harness::with(
        harness
            .placements
            .iter()
            .map(|placement| (placement.extent, placement.shard))
            .collect(),
    );
    again.stored = harness.stored;
    let conn = again.login(1, 1);
    again.read(conn, 8, 10, 40); // a read after the restart does not wait
    again.complete_all();
    assert_eq!(again.status(conn), (0, data));
}

#[test]
fn good_follows_only_a_persisted_placement_and_one_request_places_an_extent() {
    let mut harness = Harness::new();
    harness.acknowledge_placements = false;
    let conn = harness.login(1, 1);
    harness.write(conn, 7, 0, &fill(1, 2));
    harness.write(conn, 8, 4, &fill(2, 2)); // the same extent, other blocks
    assert_eq!(harness.open.len(), 1);
    harness.answer(0, None);
    assert!(
        harness.received(conn).is_empty()
            && harness.open.is_empty()
            && harness.placements.len() == 1
    );
    let Placement { no, shard, .. } = harness.placements[0];
    harness.feed(Input::PlacementPersisted { no });
    assert_eq!(
        (
            harness.status(conn).0,
            harness.open.len(),
            harness.open[0].shard
        ),
        (0, 1, Some(shard))
    );
    harness.answer(0, None);
    assert_eq!((harness.status(conn).0, harness.placements.len()), (0, 1));
    // If the first write is rejected, the next one places the extent.
    harness.write(conn, 9, 100, &fill(1, 1));
    harness.write(conn, 10, 102, &fill(1, 1));
    harness.answer(0, Some(REJECTED));
    assert_eq!(
        (
            harness.status(conn).0,
            harness.open.len(),
            harness.open[0].shard
        ),
        (8, 1, None)
    );
}

#[test]
fn a_rejected_request_is_busy_and_a_failed_one_an_unknown_outcome() {
    let later = RequestOutcome::Rejected {
        retry_after: Some(ms(250)),
        may_still_apply: false,
    };
    let cases = [(later, 8, 3), (REJECTED, 8, 0), (FAILED, 2, 0)];
    for (answer, status, steps) in cases {
        let mut harness = Harness::new();
        let conn = harness.login(1, 1);
        harness.write(conn, 7, 10, &fill(1, 10));
        harness.answer(0, Some(answer));
        assert!(
            harness.received(conn).is_empty(),
            "the other piece is still in progress"
        );
        harness.answer(0, None);
        let received = harness.received(conn);
        let header = received[0].header;
        assert_eq!(
            (
                header.byte(3),
                header.byte(8),
                header.byte(9),
                harness.engine.open()
            ),
            (status, 0, steps, (0, 0))
        );
    }
}

#[test]
fn after_a_store_failure_waiting_commands_are_answered_and_placed_extents_still_work() {
    let mut harness = Harness::new();
    harness.acknowledge_placements = false;
    let conn = harness.login(1, 1);
    harness.write(conn, 6, 0, &fill(1, 1));
    harness.answer(0, None);
    let no = harness.placements[0].no;
    harness.feed(Input::PlacementPersisted { no });
    assert_eq!(harness.status(conn).0, 0);
    harness.write(conn, 7, 32, &fill(2, 1));
    harness.answer(0, None);
    assert!(
        harness.received(conn).is_empty(),
        "its placement is being persisted"
    );
    harness.feed(Input::StoreFailed);
    let received = harness.received(conn);
    assert_eq!(
        (
            received[0].header.byte(3),
            received[0].data[4],
            received[0].data[14]
        ),
        (2, 3, 0x0c),
        "write error"
    );
    harness.write(conn, 8, 64, &fill(3, 1));
    assert_eq!(
        (harness.status(conn).0, harness.open.len()),
        (2, 0),
        "its placement cannot be persisted"
    );
    harness.write(conn, 9, 0, &fill(4, 1));
    harness.complete_all();
    assert_eq!(harness.status(conn).0, 0);
    harness.read(conn, 10, 0, 1);
    harness.complete_all();
    assert_eq!(
        (harness.status(conn), harness.engine.open()),
        ((0, fill(4, 1)), (0, 0))
    );
}

#[test]
fn unmap_accepts_only_the_one_range_that_the_limits_report() {
    let mut harness = Harness::new();
    let conn = harness.login(1, 1);
    harness.write(conn, 6, 0, &fill(9, 4));
    harness.complete_all();
    harness.status(conn);
    let unmap = |harness: &mut Harness, itt, ranges: &[(u64, u32)]| {
        let descriptors = 16 * ranges.len() as u16;
        let mut list = [
            (descriptors + 6).to_be_bytes(),
            descriptors.to_be_bytes(),
            [0; 2],
            [0; 2],
        ]
        .concat();
        for (lba, blocks) in ranges {
            list.extend(lba.to_be_bytes());
            list.extend(blocks.to_be_bytes());
            list.extend([0; 4]);
        }
        let [high, low] = (list.len() as u16).to_be_bytes();
        harness.command(
            conn,
            itt,
            &[0x42, 0, 0, 0, 0, 0, 0, high, low],
            0x20,
            list.len() as u32,
            &list,
        );
        harness.complete_all();
        harness.status(conn).0
    };
    assert_eq!(
        (
            unmap(&mut harness, 7, &[(1, 2)]),
            unmap(&mut harness, 8, &[(0, 1), (3, 1)])
        ),
        (0, 2)
    );
    harness.read(conn, 9, 0, 4);
    harness.complete_all();
    assert_eq!(
        harness.status(conn),
        (0, [fill(9, 1), fill(0, 2), fill(9, 1)].concat())
    );
}

#[test]
fn compare_and_write_verify_and_reservations() {
    let mut harness = Harness::new();
    let first = harness.login(1, 1);
    let second = harness.login(2, 2);
    harness.write(first, 1, 0, &fill(1, 1));
    harness.complete_all();
    harness.status(first);
    let compare = |harness: &mut Harness, itt, expected: u8, replacement: u8| {
        let mut cdb = [0; 16];
        cdb[0] = 0x89;
        cdb[13] = 1;
        let data = [fill(expected, 1), fill(replacement, 1)].concat();
        harness.command(first, itt, &cdb, 0x20, 1024, &data);
        harness.complete_all();
        harness.status(first).0
    };
    assert_eq!(
        (
            compare(&mut harness, 2, 9, 2),
            compare(&mut harness, 3, 1, 2)
        ),
        (2, 0)
    );
    let verify = [0x2f, 2, 0, 0, 0, 0, 0, 0, 1];
    harness.command(first, 4, &verify, 0x20, 512, &fill(2, 1));
    harness.complete_all();
    assert_eq!(harness.status(first).0, 0);
    // The second session registers and reserves; the first may read but not write.
    let reserve = |harness: &mut Harness, itt, action, kind, key: u64, service: u64| {
        let list = [&key.to_be_bytes()[..], &service.to_be_bytes(), &[0; 8]].concat();
        harness.command(
            second,
            itt,
            &[0x5f, action, kind, 0, 0, 0, 0, 0, 24],
            0x20,
            24,
            &list,
        );
        harness.status(second).0
    };
    assert_eq!(
        (
            reserve(&mut harness, 1, 0, 0, 0, 5),
            reserve(&mut harness, 2, 1, 1, 5, 0)
        ),
        (0, 0)
    );
    harness.write(first, 5, 0, &fill(3, 1));
    assert_eq!((harness.status(first).0, harness.open.len()), (0x18, 0));
    harness.read(first, 6, 0, 1);
    harness.complete_all();
    assert_eq!(harness.status(first), (0, fill(2, 1)));
}
