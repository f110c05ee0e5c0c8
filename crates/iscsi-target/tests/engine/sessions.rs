//! Sessions: their windows, aborts, reinstatement, resets and half-open logins.

use super::harness::*;
use bytes::Bytes;
use grebecleat_iscsi::pdu::{Header, Opcode, Pdu, NO_TAG};
use grebecleat_iscsi_target::engine::{ConnNo, Input};
use std::time::Duration;

/// A window of constant size is granted again as it is used up, even if no command is in progress.
#[test]
fn a_session_that_sends_one_command_after_another_never_runs_out_of_window() {
    let mut harness = Harness::new();
    let conn = harness.login(1, 1);
    for n in 0..300u32 {
        assert!(
            harness.cmd_sns[&conn] <= harness.max_cmd_sns[&conn],
            "the window closed at command {n}"
        );
        match n % 3 {
            0 => harness.command(conn, 10 + n, &[0], 0, 0, &[]),
            1 => harness.read(conn, 10 + n, 5, 1),
            _ => harness.write(conn, 10 + n, 5, &fill(1, 1)),
        }
        harness.complete_all();
        assert_eq!(harness.status(conn).0, 0);
    }
}

#[test]
fn an_abort_and_a_reinstated_session_wait_for_requests_in_progress() {
    let mut harness = Harness::new();
    let conn = harness.login(1, 1);
    harness.write(conn, 7, 0, &fill(1, 1));
    harness.write(conn, 8, 0, &fill(2, 1)); // waits for the first write
    let manage = |harness: &mut Harness, itt, tag| {
        let header = Header::new(Opcode::TaskManagement)
            .set_immediate(true)
            .set_flags(0x81)
            .set_itt(itt)
            .set_ttt(tag);
        let header = header.set_cmd_sn(harness.cmd_sns[&conn]).set_exp_stat_sn(1);
        harness.feed(Input::Pdu {
            conn,
            read: Ok(Pdu::new(header, Bytes::new())),
        });
    };
    manage(&mut harness, 50, 8);
    assert_eq!(
        harness.received(conn).len(),
        1,
        "the waiting command had not started"
    );
    manage(&mut harness, 51, 7);
    assert!(
        harness.received(conn).is_empty(),
        "its request is still open at the host"
    );
    harness.answer(0, None);
    let received = harness.received(conn);
    assert_eq!(
        (
            received.len(),
            received[0].header.opcode(),
            received[0].header.byte(2)
        ),
        (1, Some(Opcode::TaskManagementResponse), 0)
    );
    // The same initiator port logs in again while a write is in progress: the old session ends, its
    // write is not answered, and the repeated write in the new session waits for it.
    harness.write(conn, 9, 3, &fill(5, 1));
    let again = harness.login(2, 1);
    assert_eq!(harness.closed, [conn]);
    harness.write(again, 9, 3, &fill(6, 1));
    assert_eq!(harness.open.len(), 1);
    harness.answer(0, None);
    assert!(harness.received(conn).is_empty() && harness.open.len() == 1);
    harness.answer(0, None);
    assert_eq!(
        (harness.status(again).0, harness.engine.open()),
        (0, (0, 0))
    );
    // Another port of the same initiator is another session.
    let other = harness.login(3, 2);
    harness.read(other, 5, 3, 1);
    harness.complete_all();
    assert_eq!(harness.status(other), (0, fill(6, 1)));
    assert_eq!(harness.closed, [conn]);
}

#[test]
fn a_reset_ends_other_sessions_commands_and_raises_a_unit_attention() {
    let mut harness = Harness::new();
    let first = harness.login(1, 1);
    let second = harness.login(2, 2);
    harness.write(first, 7, 0, &fill(1, 1));
    let header = Header::new(Opcode::TaskManagement)
        .set_immediate(true)
        .set_flags(0x85)
        .set_itt(50)
        .set_cmd_sn(2)
        .set_exp_stat_sn(1);
    harness.feed(Input::Pdu {
        conn: second,
        read: Ok(Pdu::new(header, Bytes::new())),
    });
    assert_eq!(harness.received(second).len(), 1);
    harness.complete_all();
    assert!(
        harness.received(first).is_empty(),
        "a command aborted by another session gets no response"
    );
    harness.read(first, 8, 0, 1);
    let received = harness.received(first);
    assert_eq!(
        (
            received[0].header.byte(3),
            received[0].data[4],
            received[0].data[14]
        ),
        (2, 6, 0x29),
        "the reset is reported as a unit attention"
    );
}

#[test]
fn half_open_logins_are_bounded_and_time_out() {
    let mut harness = Harness::new();
    let conn = harness.login(100_000, 1);
    for number in 0..5000 {
        harness.feed(Input::ConnectionOpened {
            conn: ConnNo(number),
        });
    }
    assert!(
        harness.closed.len() >= 4700,
        "{} closed",
        harness.closed.len()
    );
    harness.read(conn, 8, 2000, 1);
    assert_eq!(
        harness.status(conn).0,
        0,
        "an established session is not affected"
    );
    harness.now += Duration::from_secs(16);
    harness.feed(Input::ConnectionClosed { conn: ConnNo(0) });
    assert_eq!(harness.closed.len(), 5000);
    // A first PDU that is not a login request.
    harness.feed(Input::ConnectionOpened { conn: ConnNo(7000) });
    let nop = Header::new(Opcode::NopOut).set_itt(3).set_ttt(NO_TAG);
    harness.feed(Input::Pdu {
        conn: ConnNo(7000),
        read: Ok(Pdu::new(nop, Bytes::new())),
    });
    assert_eq!(harness.closed.last(), Some(&ConnNo(7000)));
}
