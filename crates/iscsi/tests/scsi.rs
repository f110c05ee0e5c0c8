//! Decoding of command descriptor blocks, and the answers that need no data of the disk.

use grebecleat_iscsi::scsi::{decode, Command, Sense, Unit, OPCODES};

fn cdb(bytes: &[u8]) -> [u8; 16] {
    let mut c = [0; 16];
    c[..bytes.len()].copy_from_slice(bytes);
    c
}

fn unit() -> Unit {
    let (blocks, block_size) = (1 << 33, 512);
    Unit {
        blocks,
        block_size,
        id: 0x1234,
        serial: "vol-7".into(),
        max_blocks: 2048,
        read_only: false,
    }
}

#[test]
fn block_addresses_and_lengths_are_decoded_for_each_group_code() {
    let read = |lba, blocks, fua| Ok(Command::Read { lba, blocks, fua });
    let write = |lba, blocks, fua| Ok(Command::Write { lba, blocks, fua });
    let bad = Err(Sense::INVALID_FIELD_IN_CDB);
    let cases: Vec<(&[u8], Result<Command, Sense>)> = vec![
        (&[0x08, 0xff, 1, 2, 3], read(0x1f_0102, 3, false)),
        (&[0x0a, 0, 0, 9, 0], write(9, 256, false)),
        (&[0x28, 0x08, 0, 0, 1, 0, 0, 0, 8], read(256, 8, true)),
        (&[0x28, 0x20, 0, 0, 1, 0, 0, 0, 8], bad),
        (
            &[0x2a, 0, 0xff, 0xff, 0xff, 0xff, 0, 1, 0],
            write(0xffff_ffff, 256, false),
        ),
        (&[0xa8, 0, 0, 0, 0, 5, 0, 1, 0, 0], read(5, 65_536, false)),
        (&[0xaa, 8, 0, 0, 0, 5, 0, 0, 0, 1], write(5, 1, true)),
        (
            &[0x88, 0, 0, 0, 0, 1, 0, 0, 0, 2, 0, 0, 0, 7],
            read((1 << 32) + 2, 7, false),
        ),
        (
            &[0x8a, 0, 0, 0, 0, 0, 0, 0, 0, 2, 0, 1, 0, 0],
            write(2, 65_536, false),
        ),
        (
            &[0x89, 0, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 4],
            Ok(Command::CompareAndWrite { lba: 2, blocks: 4 }),
        ),
        (
            &[0x2f, 2, 0, 0, 0, 3, 0, 0, 1],
            Ok(Command::Verify {
                lba: 3,
                blocks: 1,
                bytes: true,
            }),
        ),
        (&[0x2f, 4, 0, 0, 0, 3, 0, 0, 1], bad),
        (
            &[0x35, 2, 0, 0, 0, 0, 0, 0, 0],
            Ok(Command::SynchronizeCache {
                lba: 0,
                blocks: 0,
                immediate: true,
            }),
        ),
        (
            &[0x41, 8, 0, 0, 0, 1, 0, 0, 2],
            Ok(Command::WriteSame {
                lba: 1,
                blocks: 2,
                unmap: true,
                data: true,
            }),
        ),
        (
            &[0x93, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 2],
            Ok(Command::WriteSame {
                lba: 1,
                blocks: 2,
                unmap: false,
                data: false,
            }),
        ),
        (&[0x93, 0x10, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 2], bad),
        (
            &[0x42, 0, 0, 0, 0, 0, 0, 0, 24],
            Ok(Command::Unmap { length: 24 }),
        ),
        (
            &[0x5f, 1, 0x05, 0, 0, 0, 0, 0, 24],
            Ok(Command::ReserveOut {
                action: 1,
                scope: 0,
                kind: 5,
                length: 24,
            }),
        ),
        (
            &[0x9e, 0x10, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 32],
            Ok(Command::ReadCapacity16 { most: 32 }),
        ),
        (&[0x9e, 0x12], bad),
        (&[0x12, 0, 0x80, 0, 96], bad),
        (&[0xc1], Err(Sense::INVALID_OPCODE)),
    ];
    for (bytes, command) in cases {
        assert_eq!(decode(&cdb(bytes)), command, "{bytes:x?}");
    }
}

#[test]
fn every_listed_opcode_is_decoded_and_no_other() {
    for code in 0..=255u8 {
        let listed = OPCODES.iter().any(|o| o.0 == code);
        let action = match code {
            0x9e => 0x10,
            0xa3 => 0x0c,
            _ => 0,
        };
        assert_eq!(decode(&cdb(&[code, action])).is_ok(), listed, "{code:#x}");
    }
    assert!(OPCODES.windows(2).all(|w| w[0].0 < w[1].0));
}

fn execute(bytes: &[u8]) -> Result<Vec<u8>, Sense> {
    let command = decode(&cdb(bytes)).unwrap();
    unit()
        .answer(&command, &[0, 1 << 48], Sense::POWER_ON)
        .expect("a command that needs no data of the disk")
}

#[test]
fn inquiry_capacity_and_report_luns() {
    let inquiry = execute(&[0x12, 0, 0, 0, 96]).unwrap();
    assert_eq!(
        (inquiry.len(), inquiry[4], &inquiry[8..16]),
        (96, 91, &b"GREBECLT"[..])
    );
    assert_eq!(
        execute(&[0x12, 0, 0, 0, 36]).unwrap().len(),
        36,
        "truncated to the allocation length"
    );
    let pages = execute(&[0x12, 1, 0, 0, 255]).unwrap();
    for page in &pages[4..] {
        let p = execute(&[0x12, 1, *page, 1, 0]).unwrap();
        assert_eq!(
            (p[1], usize::from(p[3]) + 4),
            (*page, p.len()),
            "page {page:#x}"
        );
    }
    assert_eq!(
        execute(&[0x12, 1, 0xc0, 0, 255]),
        Err(Sense::INVALID_FIELD_IN_CDB)
    );
    assert_eq!(&execute(&[0x12, 1, 0x80, 0, 255]).unwrap()[4..], b"vol-7");
    assert_eq!(
        execute(&[0x25]).unwrap(),
        [0xff, 0xff, 0xff, 0xff, 0, 0, 2, 0],
        "the capacity exceeds the range of READ CAPACITY (10)"
    );
    let capacity = execute(&[0x9e, 0x10, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 32]).unwrap();
    assert_eq!(
        (&capacity[..8], capacity[14]),
        (&((1u64 << 33) - 1).to_be_bytes()[..], 0xc0)
    );
    let luns = execute(&[0xa0, 0, 0, 0, 0, 0, 0, 0, 1, 0]).unwrap();
    assert_eq!(
        (luns.len(), &luns[..4], luns[17]),
        (24, &[0, 0, 0, 16][..], 1)
    );
    assert_eq!(
        execute(&[0xa0, 0, 9, 0, 0, 0, 0, 0, 1, 0]),
        Err(Sense::INVALID_FIELD_IN_CDB)
    );
}

#[test]
fn mode_pages_in_both_lengths_and_sense_in_both_formats() {
    let six = execute(&[0x1a, 0, 0x3f, 0, 255]).unwrap();
    assert_eq!(
        (usize::from(six[0]) + 1, six[3], six[12], six[32]),
        (six.len(), 8, 0x08, 0x0a)
    );
    let ten = execute(&[0x5a, 8, 0x08, 0, 0, 0, 0, 1, 0]).unwrap();
    assert_eq!(
        (usize::from(ten[1]) + 2, ten[7], ten[8]),
        (ten.len(), 0, 0x08)
    );
    assert_eq!(
        execute(&[0x1a, 0, 0x1c, 0, 255]),
        Err(Sense::INVALID_FIELD_IN_CDB)
    );
    let fixed = execute(&[0x03, 0, 0, 0, 18]).unwrap();
    assert_eq!((fixed[0], fixed[2], fixed[12]), (0x70, 6, 0x29));
    let described = execute(&[0x03, 1, 0, 0, 18]).unwrap();
    assert_eq!(described[..4], [0x72, 6, 0x29, 0]);
    let far = Sense::LBA_OUT_OF_RANGE.at(1 << 40);
    assert_eq!(
        (far.fixed()[0], far.descriptor().len()),
        (0x70, 20),
        "INFORMATION of 64 bits fits the descriptor format only"
    );
    assert_eq!(
        Sense::MISCOMPARE.at(7).fixed()[..7],
        [0xf0, 0, 0x0e, 0, 0, 0, 7]
    );
}

#[test]
fn ranges_beyond_the_end_are_errors() {
    let u = unit();
    let cases = [
        (0, 1, true),
        (1 << 33, 0, true),
        ((1 << 33) - 1, 1, true),
        ((1 << 33) - 1, 2, false),
        (u64::MAX, 1, false),
    ];
    for (lba, blocks, fine) in cases {
        assert_eq!(u.within(lba, blocks).is_ok(), fine, "{lba} {blocks}");
    }
}
