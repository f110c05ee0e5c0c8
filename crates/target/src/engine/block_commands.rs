//! Commands on blocks: their checks, and their order among those that overlap.

use super::*;

impl Engine {
    pub(super) fn on_blocks(
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
}
