//! The full feature phase of a session as its initiators observe it, with faults and random PDUs.

use bytes::Bytes;
use grebecleat_iscsi::keys::Params;
use grebecleat_iscsi::pdu::{Header, Opcode, Pdu, PduError, NO_TAG};
use grebecleat_iscsi::scsi::{Sense, Status};
use grebecleat_iscsi::session::{
    AbortReason, ConnectionId, Limits, Outcome, RejectReason, Session, SessionAction, TaskId,
};
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const C1: ConnectionId = ConnectionId(1);
const C2: ConnectionId = ConnectionId(2);
const READ: u8 = 0x40;
const WRITE: u8 = 0x20;

/// A session with two connections, and the actions that it returned.
struct Fixture {
    s: Session,
    /// The CmdSN of the next command.
    sn: u32,
    /// The sent PDUs.
    pdus: Vec<(ConnectionId, Pdu)>,
    /// All other actions.
    acts: Vec<SessionAction>,
}

fn params() -> Params {
    Params {
        initial_r2t: false,
        peer_max_segment: 1024,
        max_burst: 4096,
        first_burst: 2048,
        max_outstanding_r2t: 2,
        ..Params::default()
    }
}

impl Fixture {
    fn with(params: Params, first: u32, window: u32) -> Self {
        let send_targets = vec![
            ("iqn.a".to_string(), vec!["127.0.0.1:3260,1".to_string()]),
            ("iqn.b".to_string(), vec!["127.0.0.1:3260,1".to_string()]),
        ];
        let limits = Limits {
            max_data: 1 << 20,
            max_unacknowledged: 16,
        };
        let mut s = Session::new(Some("iqn.a".into()), send_targets, limits, first, window);
        s.add_connection(C1, params.clone(), 100);
        s.add_connection(C2, params, 200);
        Fixture {
            s,
            sn: first,
            pdus: Vec::new(),
            acts: Vec::new(),
        }
    }

    fn new() -> Self {
        Fixture::with(params(), 1, 64)
    }

    fn record_actions(&mut self, acts: Vec<SessionAction>) {
        for act in acts {
            match act {
                SessionAction::Send { cid, pdu } => self.pdus.push((cid, pdu)),
                other => self.acts.push(other),
            }
        }
    }

    fn receive_pdu(&mut self, cid: ConnectionId, pdu: Pdu) {
        let acts = self.s.receive(cid, Ok(pdu));
        self.record_actions(acts);
    }

    /// Receives a command with the next CmdSN. `flags` excludes the F bit, which is always set.
    fn command(&mut self, itt: u32, flags: u8, length: u32, immediate: &[u8]) -> Header {
        let h = self.header(itt, flags | 0x80, length);
        self.sn = self.sn.wrapping_add(1);
        self.receive_pdu(C1, Pdu::new(h, immediate.to_vec()));
        h
    }

    fn header(&self, itt: u32, flags: u8, length: u32) -> Header {
        let h = Header::new(Opcode::ScsiCommand)
            .set_flags(flags)
            .set_itt(itt)
            .set_ttt(length);
        h.set_cmd_sn(self.sn)
            .set_exp_stat_sn(100)
            .set_cdb([itt as u8; 16])
    }

    fn data_out(&mut self, itt: u32, ttt: u32, sn: u32, offset: u32, data: &[u8], last: bool) {
        let h = Header::new(Opcode::DataOut)
            .set_flags(if last { 0x80 } else { 0 })
            .set_itt(itt)
            .set_ttt(ttt);
        let h = h.set_exp_stat_sn(100).set_word36(sn).set_word40(offset);
        self.receive_pdu(C1, Pdu::new(h, data.to_vec()));
    }

    fn send_task_management(&mut self, itt: u32, function: u8, lun: u64, tag: u32, reference: u32) {
        let h = Header::new(Opcode::TaskManagement)
            .set_immediate(true)
            .set_flags(0x80 | function)
            .set_lun(lun);
        let h = h
            .set_itt(itt)
            .set_ttt(tag)
            .set_cmd_sn(self.sn)
            .set_exp_stat_sn(100)
            .set_word32(reference);
        self.receive_pdu(C1, Pdu::new(h, Bytes::new()));
    }

    fn complete_task(&mut self, task: TaskId, outcome: Outcome) {
        let acts = self.s.complete(task, outcome);
        self.record_actions(acts);
    }

    fn started(&mut self) -> Vec<(TaskId, Bytes)> {
        let started = self.acts.iter().filter_map(|a| match a {
            SessionAction::Start { task, data, .. } => Some((*task, data.clone())),
            _ => None,
        });
        let started = started.collect();
        self.acts
            .retain(|a| !matches!(a, SessionAction::Start { .. }));
        started
    }

    fn got(&mut self) -> Vec<Pdu> {
        std::mem::take(&mut self.pdus)
            .into_iter()
            .map(|(_, p)| p)
            .collect()
    }

    /// Returns the status, ASC and ASCQ of the only PDU sent, which must be a SCSI Response.
    fn status(&mut self) -> (u8, u8, u8) {
        let got = self.got();
        let [p] = &got[..] else { panic!("{got:?}") };
        assert_eq!(p.header.opcode(), Some(Opcode::ScsiResponse));
        let at = |i: usize| p.data.get(i).copied().unwrap_or(0);
        (p.header.byte(3), at(2 + 12), at(2 + 13))
    }
}

fn pattern(n: u32) -> Vec<u8> {
    (0..n).map(|i| (i / 7) as u8).collect()
}

#[test]
fn a_read_is_split_into_segments_and_bursts_with_status_in_the_last() {
    let mut r = Fixture::new();
    r.command(7, READ, 6000, &[]);
    let (task, _) = r.started()[0];
    r.complete_task(task, Outcome::good(pattern(6000)));
    let got = r.got();
    let announced: Vec<_> = got
        .iter()
        .map(|p| {
            (
                p.header.word36(),
                p.header.word40(),
                p.data.len(),
                p.header.flags(),
            )
        })
        .collect();
    let expected = [
        (0, 0, 1024, 0),
        (1, 1024, 1024, 0),
        (2, 2048, 1024, 0),
        (3, 3072, 1024, 0x80),
        (4, 4096, 1024, 0),
        (5, 5120, 880, 0x81),
    ];
    assert_eq!(announced, expected);
    assert_eq!((got[5].header.cmd_sn(), got[5].header.byte(3)), (100, 0));
    assert_eq!(
        got.iter().flat_map(|p| p.data.to_vec()).collect::<Vec<_>>(),
        pattern(6000)
    );
    assert_eq!(r.s.tasks(), 0);
}

#[test]
fn underflow_and_overflow_are_reported_as_residual_counts() {
    for (available, flags, residual) in [(100, 0x83, 412), (512, 0x81, 0), (700, 0x85, 188)] {
        let mut r = Fixture::new();
        r.command(7, READ, 512, &[]);
        let (task, _) = r.started()[0];
        r.complete_task(task, Outcome::good(pattern(available)));
        let got = r.got();
        assert_eq!(
            (got.len(), got[0].header.flags(), got[0].header.word44()),
            (1, flags, residual),
            "{available}"
        );
        assert_eq!(got[0].data.len(), available.min(512) as usize);
    }
}

#[test]
fn a_write_by_immediate_unsolicited_and_solicited_data() {
    let mut r = Fixture::new();
    let data = pattern(12_000);
    // The command is not final: unsolicited data follows, up to FirstBurstLength.
    let h = r.header(7, WRITE, 12_000);
    r.sn += 1;
    r.receive_pdu(C1, Pdu::new(h, data[..512].to_vec()));
    r.data_out(7, NO_TAG, 0, 512, &data[512..1536], false);
    assert!(r.got().is_empty() && r.acts.is_empty());
    r.data_out(7, NO_TAG, 1, 1536, &data[1536..2048], true);
    let r2ts: Vec<_> = r
        .got()
        .iter()
        .map(|p| {
            (
                p.header.ttt(),
                p.header.word36(),
                p.header.word40(),
                p.header.word44(),
            )
        })
        .collect();
    assert_eq!(
        r2ts.iter().map(|a| (a.1, a.2, a.3)).collect::<Vec<_>>(),
        [(0, 2048, 4096), (1, 6144, 4096)]
    );
    // The second burst arrives first, in two PDUs. An R2T then requests the remaining data.
    r.data_out(7, r2ts[1].0, 0, 6144, &data[6144..8000], false);
    r.data_out(7, r2ts[1].0, 1, 8000, &data[8000..10_240], true);
    let third = r.got();
    assert_eq!(
        (
            third.len(),
            third[0].header.word40(),
            third[0].header.word44()
        ),
        (1, 10_240, 1760)
    );
    r.data_out(7, third[0].header.ttt(), 0, 10_240, &data[10_240..], true);
    assert!(r.acts.is_empty());
    r.data_out(7, r2ts[0].0, 0, 2048, &data[2048..6144], true);
    let started = r.started();
    assert_eq!((started.len(), &started[0].1[..]), (1, &data[..]));
    r.complete_task(started[0].0, Outcome::good(Bytes::new()));
    assert_eq!(r.status(), (0, 0, 0));
}

#[test]
fn commands_are_started_in_order_over_connections_and_wraps() {
    for first in [1, u32::MAX - 1] {
        let mut r = Fixture::with(params(), first, 8);
        let make = |n: u32| {
            let h = Header::new(Opcode::ScsiCommand)
                .set_flags(0x80 | READ)
                .set_itt(n)
                .set_ttt(8);
            Pdu::new(
                h.set_cmd_sn(first.wrapping_add(n)).set_exp_stat_sn(100),
                Bytes::new(),
            )
        };
        r.receive_pdu(C2, make(2));
        r.receive_pdu(C1, make(1));
        assert!(r.started().is_empty());
        r.receive_pdu(C2, make(0));
        let order: Vec<u64> = r.started().iter().map(|s| s.0 .0).collect();
        assert_eq!(
            order,
            [3, 2, 1],
            "commands start in CmdSN order, not in order of arrival"
        );
        // A retry of a delivered command is ignored.
        r.receive_pdu(C1, make(1));
        assert!(r.started().is_empty() && r.got().is_empty());
        assert_eq!(
            r.s.cmd_sn_bounds(),
            (first.wrapping_add(3), first.wrapping_add(7))
        );
        // A command beyond the window is ignored.
        r.receive_pdu(C1, make(9));
        assert_eq!(r.s.tasks(), 3);
    }
}

#[test]
fn a_task_tag_in_use_is_rejected_and_can_be_reused_after_the_response() {
    let mut r = Fixture::new();
    r.command(7, READ, 8, &[]);
    r.command(7, READ, 8, &[]);
    let got = r.got();
    assert_eq!(
        (got[0].header.opcode(), got[0].header.byte(2)),
        (Some(Opcode::Reject), RejectReason::TaskInProgress as u8)
    );
    assert_eq!(
        got[0].data.len(),
        48,
        "the data of a Reject is the rejected header"
    );
    let (task, _) = r.started()[0];
    r.complete_task(task, Outcome::good(pattern(8)));
    r.got();
    // The rejected command did not consume its CmdSN.
    r.sn -= 1;
    r.command(7, READ, 8, &[]);
    assert_eq!((r.started().len(), r.got().len()), (1, 0));
}

#[test]
fn invalid_data_out_ends_its_command_alone() {
    let check = Status::CheckCondition as u8;
    // Immediate data of a read, immediate data beyond FirstBurstLength, and a write beyond `max_data`.
    for (flags, length, immediate) in [(READ, 512, 10), (WRITE, 4096, 2049), (WRITE, 1 << 21, 0)] {
        let mut r = Fixture::new();
        r.command(7, flags, length, &pattern(immediate));
        assert_eq!(
            (r.status().0, r.started().len(), r.s.tasks()),
            (check, 0, 0),
            "{flags} {length}"
        );
    }
    // Unsolicited data although InitialR2T is Yes.
    let mut r = Fixture::with(
        Params {
            initial_r2t: true,
            ..params()
        },
        1,
        8,
    );
    let h = r.header(7, WRITE, 4096);
    r.receive_pdu(C1, Pdu::new(h, Bytes::new()));
    assert_eq!(r.status(), (check, 0x0c, 0x0c));
    // Data beyond the burst, at a wrong offset, with a wrong DataSN, with an unknown target transfer tag,
    // and shorter than the R2T requested.
    let cases: [(u32, u32, usize, bool, bool); 5] = [
        (0, 0, 5000, true, true),
        (0, 10, 100, true, true),
        (3, 0, 100, true, true),
        (0, 0, 9, true, false),
        (0, 0, 100, true, true),
    ];
    for (i, (sn, offset, length, last, known)) in cases.into_iter().enumerate() {
        let mut r = Fixture::new();
        r.command(7, WRITE, 4096, &[]);
        let ttt = r.got()[0].header.ttt();
        r.data_out(
            7,
            if known { ttt } else { ttt + 9 },
            sn,
            offset,
            &pattern(length as u32),
            last,
        );
        let got = r.got();
        let rejected = got
            .iter()
            .any(|p| p.header.opcode() == Some(Opcode::Reject));
        let ended = got
            .iter()
            .any(|p| p.header.opcode() == Some(Opcode::ScsiResponse) && p.header.byte(3) == check);
        assert_eq!(
            (rejected, ended, r.started().len()),
            (i < 4, true, 0),
            "case {i}: {got:?}"
        );
        // The session continues.
        r.command(8, READ, 8, &[]);
        assert_eq!(r.started().len(), 1);
        // Data that still arrives for the ended command is discarded.
        r.data_out(7, ttt, 0, 0, &pattern(100), true);
        assert!(r.got().is_empty());
    }
}

#[test]
fn a_data_digest_error_ends_the_command_at_level_0_and_is_recovered_at_level_1() {
    for level in [0, 1] {
        let mut r = Fixture::with(
            Params {
                recovery_level: level,
                ..params()
            },
            1,
            8,
        );
        let data = pattern(2000);
        r.command(7, WRITE, 2000, &[]);
        let ttt = r.got()[0].header.ttt();
        r.data_out(7, ttt, 0, 0, &data[..600], false);
        let bad = Header::new(Opcode::DataOut)
            .set_itt(7)
            .set_ttt(ttt)
            .set_exp_stat_sn(100)
            .set_word36(1)
            .set_word40(600);
        let mut bytes = bad.0;
        bytes[5..8].copy_from_slice(&[0, 2, 0]); // 512 bytes
        let acts = r.s.receive(C1, Err(PduError::DataDigest(Header(bytes))));
        r.record_actions(acts);
        let got = r.got();
        assert_eq!(got[0].header.byte(2), RejectReason::DataDigest as u8);
        if level == 0 {
            let sense = &got[1].data;
            assert_eq!(
                (got[1].header.byte(3), sense[14], sense[15]),
                (2, 0x47, 0x05)
            );
            continue;
        }
        // The lost range is requested at once, in parallel with the current burst.
        assert_eq!((got[1].header.word40(), got[1].header.word44()), (600, 512));
        r.data_out(7, ttt, 2, 1112, &data[1112..], true);
        assert!(r.started().is_empty());
        r.data_out(7, got[1].header.ttt(), 0, 600, &data[600..1112], true);
        assert_eq!(r.started()[0].1, data);
    }
    let mut r = Fixture::new();
    let acts = r.s.receive(C1, Err(PduError::HeaderDigest));
    assert_eq!(acts, [SessionAction::Close { cid: C1 }]);
}

#[test]
fn an_abort_is_answered_once_the_task_has_ended_and_the_task_gets_no_response() {
    let management_responses = |r: &mut Fixture| -> Vec<u8> {
        let got = r.got();
        assert!(
            got.iter()
                .all(|p| p.header.opcode() == Some(Opcode::TaskManagementResponse)),
            "{got:?}"
        );
        got.iter().map(|p| p.header.byte(2)).collect()
    };
    for answered in [true, false] {
        let mut r = Fixture::new();
        r.command(7, READ, 8, &[]);
        let (task, _) = r.started()[0];
        r.send_task_management(50, 1, 0, 7, 1);
        assert_eq!(
            r.acts,
            [SessionAction::Abort {
                tasks: vec![task],
                reason: AbortReason::AbortTask
            }]
        );
        assert!(
            management_responses(&mut r).is_empty(),
            "the device may still perform the command"
        );
        let acts = if answered {
            r.s.complete(task, Outcome::good(pattern(8)))
        } else {
            r.s.abort_complete(task)
        };
        r.record_actions(acts);
        assert_eq!(management_responses(&mut r), [0]);
    }
    // The task has already completed: it does not exist.
    let mut r = Fixture::new();
    r.command(7, READ, 8, &[]);
    let (task, _) = r.started()[0];
    r.complete_task(task, Outcome::good(pattern(8)));
    r.got();
    r.send_task_management(50, 1, 0, 7, 1);
    assert_eq!(management_responses(&mut r), [1]);
    // A command that is aborted before it arrives consumes its CmdSN and is ignored on arrival.
    let mut r = Fixture::new();
    let late = r.header(7, 0x80 | READ, 8);
    r.sn += 1;
    r.send_task_management(50, 1, 0, 7, 1);
    assert_eq!(management_responses(&mut r), [0]);
    r.receive_pdu(C1, Pdu::new(late, Bytes::new()));
    assert!(r.started().is_empty());
    r.command(8, READ, 8, &[]);
    assert_eq!(
        r.started().len(),
        1,
        "the next command does not wait for the aborted one"
    );
    // A command that still waits for data is not at the device.
    let mut r = Fixture::new();
    r.command(7, WRITE, 4096, &[]);
    r.got();
    r.send_task_management(50, 1, 0, 7, 1);
    assert_eq!(
        (management_responses(&mut r), r.acts.len(), r.s.tasks()),
        (vec![0], 0, 0)
    );
}

#[test]
fn a_lun_reset_with_500_open_commands() {
    let mut r = Fixture::with(params(), 1, 600);
    for n in 0..500 {
        r.command(1000 + n, READ, 8, &[]);
    }
    let tasks: Vec<TaskId> = r.started().into_iter().map(|s| s.0).collect();
    assert_eq!(tasks.len(), 500);
    r.send_task_management(50, 5, 0, 0, 0);
    assert_eq!(
        r.acts[0],
        SessionAction::Reset {
            lun: Some(0),
            reason: AbortReason::LunReset
        }
    );
    assert!(matches!(&r.acts[1], SessionAction::Abort { tasks: t, .. } if t.len() == 500));
    for (i, task) in tasks.iter().enumerate() {
        assert!(
            r.got().is_empty(),
            "task management response after {i} of 500 tasks ended"
        );
        let acts = if i % 2 == 0 {
            r.s.abort_complete(*task)
        } else {
            r.s.complete(*task, Outcome::status(Status::Good))
        };
        r.record_actions(acts);
    }
    let got = r.got();
    assert_eq!((got.len(), got[0].header.byte(2), r.s.tasks()), (1, 0, 0));
}

#[test]
fn logout_and_connection_loss_with_open_commands() {
    for lost in [true, false] {
        let mut r = Fixture::new();
        r.command(7, READ, 8, &[]);
        r.command(8, WRITE, 4096, &[]); // waits for the data of an R2T
        let (task, _) = r.started()[0];
        r.got();
        if lost {
            let acts = r.s.connection_lost(C1);
            r.record_actions(acts);
        } else {
            let h = Header::new(Opcode::LogoutRequest)
                .set_immediate(true)
                .set_flags(0x81)
                .set_itt(9)
                .set_cid(1);
            r.receive_pdu(C1, Pdu::new(h.set_exp_stat_sn(100), Bytes::new()));
            let got = r.got();
            assert_eq!(
                (got[0].header.opcode(), got[0].header.byte(2)),
                (Some(Opcode::LogoutResponse), 0)
            );
            assert_eq!(r.acts.remove(0), SessionAction::Close { cid: C1 });
        }
        assert_eq!(
            r.acts,
            [SessionAction::Abort {
                tasks: vec![task],
                reason: AbortReason::ConnectionLost
            }]
        );
        r.complete_task(task, Outcome::good(pattern(8)));
        assert_eq!((r.got().len(), r.s.tasks(), r.s.is_empty()), (0, 0, false));
        // The other connection continues with the next CmdSN.
        let h = r.header(9, 0x80 | READ, 8).set_exp_stat_sn(200);
        r.receive_pdu(C2, Pdu::new(h, Bytes::new()));
        assert_eq!(r.started().len(), 1);
    }
}

#[test]
fn snack_resends_status_and_data_until_they_are_acknowledged() {
    let snack = |kind: u8, itt: u32, from: u32, run: u32, ack: u32| {
        let h = Header::new(Opcode::Snack)
            .set_flags(0x80 | kind)
            .set_itt(itt)
            .set_ttt(NO_TAG);
        Pdu::new(
            h.set_exp_stat_sn(ack).set_word40(from).set_word44(run),
            Bytes::new(),
        )
    };
    let mut r = Fixture::with(
        Params {
            recovery_level: 1,
            ..params()
        },
        1,
        8,
    );
    r.command(7, READ, 3000, &[]);
    let (task, _) = r.started()[0];
    r.complete_task(task, Outcome::good(pattern(3000)));
    let first = r.got();
    r.receive_pdu(C1, snack(0, 7, 1, 1, 100));
    let resent = r.got();
    assert_eq!((resent.len(), &resent[0].data), (1, &first[1].data));
    r.receive_pdu(C1, snack(1, NO_TAG, 100, 0, 100));
    assert_eq!(r.got()[0].header.cmd_sn(), 100);
    // An ExpStatSN beyond the last StatSN is ignored. Acknowledged PDUs are discarded.
    r.receive_pdu(C1, snack(1, NO_TAG, 0, 0, 5000));
    assert_eq!(r.got().len(), 1);
    r.receive_pdu(C1, snack(0, 7, 0, 0, 101));
    let got = r.got();
    assert_eq!(
        (got[0].header.opcode(), got[0].header.byte(2)),
        (Some(Opcode::Reject), RejectReason::Snack as u8)
    );
    let mut r = Fixture::new();
    r.receive_pdu(C1, snack(1, NO_TAG, 100, 0, 100));
    assert_eq!(
        r.got()[0].header.byte(2),
        RejectReason::Snack as u8,
        "SNACK is rejected at ErrorRecoveryLevel 0"
    );
}

#[test]
fn the_window_closes_and_opens() {
    let mut r = Fixture::with(params(), 1, 2);
    r.command(1, READ, 8, &[]);
    r.command(2, READ, 8, &[]);
    assert_eq!((r.s.window_capacity(), r.s.cmd_sn_bounds()), (0, (3, 2)));
    r.command(3, READ, 8, &[]);
    assert_eq!(
        r.started().len(),
        2,
        "the command outside the window is ignored"
    );
    // With two of four tasks open, the window grants two more. The next response announces it.
    assert!(r.s.set_task_limit(4).is_empty());
    r.sn -= 1;
    r.command(3, READ, 8, &[]);
    assert_eq!((r.started().len(), r.s.cmd_sn_bounds()), (1, (4, 4)));
    // A lower limit takes effect only as tasks complete: the numbers already granted stay valid.
    r.s.set_task_limit(1);
    let max_cmd_sns: Vec<u32> = (1..=3)
        .map(|task| {
            let acts = r.s.complete(TaskId(task), Outcome::good(Bytes::new()));
            let announced = acts.iter().find_map(|a| {
                if let SessionAction::Send { pdu, .. } = a {
                    Some(pdu)
                } else {
                    None
                }
            });
            announced.expect("a response").header.word32()
        })
        .collect();
    assert_eq!((max_cmd_sns, r.s.window_capacity()), (vec![4, 4, 4], 1));
    r.s.set_task_limit(0);
    r.command(4, READ, 8, &[]);
    r.started();
    r.s.complete(TaskId(4), Outcome::good(Bytes::new()));
    assert_eq!(r.s.window_capacity(), 0);
    // No response is due, so a NOP-In announces the open window.
    let acts = r.s.set_task_limit(2);
    let announced = matches!(&acts[..], [SessionAction::Send { pdu, .. }]
        if pdu.header.opcode() == Some(Opcode::NopIn) && pdu.header.word32() == 6);
    assert!(announced, "{acts:?}");
}

#[test]
fn nop_and_text_requests_and_the_limits_of_a_discovery_session() {
    let mut r = Fixture::new();
    let nop = Header::new(Opcode::NopOut)
        .set_immediate(true)
        .set_flags(0x80)
        .set_itt(3)
        .set_ttt(NO_TAG);
    r.receive_pdu(C1, Pdu::new(nop.set_exp_stat_sn(100), &b"ping"[..]));
    let got = r.got();
    assert_eq!(
        (
            got[0].header.opcode(),
            &got[0].data[..],
            got[0].header.itt()
        ),
        (Some(Opcode::NopIn), &b"ping"[..], 3)
    );
    let text = |key: &str| {
        let h = Header::new(Opcode::TextRequest)
            .set_immediate(true)
            .set_flags(0x80)
            .set_itt(4)
            .set_ttt(NO_TAG);
        Pdu::new(
            h.set_exp_stat_sn(100),
            format!("SendTargets={key}\0").into_bytes(),
        )
    };
    r.receive_pdu(C1, text(""));
    assert_eq!(
        &r.got()[0].data[..],
        b"TargetName=iqn.a\0TargetAddress=127.0.0.1:3260,1\0"
    );
    r.receive_pdu(C1, text("iqn.b"));
    assert!(
        r.got()[0].data.is_empty(),
        "SendTargets in a normal session lists only its own target"
    );
    let send_targets = vec![("iqn.a".to_string(), vec![]), ("iqn.b".to_string(), vec![])];
    let mut d = Session::new(
        None,
        send_targets,
        Limits {
            max_data: 1,
            max_unacknowledged: 4,
        },
        1,
        4,
    );
    d.add_connection(C1, params(), 1);
    let announced = d.receive(C1, Ok(text("All")));
    assert!(
        matches!(&announced[0], SessionAction::Send { pdu, .. } if &pdu.data[..] == b"TargetName=iqn.a\0TargetName=iqn.b\0")
    );
    let command = Header::new(Opcode::ScsiCommand)
        .set_flags(0x80 | READ)
        .set_cmd_sn(1);
    let refused = d.receive(C1, Ok(Pdu::new(command, Bytes::new())));
    assert!(
        matches!(&refused[0], SessionAction::Send { pdu, .. } if pdu.header.opcode() == Some(Opcode::Reject))
    );
}

#[test]
fn check_condition_carries_sense_data() {
    let mut r = Fixture::new();
    r.command(7, READ, 512, &[]);
    let (task, _) = r.started()[0];
    r.complete_task(task, Outcome::check(Sense::OUTCOME_UNKNOWN));
    let got = r.got();
    assert_eq!(
        (
            got[0].header.byte(3),
            got[0].header.flags(),
            got[0].header.word44()
        ),
        (2, 0x82, 512)
    );
    assert_eq!(
        (got[0].data.len(), got[0].data[1], got[0].data[4]),
        (20, 18, 0x0b)
    );
}

/// Runs seeded sessions of random and malformed PDUs. The session must never send more statuses GOOD
/// than the device reported, and must leave no task behind.
#[test]
fn random_pdus_over_whole_sessions() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut r = Fixture::with(
            Params {
                recovery_level: (seed % 2) as u32,
                ..params()
            },
            u32::MAX - 5,
            8,
        );
        let (mut open, mut answered, mut good) = (Vec::new(), 0, 0);
        for _ in 0..200 {
            let opcode = Opcode::ALL[rng.random_range(0..Opcode::ALL.len())];
            let mut bytes = [0; 48];
            if rng.random_range(0..4) == 0 {
                rng.fill_bytes(&mut bytes);
            }
            let itt = rng.random_range(0..6);
            let h = Header(bytes).set_byte(0, opcode as u8 | if rng.random() { 0x40 } else { 0 });
            let h = h
                .set_flags(rng.random())
                .set_itt(itt)
                .set_exp_stat_sn(rng.random_range(90..110));
            let h = h
                .set_ttt(rng.random_range(0..5000))
                .set_cmd_sn(r.s.cmd_sn_bounds().0.wrapping_add(rng.random_range(0..3)));
            let cid = if rng.random() { C1 } else { C2 };
            let data = pattern(rng.random_range(0..600));
            match rng.random_range(0..12) {
                0 => {
                    let acts = r.s.receive(cid, Err(PduError::DataDigest(h)));
                    r.record_actions(acts);
                }
                1 if !open.is_empty() => {
                    let task = open.swap_remove(rng.random_range(0..open.len()));
                    answered += 1;
                    r.complete_task(task, Outcome::good(pattern(100)));
                }
                2 => drop(r.s.set_task_limit(rng.random_range(0..8))),
                _ => r.receive_pdu(cid, Pdu::new(h, data)),
            }
            open.extend(r.started().into_iter().map(|s| s.0));
            for p in r.got() {
                if matches!(p.header.opcode(), Some(Opcode::ScsiResponse)) && p.header.byte(3) == 0
                {
                    good += 1;
                }
                good += u32::from(
                    p.header.opcode() == Some(Opcode::DataIn) && p.header.flags() & 1 != 0,
                );
            }
            assert!(
                good <= answered,
                "seed {seed}: {good} statuses GOOD sent, expected at most {answered}"
            );
        }
        for task in open {
            r.complete_task(task, Outcome::good(Bytes::new()));
        }
        // The remaining tasks wait for data or for an earlier command; none is at the device.
        let lost = [r.s.connection_lost(C1), r.s.connection_lost(C2)].concat();
        assert!(
            !lost
                .iter()
                .any(|a| matches!(a, SessionAction::Abort { .. })),
            "seed {seed}: {lost:?}"
        );
        assert_eq!(r.s.tasks(), 0, "seed {seed}");
    }
}
