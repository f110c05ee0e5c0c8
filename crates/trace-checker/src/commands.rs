//! Counts the commands of iSCSI sessions from the PDUs that crossed a portal's sockets, and checks
//! every block's history of reads and writes.
//!
//! The module decodes the headers itself (RFC 7143, section 11), and uses no count of the target or
//! of the initiators. Each command receives one response: a SCSI Response, or Data-In with status.
//! A command needs no response if it is open when its connection closes, when its host is killed,
//! or when task management aborts it. Such a command may take effect at any later time.

use crate::history::{check, BlockAccess, HistoryResult, Operation};
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, marked::What, record::Kind, Record};
use grebecleat_wire::trace::{block_sum, BLOCK};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The SCSI status GOOD.
const GOOD: u8 = 0;
/// Bounds by how much the last record of a killed process may be later than the mark of the kill.
const KILL_LAG: Duration = Duration::from_millis(100);

/// The iSCSI commands of a run, as its PDUs show them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Commands {
    /// Number of commands that portals received.
    pub received: u64,
    /// Number of commands with a response.
    pub answered: u64,
    /// Number of commands without a response that need none: their connection closed, their host
    /// was killed, or task management aborted them.
    pub ended: u64,
    /// Number of commands without a response that need one.
    pub missing: u64,
    /// Number of responses that are duplicates, or that belong to no command.
    pub duplicates: u64,
    /// Number of blocks with a history.
    pub blocks: u64,
    /// Number of reads of single blocks.
    pub reads: u64,
    /// Number of writes of single blocks.
    pub writes: u64,
    /// Number of blocks whose check reached its bound on states.
    pub undecided: u64,
    /// Descriptions of the faults, with the commands that show them.
    pub faults: Vec<String>,
}

impl Commands {
    /// Returns the line that a scenario prints about its iSCSI commands.
    pub fn line(&self) -> String {
        format!(
            "audit: commands {}, answered {}, ended with their connection {}, missing {}, doubled {}; histories \
             of {} blocks, {} reads, {} writes: {} out of order, {} undecided",
            self.received,
            self.answered,
            self.ended,
            self.missing,
            self.duplicates,
            self.blocks,
            self.reads,
            self.writes,
            self.faults.len(),
            self.undecided
        )
    }

    /// Returns whether every response arrived once, and every decided history is linearizable.
    pub fn is_correct(&self) -> bool {
        self.missing == 0 && self.duplicates == 0 && self.faults.is_empty()
    }
}

/// One iSCSI command.
#[derive(Debug)]
struct Command {
    /// Time at which the portal received it.
    at: Duration,
    /// Number of its volume; None if its target or logical unit is unknown.
    volume: Option<u64>,
    cdb: [u8; 16],
    /// Checksums of the data from the initiator, by block.
    data_out: BTreeMap<u32, u64>,
    /// Checksums of the data to the initiator, by block.
    data_in: BTreeMap<u32, u64>,
    /// Time and status of the response.
    response: Option<(Duration, u8)>,
    /// Whether a task management request may abort it.
    abort_requested: bool,
}

/// Returns a big-endian number.
fn big_endian(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b))
}

impl Command {
    /// Returns the first block, the number of blocks, and whether the command writes: of READ and
    /// WRITE of all lengths, WRITE SAME and COMPARE AND WRITE. None for all other commands.
    fn range(&self) -> Option<(u64, u64, bool)> {
        let c = &self.cdb;
        let (lba, blocks) = match c[0] {
            0x08 | 0x0a => (
                big_endian(&[c[1] & 0x1f, c[2], c[3]]),
                if c[4] == 0 { 256 } else { u64::from(c[4]) },
            ),
            0x28 | 0x2a => (big_endian(&c[2..6]), big_endian(&c[7..9])),
            0xa8 | 0xaa => (big_endian(&c[2..6]), big_endian(&c[6..10])),
            0x88 | 0x8a | 0x93 => (big_endian(&c[2..10]), big_endian(&c[10..14])),
            0x41 => (big_endian(&c[2..6]), big_endian(&c[7..9])),
            0x89 => (big_endian(&c[2..10]), u64::from(c[13])),
            _ => return None,
        };
        Some((lba, blocks, !matches!(c[0], 0x08 | 0x28 | 0xa8 | 0x88)))
    }

    /// Returns the operation on each block. A write without the status GOOD has no end: it may
    /// have no effect, or take effect later.
    fn operations(&self) -> Vec<(u64, Operation)> {
        let Some((lba, blocks, writes)) = self.range() else {
            return Vec::new();
        };
        let succeeded_at = self.response.filter(|a| a.1 == GOOD).map(|a| a.0);
        if !writes && succeeded_at.is_none() {
            return Vec::new();
        }
        let zero = block_sum(&[0; BLOCK]);
        let block_out = |n: u64| self.data_out.get(&(n as u32)).copied();
        let access = |n: u64| match self.cdb[0] {
            0x89 => Some(BlockAccess::Swap {
                with: block_out(n)?,
                then: block_out(n + blocks)?,
            }),
            0x41 | 0x93 if self.cdb[1] & 1 != 0 => Some(BlockAccess::Write(zero)),
            0x41 | 0x93 => Some(BlockAccess::Write(block_out(0)?)),
            _ if writes => Some(BlockAccess::Write(block_out(n)?)),
            _ => Some(BlockAccess::Read(self.data_in.get(&(n as u32)).copied()?)),
        };
        let operation = |n| {
            Some((
                lba + n,
                Operation {
                    from: self.at,
                    to: succeeded_at,
                    access: access(n)?,
                },
            ))
        };
        (0..blocks).filter_map(operation).collect()
    }
}

/// A connection of an initiator to a portal.
#[derive(Default)]
struct Connection {
    /// Name of the target in its login.
    target: String,
    /// Index of each command without a response, by initiator task tag.
    open: HashMap<u32, usize>,
}

/// Reads the needed fields of a PDU.
struct Pdu<'a>(&'a pb::Pdu);

impl Pdu<'_> {
    fn u32_at(&self, at: usize) -> u32 {
        self.0
            .header
            .get(at..at + 4)
            .map_or(0, |b| big_endian(b) as u32)
    }

    fn byte_at(&self, at: usize) -> u8 {
        self.0.header.get(at).copied().unwrap_or_default()
    }

    /// Returns the checksums of the PDU's data, by block of the command's data. `from`: the data's
    /// offset in the command's data. Data that begins or ends inside a block has no checksums.
    fn block_sums(&self, from: u32) -> impl Iterator<Item = (u32, u64)> + '_ {
        let is_aligned = (from | self.0.data_len).is_multiple_of(BLOCK as u32);
        let block_sums = self.0.blocks.iter().filter(move |_| is_aligned).enumerate();
        block_sums.map(move |(n, sum)| (from / BLOCK as u32 + n as u32, *sum))
    }
}

/// Counts the commands in all traces, and checks the history of every block. `marks`: the marks of
/// the run.
pub fn check_commands(
    settings: &Settings,
    traces: &[Vec<Record>],
    marks: &[(Duration, pb::Marked)],
) -> Commands {
    let mut summary = Commands::default();
    let mut commands = Vec::new();
    for records in traces {
        read_process(settings, records, marks, &mut commands, &mut summary);
    }
    let mut histories: BTreeMap<(u64, u64), Vec<(Operation, usize)>> = BTreeMap::new();
    for (index, command) in commands.iter().enumerate() {
        for (block, operation) in command.volume.iter().flat_map(|v| {
            command
                .operations()
                .into_iter()
                .map(move |(b, o)| ((*v, b), o))
        }) {
            histories.entry(block).or_default().push((operation, index));
        }
    }
    for ((volume, block), history) in histories {
        summary.blocks += 1;
        let operations: Vec<Operation> = history.iter().map(|h| h.0).collect();
        let reads = operations
            .iter()
            .filter(|o| matches!(o.access, BlockAccess::Read(_)))
            .count() as u64;
        (summary.reads, summary.writes) = (
            summary.reads + reads,
            summary.writes + operations.len() as u64 - reads,
        );
        match check(block_sum(&[0; BLOCK]), &operations) {
            HistoryResult::Linearizable => {}
            HistoryResult::Undecided => summary.undecided += 1,
            HistoryResult::NotLinearizable { at } => {
                let describe =
                    |o: &Operation| format!("{:?} to {:?} {:x?}", o.from, o.to, o.access);
                let listed: Vec<String> = operations.iter().map(describe).collect();
                summary.faults.push(format!(
                    "volume {volume} block {block}: no order of its commands explains {}; all its commands:\n    {}",
                    describe(&operations[at]),
                    listed.join("\n    ")
                ));
            }
        }
    }
    summary
}

/// Adds the commands in the trace of one process.
fn read_process(
    settings: &Settings,
    records: &[Record],
    marks: &[(Duration, pb::Marked)],
    commands: &mut Vec<Command>,
    summary: &mut Commands,
) {
    let name = records
        .first()
        .and_then(|record| record.process.as_ref())
        .map(|p| p.name.clone())
        .unwrap_or_default();
    let volume = |target: &str, lun: u8| {
        let target_spec = settings
            .targets
            .iter()
            .find(|target_spec| target_spec.name == target)?;
        Some(settings.volumes[*target_spec.volumes.get(usize::from(lun))?].id)
    };
    let mut connections: HashMap<u64, Connection> = HashMap::new();
    let mut closed = Vec::new();
    for record in records {
        let at = Duration::from_nanos(record.at_ns);
        if record.kind() == Kind::LineClosed {
            closed.extend(
                connections
                    .remove(&record.conn)
                    .into_iter()
                    .flat_map(|connection| connection.open.into_values()),
            );
        }
        let Some(pdu) = record.pdu.as_ref().map(Pdu) else {
            continue;
        };
        let connection = connections.entry(record.conn).or_default();
        let itt = pdu.u32_at(16);
        match (record.kind(), pdu.byte_at(0) & 0x3f) {
            (Kind::PduIn, 0x03) if !pdu.0.target.is_empty() => {
                connection.target = pdu.0.target.clone()
            }
            // A command with the task tag of an open command is a retry of that command.
            (Kind::PduIn, 0x01) if !connection.open.contains_key(&itt) => {
                summary.received += 1;
                connection.open.insert(itt, commands.len());
                let cdb = pdu
                    .0
                    .header
                    .get(32..48)
                    .and_then(|b| b.try_into().ok())
                    .unwrap_or_default();
                let (volume, data_out) = (
                    volume(&connection.target, pdu.byte_at(9)),
                    pdu.block_sums(0).collect(),
                );
                let (data_in, response, abort_requested) = (BTreeMap::new(), None, false);
                commands.push(Command {
                    at,
                    volume,
                    cdb,
                    data_out,
                    data_in,
                    response,
                    abort_requested,
                });
            }
            (Kind::PduIn, 0x05) => {
                let command = connection.open.get(&itt).map(|index| &mut commands[*index]);
                command
                    .into_iter()
                    .for_each(|command| command.data_out.extend(pdu.block_sums(pdu.u32_at(40))));
            }
            // ABORT TASK names one command. Every other function may abort any open command of this
            // process.
            (Kind::PduIn, 0x02) => match pdu.byte_at(1) & 0x7f {
                1 => connection
                    .open
                    .get(&pdu.u32_at(20))
                    .into_iter()
                    .for_each(|index| commands[*index].abort_requested = true),
                _ => connections
                    .values()
                    .flat_map(|connection| connection.open.values())
                    .for_each(|index| commands[*index].abort_requested = true),
            },
            (Kind::PduOut, code @ (0x21 | 0x25)) => {
                let Some(index) = connection.open.get(&itt).copied() else {
                    summary.duplicates += 1;
                    continue;
                };
                if code == 0x25 {
                    commands[index]
                        .data_in
                        .extend(pdu.block_sums(pdu.u32_at(40)));
                }
                if code == 0x21 || pdu.byte_at(1) & 1 != 0 {
                    commands[index].response = Some((at, pdu.byte_at(3)));
                    summary.answered += 1;
                    connection.open.remove(&itt);
                }
            }
            _ => {}
        }
    }
    let (start, end) = (
        records.first().map_or(0, |record| record.at_ns),
        records.last().map_or(0, |record| record.at_ns),
    );
    let (start, end) = (Duration::from_nanos(start), Duration::from_nanos(end));
    let killed = marks.iter().any(|(at, mark)| {
        mark.what() == What::Killed && mark.name == name && *at >= start && *at + KILL_LAG >= end
    });
    let open = connections
        .into_values()
        .flat_map(|connection| connection.open.into_values())
        .map(|index| (index, killed));
    for (index, is_excused) in open.chain(closed.into_iter().map(|index| (index, true))) {
        match is_excused || commands[index].abort_requested {
            true => summary.ended += 1,
            false => {
                summary.missing += 1;
                summary.faults.push(format!(
                    "no response to a command received at {:?} by {name}: {:02x?}",
                    commands[index].at, commands[index].cdb
                ));
            }
        }
    }
}
