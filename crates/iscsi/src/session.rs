//! The full feature phase of one session, target side (RFC 7143, sections 4.2, 7 and 11).
//!
//! The caller passes in each PDU of the session's connections and the outcome of each task, and
//! performs the returned [`SessionAction`]s. [`Session`] delivers commands in CmdSN order over all
//! connections, collects the data of writes (immediate, unsolicited, solicited), splits the data of
//! reads, numbers responses and retains them until they are acknowledged, and performs task
//! management. The device interprets the commands: [`SessionAction::Start`] passes it each command
//! with its complete data.
//!
//! Memory: queued commands are bounded by the command window, the data of a write by
//! [`Limits::max_data`]. Responses and the data of reads are retained until ExpStatSN acknowledges
//! them. No I/O.

use crate::keys::{parse, Params};
use crate::pdu::{Header, Opcode, Pdu, PduError, NO_TAG};
use crate::scsi::{retry_delay, Sense, Status};
use crate::window::{Arrival, SerialNumber, Window};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The identifier of a task within its session. It is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// A connection, identified by its CID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u16);

/// The memory limits of a session.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The maximum data that one command may write or read, in bytes.
    pub max_data: u32,
    /// The maximum number of unacknowledged responses retained for one connection. The oldest are
    /// discarded beyond it.
    pub max_unacknowledged: usize,
}

/// The reason why tasks end without a response of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbortReason {
    AbortTask,
    AbortTaskSet,
    ClearTaskSet,
    LunReset,
    TargetReset,
    ConnectionLost,
}

/// An action that the caller performs for the session.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionAction {
    /// Send this PDU on this connection.
    Send { cid: ConnectionId, pdu: Pdu },
    /// Start a command, which comes with all its data. The device reports its outcome once, by
    /// [`Session::complete`].
    Start {
        task: TaskId,
        lun: u64,
        cdb: [u8; 16],
        data: Bytes,
        /// The maximum data that the command may return, in bytes.
        max_read_bytes: u32,
    },
    /// Abort these tasks. The device confirms each by [`Session::complete`] or
    /// [`Session::abort_complete`]. The response to a task management request waits for all of them.
    Abort {
        tasks: Vec<TaskId>,
        reason: AbortReason,
    },
    /// End the tasks of other sessions at this logical unit, or at all units if `lun` is None.
    Reset {
        lun: Option<u64>,
        reason: AbortReason,
    },
    /// Close this connection.
    Close { cid: ConnectionId },
}

/// The outcome of a command, as the device reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    pub status: Status,
    pub sense: Option<Sense>,
    pub data: Bytes,
    /// The status qualifier, for initiators that negotiated it (RFC 7144, 6.2).
    pub qualifier: u16,
}

impl Outcome {
    pub fn good(data: impl Into<Bytes>) -> Self {
        Outcome {
            status: Status::Good,
            sense: None,
            data: data.into(),
            qualifier: 0,
        }
    }

    pub fn check(sense: Sense) -> Self {
        Outcome {
            sense: Some(sense),
            ..Outcome::status(Status::CheckCondition)
        }
    }

    pub fn status(status: Status) -> Self {
        Outcome {
            status,
            sense: None,
            data: Bytes::new(),
            qualifier: 0,
        }
    }

    /// Returns status BUSY, which asks the initiator to retry after `wait`.
    pub fn busy(wait: Option<Duration>) -> Self {
        Outcome {
            qualifier: wait.map_or(0, retry_delay),
            ..Outcome::status(Status::Busy)
        }
    }
}

/// The reason of a Reject PDU (section 11.17.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum RejectReason {
    DataDigest = 0x02,
    Snack = 0x03,
    Protocol = 0x04,
    NotSupported = 0x05,
    TaskInProgress = 0x07,
    InvalidField = 0x09,
}

/// An expected sequence of Data-Out PDUs.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Burst {
    ttt: u32,
    /// The offset of the next expected byte.
    next: u32,
    /// The offset after the last byte.
    end: u32,
    /// The next expected DataSN.
    data_sn: u32,
}

/// The data of a command that has not started.
#[derive(Debug)]
struct Collecting {
    data: BytesMut,
    /// The complete data if a single PDU carried it, which saves a copy.
    single_pdu_data: Option<Bytes>,
    /// The offset of the first byte that is neither received nor requested.
    requested: u32,
    bursts: Vec<Burst>,
    /// The ranges to request again after a data digest error.
    damaged_ranges: Vec<(u32, u32)>,
    /// The sense data to end the command with, after a fault.
    failed: Option<Sense>,
}

/// The state of a task.
#[derive(Debug)]
enum State {
    /// The command waits for an earlier one or for data.
    Collecting(Collecting),
    /// The device performs the command.
    Running,
    /// The device aborts the command. No response is due.
    Aborting,
}

#[derive(Debug)]
struct Task {
    id: TaskId,
    cid: ConnectionId,
    header: Header,
    /// All commands with an earlier CmdSN have been delivered.
    delivered: bool,
    /// The R2TSN of the next R2T.
    r2t_sn: u32,
    state: State,
}

impl Task {
    /// Returns the expected data transfer length, in bytes.
    fn length(&self) -> u32 {
        self.header.ttt()
    }

    /// Returns the W bit.
    fn writes(&self) -> bool {
        self.header.flags() & 0x20 != 0
    }

    /// Returns the R bit.
    fn reads(&self) -> bool {
        self.header.flags() & 0x40 != 0
    }
}

#[derive(Debug)]
struct Conn {
    params: Params,
    /// The StatSN of the next response.
    stat_sn: u32,
    /// The unacknowledged responses, each with its StatSN.
    unacknowledged: VecDeque<(u32, Pdu)>,
    /// The Data-In PDUs of reads whose status is not acknowledged, with the task tag and StatSN.
    sent_data_in: Vec<(u32, u32, Vec<Pdu>)>,
}

/// A task management request whose response waits for these tasks to end.
#[derive(Debug)]
struct PendingManagement {
    cid: ConnectionId,
    itt: u32,
    tasks: BTreeSet<TaskId>,
}

/// An entry of the command window.
#[derive(Debug)]
enum Queued {
    /// A command, by its initiator task tag and task. Another task may have taken over the tag in the
    /// meantime.
    Command(u32, TaskId),
    /// A request other than a SCSI command.
    Other(ConnectionId, Pdu),
    /// A command that was aborted before it arrived.
    Aborted,
}

#[derive(Debug)]
pub struct Session {
    /// The name of the target; None in a discovery session.
    target: Option<String>,
    /// The targets with their addresses, for SendTargets.
    send_targets: Vec<(String, Vec<String>)>,
    limits: Limits,
    window: Window<Queued>,
    /// The maximum number of open tasks. The window grants what the open tasks leave of it.
    task_limit: u32,
    connections: BTreeMap<ConnectionId, Conn>,
    /// The open tasks by initiator task tag.
    tasks: BTreeMap<u32, Task>,
    /// The initiator task tag of each task, so that an outcome needs no search of all tasks.
    itt_by_task: BTreeMap<TaskId, u32>,
    pending_management: Vec<PendingManagement>,
    next_task: u64,
    next_ttt: u32,
    /// The actions to return from the current call.
    actions: Vec<SessionAction>,
}

impl Session {
    /// Creates a session. `cmd_sn` is the CmdSN of the leading login, `size` the initial limit of open
    /// tasks.
    pub fn new(
        target: Option<String>,
        send_targets: Vec<(String, Vec<String>)>,
        limits: Limits,
        cmd_sn: u32,
        size: u32,
    ) -> Self {
        Session {
            target,
            send_targets,
            limits,
            window: Window::new(SerialNumber(cmd_sn), size),
            task_limit: size,
            connections: BTreeMap::new(),
            tasks: BTreeMap::new(),
            itt_by_task: BTreeMap::new(),
            pending_management: Vec::new(),
            next_task: 0,
            next_ttt: 0,
            actions: Vec::new(),
        }
    }

    /// Adds a connection that has completed its login. `stat_sn` is the StatSN of its next response.
    pub fn add_connection(&mut self, cid: ConnectionId, params: Params, stat_sn: u32) {
        let conn = Conn {
            params,
            stat_sn,
            unacknowledged: VecDeque::new(),
            sent_data_in: Vec::new(),
        };
        self.connections.insert(cid, conn);
    }

    /// Returns whether the session has no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the number of open tasks.
    pub fn tasks(&self) -> usize {
        self.tasks.len()
    }

    /// Returns the number of commands that the window accepts.
    pub fn window_capacity(&self) -> u32 {
        self.window.capacity()
    }

    /// Sets the maximum number of open tasks. If this opens a closed window while no response is due
    /// that could announce it, a NOP-In that requests no answer does (section 11.19).
    pub fn set_task_limit(&mut self, tasks: u32) -> Vec<SessionAction> {
        self.task_limit = tasks;
        let closed = self.window.capacity() == 0;
        self.update_window();
        let must_announce = closed && self.window.capacity() > 0 && self.tasks.is_empty();
        if let (true, Some(cid)) = (must_announce, self.connections.keys().next().copied()) {
            let header = Header::new(Opcode::NopIn)
                .set_flags(0x80)
                .set_itt(NO_TAG)
                .set_ttt(NO_TAG);
            self.send(cid, Pdu::new(header, Bytes::new()), false);
        }
        std::mem::take(&mut self.actions)
    }

    /// Grants the window for the next response: the maximum number of open tasks less the open tasks.
    /// Commands queued for an earlier one do not count, as they still occupy the window.
    fn update_window(&mut self) {
        let open = self.tasks.len().saturating_sub(self.window.queued()) as u32;
        self.window.grant(self.task_limit.saturating_sub(open));
    }

    /// Returns ExpCmdSN and MaxCmdSN.
    pub fn cmd_sn_bounds(&self) -> (u32, u32) {
        (self.window.expected().0, self.window.max_cmd_sn().0)
    }

    /// Handles a PDU or a read error of a connection.
    pub fn receive(
        &mut self,
        cid: ConnectionId,
        read: Result<Pdu, PduError>,
    ) -> Vec<SessionAction> {
        if self.connections.contains_key(&cid) {
            match read {
                Ok(pdu) => self.receive_pdu(cid, pdu),
                Err(PduError::DataDigest(header)) => self.data_digest_error(cid, header),
                // No further PDU can be read after any other error, so the connection is lost
                // (section 7.7).
                Err(_) => self.close(cid),
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn receive_pdu(&mut self, cid: ConnectionId, pdu: Pdu) {
        let h = pdu.header;
        let Some(opcode) = h.opcode().filter(|o| o.from_initiator()) else {
            return self.reject(cid, RejectReason::NotSupported, &h);
        };
        self.acknowledge(cid, h.exp_stat_sn());
        match opcode {
            Opcode::DataOut => self.data_out(cid, pdu),
            Opcode::Snack => self.snack(cid, &h),
            Opcode::LoginRequest => self.reject(cid, RejectReason::Protocol, &h),
            Opcode::ScsiCommand => self.receive_command(cid, pdu),
            _ if h.immediate() => self.process_request(cid, pdu),
            _ => {
                let arrived = self
                    .window
                    .receive(SerialNumber(h.cmd_sn()), Queued::Other(cid, pdu));
                self.deliver(arrived);
            }
        }
    }

    /// Discards what `exp_stat_sn` acknowledges.
    fn acknowledge(&mut self, cid: ConnectionId, exp_stat_sn: u32) {
        let Some(c) = self.connections.get_mut(&cid) else {
            return;
        };
        // An ExpStatSN beyond the last StatSN is invalid. Accepting it would discard PDUs that the
        // initiator may still request.
        if SerialNumber(c.stat_sn).before(SerialNumber(exp_stat_sn)) {
            return;
        }
        c.unacknowledged
            .retain(|(sn, _)| !SerialNumber(*sn).before(SerialNumber(exp_stat_sn)));
        c.sent_data_in
            .retain(|(_, sn, _)| !SerialNumber(*sn).before(SerialNumber(exp_stat_sn)));
    }

    /// Processes the requests that the window delivers.
    fn deliver(&mut self, arrived: Arrival<Queued>) {
        let Arrival::Deliver(ready) = arrived else {
            return;
        };
        for queued in ready {
            match queued {
                Queued::Command(itt, id) => {
                    if let Some(t) = self.tasks.get_mut(&itt).filter(|t| t.id == id) {
                        t.delivered = true;
                        self.advance(itt);
                    }
                }
                Queued::Other(cid, pdu) => self.process_request(cid, pdu),
                Queued::Aborted => {}
            }
        }
    }

    /// Processes a request other than a SCSI command, in CmdSN order.
    fn process_request(&mut self, cid: ConnectionId, pdu: Pdu) {
        let h = pdu.header;
        match h.opcode() {
            Some(Opcode::NopOut) => {
                if h.itt() != NO_TAG {
                    let max_segment = self
                        .connections
                        .get(&cid)
                        .map_or(0, |c| c.params.peer_max_segment as usize);
                    let echo = pdu.data.slice(..pdu.data.len().min(max_segment));
                    let header = Header::new(Opcode::NopIn)
                        .set_flags(0x80)
                        .set_lun(h.lun())
                        .set_itt(h.itt());
                    self.respond(cid, Pdu::new(header.set_ttt(NO_TAG), echo));
                }
            }
            Some(Opcode::TextRequest) => self.answer_text(cid, &pdu),
            Some(Opcode::TaskManagement) => self.task_management(cid, &h),
            Some(Opcode::LogoutRequest) => self.logout(cid, &h),
            _ => self.reject(cid, RejectReason::Protocol, &h),
        }
    }

    // Commands and their data

    fn receive_command(&mut self, cid: ConnectionId, pdu: Pdu) {
        let h = pdu.header;
        if self.target.is_none() {
            return self.reject(cid, RejectReason::Protocol, &h);
        }
        let sn = SerialNumber(h.cmd_sn());
        // A retry of a delivered command is the same command (section 7.2.1) and is ignored.
        if !h.immediate()
            && (sn.before(self.window.expected()) || self.window.max_cmd_sn().before(sn))
        {
            return;
        }
        if self.tasks.contains_key(&h.itt()) {
            if h.immediate() || self.tasks[&h.itt()].header != h {
                self.reject(cid, RejectReason::TaskInProgress, &h);
            }
            return;
        }
        self.next_task += 1;
        let collecting = Collecting {
            data: BytesMut::new(),
            single_pdu_data: None,
            requested: 0,
            bursts: Vec::new(),
            damaged_ranges: Vec::new(),
            failed: None,
        };
        let state = State::Collecting(collecting);
        let (id, delivered) = (TaskId(self.next_task), h.immediate());
        self.tasks.insert(
            h.itt(),
            Task {
                id,
                cid,
                header: h,
                delivered,
                r2t_sn: 0,
                state,
            },
        );
        self.itt_by_task.insert(id, h.itt());
        self.receive_unsolicited(h.itt(), &pdu.data);
        match h.immediate() {
            true => self.advance(h.itt()),
            false => {
                let arrived = self.window.receive(sn, Queued::Command(h.itt(), id));
                self.deliver(arrived);
            }
        }
    }

    /// Stores immediate data, and expects unsolicited Data-Out if the command is not final.
    fn receive_unsolicited(&mut self, itt: u32, immediate: &Bytes) {
        let max_data = self.limits.max_data;
        let Some(t) = self.tasks.get_mut(&itt) else {
            return;
        };
        let Some(params) = self.connections.get(&t.cid).map(|c| &c.params) else {
            return;
        };
        let (length, writes, is_final) = (t.length(), t.writes(), t.header.is_final());
        let State::Collecting(c) = &mut t.state else {
            return;
        };
        let first = params.first_burst.min(length);
        let received = immediate.len() as u32;
        // Unsolicited data beyond the negotiated amount, or for a command without the W bit, ends the
        // command (section 11.3.4).
        let is_invalid = (received > 0 && (!params.immediate_data || !writes || received > first))
            || (!is_final && (params.initial_r2t || !writes));
        if is_invalid {
            c.failed = Some(Sense::UNEXPECTED_UNSOLICITED_DATA);
        } else if writes && length > max_data {
            c.failed = Some(Sense::INVALID_FIELD_IN_CDB);
        } else if received == length {
            c.single_pdu_data = Some(immediate.clone());
        } else if writes {
            c.data.reserve(length as usize);
            c.data.extend_from_slice(immediate);
        }
        c.requested = received;
        if c.failed.is_none() && !is_final {
            c.bursts.push(Burst {
                ttt: NO_TAG,
                next: received,
                end: first,
                data_sn: 0,
            });
            c.requested = first;
        }
    }

    /// Requests more data by R2T, or starts the command once its data is complete.
    fn advance(&mut self, itt: u32) {
        let Some(t) = self.tasks.get_mut(&itt).filter(|t| t.delivered) else {
            return;
        };
        let (cid, length, writes, lun) = (t.cid, t.length(), t.writes(), t.header.lun());
        let State::Collecting(c) = &mut t.state else {
            return;
        };
        if let Some(sense) = c.failed {
            // Data that still arrives for the command finds no task and is discarded.
            return self.finish(itt, Outcome::check(sense));
        }
        let Some(params) = self.connections.get(&cid).map(|c| c.params.clone()) else {
            return;
        };
        if !writes || (c.requested >= length && c.bursts.is_empty() && c.damaged_ranges.is_empty())
        {
            let data = c
                .single_pdu_data
                .take()
                .unwrap_or_else(|| std::mem::take(&mut c.data).freeze());
            let max_read_bytes = if t.reads() { length } else { 0 };
            t.state = State::Running;
            let (task, cdb) = (t.id, t.header.cdb());
            return self.actions.push(SessionAction::Start {
                task,
                lun,
                cdb,
                data,
                max_read_bytes,
            });
        }
        // No R2T is sent while unsolicited data is outstanding.
        let mut r2ts = Vec::new();
        while c.bursts.len() < params.max_outstanding_r2t as usize
            && c.bursts.iter().all(|b| b.ttt != NO_TAG)
        {
            let (from, end) = match c.damaged_ranges.pop() {
                Some(range) => range,
                None if c.requested < length => {
                    let from = c.requested;
                    c.requested = from.saturating_add(params.max_burst).min(length);
                    (from, c.requested)
                }
                None => break,
            };
            self.next_ttt = if self.next_ttt >= NO_TAG - 1 {
                1
            } else {
                self.next_ttt + 1
            };
            c.bursts.push(Burst {
                ttt: self.next_ttt,
                next: from,
                end,
                data_sn: 0,
            });
            r2ts.push((self.next_ttt, t.r2t_sn, from, end - from));
            t.r2t_sn += 1;
        }
        for (ttt, r2t_sn, offset, desired_length) in r2ts {
            let header = Header::new(Opcode::R2t)
                .set_flags(0x80)
                .set_lun(lun)
                .set_itt(itt)
                .set_ttt(ttt)
                .set_word36(r2t_sn)
                .set_word40(offset)
                .set_word44(desired_length);
            self.send(cid, Pdu::new(header, Bytes::new()), false);
        }
    }

    fn data_out(&mut self, cid: ConnectionId, pdu: Pdu) {
        let h = pdu.header;
        let (itt, ttt, offset) = (h.itt(), h.ttt(), h.word40());
        // Data for an ended or unknown task is discarded (section 11.7).
        let Some(t) = self.tasks.get_mut(&itt) else {
            return;
        };
        let State::Collecting(c) = &mut t.state else {
            return;
        };
        let Some(at) = c.bursts.iter().position(|b| b.ttt == ttt) else {
            return self.reject_sequence(cid, itt, &h);
        };
        let b = &mut c.bursts[at];
        let end = u64::from(offset) + pdu.data.len() as u64;
        // Data must arrive in order, within its burst and without a gap in DataSN.
        if offset != b.next || end > u64::from(b.end) || h.word36() != b.data_sn {
            return self.reject_sequence(cid, itt, &h);
        }
        let end = end as u32;
        if offset == 0 && end == t.header.ttt() {
            c.single_pdu_data = Some(pdu.data.clone());
        } else if c.data.len() == offset as usize {
            c.data.extend_from_slice(&pdu.data);
        } else {
            c.data.resize(c.data.len().max(end as usize), 0);
            c.data[offset as usize..end as usize].copy_from_slice(&pdu.data);
        }
        (b.next, b.data_sn) = (end, b.data_sn + 1);
        if h.is_final() {
            let (short, is_unsolicited) = (b.next < b.end, b.ttt == NO_TAG);
            if short && is_unsolicited {
                c.requested = b.next; // unsolicited data may be shorter; R2Ts request the rest
            } else if short {
                c.failed = Some(Sense::NOT_ENOUGH_UNSOLICITED_DATA);
            }
            c.bursts.remove(at);
        }
        self.advance(itt);
    }

    /// Rejects a Data-Out that violates its sequence, and ends the command.
    fn reject_sequence(&mut self, cid: ConnectionId, itt: u32, h: &Header) {
        self.reject(cid, RejectReason::Protocol, h);
        if let Some(State::Collecting(c)) = self.tasks.get_mut(&itt).map(|t| &mut t.state) {
            c.failed = Some(Sense::NOT_ENOUGH_UNSOLICITED_DATA);
            self.advance(itt);
        }
    }

    /// Handles a PDU with a data digest error (section 7.8). The lost range of a Data-Out is requested
    /// again if the connection negotiated within-command recovery; otherwise its command ends. The
    /// initiator resends any other PDU.
    fn data_digest_error(&mut self, cid: ConnectionId, h: Header) {
        self.reject(cid, RejectReason::DataDigest, &h);
        if h.opcode() != Some(Opcode::DataOut) {
            return;
        }
        let level = self
            .connections
            .get(&cid)
            .map_or(0, |c| c.params.recovery_level);
        let Some(State::Collecting(c)) = self.tasks.get_mut(&h.itt()).map(|t| &mut t.state) else {
            return;
        };
        let Some(at) = c.bursts.iter().position(|b| b.ttt == h.ttt()) else {
            return;
        };
        let b = &mut c.bursts[at];
        let end = u64::from(h.word40()) + h.data_length() as u64;
        let fits = h.word40() == b.next && end <= u64::from(b.end) && h.word36() == b.data_sn;
        if level == 0 || !fits {
            c.failed = Some(Sense::PROTOCOL_CRC);
        } else {
            c.damaged_ranges.push((b.next, end as u32));
            (b.next, b.data_sn) = (end as u32, b.data_sn + 1);
            if h.is_final() {
                c.requested = c.requested.max(b.next);
                c.bursts.remove(at);
            }
        }
        self.advance(h.itt());
    }

    /// Handles the outcome of a task. If the task is being aborted or is unknown, the outcome only
    /// confirms that it has ended.
    pub fn complete(&mut self, task: TaskId, outcome: Outcome) -> Vec<SessionAction> {
        if let Some(itt) = self.itt_by_task.get(&task).copied() {
            match self.tasks.get(&itt).map(|t| &t.state) {
                Some(State::Running) => self.finish(itt, outcome),
                _ => drop(self.remove(itt)),
            }
        }
        self.task_ended(task);
        std::mem::take(&mut self.actions)
    }

    /// Handles the device's confirmation that a task was aborted without an outcome.
    pub fn abort_complete(&mut self, task: TaskId) -> Vec<SessionAction> {
        if let Some(itt) = self.itt_by_task.get(&task).copied() {
            self.remove(itt);
        }
        self.task_ended(task);
        std::mem::take(&mut self.actions)
    }

    fn remove(&mut self, itt: u32) -> Option<Task> {
        let t = self.tasks.remove(&itt)?;
        self.itt_by_task.remove(&t.id);
        Some(t)
    }

    /// Answers the task management requests that waited for this task as the last one.
    fn task_ended(&mut self, task: TaskId) {
        if self.pending_management.is_empty() {
            return;
        }
        for w in &mut self.pending_management {
            w.tasks.remove(&task);
        }
        let (completed, pending_management) = std::mem::take(&mut self.pending_management)
            .into_iter()
            .partition(|w| w.tasks.is_empty());
        self.pending_management = pending_management;
        let completed: Vec<PendingManagement> = completed;
        completed
            .into_iter()
            .for_each(|w| self.send_management_response(w.cid, w.itt, 0));
    }

    /// Sends a task's data and status.
    fn finish(&mut self, itt: u32, outcome: Outcome) {
        let Some(t) = self.remove(itt) else { return };
        let Some(conn) = self.connections.get(&t.cid) else {
            return;
        };
        let (params, length) = (conn.params.clone(), t.length());
        let good = outcome.status == Status::Good;
        let max_length = if t.reads() { length } else { 0 };
        let read_data = outcome
            .data
            .slice(..outcome.data.len().min(max_length as usize));
        // The residual count (section 11.4.5) compares the expected length with the length of a read's
        // data. A write transfers everything.
        let transferred = if t.reads() || !good {
            outcome.data.len() as u64
        } else {
            u64::from(length)
        };
        let (flag, residual) = match u64::from(length) {
            expected if transferred < expected && t.reads() => (0x02, expected - transferred),
            expected if transferred > expected && t.reads() => (0x04, transferred - expected),
            _ => (0, 0),
        };
        let mut data_in_pdus = Vec::new();
        let mut at = 0;
        while at < read_data.len() {
            let burst_end = (at / params.max_burst as usize + 1) * params.max_burst as usize;
            let end = read_data
                .len()
                .min(at + params.peer_max_segment as usize)
                .min(burst_end);
            let last = end == read_data.len();
            let flags = if last || end == burst_end { 0x80 } else { 0 };
            let header = Header::new(Opcode::DataIn)
                .set_flags(flags)
                .set_lun(t.header.lun())
                .set_itt(itt)
                .set_ttt(NO_TAG)
                .set_word36(data_in_pdus.len() as u32)
                .set_word40(at as u32);
            data_in_pdus.push(Pdu::new(header, read_data.slice(at..end)));
            at = end;
        }
        let count = data_in_pdus.len() as u32;
        // The last Data-In carries status GOOD (phase collapse).
        if let (true, Some(last)) = (good, data_in_pdus.last_mut()) {
            let h = last.header;
            last.header = h
                .set_flags(h.flags() | 0x01 | flag)
                .set_word44(residual as u32);
        }
        let with_status = good && !data_in_pdus.is_empty();
        let stat_sn = conn.stat_sn;
        let mut sent_pdus = Vec::new();
        for (i, data_in_pdu) in data_in_pdus.into_iter().enumerate() {
            let has_status = with_status && i as u32 + 1 == count;
            sent_pdus.push(self.send(t.cid, data_in_pdu, has_status));
        }
        if let Some(c) = self
            .connections
            .get_mut(&t.cid)
            .filter(|_| !sent_pdus.is_empty())
        {
            c.sent_data_in.push((itt, stat_sn, sent_pdus));
        }
        if !with_status {
            let sense = outcome.sense.map(|s| s.fixed());
            let data = sense.map_or(Bytes::new(), |s| {
                [&(s.len() as u16).to_be_bytes()[..], &s].concat().into()
            });
            let header = Header::new(Opcode::ScsiResponse)
                .set_flags(0x80 | flag)
                .set_byte(3, outcome.status as u8)
                .set_itt(itt)
                .set_word36(count)
                .set_word44(residual as u32);
            let [high, low] = if params.protocol_level >= 2 {
                outcome.qualifier
            } else {
                0
            }
            .to_be_bytes();
            let header = header.set_byte(8, high).set_byte(9, low);
            self.respond(t.cid, Pdu::new(header, data));
        }
    }

    // Other requests

    fn answer_text(&mut self, cid: ConnectionId, pdu: &Pdu) {
        let h = pdu.header;
        let Ok(pairs) = parse(&pdu.data) else {
            return self.reject(cid, RejectReason::Protocol, &h);
        };
        // No supported key needs a request that continues over several PDUs.
        if h.flags() & 0x40 != 0 || h.ttt() != NO_TAG {
            return self.reject(cid, RejectReason::Protocol, &h);
        }
        let mut answers = Vec::new();
        for (key, value) in pairs {
            if key != "SendTargets" {
                answers.push((key, "NotUnderstood".to_string()));
                continue;
            }
            let own = self.target.clone();
            let listed =
                self.send_targets
                    .iter()
                    .filter(|(name, _)| match (value.as_str(), &own) {
                        ("All", None) => true,
                        ("", Some(own)) => name == own,
                        (requested, None) => name == requested,
                        (requested, Some(own)) => name == own && requested == own,
                    });
            for (name, addresses) in listed {
                answers.push(("TargetName".into(), name.clone()));
                answers.extend(
                    addresses
                        .iter()
                        .map(|a| ("TargetAddress".to_string(), a.clone())),
                );
            }
        }
        let header = Header::new(Opcode::TextResponse)
            .set_flags(0x80)
            .set_itt(h.itt())
            .set_ttt(NO_TAG);
        self.respond(cid, Pdu::new(header, crate::keys::format(&answers)));
    }

    /// Sends a task management response.
    fn send_management_response(&mut self, cid: ConnectionId, itt: u32, response: u8) {
        let header = Header::new(Opcode::TaskManagementResponse)
            .set_flags(0x80)
            .set_byte(2, response)
            .set_itt(itt);
        self.respond(cid, Pdu::new(header, Bytes::new()));
    }

    /// Performs a task management request (sections 11.5 and 11.6). The response waits until the tasks
    /// have ended at the device, so that they have no effect after the initiator receives it.
    fn task_management(&mut self, cid: ConnectionId, h: &Header) {
        let (lun, tag) = (h.lun(), h.ttt());
        let (reason, reset) = match h.flags() & 0x7f {
            1 => return self.abort_one(cid, h, tag),
            2 => (AbortReason::AbortTaskSet, None),
            4 => (AbortReason::ClearTaskSet, Some(Some(lun))),
            5 => (AbortReason::LunReset, Some(Some(lun))),
            6 | 7 => (AbortReason::TargetReset, Some(None)),
            8 => return self.send_management_response(cid, h.itt(), 4), // TASK REASSIGN requires ErrorRecoveryLevel 2
            _ => return self.send_management_response(cid, h.itt(), 5),
        };
        let all = reason == AbortReason::TargetReset;
        let affected = self
            .tasks
            .iter()
            .filter(|(_, t)| all || t.header.lun() == lun)
            .map(|(itt, _)| *itt);
        let affected: Vec<u32> = affected.collect();
        if let Some(lun) = reset {
            self.actions.push(SessionAction::Reset { lun, reason });
        }
        self.end_tasks(cid, h.itt(), &affected, reason);
    }

    fn abort_one(&mut self, cid: ConnectionId, h: &Header, tag: u32) {
        if self.tasks.contains_key(&tag) {
            return self.end_tasks(cid, h.itt(), &[tag], AbortReason::AbortTask);
        }
        // A command that has not arrived counts as received and aborted, by its CmdSN (section 11.5.5).
        let reference = SerialNumber(h.word32());
        let to_come =
            !reference.before(self.window.expected()) && reference.before(SerialNumber(h.cmd_sn()));
        if to_come {
            let arrived = self.window.receive(reference, Queued::Aborted);
            self.deliver(arrived);
        }
        self.send_management_response(cid, h.itt(), if to_come { 0 } else { 1 });
    }

    /// Aborts the affected tasks, and responds at once if none is running at the device.
    fn end_tasks(&mut self, cid: ConnectionId, itt: u32, affected: &[u32], reason: AbortReason) {
        let mut running = Vec::new();
        for tag in affected {
            let t = self.tasks.get_mut(tag).expect("listed by the caller");
            match t.state {
                State::Collecting(_) => drop(self.remove(*tag)),
                State::Running => {
                    t.state = State::Aborting;
                    running.push(t.id);
                }
                State::Aborting => running.push(t.id),
            }
        }
        if running.is_empty() {
            return self.send_management_response(cid, itt, 0);
        }
        self.actions.push(SessionAction::Abort {
            tasks: running.clone(),
            reason,
        });
        self.pending_management.push(PendingManagement {
            cid,
            itt,
            tasks: running.into_iter().collect(),
        });
    }

    fn logout(&mut self, cid: ConnectionId, h: &Header) {
        let named = ConnectionId(h.cid());
        let (closing, response) = match h.flags() & 0x7f {
            0 => (self.connections.keys().copied().collect(), 0),
            1 if self.connections.contains_key(&named) => (vec![named], 0),
            1 => (Vec::new(), 1),
            _ => (Vec::new(), 2), // REMOVE FOR RECOVERY requires ErrorRecoveryLevel 2
        };
        let wait_and_retain = self
            .connections
            .get(&cid)
            .map_or((0, 0), |c| (c.params.time2wait, c.params.time2retain));
        let times = (wait_and_retain.0 << 16) | (wait_and_retain.1 & 0xffff);
        let header = Header::new(Opcode::LogoutResponse)
            .set_flags(0x80)
            .set_byte(2, response)
            .set_itt(h.itt())
            .set_word40(times);
        self.respond(cid, Pdu::new(header, Bytes::new()));
        closing.into_iter().for_each(|c| self.close(c));
    }

    /// Resends the PDUs that a SNACK requests.
    fn snack(&mut self, cid: ConnectionId, h: &Header) {
        let Some(c) = self.connections.get(&cid) else {
            return;
        };
        if c.params.recovery_level == 0 {
            return self.reject(cid, RejectReason::Snack, h);
        }
        let (from, run_length) = (h.word40(), h.word44());
        let inside = |sn: u32| {
            !SerialNumber(sn).before(SerialNumber(from))
                && (run_length == 0 || SerialNumber(sn).before(SerialNumber(from).plus(run_length)))
        };
        let resent: Vec<Pdu> = match h.flags() & 0x0f {
            0 => {
                let read = c.sent_data_in.iter().find(|(itt, ..)| *itt == h.itt());
                let data_in_pdus = read.map(|(_, _, p)| p.as_slice()).unwrap_or_default();
                data_in_pdus
                    .iter()
                    .filter(|p| inside(p.header.word36()))
                    .cloned()
                    .collect()
            }
            1 => c
                .unacknowledged
                .iter()
                .filter(|(sn, _)| inside(*sn))
                .map(|(_, p)| p.clone())
                .collect(),
            2 => return, // DataACK: data is retained until its status is acknowledged
            _ => return self.reject(cid, RejectReason::Snack, h),
        };
        if resent.is_empty() && h.flags() & 0x0f == 0 {
            return self.reject(cid, RejectReason::Snack, h);
        }
        let (exp_cmd_sn, max_cmd_sn) = self.cmd_sn_bounds();
        for pdu in resent {
            let header = pdu
                .header
                .set_exp_stat_sn(exp_cmd_sn)
                .set_word32(max_cmd_sn);
            self.actions.push(SessionAction::Send {
                cid,
                pdu: Pdu { header, ..pdu },
            });
        }
    }

    fn reject(&mut self, cid: ConnectionId, reason: RejectReason, h: &Header) {
        let header = Header::new(Opcode::Reject)
            .set_flags(0x80)
            .set_byte(2, reason as u8)
            .set_itt(NO_TAG)
            .set_ttt(NO_TAG);
        self.respond(cid, Pdu::new(header, h.0.to_vec()));
    }

    /// Sends a PDU that carries status.
    fn respond(&mut self, cid: ConnectionId, pdu: Pdu) {
        self.send(cid, pdu, true);
    }

    /// Numbers and sends a PDU. A PDU with status is retained until it is acknowledged.
    fn send(&mut self, cid: ConnectionId, pdu: Pdu, status: bool) -> Pdu {
        if status {
            self.update_window();
        }
        let (exp_cmd_sn, max_cmd_sn) = self.cmd_sn_bounds();
        let Some(c) = self.connections.get_mut(&cid) else {
            return pdu;
        };
        let mut header = pdu
            .header
            .set_exp_stat_sn(exp_cmd_sn)
            .set_word32(max_cmd_sn);
        // R2T and unsolicited NOP-In carry the next StatSN without advancing it.
        if status || matches!(header.opcode(), Some(Opcode::R2t | Opcode::NopIn)) {
            header = header.set_cmd_sn(c.stat_sn);
        }
        let pdu = Pdu { header, ..pdu };
        if status {
            c.unacknowledged.push_back((c.stat_sn, pdu.clone()));
            c.stat_sn = c.stat_sn.wrapping_add(1);
            while c.unacknowledged.len() > self.limits.max_unacknowledged {
                c.unacknowledged.pop_front();
            }
        }
        self.actions.push(SessionAction::Send {
            cid,
            pdu: pdu.clone(),
        });
        pdu
    }

    /// Closes a connection from this side.
    fn close(&mut self, cid: ConnectionId) {
        self.actions.push(SessionAction::Close { cid });
        self.drop_connection(cid);
    }

    /// Handles the loss of a connection. Its tasks end with it, as ErrorRecoveryLevel is below 2.
    pub fn connection_lost(&mut self, cid: ConnectionId) -> Vec<SessionAction> {
        self.drop_connection(cid);
        std::mem::take(&mut self.actions)
    }

    fn drop_connection(&mut self, cid: ConnectionId) {
        if self.connections.remove(&cid).is_none() {
            return;
        }
        self.pending_management.retain(|w| w.cid != cid);
        let own: Vec<u32> = self
            .tasks
            .iter()
            .filter(|(_, t)| t.cid == cid)
            .map(|(itt, _)| *itt)
            .collect();
        let mut running = Vec::new();
        for itt in own {
            let t = self.tasks.get_mut(&itt).expect("listed above");
            match t.state {
                State::Collecting(_) => drop(self.remove(itt)),
                _ => {
                    t.state = State::Aborting;
                    running.push(t.id);
                }
            }
        }
        if !running.is_empty() {
            self.actions.push(SessionAction::Abort {
                tasks: running,
                reason: AbortReason::ConnectionLost,
            });
        }
    }
}
