//! Commands of iSCSI sessions, counted from the PDUs that crossed a portal's sockets, and every
//! block's history of reads and writes put in order.
//!
//! It reads headers by itself (RFC 7143, section 11) and asks neither the target nor the
//! initiators. A command is answered once: by a SCSI Response, or by Data-In with status. One that
//! is open when its connection ends, its host is killed or task management ends it, needs no
//! answer, and may take effect at any later time.

use crate::history::{check, BlockAccess, HistoryResult, Operation};
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, marked::What, record::Kind, Record};
use grebecleat_wire::trace::{block_sum, BLOCK};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const GOOD: u8 = 0;
/// From a kill to the last record of its process that may bear a later time.
const KILL_LAG: Duration = Duration::from_millis(100);

/// What the PDUs of a run amount to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Commands {
    pub taken: u64,
    pub answered: u64,
    /// Ended without an answer by their connection, their host's death or task management.
    pub ended: u64,
    pub missing: u64,
    /// Second answers, and answers to nothing.
    pub doubled: u64,
    pub blocks: u64,
    pub reads: u64,
    pub writes: u64,
    pub undecided: u64,
    /// What is wrong, with the commands that show it.
    pub wrong: Vec<String>,
}

impl Commands {
    pub fn line(&self) -> String {
        format!(
            "audit: commands {}, answered {}, ended with their connection {}, missing {}, doubled {}; histories \
             of {} blocks, {} reads, {} writes: {} out of order, {} undecided",
            self.taken,
            self.answered,
            self.ended,
            self.missing,
            self.doubled,
            self.blocks,
            self.reads,
            self.writes,
            self.wrong.len(),
            self.undecided
        )
    }

    pub fn fine(&self) -> bool {
        self.missing == 0 && self.doubled == 0 && self.wrong.is_empty()
    }
}

#[derive(Debug)]
struct Command {
    at: Duration,
    volume: Option<u64>,
    cdb: [u8; 16],
    /// Sums of its data by block, out and in.
    out: BTreeMap<u32, u64>,
    read: BTreeMap<u32, u64>,
    answer: Option<(Duration, u8)>,
    /// Task management was asked to end it.
    told_off: bool,
}

fn be(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b))
}

impl Command {
    /// Block, how many, whether it writes: of READ and WRITE of all lengths.
    fn range(&self) -> Option<(u64, u64, bool)> {
        let c = &self.cdb;
        let (lba, blocks) = match c[0] {
            0x08 | 0x0a => (
                be(&[c[1] & 0x1f, c[2], c[3]]),
                if c[4] == 0 { 256 } else { u64::from(c[4]) },
            ),
            0x28 | 0x2a => (be(&c[2..6]), be(&c[7..9])),
            0xa8 | 0xaa => (be(&c[2..6]), be(&c[6..10])),
            0x88 | 0x8a | 0x93 => (be(&c[2..10]), be(&c[10..14])),
            0x41 => (be(&c[2..6]), be(&c[7..9])),
            0x89 => (be(&c[2..10]), u64::from(c[13])),
            _ => return None,
        };
        Some((lba, blocks, !matches!(c[0], 0x08 | 0x28 | 0xa8 | 0x88)))
    }

    /// What it did to each block. Of a write that was not GOOD nobody knows.
    fn operations(&self) -> Vec<(u64, Operation)> {
        let Some((lba, blocks, writes)) = self.range() else {
            return Vec::new();
        };
        let good = self.answer.filter(|a| a.1 == GOOD).map(|a| a.0);
        if !writes && good.is_none() {
            return Vec::new();
        }
        let zero = block_sum(&[0; BLOCK]);
        let nth = |n: u64| self.out.get(&(n as u32)).copied();
        let access = |n: u64| match self.cdb[0] {
            0x89 => Some(BlockAccess::Swap {
                with: nth(n)?,
                then: nth(n + blocks)?,
            }),
            0x41 | 0x93 if self.cdb[1] & 1 != 0 => Some(BlockAccess::Write(zero)),
            0x41 | 0x93 => Some(BlockAccess::Write(nth(0)?)),
            _ if writes => Some(BlockAccess::Write(nth(n)?)),
            _ => Some(BlockAccess::Read(self.read.get(&(n as u32)).copied()?)),
        };
        let op = |n| {
            Some((
                lba + n,
                Operation {
                    from: self.at,
                    to: good,
                    access: access(n)?,
                },
            ))
        };
        (0..blocks).filter_map(op).collect()
    }
}

#[derive(Default)]
struct Line {
    target: String,
    open: HashMap<u32, usize>,
}

/// A PDU's header, as far as is needed here.
struct Pdu<'a>(&'a pb::Pdu);

impl Pdu<'_> {
    fn word(&self, at: usize) -> u32 {
        self.0.header.get(at..at + 4).map_or(0, |b| be(b) as u32)
    }

    fn byte(&self, at: usize) -> u8 {
        self.0.header.get(at).copied().unwrap_or_default()
    }

    /// Its data's sums by block of the command's data. Data that begins inside a block has none.
    fn sums(&self, from: u32) -> impl Iterator<Item = (u32, u64)> + '_ {
        let whole = (from | self.0.data_len).is_multiple_of(BLOCK as u32);
        let sums = self.0.blocks.iter().filter(move |_| whole).enumerate();
        sums.map(move |(n, sum)| (from / BLOCK as u32 + n as u32, *sum))
    }
}

pub fn judge(
    settings: &Settings,
    traces: &[Vec<Record>],
    marks: &[(Duration, pb::Marked)],
) -> Commands {
    let mut told = Commands::default();
    let mut all = Vec::new();
    for records in traces {
        of_process(settings, records, marks, &mut all, &mut told);
    }
    let mut histories: BTreeMap<(u64, u64), Vec<(Operation, usize)>> = BTreeMap::new();
    for (i, c) in all.iter().enumerate() {
        for (block, op) in c
            .volume
            .iter()
            .flat_map(|v| c.operations().into_iter().map(move |(b, o)| ((*v, b), o)))
        {
            histories.entry(block).or_default().push((op, i));
        }
    }
    for ((volume, block), history) in histories {
        told.blocks += 1;
        let ops: Vec<Operation> = history.iter().map(|h| h.0).collect();
        let reads = ops
            .iter()
            .filter(|o| matches!(o.access, BlockAccess::Read(_)))
            .count() as u64;
        (told.reads, told.writes) = (told.reads + reads, told.writes + ops.len() as u64 - reads);
        match check(block_sum(&[0; BLOCK]), &ops) {
            HistoryResult::Linearizable => {}
            HistoryResult::Undecided => told.undecided += 1,
            HistoryResult::NotLinearizable { at } => {
                let seen = |o: &Operation| format!("{:?} to {:?} {:x?}", o.from, o.to, o.access);
                let lines: Vec<String> = ops.iter().map(seen).collect();
                told.wrong.push(format!(
                    "volume {volume} block {block}: no order of its commands explains {}; these are all:\n    {}",
                    seen(&ops[at]),
                    lines.join("\n    ")
                ));
            }
        }
    }
    told
}

/// The commands of one process's trace.
fn of_process(
    settings: &Settings,
    records: &[Record],
    marks: &[(Duration, pb::Marked)],
    all: &mut Vec<Command>,
    told: &mut Commands,
) {
    let name = records
        .first()
        .and_then(|r| r.process.as_ref())
        .map(|p| p.name.clone())
        .unwrap_or_default();
    let volume = |target: &str, lun: u8| {
        let t = settings.targets.iter().find(|t| t.name == target)?;
        Some(settings.volumes[*t.volumes.get(usize::from(lun))?].id)
    };
    let mut lines: HashMap<u64, Line> = HashMap::new();
    let mut gone = Vec::new();
    for r in records {
        let at = Duration::from_nanos(r.at_ns);
        if r.kind() == Kind::LineClosed {
            gone.extend(
                lines
                    .remove(&r.conn)
                    .into_iter()
                    .flat_map(|l| l.open.into_values()),
            );
        }
        let Some(pdu) = r.pdu.as_ref().map(Pdu) else {
            continue;
        };
        let line = lines.entry(r.conn).or_default();
        let itt = pdu.word(16);
        match (r.kind(), pdu.byte(0) & 0x3f) {
            (Kind::PduIn, 0x03) if !pdu.0.target.is_empty() => line.target = pdu.0.target.clone(),
            // Of a tag that is open it is a repeat, and the same command.
            (Kind::PduIn, 0x01) if !line.open.contains_key(&itt) => {
                told.taken += 1;
                line.open.insert(itt, all.len());
                let cdb = pdu
                    .0
                    .header
                    .get(32..48)
                    .and_then(|b| b.try_into().ok())
                    .unwrap_or_default();
                let (volume, out) = (volume(&line.target, pdu.byte(9)), pdu.sums(0).collect());
                let (read, answer, told_off) = (BTreeMap::new(), None, false);
                all.push(Command {
                    at,
                    volume,
                    cdb,
                    out,
                    read,
                    answer,
                    told_off,
                });
            }
            (Kind::PduIn, 0x05) => {
                let c = line.open.get(&itt).map(|i| &mut all[*i]);
                c.into_iter()
                    .for_each(|c| c.out.extend(pdu.sums(pdu.word(40))));
            }
            // ABORT TASK names one; all else may end any that is open in this process.
            (Kind::PduIn, 0x02) => match pdu.byte(1) & 0x7f {
                1 => line
                    .open
                    .get(&pdu.word(20))
                    .into_iter()
                    .for_each(|i| all[*i].told_off = true),
                _ => lines
                    .values()
                    .flat_map(|l| l.open.values())
                    .for_each(|i| all[*i].told_off = true),
            },
            (Kind::PduOut, code @ (0x21 | 0x25)) => {
                let Some(i) = line.open.get(&itt).copied() else {
                    told.doubled += 1;
                    continue;
                };
                if code == 0x25 {
                    all[i].read.extend(pdu.sums(pdu.word(40)));
                }
                if code == 0x21 || pdu.byte(1) & 1 != 0 {
                    all[i].answer = Some((at, pdu.byte(3)));
                    told.answered += 1;
                    line.open.remove(&itt);
                }
            }
            _ => {}
        }
    }
    let (start, end) = (
        records.first().map_or(0, |r| r.at_ns),
        records.last().map_or(0, |r| r.at_ns),
    );
    let (start, end) = (Duration::from_nanos(start), Duration::from_nanos(end));
    let killed = marks.iter().any(|(at, m)| {
        m.what() == What::Killed && m.name == name && *at >= start && *at + KILL_LAG >= end
    });
    let open = lines
        .into_values()
        .flat_map(|l| l.open.into_values())
        .map(|i| (i, killed));
    for (i, excused) in open.chain(gone.into_iter().map(|i| (i, true))) {
        match excused || all[i].told_off {
            true => told.ended += 1,
            false => {
                told.missing += 1;
                told.wrong.push(format!(
                    "no answer to a command of {:?} at {name}: {:02x?}",
                    all[i].at, all[i].cdb
                ));
            }
        }
    }
}
