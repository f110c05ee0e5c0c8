//! The target: connections, logins, sessions and commands, between the sockets and the host.
//!
//! Called as `step(now, inputs) -> outputs`, without input or output of its own. A command on blocks becomes
//! a request for each extent it touches; the host answers each by its number. Three promises:
//!
//! - a command is answered when the last of its requests is, and an aborted one ends then too: the response
//!   to an abort or a reset says that nothing of the command is still under way at the host;
//! - each write carries a version, higher than those of all writes before, and a node keeps the newest: an attempt
//!   that is still queued somewhere, of this start or an earlier one, cannot overwrite what is written after.
//!   Reads of its blocks wait until it can no longer appear;
//! - an extent is first written by one request alone, and GOOD follows only once its place is kept.

use crate::blocks::{Answer, Gather, Layout, Piece, Whole};
use crate::overlaps::{Overlaps, Range};
use crate::pressure::{Ended, Figures, Pressure, SessionNo};
use crate::versions::Versions;
use bytes::{Bytes, BytesMut};
use grebecleat_iscsi::login::{LoggedIn, Login, Portal, Standing, Status as LoginStatus};
use grebecleat_iscsi::pdu::{Digests, Fault, Pdu};
use grebecleat_iscsi::reservations::{Nexus, Refused, Reservations};
use grebecleat_iscsi::scsi::{decode, unmap_ranges, Command, Sense, Status, Unit};
use grebecleat_iscsi::session::{Act, Cid, Limits, Outcome, Session, TaskNo, Why};
use grebecleat_state::extents::Extents;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Connections that have not come through their login; beyond, the oldest is closed.
const MAX_LOGINS: usize = 256;
/// A login must be through in this time.
const LOGIN_TIME: Duration = Duration::from_secs(15);
const LIMITS: Limits = Limits {
    max_data: 1 << 20,
    max_kept: 1024,
};
/// How often a write goes again above a version that it found at its node.
const MAX_TRIES: u32 = 4;
/// Unit attentions kept for one session at one unit (SAM-5 lets a device keep few).
const MAX_ATTENTIONS: usize = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnNo(pub u64);

/// A request that a command asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

#[derive(Debug)]
pub enum Input {
    Up {
        conn: ConnNo,
    },
    Pdu {
        conn: ConnNo,
        read: Result<Pdu, Fault>,
    },
    Gone {
        conn: ConnNo,
    },
    /// The host's final answer, and where the data lies if it is done.
    Final {
        no: RequestNumber,
        answer: Answer,
        shard: Option<u32>,
    },
    /// An extent's place is kept.
    Stored {
        no: RequestNumber,
    },
    /// A ceiling of versions is kept.
    Reserved {
        ceiling: u64,
    },
    /// Nothing can be kept any more.
    StoreGone,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub no: RequestNumber,
    pub volume: u64,
    pub extent: u64,
    /// None: nobody has written it, any node may take it.
    pub shard: Option<u32>,
    pub write: bool,
    pub offset: u32,
    pub length: u32,
    pub data: Bytes,
    /// Of writes.
    pub version: Option<u64>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    Send {
        conn: ConnNo,
        pdu: Pdu,
        digests: Digests,
    },
    /// From here on the connection's reader expects these.
    Reads {
        conn: ConnNo,
        digests: Digests,
        most: usize,
    },
    Close {
        conn: ConnNo,
    },
    Take(Request),
    Store {
        no: RequestNumber,
        volume: u64,
        extent: u64,
        shard: u32,
    },
    Reserve {
        ceiling: u64,
    },
    Note {
        text: String,
    },
}

/// A volume as a logical unit.
#[derive(Debug, Clone)]
pub struct VolumeFacts {
    pub volume: u64,
    pub unit: Unit,
    pub extent_blocks: u32,
    /// Places of extents, as they were kept.
    pub placed: Extents,
}

#[derive(Debug, Clone)]
pub struct TargetFacts {
    pub name: String,
    /// LUN 0, 1, ...: places among the volumes.
    pub luns: Vec<usize>,
}

#[derive(Debug)]
struct Volume {
    facts: VolumeFacts,
    layout: Layout,
    overlaps: Overlaps,
    pressure: Pressure,
    reservations: Reservations,
    /// Extents being written for the first time, and what waits for their place.
    placing: BTreeMap<u64, VecDeque<RequestNumber>>,
}

enum Phase {
    Login(Box<Login>),
    Full { session: u64, cid: Cid },
}

struct Conn {
    phase: Phase,
    since: Duration,
    stat_sn: u32,
    digests: Digests,
}

struct SessionState {
    session: Session,
    who: LoggedIn,
    tsih: u16,
    target: Option<usize>,
    conns: BTreeMap<Cid, ConnNo>,
    attentions: BTreeMap<usize, VecDeque<Sense>>,
    /// Commands that each unit allows it to have open.
    allowed: BTreeMap<usize, u32>,
}

/// What a command does with its blocks.
#[derive(Debug, Clone)]
enum Deed {
    Read,
    Write(Bytes),
    /// Reads, and compares if there is something to compare with.
    Verify(Option<Bytes>),
    /// Reads and compares; then writes.
    Compare {
        with: Bytes,
        then: Bytes,
    },
}

struct Op {
    session: u64,
    task: TaskNo,
    volume: usize,
    deed: Deed,
    lba: u64,
    blocks: u64,
    gather: Option<Gather>,
    /// Aborted: it ends without an answer.
    ended: bool,
}

struct OpenRequest {
    op: u64,
    place: usize,
    request: Request,
    /// It is the first write of its extent.
    places: bool,
    /// Where it was done, while that is being kept.
    shard: Option<u32>,
    /// How often it went above a version that was there.
    tries: u32,
}

pub struct Engine {
    portal: Portal,
    addresses: Vec<String>,
    targets: Vec<TargetFacts>,
    volumes: Vec<Volume>,
    rest: Duration,
    chance: Box<dyn FnMut() -> [u8; 17] + Send>,
    conns: BTreeMap<ConnNo, Conn>,
    /// Connections in their login, by when it began.
    logins: BTreeSet<(Duration, ConnNo)>,
    sessions: BTreeMap<u64, SessionState>,
    ops: BTreeMap<u64, Op>,
    requests: BTreeMap<RequestNumber, OpenRequest>,
    /// Writes that may still have their effect: until when, of which volume, by which op.
    resting: VecDeque<(Duration, usize, u64)>,
    versions: Versions,
    /// Requests that wait for a version.
    unnumbered: Vec<RequestNumber>,
    /// The store takes what is to be kept.
    keeps: bool,
    /// Volumes whose windows may have changed: a step must not look at every volume there is.
    pressed: BTreeSet<usize>,
    now: Duration,
    next: u64,
    next_tsih: u16,
    out: Vec<Output>,
}

fn attention_passes(command: &Command) -> bool {
    matches!(
        command,
        Command::Inquiry { .. } | Command::ReportLuns { .. } | Command::RequestSense { .. }
    )
}

impl Engine {
    /// `chance` gives 17 new bytes of it at each call, for challenges. `rest` is how long a write that was
    /// given up may still have its effect.
    pub fn new(
        portal: Portal,
        addresses: Vec<String>,
        targets: Vec<TargetFacts>,
        volumes: Vec<VolumeFacts>,
        (figures, rest, versions): (Figures, Duration, Versions),
        chance: Box<dyn FnMut() -> [u8; 17] + Send>,
    ) -> Self {
        let volume = |facts: VolumeFacts| Volume {
            layout: Layout {
                block_size: facts.unit.block_size,
                extent_blocks: facts.extent_blocks,
            },
            overlaps: Overlaps::default(),
            pressure: Pressure::new(figures),
            reservations: Reservations::default(),
            placing: BTreeMap::new(),
            facts,
        };
        Engine {
            portal,
            addresses,
            targets,
            volumes: volumes.into_iter().map(volume).collect(),
            rest,
            chance,
            conns: BTreeMap::new(),
            logins: BTreeSet::new(),
            sessions: BTreeMap::new(),
            ops: BTreeMap::new(),
            requests: BTreeMap::new(),
            resting: VecDeque::new(),
            versions,
            unnumbered: Vec::new(),
            keeps: true,
            pressed: BTreeSet::new(),
            now: Duration::ZERO,
            next: 0,
            next_tsih: 0,
            out: Vec::new(),
        }
    }

    /// Commands and requests open now.
    pub fn open(&self) -> (usize, usize) {
        (self.ops.len(), self.requests.len())
    }

    /// When `step` must be called if nothing comes before.
    pub fn wake_at(&self) -> Option<Duration> {
        let login = self.logins.first().map(|l| l.0 + LOGIN_TIME);
        [login, self.resting.front().map(|r| r.0)]
            .into_iter()
            .flatten()
            .min()
    }

    pub fn step(&mut self, now: Duration, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        self.now = now;
        for input in inputs {
            match input {
                Input::Up { conn } => self.up(conn),
                Input::Pdu { conn, read } => self.read(conn, read),
                Input::Gone { conn } => self.gone(conn),
                Input::Final { no, answer, shard } => self.answered(no, answer, shard),
                Input::Stored { no } => self.stored(no),
                Input::Reserved { ceiling } => {
                    self.versions.kept(ceiling);
                    std::mem::take(&mut self.unnumbered)
                        .into_iter()
                        .for_each(|no| self.send(no));
                }
                Input::StoreGone => self.store_gone(),
            }
        }
        while let Some((_, conn)) = self
            .logins
            .first()
            .copied()
            .filter(|l| now >= l.0 + LOGIN_TIME)
        {
            self.refuse(conn, "login takes too long");
        }
        while let Some((_, volume, op)) = self.resting.front().copied().filter(|r| r.0 <= now) {
            self.resting.pop_front();
            let free = self.volumes[volume].overlaps.close(op);
            free.into_iter().for_each(|no| self.launch(no, false));
        }
        if let Some(ceiling) = self.versions.wants().filter(|_| self.keeps) {
            self.out.push(Output::Reserve { ceiling });
        }
        self.press();
        std::mem::take(&mut self.out)
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn note(&mut self, text: String) {
        self.out.push(Output::Note { text });
    }

    // Connections and logins

    fn up(&mut self, conn: ConnNo) {
        if let Some((_, oldest)) = self
            .logins
            .first()
            .copied()
            .filter(|_| self.logins.len() >= MAX_LOGINS)
        {
            self.refuse(oldest, "too many logins at once");
        }
        self.logins.insert((self.now, conn));
        let phase = Phase::Login(Box::new(Login::new(self.portal.clone())));
        self.conns.insert(
            conn,
            Conn {
                phase,
                since: self.now,
                stat_sn: 1,
                digests: Digests::default(),
            },
        );
    }

    fn refuse(&mut self, conn: ConnNo, why: &str) {
        self.note(format!("iscsi connection {}: {why}", conn.0));
        self.out.push(Output::Close { conn });
        self.forget(conn);
    }

    fn forget(&mut self, conn: ConnNo) -> Option<Conn> {
        let c = self.conns.remove(&conn)?;
        self.logins.remove(&(c.since, conn));
        Some(c)
    }

    fn read(&mut self, conn: ConnNo, read: Result<Pdu, Fault>) {
        let Some(c) = self.conns.get_mut(&conn) else {
            return;
        };
        match (&mut c.phase, read) {
            (Phase::Full { session, cid }, read) => {
                let (session, cid) = (*session, *cid);
                if let Err(fault) = &read {
                    self.note(format!("iscsi connection {}: {fault}", conn.0));
                }
                if let Some(s) = self.sessions.get_mut(&session) {
                    let acts = s.session.hear(cid, read);
                    self.acts(session, acts);
                }
            }
            (Phase::Login(_), Err(fault)) => self.refuse(conn, &fault.to_string()),
            (Phase::Login(login), Ok(pdu)) => {
                let opcode = pdu.header.opcode();
                if opcode != Some(grebecleat_iscsi::pdu::Opcode::LoginRequest) {
                    return self.refuse(conn, "no login");
                }
                let sn = pdu.header.cmd_sn();
                let sns = (c.stat_sn, sn, sn.wrapping_add(31));
                c.stat_sn += 1;
                let (answer, standing) = login.request(&pdu, (self.chance)(), sns);
                self.logged(conn, answer, standing, sn);
            }
        }
    }

    fn logged(&mut self, conn: ConnNo, mut answer: Pdu, standing: Standing, cmd_sn: u32) {
        let plain = Digests::default();
        match standing {
            Standing::Goes => self.out.push(Output::Send {
                conn,
                pdu: answer,
                digests: plain,
            }),
            Standing::Failed(status, why) => {
                self.out.push(Output::Send {
                    conn,
                    pdu: answer,
                    digests: plain,
                });
                self.refuse(conn, &format!("login refused ({status:?}): {why}"));
            }
            Standing::Done(who) => match self.admit(conn, *who, cmd_sn) {
                Ok(tsih) => {
                    answer.header = answer.header.set_tsih(tsih);
                    let c = &self.conns[&conn];
                    let (digests, most) = (c.digests, self.portal.wishes.our_segment as usize);
                    self.out.push(Output::Reads {
                        conn,
                        digests,
                        most,
                    });
                    self.out.push(Output::Send {
                        conn,
                        pdu: answer,
                        digests: plain,
                    });
                }
                Err(status) => {
                    let code = status as u16;
                    answer.header = answer
                        .header
                        .set_byte(36, (code >> 8) as u8)
                        .set_byte(37, code as u8);
                    self.out.push(Output::Send {
                        conn,
                        pdu: answer,
                        digests: plain,
                    });
                    self.refuse(conn, &format!("login refused ({status:?})"));
                }
            },
        }
    }

    /// A new session, one more connection of one, or a session in place of the old one (section 6.3.5).
    fn admit(&mut self, conn: ConnNo, who: LoggedIn, cmd_sn: u32) -> Result<u16, LoginStatus> {
        let target = who
            .target
            .as_ref()
            .and_then(|t| self.targets.iter().position(|x| x.name == *t));
        let same = |s: &&SessionState| {
            s.who.initiator == who.initiator && s.who.isid == who.isid && s.who.target == who.target
        };
        let old = self
            .sessions
            .iter()
            .find(|(_, s)| same(s))
            .map(|(no, s)| (*no, s.tsih));
        let digests = Digests {
            header: who.params.header_digest,
            data: who.params.data_digest,
        };
        let cid = Cid(who.cid);
        let session = match (who.tsih, old) {
            (0, old) => {
                if let Some((old, _)) = old {
                    self.note(format!("session of {} reinstated", who.initiator));
                    self.end_session(old);
                }
                let no = self.number();
                self.next_tsih = self.next_tsih.checked_add(1).unwrap_or(1);
                let listing = self.listing(&who.initiator);
                let session = Session::new(who.target.clone(), listing, LIMITS, cmd_sn, 32);
                let attentions = target.iter().flat_map(|t| self.targets[*t].luns.iter());
                let attentions = attentions
                    .map(|v| (*v, VecDeque::from([Sense::POWER_ON])))
                    .collect();
                let conns = BTreeMap::new();
                let (who, tsih) = (who.clone(), self.next_tsih);
                let allowed = BTreeMap::new();
                let state = SessionState {
                    session,
                    who,
                    tsih,
                    target,
                    conns,
                    attentions,
                    allowed,
                };
                self.sessions.insert(no, state);
                for v in target.iter().flat_map(|t| self.targets[*t].luns.clone()) {
                    self.volumes[v].pressure.join(SessionNo(no));
                    self.pressed.insert(v);
                }
                no
            }
            (tsih, Some((no, applied))) if tsih == applied => {
                let s = &self.sessions[&no];
                if let Some(old) = s.conns.get(&cid).copied() {
                    // The same connection again: the old one is gone (section 6.3.4).
                    self.out.push(Output::Close { conn: old });
                    self.gone(old);
                } else if s.conns.len() >= s.who.params.max_connections as usize {
                    return Err(LoginStatus::TooManyConnections);
                }
                no
            }
            _ => return Err(LoginStatus::SessionDoesNotExist),
        };
        let c = self.conns.get_mut(&conn).expect("it has just logged in");
        (c.phase, c.digests) = (Phase::Full { session, cid }, digests);
        self.logins.remove(&(c.since, conn));
        let s = self
            .sessions
            .get_mut(&session)
            .ok_or(LoginStatus::SessionDoesNotExist)?;
        s.session.join(cid, who.params.clone(), c.stat_sn);
        s.conns.insert(cid, conn);
        Ok(s.tsih)
    }

    /// Targets that an initiator may see.
    fn listing(&self, initiator: &str) -> Vec<(String, Vec<String>)> {
        let may = |t: &&grebecleat_iscsi::login::Target| {
            t.initiators
                .as_ref()
                .is_none_or(|all| all.iter().any(|i| i == initiator))
        };
        let seen = self.portal.targets.iter().filter(may);
        seen.map(|t| (t.name.clone(), self.addresses.clone()))
            .collect()
    }

    fn gone(&mut self, conn: ConnNo) {
        let Some(c) = self.forget(conn) else { return };
        let Phase::Full { session, cid } = c.phase else {
            return;
        };
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        s.conns.remove(&cid);
        let acts = s.session.lost(cid);
        self.acts(session, acts);
        self.forget_session(session);
    }

    fn end_session(&mut self, no: u64) {
        let conns: Vec<ConnNo> = self
            .sessions
            .get(&no)
            .iter()
            .flat_map(|s| s.conns.values())
            .copied()
            .collect();
        for conn in conns {
            self.out.push(Output::Close { conn });
            self.gone(conn);
        }
        self.forget_session(no);
    }

    /// A session without connections stays only while its commands end.
    fn forget_session(&mut self, no: u64) {
        let done = |s: &SessionState| s.session.is_empty() && s.session.tasks() == 0;
        if self.sessions.get(&no).is_some_and(done) {
            self.sessions.remove(&no);
            self.volumes
                .iter_mut()
                .for_each(|v| v.pressure.leave(SessionNo(no)));
            self.pressed.extend(0..self.volumes.len());
        }
    }

    fn acts(&mut self, session: u64, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Send { cid, pdu } => {
                    let conn = self
                        .sessions
                        .get(&session)
                        .and_then(|s| s.conns.get(&cid))
                        .copied();
                    if let Some((conn, c)) = conn.and_then(|n| Some((n, self.conns.get(&n)?))) {
                        self.out.push(Output::Send {
                            conn,
                            pdu,
                            digests: c.digests,
                        });
                    }
                }
                Act::Close { cid } => {
                    let conn = self
                        .sessions
                        .get(&session)
                        .and_then(|s| s.conns.get(&cid))
                        .copied();
                    if let Some(conn) = conn {
                        self.out.push(Output::Close { conn });
                        self.gone(conn);
                    }
                }
                Act::Start {
                    task,
                    lun,
                    cdb,
                    data,
                    max_in,
                } => self.start(session, task, lun, cdb, data, max_in),
                Act::Abort { tasks, .. } => self.abort(session, &tasks),
                Act::Reset { lun, why } => self.reset(session, lun, why),
            }
        }
    }

    /// Aborted commands that wait for their turn end at once, others with their last request.
    fn abort(&mut self, session: u64, tasks: &[TaskNo]) {
        let hit = |o: &Op| o.session == session && tasks.contains(&o.task);
        let ops: Vec<u64> = self
            .ops
            .iter()
            .filter(|(_, o)| hit(o))
            .map(|(no, _)| *no)
            .collect();
        for no in ops {
            let op = self.ops.get_mut(&no).expect("listed above");
            op.ended = true;
            if op.gather.is_none() {
                self.end(no, None, Ended::Other, false);
            }
        }
    }

    /// Commands of other sessions at the same units end too, and they are told.
    fn reset(&mut self, by: u64, lun: Option<u64>, why: Why) {
        let Some(target) = self.sessions.get(&by).and_then(|s| s.target) else {
            return;
        };
        let units: Vec<usize> = match lun {
            Some(lun) => self.unit_of(target, lun).into_iter().collect(),
            None => self.targets[target].luns.clone(),
        };
        let sense = if why == Why::ClearTaskSet {
            Sense::COMMANDS_CLEARED
        } else {
            Sense::BUS_DEVICE_RESET
        };
        let others: Vec<u64> = self.sessions.keys().copied().filter(|s| *s != by).collect();
        for session in others {
            let hit = |o: &&Op| o.session == session && units.contains(&o.volume);
            let tasks: Vec<TaskNo> = self.ops.values().filter(hit).map(|o| o.task).collect();
            self.abort(session, &tasks);
            if why != Why::ClearTaskSet || !tasks.is_empty() {
                units.iter().for_each(|u| self.attend(session, *u, sense));
            }
        }
    }

    fn attend(&mut self, session: u64, unit: usize, sense: Sense) {
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        if let Some(held) = s
            .attentions
            .get_mut(&unit)
            .filter(|h| h.len() < MAX_ATTENTIONS)
        {
            held.push_back(sense);
        }
    }

    /// The volume of a LUN in peripheral or flat addressing (SAM-5, 4.7).
    fn unit_of(&self, target: usize, lun: u64) -> Option<usize> {
        let (first, rest) = ((lun >> 48) as u16, lun & 0xffff_ffff_ffff);
        let index = match first >> 14 {
            0 if first < 0x100 => usize::from(first),
            1 => usize::from(first & 0x3fff),
            _ => return None,
        };
        self.targets[target]
            .luns
            .get(index)
            .copied()
            .filter(|_| rest == 0)
    }

    // Commands

    fn answer(&mut self, session: u64, task: TaskNo, outcome: Outcome) {
        if let Some(s) = self.sessions.get_mut(&session) {
            let acts = s.session.done(task, outcome);
            self.acts(session, acts);
        }
    }

    fn start(
        &mut self,
        session: u64,
        task: TaskNo,
        lun: u64,
        cdb: [u8; 16],
        data: Bytes,
        max_in: u32,
    ) {
        let outcome = self.begin(session, task, lun, cdb, data, max_in);
        if let Some(outcome) = outcome {
            self.answer(session, task, outcome);
        }
    }

    /// What can be answered at once, is; None where requests are under way.
    fn begin(
        &mut self,
        session: u64,
        task: TaskNo,
        lun: u64,
        cdb: [u8; 16],
        data: Bytes,
        max_in: u32,
    ) -> Option<Outcome> {
        let check = |s| Some(Outcome::check(s));
        let command = match decode(&cdb) {
            Ok(command) => command,
            Err(sense) => return check(sense),
        };
        let s = self.sessions.get_mut(&session)?;
        let target = s.target?;
        let luns: Vec<u64> = (0..self.targets[target].luns.len())
            .map(|i| (i as u64) << 48)
            .collect();
        let Some(volume) = self.unit_of(target, lun) else {
            return match command {
                Command::Inquiry { page: None, most } => {
                    let mut none = vec![0x7f, 0, 0x06, 0x02, 31];
                    none.resize(36, 0);
                    none.truncate(most);
                    Some(Outcome::good(none))
                }
                Command::ReportLuns { .. } => {
                    let unit = &self.volumes[*self.targets[target].luns.first()?].facts.unit;
                    unit.answer(&command, &luns, Sense::NONE)
                        .map(|a| a.map_or_else(Outcome::check, Outcome::good))
                }
                _ => check(Sense::LUN_NOT_SUPPORTED),
            };
        };
        let s = self.sessions.get_mut(&session)?;
        let held = s.attentions.entry(volume).or_default();
        let pending = match command {
            Command::RequestSense { .. } => held.pop_front().unwrap_or(Sense::NONE),
            _ if attention_passes(&command) => Sense::NONE,
            _ => match held.pop_front() {
                Some(sense) => return check(sense),
                None => Sense::NONE,
            },
        };
        let (nexus, v) = (Nexus(session), &mut self.volumes[volume]);
        if !v.reservations.allows(nexus, &command) {
            return Some(Outcome::status(Status::ReservationConflict));
        }
        if let Some(answer) = v.facts.unit.answer(&command, &luns, pending) {
            return Some(answer.map_or_else(Outcome::check, Outcome::good));
        }
        match command {
            Command::ReserveIn { action, most } => {
                let told = v.reservations.tell(action);
                Some(told.map_or_else(Outcome::check, |mut b| {
                    b.truncate(most);
                    Outcome::good(b)
                }))
            }
            Command::ReserveOut {
                action,
                scope,
                kind,
                length,
            } if data.len() >= length => {
                match v
                    .reservations
                    .change(nexus, action, scope, kind, &data[..length])
                {
                    Ok(told) => {
                        told.attentions
                            .iter()
                            .for_each(|(n, s)| self.attend(n.0, volume, *s));
                        for n in told.aborted {
                            let hit = |o: &&Op| o.session == n.0 && o.volume == volume;
                            let tasks: Vec<TaskNo> =
                                self.ops.values().filter(hit).map(|o| o.task).collect();
                            self.abort(n.0, &tasks);
                        }
                        Some(Outcome::good(Bytes::new()))
                    }
                    Err(Refused::Conflict) => Some(Outcome::status(Status::ReservationConflict)),
                    Err(Refused::Check(sense)) => check(sense),
                }
            }
            Command::ReserveOut { .. } => check(Sense::PARAMETER_LIST_LENGTH),
            _ => self.on_blocks(session, task, volume, command, data, max_in),
        }
    }

    fn on_blocks(
        &mut self,
        session: u64,
        task: TaskNo,
        volume: usize,
        command: Command,
        data: Bytes,
        max_in: u32,
    ) -> Option<Outcome> {
        let check = |s| Some(Outcome::check(s));
        let unit = &self.volumes[volume].facts.unit;
        let bytes = |blocks: u64| (blocks * u64::from(unit.block_size)) as usize;
        let (lba, blocks, deed) = match command {
            Command::Read { lba, blocks, .. } => (lba, blocks, Deed::Read),
            Command::Write { lba, blocks, .. } => (lba, blocks, Deed::Write(data)),
            Command::Verify { lba, blocks, bytes } => {
                (lba, blocks, Deed::Verify(bytes.then_some(data)))
            }
            // A write that was GOOD is kept: there is no cache to bring down.
            Command::SynchronizeCache { lba, blocks, .. } => {
                let fine = unit.within(lba, blocks);
                return Some(fine.map_or_else(Outcome::check, |()| Outcome::good(Bytes::new())));
            }
            Command::CompareAndWrite { lba, blocks } => {
                let half = bytes(blocks);
                if data.len() != 2 * half {
                    return check(Sense::INVALID_FIELD_IN_CDB);
                }
                (
                    lba,
                    blocks,
                    Deed::Compare {
                        with: data.slice(..half),
                        then: data.slice(half..),
                    },
                )
            }
            Command::WriteSame {
                lba,
                blocks,
                data: given,
                ..
            } => {
                let blocks = if blocks == 0 {
                    unit.blocks.saturating_sub(lba)
                } else {
                    blocks
                };
                let one = if given {
                    data
                } else {
                    Bytes::from(vec![0; bytes(1)])
                };
                if one.len() != bytes(1) || blocks > u64::from(unit.max_blocks) {
                    return check(Sense::INVALID_FIELD_IN_CDB);
                }
                let all: BytesMut = std::iter::repeat_n(&one[..], blocks as usize)
                    .flatten()
                    .copied()
                    .collect();
                (lba, blocks, Deed::Write(all.freeze()))
            }
            Command::Unmap { length } => match unmap_ranges(&data[..data.len().min(length)]) {
                Err(sense) => return check(sense),
                Ok(ranges) if ranges.is_empty() => return Some(Outcome::good(Bytes::new())),
                // One range becomes zeroes. More than the block limits page tells of are refused (SBC-3,
                // 5.28).
                Ok(ranges) => match ranges[..] {
                    [(lba, blocks)] if blocks <= u64::from(unit.max_blocks) => (
                        lba,
                        blocks,
                        Deed::Write(Bytes::from(vec![0; bytes(blocks)])),
                    ),
                    _ => return check(Sense::INVALID_FIELD_IN_PARAMETERS),
                },
            },
            _ => return check(Sense::INVALID_OPCODE),
        };
        if let Err(sense) = unit.within(lba, blocks) {
            return check(sense);
        }
        if blocks > u64::from(unit.max_blocks) {
            return check(Sense::INVALID_FIELD_IN_CDB);
        }
        let writes = matches!(deed, Deed::Write(_) | Deed::Compare { .. });
        let short = match &deed {
            Deed::Write(d) | Deed::Verify(Some(d)) => d.len() != bytes(blocks),
            Deed::Read => (max_in as usize) < bytes(blocks) && max_in == 0 && blocks > 0,
            _ => false,
        };
        if short || (writes && unit.read_only) {
            return check(Sense::INVALID_FIELD_IN_CDB);
        }
        if blocks == 0 {
            return Some(Outcome::good(Bytes::new()));
        }
        let no = self.number();
        let v = &mut self.volumes[volume];
        v.pressure.opened(SessionNo(session));
        self.pressed.insert(volume);
        let reads = !matches!(deed, Deed::Write(_));
        let goes = v.overlaps.open(
            no,
            Range {
                start: lba,
                end: lba + blocks,
                writes,
                reads,
            },
        );
        self.ops.insert(
            no,
            Op {
                session,
                task,
                volume,
                deed,
                lba,
                blocks,
                gather: None,
                ended: false,
            },
        );
        if goes {
            self.launch(no, false);
        }
        None
    }

    /// Sends a command's requests; of COMPARE AND WRITE first those that read, then those that write.
    fn launch(&mut self, no: u64, second: bool) {
        let Some(op) = self.ops.get_mut(&no) else {
            return;
        };
        let data = match (&op.deed, second) {
            (Deed::Write(data), _) => Some(data.clone()),
            (Deed::Compare { then, .. }, true) => Some(then.clone()),
            _ => None,
        };
        let (volume, write) = (op.volume, data.is_some());
        let pieces: Vec<Piece> = self.volumes[volume]
            .layout
            .pieces(op.lba, op.blocks)
            .collect();
        op.gather = Some(Gather::new(pieces.clone(), !write));
        for (place, p) in pieces.into_iter().enumerate() {
            let number = RequestNumber(self.number());
            let part = data
                .as_ref()
                .map(|d| d.slice(p.at..p.at + p.length as usize))
                .unwrap_or_default();
            let request = Request {
                no: number,
                volume: self.volumes[volume].facts.volume,
                extent: p.extent,
                shard: None,
                write,
                offset: p.offset,
                length: p.length,
                data: part,
                version: None,
            };
            self.requests.insert(
                number,
                OpenRequest {
                    op: no,
                    place,
                    request,
                    places: false,
                    shard: None,
                    tries: 0,
                },
            );
            self.send(number);
        }
    }

    /// Sends a request to where its extent lies, a write with the next version. Of an extent that lies
    /// nowhere, reads are zeroes, and the first write goes alone.
    fn send(&mut self, no: RequestNumber) {
        let Some(x) = self.requests.get_mut(&no) else {
            return;
        };
        let v = &mut self.volumes[self.ops[&x.op].volume];
        let extent = x.request.extent;
        match v.facts.placed.get(extent) {
            Some(shard) => x.request.shard = Some(shard),
            None if !x.request.write => return self.answered(no, Answer::Done(Bytes::new()), None),
            None if x.places => {}
            None => {
                if let Some(waiting) = v.placing.get_mut(&extent) {
                    return waiting.push_back(no);
                }
                v.placing.insert(extent, VecDeque::new());
                x.places = true;
            }
        }
        if x.places && !self.keeps {
            return self.settle(no, Answer::Unkept);
        }
        if x.request.write {
            x.request.version = self.versions.next();
            match (x.request.version, self.keeps) {
                (Some(_), _) => {}
                (None, true) => return self.unnumbered.push(no),
                (None, false) => return self.settle(no, Answer::Unkept),
            }
        }
        self.out.push(Output::Take(x.request.clone()));
    }

    fn answered(&mut self, no: RequestNumber, answer: Answer, shard: Option<u32>) {
        let Some(x) = self.requests.get_mut(&no).filter(|x| x.shard.is_none()) else {
            return;
        };
        if let Answer::Superseded(there) = answer {
            return self.again(no, there, shard);
        }
        if let (true, Answer::Done(_), Some(shard)) = (x.places, &answer, shard) {
            if !self.keeps {
                return self.settle(no, Answer::Unkept);
            }
            x.shard = Some(shard);
            let (volume, extent) = (x.request.volume, x.request.extent);
            return self.out.push(Output::Store {
                no,
                volume,
                extent,
                shard,
            });
        }
        self.settle(no, answer);
    }

    /// A write found a newer version at its node. No other write of these blocks is under way here, so that
    /// one is another host's, or of a start that could keep nothing: this one goes again, above it, as a new
    /// piece of work.
    fn again(&mut self, no: RequestNumber, there: u64, shard: Option<u32>) {
        let Some(x) = self.requests.get(&no) else {
            return;
        };
        let wanted = self.ops.get(&x.op).is_some_and(|op| !op.ended);
        if !self.versions.learn(there) || x.tries >= MAX_TRIES || !wanted {
            return self.settle(no, Answer::Superseded(there));
        }
        let (again, mut x) = (
            RequestNumber(self.number()),
            self.requests.remove(&no).expect("looked up above"),
        );
        (x.tries, x.request.no) = (x.tries + 1, again);
        x.request.shard = x.request.shard.or(shard);
        self.requests.insert(again, x);
        self.send(again);
    }

    fn stored(&mut self, no: RequestNumber) {
        let Some((x, shard)) = self.requests.get(&no).and_then(|x| Some((x, x.shard?))) else {
            return;
        };
        let volume = self.ops[&x.op].volume;
        self.volumes[volume]
            .facts
            .placed
            .insert(x.request.extent, shard);
        self.settle(no, Answer::Done(Bytes::new()));
    }

    /// From here on no place and no ceiling is kept: what waits for one is answered, and extents that lie
    /// somewhere are still read, and written while versions last.
    fn store_gone(&mut self) {
        self.keeps = false;
        let waits = |x: &OpenRequest| x.shard.is_some();
        let waiting: Vec<RequestNumber> = self
            .requests
            .iter()
            .filter(|(_, x)| waits(x))
            .map(|(no, _)| *no)
            .collect();
        waiting
            .into_iter()
            .for_each(|no| self.settle(no, Answer::Unkept));
        std::mem::take(&mut self.unnumbered)
            .into_iter()
            .for_each(|no| self.send(no));
    }

    fn settle(&mut self, no: RequestNumber, answer: Answer) {
        let Some(x) = self.requests.remove(&no) else {
            return;
        };
        let Some(op) = self.ops.get_mut(&x.op) else {
            return;
        };
        let volume = op.volume;
        let whole = op.gather.as_mut().and_then(|g| g.take(x.place, answer));
        if x.places {
            // What waited for the place goes there, or the next of it finds one.
            let waiting = self.volumes[volume]
                .placing
                .remove(&x.request.extent)
                .unwrap_or_default();
            waiting.into_iter().for_each(|w| self.send(w));
        }
        if let Some(whole) = whole {
            self.over(x.op, whole);
        }
    }

    /// All requests of a command's step are answered.
    fn over(&mut self, no: u64, whole: Whole) {
        let Some(op) = self.ops.get(&no) else { return };
        let Whole {
            outcome,
            retry_after,
            unsure,
        } = whole;
        let good = outcome.status == Status::Good;
        let at = |a: &[u8], b: &[u8]| a.iter().zip(b).position(|(x, y)| x != y).map(|i| i as u64);
        let outcome = match &op.deed {
            Deed::Verify(Some(with)) if good => match at(with, &outcome.data) {
                Some(i) => Outcome::check(Sense::MISCOMPARE.at(i)),
                None => Outcome::good(Bytes::new()),
            },
            Deed::Verify(None) if good => Outcome::good(Bytes::new()),
            Deed::Compare { with, .. } if good && !outcome.data.is_empty() => {
                match at(with, &outcome.data) {
                    Some(i) => Outcome::check(Sense::MISCOMPARE.at(i)),
                    None if op.ended => outcome,
                    None => return self.launch(no, true),
                }
            }
            _ => outcome,
        };
        let ended = match outcome.status {
            Status::Good => Ended::Done,
            Status::Busy => Ended::Deferred {
                retry_after: retry_after.unwrap_or(self.rest),
            },
            _ => Ended::Other,
        };
        self.end(no, Some(outcome), ended, unsure);
    }

    /// A command has ended; answered, unless it was aborted. `unsure`: it may still have an effect.
    fn end(&mut self, no: u64, outcome: Option<Outcome>, ended: Ended, unsure: bool) {
        let Some(op) = self.ops.remove(&no) else {
            return;
        };
        self.volumes[op.volume]
            .pressure
            .closed(self.now, SessionNo(op.session), ended);
        self.pressed.insert(op.volume);
        let wrote =
            ended == Ended::Done && matches!(op.deed, Deed::Write(_) | Deed::Compare { .. });
        let overlaps = &mut self.volumes[op.volume].overlaps;
        let free = match (unsure, wrote) {
            (true, _) => {
                self.resting
                    .push_back((self.now + self.rest, op.volume, no));
                overlaps.rest(no)
            }
            (false, true) => overlaps.cover(no),
            (false, false) => overlaps.close(no),
        };
        free.into_iter().for_each(|no| self.launch(no, false));
        if let Some(s) = self.sessions.get_mut(&op.session) {
            let acts = match outcome.filter(|_| !op.ended) {
                Some(outcome) => s.session.done(op.task, outcome),
                None => s.session.gone(op.task),
            };
            self.acts(op.session, acts);
            self.forget_session(op.session);
        }
    }

    fn press(&mut self) {
        let pressed = std::mem::take(&mut self.pressed);
        let mut changed = BTreeSet::new();
        for v in pressed {
            for (session, size) in self.volumes[v].pressure.step() {
                if let Some(s) = self.sessions.get_mut(&session.0) {
                    s.allowed.insert(v, size);
                    changed.insert(session.0);
                }
            }
        }
        // A window is a session's, over all its units: it is the sum of what each allows.
        for no in changed {
            if let Some(s) = self.sessions.get_mut(&no) {
                let acts = s.session.allow(s.allowed.values().sum());
                self.acts(no, acts);
            }
        }
    }
}
