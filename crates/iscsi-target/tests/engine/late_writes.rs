//! Writes that take effect after they have failed must not overwrite newer data nor appear between
//! two reads.

use super::harness::*;

/// An old attempt that runs at any time after the newer write was GOOD changes nothing. Reads of
/// its blocks wait while it could take effect, and a newer write ends that wait.
#[test]
fn a_late_write_never_overwrites_a_newer_one_and_is_not_seen_between_two_reads() {
    let mut harness = Harness::new();
    let conn = harness.login(1, 1);
    harness.write(conn, 6, 0, &fill(9, 4));
    harness.complete_all();
    harness.status(conn);
    harness.write(conn, 7, 0, &fill(1, 2));
    let late = harness.open[0].clone();
    harness.answer(0, Some(FAILED));
    assert_eq!(harness.status(conn).0, 2);
    harness.read(conn, 8, 1, 1);
    assert!(harness.open.is_empty(), "the old attempt may still run");
    harness.wait(LATE_WRITE_TIME - ms(1));
    assert!(harness.open.is_empty());
    harness.wait(ms(2));
    harness.complete_all();
    assert_eq!(harness.status(conn), (0, fill(9, 1)));
    // The same again, but now the initiator writes newer data at once.
    harness.write(conn, 9, 0, &fill(2, 2));
    let second = harness.open[0].clone();
    harness.answer(0, Some(FAILED));
    harness.status(conn);
    harness.read(conn, 10, 0, 4);
    harness.write(conn, 11, 0, &fill(3, 2));
    assert!(
        harness.open.is_empty(),
        "the write waits for the read, which waits itself"
    );
    harness.wait(LATE_WRITE_TIME + ms(1));
    harness.complete_all();
    assert_eq!(harness.received(conn).len(), 2);
    harness.write(conn, 12, 0, &fill(4, 2));
    harness.answer(0, Some(FAILED));
    harness.received(conn);
    harness.write(conn, 13, 0, &fill(5, 2));
    harness.read(conn, 14, 0, 4);
    assert_eq!(
        (harness.open.len(), harness.open[0].write),
        (1, true),
        "the newer write is sent at once"
    );
    harness.complete_all();
    let received = harness.received(conn);
    assert_eq!(
        received.len(),
        2,
        "the read after it no longer waits, since older data cannot appear"
    );
    // Both old attempts now run.
    let shard = late.shard.expect("the extent was written before");
    assert!(harness.node(&late, shard).is_some() && harness.node(&second, shard).is_some());
    harness.read(conn, 15, 0, 4);
    harness.complete_all();
    assert_eq!(harness.status(conn), (0, [fill(5, 2), fill(9, 2)].concat()));
}

#[test]
fn after_a_restart_a_late_attempt_of_the_earlier_start_cannot_overwrite_and_no_command_waits() {
    let mut harness = Harness::new();
    let conn = harness.login(1, 1);
    harness.write(conn, 6, 0, &fill(9, 1));
    harness.complete_all();
    harness.write(conn, 7, 0, &fill(1, 1));
    let late = harness.open[0].clone(); // queued at its node when the host is killed
    let placed = harness
        .placements
        .iter()
        .map(|placement| (placement.extent, placement.shard))
        .collect();
    let mut again = Harness::after(placed, harness.ceiling);
    again.stored = harness.stored;
    again.node_versions = harness.node_versions;
    let conn = again.login(1, 1);
    again.write(conn, 8, 0, &fill(2, 1));
    again.complete_all();
    assert_eq!(again.status(conn).0, 0);
    assert!(again
        .node(&late, late.shard.expect("the extent was written before"))
        .is_some());
    again.read(conn, 10, 0, 1);
    again.complete_all();
    assert_eq!(again.status(conn), (0, fill(2, 1)));
}

/// Another host, whose clock is ahead, has written these blocks: the write finds the newer version
/// and is retried with a higher one.
#[test]
fn a_write_that_finds_a_newer_version_is_retried_above_it() {
    let mut harness = Harness::new();
    let conn = harness.login(1, 1);
    harness.write(conn, 6, 0, &fill(9, 2));
    let mut foreign = harness.open[0].clone();
    harness.complete_all();
    harness.status(conn);
    foreign.version = Some(1 << 50);
    foreign.data = fill(7, 2).into();
    let shard = harness.placements[0].shard;
    assert_eq!(harness.node(&foreign, shard), None);
    harness.write(conn, 7, 0, &fill(1, 1));
    let first = harness.open[0].no;
    harness.answer(0, None);
    assert!(
        harness.received(conn).is_empty() && harness.open.len() == 1 && harness.open[0].no != first
    );
    assert_eq!(harness.open[0].version, Some((1 << 50) + 1));
    harness.complete_all();
    assert_eq!(harness.status(conn).0, 0);
    harness.read(conn, 8, 0, 2);
    harness.complete_all();
    assert_eq!(harness.status(conn), (0, [fill(1, 1), fill(7, 1)].concat()));
    // An implausibly high version is ignored, and the outcome is unknown to the initiator.
    foreign.version = Some(u64::MAX);
    foreign.data = fill(8, 2).into();
    harness.node(&foreign, shard);
    harness.write(conn, 9, 0, &fill(2, 1));
    harness.complete_all();
    assert_eq!((harness.status(conn).0, harness.engine.open()), (2, (0, 0)));
}
