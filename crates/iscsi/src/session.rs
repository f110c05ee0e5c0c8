//! The full feature phase of one session, target side (RFC 7143, sections 4.2, 7 and 11).
//!
//! Called with each PDU of each of its connections and with what became of its tasks; answers
//! [`SessionAction`]s. It keeps commands in CmdSN order over all connections, gathers the data of writes
//! (immediate, unsolicited, solicited), splits that of reads, numbers and keeps responses until
//! they are acknowledged, and carries out task management. What a command means is the device's, to
//! which [`SessionAction::Start`] hands it whole.
//!
//! Memory: commands wait within the window; a write's data is kept up to [`Limits::max_data`]; a
//! response and a read's data are kept until ExpStatSN acknowledges them.

use crate::keys::{parse, Params};
use crate::pdu::{Header, Opcode, Pdu, PduError, NO_TAG};
use crate::scsi::{retry_delay, Sense, Status};
use crate::window::{Arrival, SerialNumber, Window};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A task, by this session; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// A connection, by its CID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u16);

#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes that one command may write or read.
    pub max_data: u32,
    /// Unacknowledged responses kept for one connection; beyond, the oldest are forgotten.
    pub max_unacknowledged: usize,
}

/// Why tasks end without a response of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbortReason {
    AbortTask,
    AbortTaskSet,
    ClearTaskSet,
    LunReset,
    TargetReset,
    ConnectionLost,
}

#[derive(Debug, Clone, PartialEq)]
pub enum SessionAction {
    Send {
        cid: ConnectionId,
        pdu: Pdu,
    },
    /// A command with all its data. It is answered by [`Session::complete`], once.
    Start {
        task: TaskId,
        lun: u64,
        cdb: [u8; 16],
        data: Bytes,
        max_in: u32,
    },
    /// The device confirms by [`Session::complete`] or [`Session::abort_complete`]; until then the request waits.
    Abort {
        tasks: Vec<TaskId>,
        reason: AbortReason,
    },
    /// Tasks of other sessions at these units are to end too (None: at all units).
    Reset {
        lun: Option<u64>,
        reason: AbortReason,
    },
    Close {
        cid: ConnectionId,
    },
}

/// What a device answers.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    pub status: Status,
    pub sense: Option<Sense>,
    pub data: Bytes,
    /// The status qualifier, for initiators that take it (RFC 7144, 6.2).
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

    /// Not now; come back after that time.
    pub fn busy(wait: Option<Duration>) -> Self {
        Outcome {
            qualifier: wait.map_or(0, retry_delay),
            ..Outcome::status(Status::Busy)
        }
    }
}

/// Reasons of a Reject (section 11.17.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Reason {
    DataDigest = 0x02,
    Snack = 0x03,
    Protocol = 0x04,
    NotSupported = 0x05,
    TaskInProgress = 0x07,
    InvalidField = 0x09,
}

/// A sequence of Data-Out that we wait for.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Burst {
    ttt: u32,
    /// The next byte expected, and the first beyond.
    next: u32,
    end: u32,
    data_sn: u32,
}

#[derive(Debug)]
struct Collecting {
    data: BytesMut,
    /// All of it, where one PDU brought it: it need not be copied.
    whole: Option<Bytes>,
    /// The first byte that nobody has been asked for.
    asked: u32,
    bursts: Vec<Burst>,
    /// Ranges whose data was damaged on its way.
    damaged: Vec<(u32, u32)>,
    failed: Option<Sense>,
}

#[derive(Debug)]
enum State {
    /// Waits for its turn, or for data.
    Collecting(Collecting),
    Running,
    /// Being aborted: no response is due.
    Ending,
}

#[derive(Debug)]
struct Task {
    no: TaskId,
    cid: ConnectionId,
    header: Header,
    /// It has had its turn in CmdSN order.
    ordered: bool,
    r2t_sn: u32,
    state: State,
}

impl Task {
    fn length(&self) -> u32 {
        self.header.ttt()
    }

    fn writes(&self) -> bool {
        self.header.flags() & 0x20 != 0
    }

    fn reads(&self) -> bool {
        self.header.flags() & 0x40 != 0
    }
}

#[derive(Debug)]
struct Conn {
    params: Params,
    stat_sn: u32,
    /// Responses that are not acknowledged, by StatSN.
    kept: VecDeque<(u32, Pdu)>,
    /// Data-In of reads whose status is not acknowledged: by task tag and StatSN.
    sent: Vec<(u32, u32, Vec<Pdu>)>,
}

/// A task management request that waits for tasks to end.
#[derive(Debug)]
struct Waiting {
    cid: ConnectionId,
    itt: u32,
    tasks: BTreeSet<TaskId>,
}

/// What waits in the command window.
#[derive(Debug)]
enum Queued {
    /// By its tag, and the task that had it: the tag may have passed on to another meanwhile.
    Command(u32, TaskId),
    Other(ConnectionId, Pdu),
    /// A command that was aborted before it came.
    Skipped,
}

#[derive(Debug)]
pub struct Session {
    /// None: discovery.
    target: Option<String>,
    /// Targets with their addresses, for SendTargets.
    listing: Vec<(String, Vec<String>)>,
    limits: Limits,
    window: Window<Queued>,
    /// Tasks that may be open; the window is what is left of it.
    allowance: u32,
    conns: BTreeMap<ConnectionId, Conn>,
    tasks: BTreeMap<u32, Task>,
    /// The tag of each task: an answer must not look through all that are out.
    tags: BTreeMap<TaskId, u32>,
    waiting: Vec<Waiting>,
    next_task: u64,
    next_ttt: u32,
    acts: Vec<SessionAction>,
}

impl Session {
    /// `cmd_sn` is that of the leading login; `size` tasks may be open at first.
    pub fn new(
        target: Option<String>,
        listing: Vec<(String, Vec<String>)>,
        limits: Limits,
        cmd_sn: u32,
        size: u32,
    ) -> Self {
        Session {
            target,
            listing,
            limits,
            window: Window::new(SerialNumber(cmd_sn), size),
            allowance: size,
            conns: BTreeMap::new(),
            tasks: BTreeMap::new(),
            tags: BTreeMap::new(),
            waiting: Vec::new(),
            next_task: 0,
            next_ttt: 0,
            acts: Vec::new(),
        }
    }

    /// A connection has come through its login; `stat_sn` is the next it sends.
    pub fn add_connection(&mut self, cid: ConnectionId, params: Params, stat_sn: u32) {
        let conn = Conn {
            params,
            stat_sn,
            kept: VecDeque::new(),
            sent: Vec::new(),
        };
        self.conns.insert(cid, conn);
    }

    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Tasks that have not ended.
    pub fn tasks(&self) -> usize {
        self.tasks.len()
    }

    pub fn room(&self) -> u32 {
        self.window.capacity()
    }

    /// So many tasks may be open from here on. An initiator that sits before a closed window, with
    /// nothing on its way to it that could tell it otherwise, is told by a NOP-In that asks for no
    /// answer (section 11.19).
    pub fn set_task_limit(&mut self, tasks: u32) -> Vec<SessionAction> {
        self.allowance = tasks;
        let closed = self.window.capacity() == 0;
        self.regrant();
        let tell = closed && self.window.capacity() > 0 && self.tasks.is_empty();
        if let (true, Some(cid)) = (tell, self.conns.keys().next().copied()) {
            let header = Header::new(Opcode::NopIn)
                .set_flags(0x80)
                .set_itt(NO_TAG)
                .set_ttt(NO_TAG);
            self.send(cid, Pdu::new(header, Bytes::new()), false);
        }
        std::mem::take(&mut self.acts)
    }

    /// Every response tells how many more commands may come: what is allowed less what is open.
    /// Commands that wait for an earlier one are inside the window still.
    fn regrant(&mut self) {
        let open = self.tasks.len().saturating_sub(self.window.queued()) as u32;
        self.window.grant(self.allowance.saturating_sub(open));
    }

    /// ExpCmdSN and MaxCmdSN.
    pub fn cmd_sn_bounds(&self) -> (u32, u32) {
        (self.window.expected().0, self.window.max_cmd_sn().0)
    }

    pub fn receive(
        &mut self,
        cid: ConnectionId,
        read: Result<Pdu, PduError>,
    ) -> Vec<SessionAction> {
        if self.conns.contains_key(&cid) {
            match read {
                Ok(pdu) => self.pdu(cid, pdu),
                Err(PduError::DataDigest(header)) => self.damaged(cid, header),
                // After the others nothing more can be read: the connection is lost (section 7.7).
                Err(_) => self.close(cid),
            }
        }
        std::mem::take(&mut self.acts)
    }

    fn pdu(&mut self, cid: ConnectionId, pdu: Pdu) {
        let h = pdu.header;
        let Some(opcode) = h.opcode().filter(|o| o.from_initiator()) else {
            return self.reject(cid, Reason::NotSupported, &h);
        };
        self.acknowledge(cid, h.exp_stat_sn());
        match opcode {
            Opcode::DataOut => self.data_out(cid, pdu),
            Opcode::Snack => self.snack(cid, &h),
            Opcode::LoginRequest => self.reject(cid, Reason::Protocol, &h),
            Opcode::ScsiCommand => self.command(cid, pdu),
            _ if h.immediate() => self.request(cid, pdu),
            _ => {
                let arrived = self
                    .window
                    .receive(SerialNumber(h.cmd_sn()), Queued::Other(cid, pdu));
                self.deliver(arrived);
            }
        }
    }

    fn acknowledge(&mut self, cid: ConnectionId, exp_stat_sn: u32) {
        let Some(c) = self.conns.get_mut(&cid) else {
            return;
        };
        // One beyond what was sent is a lie; to believe it would drop what may still be asked for.
        if SerialNumber(c.stat_sn).before(SerialNumber(exp_stat_sn)) {
            return;
        }
        c.kept
            .retain(|(sn, _)| !SerialNumber(*sn).before(SerialNumber(exp_stat_sn)));
        c.sent
            .retain(|(_, sn, _)| !SerialNumber(*sn).before(SerialNumber(exp_stat_sn)));
    }

    fn deliver(&mut self, arrived: Arrival<Queued>) {
        let Arrival::Deliver(ready) = arrived else {
            return;
        };
        for queued in ready {
            match queued {
                Queued::Command(itt, no) => {
                    if let Some(t) = self.tasks.get_mut(&itt).filter(|t| t.no == no) {
                        t.ordered = true;
                        self.advance(itt);
                    }
                }
                Queued::Other(cid, pdu) => self.request(cid, pdu),
                Queued::Skipped => {}
            }
        }
    }

    fn request(&mut self, cid: ConnectionId, pdu: Pdu) {
        let h = pdu.header;
        match h.opcode() {
            Some(Opcode::NopOut) => {
                if h.itt() != NO_TAG {
                    let most = self
                        .conns
                        .get(&cid)
                        .map_or(0, |c| c.params.their_segment as usize);
                    let echo = pdu.data.slice(..pdu.data.len().min(most));
                    let header = Header::new(Opcode::NopIn)
                        .set_flags(0x80)
                        .set_lun(h.lun())
                        .set_itt(h.itt());
                    self.respond(cid, Pdu::new(header.set_ttt(NO_TAG), echo));
                }
            }
            Some(Opcode::TextRequest) => self.text(cid, &pdu),
            Some(Opcode::TaskManagement) => self.manage(cid, &h),
            Some(Opcode::LogoutRequest) => self.logout(cid, &h),
            _ => self.reject(cid, Reason::Protocol, &h),
        }
    }

    // Commands and their data

    fn command(&mut self, cid: ConnectionId, pdu: Pdu) {
        let h = pdu.header;
        if self.target.is_none() {
            return self.reject(cid, Reason::Protocol, &h);
        }
        let sn = SerialNumber(h.cmd_sn());
        // A repeat of a command that came already is the same command (section 7.2.1), and says
        // nothing new.
        if !h.immediate()
            && (sn.before(self.window.expected()) || self.window.max_cmd_sn().before(sn))
        {
            return;
        }
        if self.tasks.contains_key(&h.itt()) {
            if h.immediate() || self.tasks[&h.itt()].header != h {
                self.reject(cid, Reason::TaskInProgress, &h);
            }
            return;
        }
        self.next_task += 1;
        let collecting = Collecting {
            data: BytesMut::new(),
            whole: None,
            asked: 0,
            bursts: Vec::new(),
            damaged: Vec::new(),
            failed: None,
        };
        let state = State::Collecting(collecting);
        let (no, ordered) = (TaskId(self.next_task), h.immediate());
        self.tasks.insert(
            h.itt(),
            Task {
                no,
                cid,
                header: h,
                ordered,
                r2t_sn: 0,
                state,
            },
        );
        self.tags.insert(no, h.itt());
        self.unsolicited(h.itt(), &pdu.data);
        match h.immediate() {
            true => self.advance(h.itt()),
            false => {
                let arrived = self.window.receive(sn, Queued::Command(h.itt(), no));
                self.deliver(arrived);
            }
        }
    }

    /// Immediate data, and whether Data-Out follows without being asked for.
    fn unsolicited(&mut self, itt: u32, immediate: &Bytes) {
        let most = self.limits.max_data;
        let Some(t) = self.tasks.get_mut(&itt) else {
            return;
        };
        let Some(params) = self.conns.get(&t.cid).map(|c| &c.params) else {
            return;
        };
        let (length, writes, is_final) = (t.length(), t.writes(), t.header.is_final());
        let State::Collecting(c) = &mut t.state else {
            return;
        };
        let first = params.first_burst.min(length);
        let came = immediate.len() as u32;
        // More than was agreed on, or data of a command that writes nothing, ends the command
        // (section 11.3.4).
        let wrong = (came > 0 && (!params.immediate_data || !writes || came > first))
            || (!is_final && (params.initial_r2t || !writes));
        if wrong {
            c.failed = Some(Sense::UNEXPECTED_UNSOLICITED_DATA);
        } else if writes && length > most {
            c.failed = Some(Sense::INVALID_FIELD_IN_CDB);
        } else if came == length {
            c.whole = Some(immediate.clone());
        } else if writes {
            c.data.reserve(length as usize);
            c.data.extend_from_slice(immediate);
        }
        c.asked = came;
        if c.failed.is_none() && !is_final {
            c.bursts.push(Burst {
                ttt: NO_TAG,
                next: came,
                end: first,
                data_sn: 0,
            });
            c.asked = first;
        }
    }

    /// Asks for more data, or starts the command that has all.
    fn advance(&mut self, itt: u32) {
        let Some(t) = self.tasks.get_mut(&itt).filter(|t| t.ordered) else {
            return;
        };
        let (cid, length, writes, lun) = (t.cid, t.length(), t.writes(), t.header.lun());
        let State::Collecting(c) = &mut t.state else {
            return;
        };
        if let Some(sense) = c.failed {
            // What it still sends finds no task, and is dropped.
            return self.finish(itt, Outcome::check(sense));
        }
        let Some(params) = self.conns.get(&cid).map(|c| c.params.clone()) else {
            return;
        };
        if !writes || (c.asked >= length && c.bursts.is_empty() && c.damaged.is_empty()) {
            let data = c
                .whole
                .take()
                .unwrap_or_else(|| std::mem::take(&mut c.data).freeze());
            let max_in = if t.reads() { length } else { 0 };
            t.state = State::Running;
            let (task, cdb) = (t.no, t.header.cdb());
            return self.acts.push(SessionAction::Start {
                task,
                lun,
                cdb,
                data,
                max_in,
            });
        }
        // While data comes unasked for, nothing is asked for.
        let mut asks = Vec::new();
        while c.bursts.len() < params.max_outstanding_r2t as usize
            && c.bursts.iter().all(|b| b.ttt != NO_TAG)
        {
            let (from, end) = match c.damaged.pop() {
                Some(range) => range,
                None if c.asked < length => {
                    let from = c.asked;
                    c.asked = from.saturating_add(params.max_burst).min(length);
                    (from, c.asked)
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
            asks.push((self.next_ttt, t.r2t_sn, from, end - from));
            t.r2t_sn += 1;
        }
        for (ttt, r2t_sn, offset, wanted) in asks {
            let header = Header::new(Opcode::R2t)
                .set_flags(0x80)
                .set_lun(lun)
                .set_itt(itt)
                .set_ttt(ttt)
                .set_word36(r2t_sn)
                .set_word40(offset)
                .set_word44(wanted);
            self.send(cid, Pdu::new(header, Bytes::new()), false);
        }
    }

    fn data_out(&mut self, cid: ConnectionId, pdu: Pdu) {
        let h = pdu.header;
        let (itt, ttt, offset) = (h.itt(), h.ttt(), h.word40());
        // Data of a task that is over, or was never heard of, is dropped (section 11.7).
        let Some(t) = self.tasks.get_mut(&itt) else {
            return;
        };
        let State::Collecting(c) = &mut t.state else {
            return;
        };
        let Some(at) = c.bursts.iter().position(|b| b.ttt == ttt) else {
            return self.lie(cid, itt, &h);
        };
        let b = &mut c.bursts[at];
        let end = u64::from(offset) + pdu.data.len() as u64;
        // In order, inside its burst, and numbered without a gap.
        if offset != b.next || end > u64::from(b.end) || h.word36() != b.data_sn {
            return self.lie(cid, itt, &h);
        }
        let end = end as u32;
        if offset == 0 && end == t.header.ttt() {
            c.whole = Some(pdu.data.clone());
        } else if c.data.len() == offset as usize {
            c.data.extend_from_slice(&pdu.data);
        } else {
            c.data.resize(c.data.len().max(end as usize), 0);
            c.data[offset as usize..end as usize].copy_from_slice(&pdu.data);
        }
        (b.next, b.data_sn) = (end, b.data_sn + 1);
        if h.is_final() {
            let (short, unasked) = (b.next < b.end, b.ttt == NO_TAG);
            if short && unasked {
                c.asked = b.next; // the initiator may send less unasked; the rest is asked for
            } else if short {
                c.failed = Some(Sense::NOT_ENOUGH_UNSOLICITED_DATA);
            }
            c.bursts.remove(at);
        }
        self.advance(itt);
    }

    /// A sender that breaks the sequence it was told is told so, and its command ends.
    fn lie(&mut self, cid: ConnectionId, itt: u32, h: &Header) {
        self.reject(cid, Reason::Protocol, h);
        if let Some(State::Collecting(c)) = self.tasks.get_mut(&itt).map(|t| &mut t.state) {
            c.failed = Some(Sense::NOT_ENOUGH_UNSOLICITED_DATA);
            self.advance(itt);
        }
    }

    /// A PDU whose data was damaged (section 7.8). Of Data-Out, the lost range is asked for again
    /// where recovery within a command was agreed on; else its command ends. All else the initiator
    /// sends again.
    fn damaged(&mut self, cid: ConnectionId, h: Header) {
        self.reject(cid, Reason::DataDigest, &h);
        if h.opcode() != Some(Opcode::DataOut) {
            return;
        }
        let level = self.conns.get(&cid).map_or(0, |c| c.params.recovery_level);
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
            c.damaged.push((b.next, end as u32));
            (b.next, b.data_sn) = (end as u32, b.data_sn + 1);
            if h.is_final() {
                c.asked = c.asked.max(b.next);
                c.bursts.remove(at);
            }
        }
        self.advance(h.itt());
    }

    /// A device's answer. One to a task that is being aborted, or is unknown, says only that it has
    /// ended.
    pub fn complete(&mut self, task: TaskId, outcome: Outcome) -> Vec<SessionAction> {
        if let Some(itt) = self.tags.get(&task).copied() {
            match self.tasks.get(&itt).map(|t| &t.state) {
                Some(State::Running) => self.finish(itt, outcome),
                _ => drop(self.remove(itt)),
            }
        }
        self.ended(task);
        std::mem::take(&mut self.acts)
    }

    /// A task was ended at the device, with no answer.
    pub fn abort_complete(&mut self, task: TaskId) -> Vec<SessionAction> {
        if let Some(itt) = self.tags.get(&task).copied() {
            self.remove(itt);
        }
        self.ended(task);
        std::mem::take(&mut self.acts)
    }

    fn remove(&mut self, itt: u32) -> Option<Task> {
        let t = self.tasks.remove(&itt)?;
        self.tags.remove(&t.no);
        Some(t)
    }

    fn ended(&mut self, task: TaskId) {
        if self.waiting.is_empty() {
            return;
        }
        for w in &mut self.waiting {
            w.tasks.remove(&task);
        }
        let (over, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| w.tasks.is_empty());
        self.waiting = waiting;
        let over: Vec<Waiting> = over;
        over.into_iter().for_each(|w| self.managed(w.cid, w.itt, 0));
    }

    /// Sends a task's data and status.
    fn finish(&mut self, itt: u32, outcome: Outcome) {
        let Some(t) = self.remove(itt) else { return };
        let Some(conn) = self.conns.get(&t.cid) else {
            return;
        };
        let (params, length) = (conn.params.clone(), t.length());
        let good = outcome.status == Status::Good;
        let wanted = if t.reads() { length } else { 0 };
        let sent = outcome
            .data
            .slice(..outcome.data.len().min(wanted as usize));
        // What was expected and what there was (section 11.4.5): of reads the data, of writes all
        // of it.
        let moved = if t.reads() || !good {
            outcome.data.len() as u64
        } else {
            u64::from(length)
        };
        let (flag, residual) = match u64::from(length) {
            expected if moved < expected && t.reads() => (0x02, expected - moved),
            expected if moved > expected && t.reads() => (0x04, moved - expected),
            _ => (0, 0),
        };
        let mut pieces = Vec::new();
        let mut at = 0;
        while at < sent.len() {
            let burst_end = (at / params.max_burst as usize + 1) * params.max_burst as usize;
            let end = sent
                .len()
                .min(at + params.their_segment as usize)
                .min(burst_end);
            let last = end == sent.len();
            let flags = if last || end == burst_end { 0x80 } else { 0 };
            let header = Header::new(Opcode::DataIn)
                .set_flags(flags)
                .set_lun(t.header.lun())
                .set_itt(itt)
                .set_ttt(NO_TAG)
                .set_word36(pieces.len() as u32)
                .set_word40(at as u32);
            pieces.push(Pdu::new(header, sent.slice(at..end)));
            at = end;
        }
        let count = pieces.len() as u32;
        // A good status rides on the last data.
        if let (true, Some(last)) = (good, pieces.last_mut()) {
            let h = last.header;
            last.header = h
                .set_flags(h.flags() | 0x01 | flag)
                .set_word44(residual as u32);
        }
        let with_status = good && !pieces.is_empty();
        let stat_sn = conn.stat_sn;
        let mut kept = Vec::new();
        for (i, piece) in pieces.into_iter().enumerate() {
            let carries = with_status && i as u32 + 1 == count;
            kept.push(self.send(t.cid, piece, carries));
        }
        if let Some(c) = self.conns.get_mut(&t.cid).filter(|_| !kept.is_empty()) {
            c.sent.push((itt, stat_sn, kept));
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

    // Everything else

    fn text(&mut self, cid: ConnectionId, pdu: &Pdu) {
        let h = pdu.header;
        let Ok(pairs) = parse(&pdu.data) else {
            return self.reject(cid, Reason::Protocol, &h);
        };
        // Continued requests are not needed by anything that is answered here.
        if h.flags() & 0x40 != 0 || h.ttt() != NO_TAG {
            return self.reject(cid, Reason::Protocol, &h);
        }
        let mut answers = Vec::new();
        for (key, value) in pairs {
            if key != "SendTargets" {
                answers.push((key, "NotUnderstood".to_string()));
                continue;
            }
            let own = self.target.clone();
            let told = self
                .listing
                .iter()
                .filter(|(name, _)| match (value.as_str(), &own) {
                    ("All", None) => true,
                    ("", Some(own)) => name == own,
                    (asked, None) => name == asked,
                    (asked, Some(own)) => name == own && asked == own,
                });
            for (name, addresses) in told {
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

    fn managed(&mut self, cid: ConnectionId, itt: u32, response: u8) {
        let header = Header::new(Opcode::TaskManagementResponse)
            .set_flags(0x80)
            .set_byte(2, response)
            .set_itt(itt);
        self.respond(cid, Pdu::new(header, Bytes::new()));
    }

    /// Task management (sections 11.5 and 11.6). The response waits until the tasks have ended at
    /// the device: an initiator that has it may rely on nothing of them being done any more.
    fn manage(&mut self, cid: ConnectionId, h: &Header) {
        let (lun, tag) = (h.lun(), h.ttt());
        let (reason, reset) = match h.flags() & 0x7f {
            1 => return self.abort_one(cid, h, tag),
            2 => (AbortReason::AbortTaskSet, None),
            4 => (AbortReason::ClearTaskSet, Some(Some(lun))),
            5 => (AbortReason::LunReset, Some(Some(lun))),
            6 | 7 => (AbortReason::TargetReset, Some(None)),
            8 => return self.managed(cid, h.itt(), 4), // reassignment: recovery level 2
            _ => return self.managed(cid, h.itt(), 5),
        };
        let all = reason == AbortReason::TargetReset;
        let hit = self
            .tasks
            .iter()
            .filter(|(_, t)| all || t.header.lun() == lun)
            .map(|(itt, _)| *itt);
        let hit: Vec<u32> = hit.collect();
        if let Some(lun) = reset {
            self.acts.push(SessionAction::Reset { lun, reason });
        }
        self.end_tasks(cid, h.itt(), &hit, reason);
    }

    fn abort_one(&mut self, cid: ConnectionId, h: &Header, tag: u32) {
        if self.tasks.contains_key(&tag) {
            return self.end_tasks(cid, h.itt(), &[tag], AbortReason::AbortTask);
        }
        // One that is yet to come, by its number: it is taken as come and ended (section 11.5.5).
        let reference = SerialNumber(h.word32());
        let to_come =
            !reference.before(self.window.expected()) && reference.before(SerialNumber(h.cmd_sn()));
        if to_come {
            let arrived = self.window.receive(reference, Queued::Skipped);
            self.deliver(arrived);
        }
        self.managed(cid, h.itt(), if to_come { 0 } else { 1 });
    }

    fn end_tasks(&mut self, cid: ConnectionId, itt: u32, hit: &[u32], reason: AbortReason) {
        let mut running = Vec::new();
        for tag in hit {
            let t = self.tasks.get_mut(tag).expect("listed by the caller");
            match t.state {
                State::Collecting(_) => drop(self.remove(*tag)),
                State::Running => {
                    t.state = State::Ending;
                    running.push(t.no);
                }
                State::Ending => running.push(t.no),
            }
        }
        if running.is_empty() {
            return self.managed(cid, itt, 0);
        }
        self.acts.push(SessionAction::Abort {
            tasks: running.clone(),
            reason,
        });
        self.waiting.push(Waiting {
            cid,
            itt,
            tasks: running.into_iter().collect(),
        });
    }

    fn logout(&mut self, cid: ConnectionId, h: &Header) {
        let named = ConnectionId(h.cid());
        let (closes, response) = match h.flags() & 0x7f {
            0 => (self.conns.keys().copied().collect(), 0),
            1 if self.conns.contains_key(&named) => (vec![named], 0),
            1 => (Vec::new(), 1),
            _ => (Vec::new(), 2), // recovery level 2
        };
        let retain = self
            .conns
            .get(&cid)
            .map_or((0, 0), |c| (c.params.time2wait, c.params.time2retain));
        let times = (retain.0 << 16) | (retain.1 & 0xffff);
        let header = Header::new(Opcode::LogoutResponse)
            .set_flags(0x80)
            .set_byte(2, response)
            .set_itt(h.itt())
            .set_word40(times);
        self.respond(cid, Pdu::new(header, Bytes::new()));
        closes.into_iter().for_each(|c| self.close(c));
    }

    fn snack(&mut self, cid: ConnectionId, h: &Header) {
        let Some(c) = self.conns.get(&cid) else {
            return;
        };
        if c.params.recovery_level == 0 {
            return self.reject(cid, Reason::Snack, h);
        }
        let (from, run) = (h.word40(), h.word44());
        let inside = |sn: u32| {
            !SerialNumber(sn).before(SerialNumber(from))
                && (run == 0 || SerialNumber(sn).before(SerialNumber(from).plus(run)))
        };
        let again: Vec<Pdu> = match h.flags() & 0x0f {
            0 => {
                let of = c.sent.iter().find(|(itt, ..)| *itt == h.itt());
                let pieces = of.map(|(_, _, p)| p.as_slice()).unwrap_or_default();
                pieces
                    .iter()
                    .filter(|p| inside(p.header.word36()))
                    .cloned()
                    .collect()
            }
            1 => c
                .kept
                .iter()
                .filter(|(sn, _)| inside(*sn))
                .map(|(_, p)| p.clone())
                .collect(),
            2 => return, // DataACK: nothing is freed before the status is acknowledged
            _ => return self.reject(cid, Reason::Snack, h),
        };
        if again.is_empty() && h.flags() & 0x0f == 0 {
            return self.reject(cid, Reason::Snack, h);
        }
        let (expected, most) = self.cmd_sn_bounds();
        for pdu in again {
            let header = pdu.header.set_exp_stat_sn(expected).set_word32(most);
            self.acts.push(SessionAction::Send {
                cid,
                pdu: Pdu { header, ..pdu },
            });
        }
    }

    fn reject(&mut self, cid: ConnectionId, reason: Reason, h: &Header) {
        let header = Header::new(Opcode::Reject)
            .set_flags(0x80)
            .set_byte(2, reason as u8)
            .set_itt(NO_TAG)
            .set_ttt(NO_TAG);
        self.respond(cid, Pdu::new(header, h.0.to_vec()));
    }

    fn respond(&mut self, cid: ConnectionId, pdu: Pdu) {
        self.send(cid, pdu, true);
    }

    /// Numbers a PDU and sends it; one that carries status is kept until it is acknowledged.
    fn send(&mut self, cid: ConnectionId, pdu: Pdu, status: bool) -> Pdu {
        if status {
            self.regrant();
        }
        let (expected, most) = self.cmd_sn_bounds();
        let Some(c) = self.conns.get_mut(&cid) else {
            return pdu;
        };
        let mut header = pdu.header.set_exp_stat_sn(expected).set_word32(most);
        // R2T and a NOP-In of our own carry the next StatSN without using it up.
        if status || matches!(header.opcode(), Some(Opcode::R2t | Opcode::NopIn)) {
            header = header.set_cmd_sn(c.stat_sn);
        }
        let pdu = Pdu { header, ..pdu };
        if status {
            c.kept.push_back((c.stat_sn, pdu.clone()));
            c.stat_sn = c.stat_sn.wrapping_add(1);
            while c.kept.len() > self.limits.max_unacknowledged {
                c.kept.pop_front();
            }
        }
        self.acts.push(SessionAction::Send {
            cid,
            pdu: pdu.clone(),
        });
        pdu
    }

    fn close(&mut self, cid: ConnectionId) {
        self.acts.push(SessionAction::Close { cid });
        self.drop_connection(cid);
    }

    /// A connection is gone; its tasks end with it (recovery below level 2).
    pub fn connection_lost(&mut self, cid: ConnectionId) -> Vec<SessionAction> {
        self.drop_connection(cid);
        std::mem::take(&mut self.acts)
    }

    fn drop_connection(&mut self, cid: ConnectionId) {
        if self.conns.remove(&cid).is_none() {
            return;
        }
        self.waiting.retain(|w| w.cid != cid);
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
                    t.state = State::Ending;
                    running.push(t.no);
                }
            }
        }
        if !running.is_empty() {
            self.acts.push(SessionAction::Abort {
                tasks: running,
                reason: AbortReason::ConnectionLost,
            });
        }
    }
}
