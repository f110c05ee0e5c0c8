//! Block commands: validation against the logical unit, and ordering of overlapping commands.
//!
//! Called for commands that the unit cannot answer without its blocks. A valid command is recorded
//! as open and starts at once, or when the commands that it must wait for have ended.

use super::records::{BlockAction, BlockCommand, OpenCommand, ScsiCommand, Step};
use super::Engine;
use crate::overlaps::Range;
use crate::pressure::SessionNo;
use bytes::{Bytes, BytesMut};
use grebecleat_iscsi::scsi::{unmap_ranges, Command, Sense, Unit};
use grebecleat_iscsi::session::Outcome;

/// Result of the validation of a command.
enum Validation {
    /// The command accesses blocks.
    Blocks(BlockCommand),
    /// The command is answered at once.
    Answered(Outcome),
}

fn check_condition(sense: Sense) -> Validation {
    Validation::Answered(Outcome::check(sense))
}

fn byte_length(unit: &Unit, blocks: u64) -> usize {
    (blocks * u64::from(unit.block_size)) as usize
}

fn block_command(lba: u64, blocks: u64, action: BlockAction) -> Validation {
    Validation::Blocks(BlockCommand {
        lba,
        blocks,
        action,
    })
}

fn parse(unit: &Unit, command: &Command, data: Bytes) -> Validation {
    match *command {
        Command::Read { lba, blocks, .. } => block_command(lba, blocks, BlockAction::Read),
        Command::Write { lba, blocks, .. } => block_command(lba, blocks, BlockAction::Write(data)),
        Command::Verify { lba, blocks, bytes } => {
            block_command(lba, blocks, BlockAction::Verify(bytes.then_some(data)))
        }
        // A write with status GOOD is durable, so there is no cache to write back.
        Command::SynchronizeCache { lba, blocks, .. } => match unit.within(lba, blocks) {
            Ok(()) => Validation::Answered(Outcome::good(Bytes::new())),
            Err(sense) => check_condition(sense),
        },
        Command::CompareAndWrite { lba, blocks } => {
            let half = byte_length(unit, blocks);
            if data.len() != 2 * half {
                return check_condition(Sense::INVALID_FIELD_IN_CDB);
            }
            let action = BlockAction::CompareAndWrite {
                expected: data.slice(..half),
                replacement: data.slice(half..),
            };
            block_command(lba, blocks, action)
        }
        Command::WriteSame {
            lba,
            blocks,
            data: has_data,
            ..
        } => {
            let block = has_data.then_some(data);
            write_same(unit, lba, blocks, block)
        }
        Command::Unmap { length } => unmap(unit, &data[..data.len().min(length)]),
        _ => check_condition(Sense::INVALID_OPCODE),
    }
}

/// Writes one block, or zeroes, to a whole range; a block count of 0 means all blocks up to the end
/// of the unit.
fn write_same(unit: &Unit, lba: u64, blocks: u64, block: Option<Bytes>) -> Validation {
    let blocks = match blocks {
        0 => unit.blocks.saturating_sub(lba),
        _ => blocks,
    };
    let block_bytes = byte_length(unit, 1);
    let block = block.unwrap_or_else(|| Bytes::from(vec![0; block_bytes]));
    if block.len() != block_bytes || blocks > u64::from(unit.max_blocks) {
        return check_condition(Sense::INVALID_FIELD_IN_CDB);
    }
    let mut data = BytesMut::with_capacity(byte_length(unit, blocks));
    for _ in 0..blocks {
        data.extend_from_slice(&block);
    }
    block_command(lba, blocks, BlockAction::Write(data.freeze()))
}

/// Overwrites one range with zeroes. Rejects more ranges or blocks than the Block Limits page
/// reports (SBC-3, 5.28).
fn unmap(unit: &Unit, parameters: &[u8]) -> Validation {
    let ranges = match unmap_ranges(parameters) {
        Ok(ranges) => ranges,
        Err(sense) => return check_condition(sense),
    };
    match ranges[..] {
        [] => Validation::Answered(Outcome::good(Bytes::new())),
        [(lba, blocks)] if blocks <= u64::from(unit.max_blocks) => {
            let zeroes = Bytes::from(vec![0; byte_length(unit, blocks)]);
            block_command(lba, blocks, BlockAction::Write(zeroes))
        }
        _ => check_condition(Sense::INVALID_FIELD_IN_PARAMETERS),
    }
}

/// Returns the outcome of a command whose range or data does not fit the unit, or that has no
/// blocks.
fn check_range(unit: &Unit, command: &BlockCommand, max_read_bytes: u32) -> Option<Outcome> {
    let BlockCommand {
        lba,
        blocks,
        action,
    } = command;
    if let Err(sense) = unit.within(*lba, *blocks) {
        return Some(Outcome::check(sense));
    }
    if *blocks > u64::from(unit.max_blocks) {
        return Some(Outcome::check(Sense::INVALID_FIELD_IN_CDB));
    }
    let bytes = byte_length(unit, *blocks);
    let data_misfits = match action {
        BlockAction::Write(data) | BlockAction::Verify(Some(data)) => data.len() != bytes,
        BlockAction::Read => max_read_bytes == 0 && bytes > 0,
        _ => false,
    };
    if data_misfits || (action.writes() && unit.read_only) {
        return Some(Outcome::check(Sense::INVALID_FIELD_IN_CDB));
    }
    (*blocks == 0).then(|| Outcome::good(Bytes::new()))
}

impl Engine {
    /// Starts a block command; returns its outcome if it is answered at once.
    pub(super) fn start_on_blocks(
        &mut self,
        scsi: ScsiCommand,
        volume: usize,
        command: Command,
    ) -> Option<Outcome> {
        let unit = &self.volumes[volume].facts.unit;
        let command = match parse(unit, &command, scsi.data) {
            Validation::Blocks(command) => command,
            Validation::Answered(outcome) => return Some(outcome),
        };
        if let Some(outcome) = check_range(unit, &command, scsi.max_read_bytes) {
            return Some(outcome);
        }
        let number = self.next_number();
        let state = &mut self.volumes[volume];
        state.pressure.opened(SessionNo(scsi.session));
        self.changed_windows.insert(volume);
        let range = Range {
            start: command.lba,
            end: command.lba + command.blocks,
            writes: command.action.writes(),
            reads: command.action.reads(),
        };
        let ready = state.overlaps.open(number, range);
        let open = OpenCommand {
            session: scsi.session,
            task: scsi.task,
            volume,
            command,
            collector: None,
            aborted: false,
        };
        self.commands.insert(number, open);
        if ready {
            self.launch(number, Step::First);
        }
        None
    }
}
