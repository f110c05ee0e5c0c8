//! iSCSI load of a scenario: sessions that write and read their own blocks while faults are injected,
//! log in again when their connection closes, and verify each block that they read against their writes.
//!
//! A command whose connection closes, or that is aborted after a timeout, is sent again and counts as
//! the same command: it counts as answered once one of its transmissions is answered.

use crate::draw::random_generator;
use crate::initiator::{cdb16, Answer, Initiator, LoginParameters};
use grebecleat_settings::{Settings, TargetSpec};
use grebecleat_wire::clock;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

const GOOD: u8 = 0;
const BUSY: u8 = 8;
/// Time after which a command is aborted and sent again.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);
/// Limit on the outstanding commands of one session.
const MAX_OUTSTANDING: usize = 6;
const MAX_BLOCKS_PER_COMMAND: u64 = 24;
/// Blocks of a volume that only one session accesses.
const REGION_BLOCKS: u64 = 512;
/// Time after the scenario's end for which outstanding commands may still complete.
const COMPLETION_GRACE: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Default, PartialEq)]
pub struct IscsiCounts {
    pub commands: u64,
    pub answered: u64,
    /// Commands that were never answered, although they were sent again until the end.
    pub missing: u64,
    /// Responses to commands that were already answered.
    pub doubled: u64,
    pub good: u64,
    pub busy: u64,
    /// Commands that ended with a status other than GOOD and BUSY.
    pub unknown: u64,
    pub blocks_checked: u64,
    /// Blocks that held none of the expected values.
    pub wrong: u64,
    pub logins: u64,
    /// Commands that the session aborted after a timeout and sent again.
    pub aborted: u64,
}

impl IscsiCounts {
    pub fn add(&mut self, o: &IscsiCounts) {
        let all = [
            (&mut self.commands, o.commands),
            (&mut self.answered, o.answered),
            (&mut self.missing, o.missing),
            (&mut self.doubled, o.doubled),
            (&mut self.good, o.good),
            (&mut self.busy, o.busy),
            (&mut self.unknown, o.unknown),
            (&mut self.blocks_checked, o.blocks_checked),
            (&mut self.wrong, o.wrong),
            (&mut self.logins, o.logins),
            (&mut self.aborted, o.aborted),
        ];
        all.into_iter().for_each(|(a, b)| *a += b);
    }
}

/// The values that a block may hold, each with the step at which its write was answered; `None` if it
/// was not answered.
type PossibleValues = Vec<(u64, Option<u64>)>;

/// A command: the step at which it was first sent, its blocks, and the value that it writes; `None` for a
/// read.
#[derive(Debug, Clone)]
struct Command {
    sent: u64,
    lun: u64,
    lba: u64,
    blocks: u64,
    writes: Option<u64>,
}

/// One iSCSI session with its load.
pub struct Session<'a> {
    pub at: SocketAddr,
    pub target: &'a TargetSpec,
    pub settings: &'a Settings,
    pub number: u8,
    pub t0: Duration,
    pub length: Duration,
}

impl Session<'_> {
    fn parameters(&self) -> LoginParameters {
        LoginParameters {
            initiator: "iqn.2026-12.org.example:rehearsal".into(),
            target: self.target.name.clone(),
            isid: self.number,
            digests: self.number.is_multiple_of(2),
            chap: self.target.chap.clone(),
        }
    }

    pub fn run(&self, seed: u64) -> IscsiCounts {
        let mut rng = random_generator(seed, 500_000 + u64::from(self.number));
        let mut counts = IscsiCounts::default();
        let mut possible_values: BTreeMap<(u64, u64), PossibleValues> = BTreeMap::new();
        let (mut resend, mut value, mut step): (VecDeque<Command>, u64, u64) =
            (VecDeque::new(), 0, 0);
        let (end, last) = (
            self.t0 + self.length,
            self.t0 + self.length + COMPLETION_GRACE,
        );
        std::thread::sleep(self.t0.saturating_sub(clock::now()));
        while clock::now() < end || (!resend.is_empty() && clock::now() < last) {
            let Ok(mut i) = Initiator::login(self.at, &self.parameters()) else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            counts.logins += 1;
            let mut open: BTreeMap<u32, (Command, Duration)> = BTreeMap::new();
            let ended = loop {
                let generates_load = clock::now() < end;
                step += 1;
                if resend.is_empty() && open.is_empty() && !generates_load {
                    break Ok(());
                }
                if open.len() < MAX_OUTSTANDING
                    && i.may_send()
                    && (generates_load || !resend.is_empty())
                {
                    let new = resend.is_empty();
                    let command = resend
                        .pop_front()
                        .unwrap_or_else(|| self.draw(&mut rng, &mut value, step));
                    counts.commands += u64::from(new);
                    if let Some(v) = command.writes {
                        for b in command.lba..command.lba + command.blocks {
                            let values = possible_values
                                .entry((command.lun, b))
                                .or_insert_with(|| vec![(0, Some(0))]);
                            if values.iter().all(|e| e.0 != v) {
                                values.push((v, None));
                            }
                        }
                    }
                    match submit(&mut i, &command) {
                        Ok(itt) => drop(open.insert(itt, (command, clock::now()))),
                        Err(e) => {
                            resend.push_back(command);
                            break Err(e);
                        }
                    }
                    continue;
                }
                // A command that exceeds its timeout is aborted and sent again.
                let oldest = open
                    .iter()
                    .min_by_key(|(_, (_, since))| *since)
                    .map(|(itt, (_, since))| (*itt, *since));
                let left = oldest.map_or(COMMAND_TIMEOUT, |(_, since)| {
                    (since + COMMAND_TIMEOUT).saturating_sub(clock::now())
                });
                match (i.wait_any_timeout(left), oldest) {
                    (Ok(Some((itt, answer))), _) => match open.remove(&itt) {
                        Some((command, _)) => check_response(
                            &command,
                            &answer,
                            step,
                            &mut possible_values,
                            &mut counts,
                        ),
                        None => counts.doubled += 1,
                    },
                    (Ok(None), Some((itt, _))) => match i.abort(itt) {
                        Ok(true) => {
                            counts.aborted += 1;
                            resend.extend(open.remove(&itt).map(|(command, _)| command));
                        }
                        Ok(false) => {}
                        Err(e) => break Err(e),
                    },
                    (Ok(None), None) => {}
                    (Err(e), _) => break Err(e),
                }
            };
            counts.doubled += i.unexpected_responses;
            resend.extend(open.into_values().map(|(command, _)| command));
            if ended.is_err() {
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        counts.missing = counts.commands - counts.answered;
        counts
    }

    fn draw(&self, rng: &mut Pcg64Mcg, value: &mut u64, sent: u64) -> Command {
        let lun = rng.random_range(0..self.target.volumes.len()) as u64;
        let unit = self.settings.volumes[self.target.volumes[lun as usize]].blocks;
        let region =
            (u64::from(self.number) * REGION_BLOCKS) % unit.saturating_sub(REGION_BLOCKS).max(1);
        let blocks = rng.random_range(1..=MAX_BLOCKS_PER_COMMAND);
        let lba = region + rng.random_range(0..REGION_BLOCKS - blocks);
        let writes = rng.random::<bool>().then(|| {
            *value += 1;
            *value << 8 | u64::from(self.number)
        });
        Command {
            sent,
            lun,
            lba,
            blocks,
            writes,
        }
    }
}

fn submit(i: &mut Initiator, command: &Command) -> std::io::Result<u32> {
    let blocks = command.blocks as u32;
    match command.writes {
        None => i.submit(
            command.lun,
            &cdb16(0x88, command.lba, blocks),
            &[],
            blocks * 512,
        ),
        Some(v) => {
            let block: Vec<u8> = v.to_be_bytes().iter().copied().cycle().take(512).collect();
            i.submit(
                command.lun,
                &cdb16(0x8a, command.lba, blocks),
                &block.repeat(blocks as usize),
                0,
            )
        }
    }
}

/// Checks a response and updates the values that its blocks may hold.
///
/// Outstanding commands may take effect in any order (simple tasks of SAM-5). A write that ended with
/// GOOD therefore excludes only the values whose writes were answered before it was sent. A write that
/// ended with BUSY or an unknown outcome may have taken effect or not; once a later GOOD write excludes
/// its value, reading that value shows a write that took effect too late.
fn check_response(
    command: &Command,
    answer: &Answer,
    step: u64,
    possible_values: &mut BTreeMap<(u64, u64), PossibleValues>,
    counts: &mut IscsiCounts,
) {
    counts.answered += 1;
    match answer.status {
        GOOD => counts.good += 1,
        BUSY => counts.busy += 1,
        _ => counts.unknown += 1,
    }
    for n in 0..command.blocks {
        let key = (command.lun, command.lba + n);
        let values = possible_values
            .entry(key)
            .or_insert_with(|| vec![(0, Some(0))]);
        match command.writes {
            Some(v) => {
                values
                    .iter_mut()
                    .filter(|e| e.0 == v)
                    .for_each(|e| e.1 = Some(step));
                if answer.status == GOOD {
                    values.retain(|e| e.0 == v || e.1.is_none_or(|at| at > command.sent));
                }
            }
            None if answer.status == GOOD => {
                counts.blocks_checked += 1;
                let from = n as usize * 512;
                let block = answer.data.get(from..from + 512).unwrap_or_default();
                let value = block.first_chunk::<8>().map(|b| u64::from_be_bytes(*b));
                let whole = block.chunks(8).all(|c| Some(c) == block.get(..8));
                let is_expected = whole && value.is_some_and(|v| values.iter().any(|e| e.0 == v));
                if !is_expected {
                    let what = format!(
                        "lun {} block {}: found {value:x?}, expected one of {values:x?}",
                        key.0, key.1
                    );
                    tracing::warn!(at = ?clock::now(), "{what}");
                }
                counts.wrong += u64::from(!is_expected);
            }
            None => {}
        }
    }
}
