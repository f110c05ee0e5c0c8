//! Frames that an earlier version sent (`tests/data`) are decoded whole: encoded again, they are
//! the same bytes.

use grebecleat_wire::frame::HEADER;
use grebecleat_wire::pb::{self, frame::Body};
use prost::Message;
use std::collections::BTreeMap;

/// The messages of a file of frames, undecoded.
fn messages(file: &[u8]) -> Vec<&[u8]> {
    let mut rest = file;
    let mut all = Vec::new();
    while !rest.is_empty() {
        let length = u32::from_le_bytes(rest[..4].try_into().unwrap()) as usize;
        all.push(&rest[HEADER..HEADER + length]);
        rest = &rest[HEADER + length..];
    }
    all
}

/// The number of a body's field in the protobuf file: what crosses the wire in place of its name.
fn field_number(body: &Body) -> u32 {
    let mut bytes = Vec::new();
    body.encode(&mut bytes);
    let (number, _) = prost::encoding::decode_key(&mut bytes.as_slice()).unwrap();
    number
}

fn check(file: &[u8], records: usize, bodies: &[(u32, usize)]) {
    let mut seen = BTreeMap::new();
    let messages = messages(file);
    for message in &messages {
        let record = pb::Record::decode(*message).unwrap();
        assert_eq!(record.encode_to_vec(), *message, "{record:?}");
        if let Some(body) = record.frame.and_then(|frame| frame.body) {
            *seen.entry(field_number(&body)).or_default() += 1;
        }
    }
    assert_eq!(messages.len(), records);
    assert_eq!(seen, bodies.iter().copied().collect());
}

#[test]
fn frames_between_the_former_versions_processes_are_decoded_whole() {
    check(
        include_bytes!("../../../tests/data/host.trace"),
        108,
        &[
            (3, 25),
            (4, 18),
            (6, 25),
            (7, 18),
            (12, 1),
            (14, 1),
            (18, 3),
            (19, 1),
            (20, 3),
            (30, 4),
        ],
    );
    check(
        include_bytes!("../../../tests/data/clients.trace"),
        57,
        &[(2, 3), (3, 32), (4, 18)],
    );
    check(
        include_bytes!("../../../tests/data/nodes.trace"),
        73,
        &[(2, 14), (6, 24), (7, 10), (15, 6)],
    );
    check(
        include_bytes!("../../../tests/data/state.trace"),
        207,
        &[
            (2, 24),
            (18, 39),
            (19, 9),
            (20, 36),
            (21, 3),
            (22, 19),
            (23, 1),
            (26, 20),
            (27, 2),
            (28, 1),
            (29, 1),
            (30, 3),
        ],
    );
}
