//! Initiators of a rehearsal: sessions that write and read their own blocks through a portal's
//! troubles, come again when their connection goes, and check every block they read against what
//! they wrote.
//!
//! A command that loses its connection, or takes so long that it is aborted, is sent again and
//! counts as the same command: it is answered once that one is.

use crate::draw::source;
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
/// A command that takes longer is aborted and sent again.
const TIME_OUT: Duration = Duration::from_millis(900);
/// Commands that one session has out.
const DEPTH: usize = 6;
const MAX_BLOCKS: u64 = 24;
/// Blocks that one session has for itself.
const REGION: u64 = 512;
/// After the script's end, how long what is out may take.
const LAST: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Disks {
    pub commands: u64,
    pub answered: u64,
    /// Never answered, though sent again and again until the end.
    pub missing: u64,
    /// Answers to what was answered before.
    pub doubled: u64,
    pub good: u64,
    pub busy: u64,
    pub unknown: u64,
    pub blocks_checked: u64,
    pub wrong: u64,
    pub logins: u64,
    /// Given up by the client, and sent again.
    pub aborted: u64,
}

impl Disks {
    pub fn add(&mut self, o: &Disks) {
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

/// What a block may hold: a value, and at which step the write of it was answered, if it was.
type Held = Vec<(u64, Option<u64>)>;

/// A command: which blocks, what it writes there, and at which step it was first sent.
#[derive(Debug, Clone)]
struct Work {
    sent: u64,
    lun: u64,
    lba: u64,
    blocks: u64,
    writes: Option<u64>,
}

/// One session's run.
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

    pub fn run(&self, seed: u64) -> Disks {
        let mut rng = source(seed, 500_000 + u64::from(self.number));
        let mut counts = Disks::default();
        let mut may: BTreeMap<(u64, u64), Held> = BTreeMap::new();
        let (mut again, mut value, mut step): (VecDeque<Work>, u64, u64) = (VecDeque::new(), 0, 0);
        let (end, last) = (self.t0 + self.length, self.t0 + self.length + LAST);
        std::thread::sleep(self.t0.saturating_sub(clock::now()));
        while clock::now() < end || (!again.is_empty() && clock::now() < last) {
            let Ok(mut i) = Initiator::login(self.at, &self.parameters()) else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            counts.logins += 1;
            let mut open: BTreeMap<u32, (Work, Duration)> = BTreeMap::new();
            let ended = loop {
                let fresh = clock::now() < end;
                step += 1;
                if again.is_empty() && open.is_empty() && !fresh {
                    break Ok(());
                }
                if open.len() < DEPTH && i.may_send() && (fresh || !again.is_empty()) {
                    let new = again.is_empty();
                    let work = again
                        .pop_front()
                        .unwrap_or_else(|| self.draw(&mut rng, &mut value, step));
                    counts.commands += u64::from(new);
                    if let Some(v) = work.writes {
                        for b in work.lba..work.lba + work.blocks {
                            let there = may
                                .entry((work.lun, b))
                                .or_insert_with(|| vec![(0, Some(0))]);
                            if there.iter().all(|e| e.0 != v) {
                                there.push((v, None));
                            }
                        }
                    }
                    match submit(&mut i, &work) {
                        Ok(itt) => drop(open.insert(itt, (work, clock::now()))),
                        Err(e) => {
                            again.push_back(work);
                            break Err(e);
                        }
                    }
                    continue;
                }
                // Whoever waits too long gives up, says so, and comes again with the same command.
                let oldest = open
                    .iter()
                    .min_by_key(|(_, (_, since))| *since)
                    .map(|(itt, (_, since))| (*itt, *since));
                let left = oldest.map_or(TIME_OUT, |(_, since)| {
                    (since + TIME_OUT).saturating_sub(clock::now())
                });
                match (i.any_within(left), oldest) {
                    (Ok(Some((itt, answer))), _) => match open.remove(&itt) {
                        Some((work, _)) => judge(&work, &answer, step, &mut may, &mut counts),
                        None => counts.doubled += 1,
                    },
                    (Ok(None), Some((itt, _))) => match i.abort(itt) {
                        Ok(true) => {
                            counts.aborted += 1;
                            again.extend(open.remove(&itt).map(|(work, _)| work));
                        }
                        Ok(false) => {}
                        Err(e) => break Err(e),
                    },
                    (Ok(None), None) => {}
                    (Err(e), _) => break Err(e),
                }
            };
            counts.doubled += i.strays;
            again.extend(open.into_values().map(|(work, _)| work));
            if ended.is_err() {
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        counts.missing = counts.commands - counts.answered;
        counts
    }

    fn draw(&self, rng: &mut Pcg64Mcg, value: &mut u64, sent: u64) -> Work {
        let lun = rng.random_range(0..self.target.volumes.len()) as u64;
        let unit = self.settings.volumes[self.target.volumes[lun as usize]].blocks;
        let region = (u64::from(self.number) * REGION) % unit.saturating_sub(REGION).max(1);
        let blocks = rng.random_range(1..=MAX_BLOCKS);
        let lba = region + rng.random_range(0..REGION - blocks);
        let writes = rng.random::<bool>().then(|| {
            *value += 1;
            *value << 8 | u64::from(self.number)
        });
        Work {
            sent,
            lun,
            lba,
            blocks,
            writes,
        }
    }
}

fn submit(i: &mut Initiator, work: &Work) -> std::io::Result<u32> {
    let blocks = work.blocks as u32;
    match work.writes {
        None => i.submit(work.lun, &cdb16(0x88, work.lba, blocks), &[], blocks * 512),
        Some(v) => {
            let block: Vec<u8> = v.to_be_bytes().iter().copied().cycle().take(512).collect();
            i.submit(
                work.lun,
                &cdb16(0x8a, work.lba, blocks),
                &block.repeat(blocks as usize),
                0,
            )
        }
    }
}

/// Commands that are out together may take effect in either order (SAM-5's simple tasks). So a
/// write that was GOOD rules out what was answered before it was sent, and nothing else; what was
/// BUSY or of unknown outcome may be there or not until then, and never after: that is the late
/// write.
fn judge(
    work: &Work,
    answer: &Answer,
    step: u64,
    may: &mut BTreeMap<(u64, u64), Held>,
    counts: &mut Disks,
) {
    counts.answered += 1;
    match answer.status {
        GOOD => counts.good += 1,
        BUSY => counts.busy += 1,
        _ => counts.unknown += 1,
    }
    for n in 0..work.blocks {
        let key = (work.lun, work.lba + n);
        let there = may.entry(key).or_insert_with(|| vec![(0, Some(0))]);
        match work.writes {
            Some(v) => {
                there
                    .iter_mut()
                    .filter(|e| e.0 == v)
                    .for_each(|e| e.1 = Some(step));
                if answer.status == GOOD {
                    there.retain(|e| e.0 == v || e.1.is_none_or(|at| at > work.sent));
                }
            }
            None if answer.status == GOOD => {
                counts.blocks_checked += 1;
                let from = n as usize * 512;
                let block = answer.data.get(from..from + 512).unwrap_or_default();
                let value = block.first_chunk::<8>().map(|b| u64::from_be_bytes(*b));
                let whole = block.chunks(8).all(|c| Some(c) == block.get(..8));
                let right = whole && value.is_some_and(|v| there.iter().any(|e| e.0 == v));
                if !right {
                    let what = format!(
                        "lun {} block {}: {value:x?}, may be {there:x?}",
                        key.0, key.1
                    );
                    tracing::warn!(at = ?clock::now(), "{what}");
                }
                counts.wrong += u64::from(!right);
            }
            None => {}
        }
    }
}
