//! Random commands and outcomes; every read is checked against the history of writes.

use super::harness::*;
use grebecleat_iscsi::pdu::{Opcode, Pdu};
use grebecleat_iscsi_target::blocks::RequestOutcome;
use grebecleat_iscsi_target::engine::{ConnNo, Request};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};

/// Blocks that commands touch.
const BLOCKS: usize = 64;
/// Steps for one seed, and how many of the first ones may start commands.
const STEPS: usize = 400;
const COMMAND_STEPS: usize = 320;
const MAX_IN_PROGRESS: usize = 20;

/// A command and its initiator's task tag.
type Task = (ConnNo, u32);

/// A command without a status.
#[derive(Debug)]
struct InProgress {
    lba: usize,
    blocks: usize,
    /// Value that it writes; `None` for a read.
    value: Option<u8>,
}

/// State of the run of one seed.
struct History {
    seed: u64,
    rng: Pcg64Mcg,
    harness: Harness,
    conns: Vec<ConnNo>,
    /// For each block the values that it may hold.
    possible: Vec<Vec<u8>>,
    in_progress: BTreeMap<Task, InProgress>,
    itt: u32,
    value: u8,
    /// Failed writes that may still reach their node.
    late: Vec<Request>,
    checked_blocks: u32,
    not_good: u32,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut harness = Harness::new();
        let conns = (0..3).map(|i| harness.login(i, i as u8)).collect();
        History {
            seed,
            rng: Pcg64Mcg::seed_from_u64(seed),
            harness,
            conns,
            possible: vec![vec![0]; BLOCKS],
            in_progress: BTreeMap::new(),
            itt: 1000,
            value: 0,
            late: Vec::new(),
            checked_blocks: 0,
            not_good: 0,
        }
    }

    fn step(&mut self, step: usize) {
        if step < COMMAND_STEPS
            && self.rng.random_range(0..3) == 0
            && self.in_progress.len() < MAX_IN_PROGRESS
        {
            let conn = self.conns[self.rng.random_range(0..3)];
            // The command window is closed, so the initiator waits.
            if self.harness.cmd_sns[&conn] > self.harness.max_cmd_sns[&conn] {
                return;
            }
            self.begin_command(conn);
        } else if !self.harness.open.is_empty() {
            self.answer_request();
        } else if self.rng.random() && !self.late.is_empty() {
            let at = self.rng.random_range(0..self.late.len());
            let write = self.late.swap_remove(at);
            let shard = write
                .shard
                .expect("only writes with a shard are added to `late`");
            self.harness.node(&write, shard);
        } else {
            let span = ms(self.rng.random_range(1..200));
            self.harness.wait(span);
        }
        self.check_statuses();
    }

    fn begin_command(&mut self, conn: ConnNo) {
        let lba = self.rng.random_range(0..60);
        let blocks = self.rng.random_range(1..=(BLOCKS - lba).min(24));
        self.itt += 1;
        let mut command = InProgress {
            lba,
            blocks,
            value: None,
        };
        if self.rng.random() {
            self.value = self.value % 250 + 1;
            command.value = Some(self.value);
            self.in_progress.insert((conn, self.itt), command);
            let data = fill(self.value, blocks);
            self.harness.write(conn, self.itt, lba as u32, &data);
        } else {
            self.in_progress.insert((conn, self.itt), command);
            let blocks = blocks as u16;
            self.harness.read(conn, self.itt, lba as u32, blocks);
        }
    }

    fn answer_request(&mut self) {
        let at = self.rng.random_range(0..self.harness.open.len());
        let outcome = match self.rng.random_range(0..12) {
            0 => Some(RequestOutcome::Rejected {
                retry_after: Some(ms(50)),
                may_still_apply: self.rng.random(),
            }),
            1 => Some(RequestOutcome::Failed {
                may_still_apply: self.rng.random(),
            }),
            _ => None,
        };
        // A failed write may have been executed, and one that may still apply can take effect at
        // any later time.
        let applies = match outcome {
            Some(RequestOutcome::Rejected {
                may_still_apply, ..
            }) => may_still_apply,
            Some(RequestOutcome::Failed { may_still_apply }) => {
                may_still_apply || self.rng.random()
            }
            _ => false,
        };
        let request = self.harness.open[at].clone();
        if let (true, true, Some(shard)) = (applies, request.write, request.shard) {
            if self.rng.random() {
                self.harness.node(&request, shard);
            } else if matches!(outcome, Some(RequestOutcome::Failed { .. })) {
                self.late.push(request);
            }
        }
        self.harness.answer(at, outcome);
    }

    fn check_statuses(&mut self) {
        let mut reads: HashMap<Task, Vec<u8>> = HashMap::new();
        for (conn, pdu) in std::mem::take(&mut self.harness.pdus) {
            let task = (conn, pdu.header.itt());
            if pdu.header.opcode() == Some(Opcode::DataIn) {
                reads.entry(task).or_default().extend(&pdu.data[..]);
            }
            if is_status(&pdu) {
                self.check_status(task, &pdu, &reads);
            }
        }
    }

    fn check_status(&mut self, task: Task, status: &Pdu, reads: &HashMap<Task, Vec<u8>>) {
        let command = self
            .in_progress
            .remove(&task)
            .expect("each command gets exactly one response");
        let good = status.header.byte(3) == 0;
        self.not_good += u32::from(!good);
        for index in 0..command.blocks {
            let block = command.lba + index;
            match command.value {
                Some(value) if good => self.possible[block] = vec![value],
                Some(value) => self.possible[block].push(value),
                None if good => {
                    let found = reads[&task][index * BLOCK];
                    assert!(
                        self.possible[block].contains(&found),
                        "seed {}: block {block} holds {found}",
                        self.seed
                    );
                    self.checked_blocks += 1;
                }
                None => {}
            }
        }
    }

    /// Runs until every command has ended.
    fn finish(&mut self) {
        for _ in 0..2000 {
            if self.harness.open.is_empty() {
                self.harness.wait(LATE_WRITE_TIME);
            } else {
                self.harness.answer(0, None);
            }
            for (conn, pdu) in std::mem::take(&mut self.harness.pdus) {
                if is_status(&pdu) {
                    self.in_progress
                        .remove(&(conn, pdu.header.itt()))
                        .expect("each command gets exactly one response");
                }
            }
            if self.in_progress.is_empty() {
                break;
            }
        }
        let seed = self.seed;
        assert!(
            self.in_progress.is_empty(),
            "seed {seed}: {:?}",
            self.in_progress
        );
        assert_eq!(self.harness.engine.open(), (0, 0), "seed {seed}");
    }
}

/// Several sessions send overlapping reads and writes to a host that answers in any order, rejects
/// and fails requests. Every command gets one response, and every block read holds the value of the
/// last GOOD write, or of a later write whose outcome is unknown.
#[test]
fn every_read_is_checked_against_the_history_of_writes() {
    let mut checked_blocks = 0;
    let mut not_good = 0;
    for seed in 0..60 {
        let mut history = History::new(seed);
        for step in 0..STEPS {
            history.step(step);
        }
        history.finish();
        checked_blocks += history.checked_blocks;
        not_good += history.not_good;
    }
    assert!(
        checked_blocks > 5000 && not_good > 100,
        "{checked_blocks} blocks checked, {not_good} not good"
    );
}
