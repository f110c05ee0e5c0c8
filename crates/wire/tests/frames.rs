//! Properties of frames: complete messages are read as they were written, however the bytes are
//! split, and damage is reported.

use grebecleat_wire::frame::{write, FrameFault, Reader};
use grebecleat_wire::pb::{self, frame::Body};
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Returns a random frame.
fn random_frame(rng: &mut Pcg64Mcg) -> pb::Frame {
    let mut data = vec![0; rng.random_range(0..300)];
    rng.fill_bytes(&mut data);
    let id = data.iter().copied().take(36).collect::<Vec<u8>>().into();
    let body = match rng.random_range(0..5) {
        0 => Body::SubmitRequest(pb::SubmitRequest {
            id,
            units: rng.random(),
            key: rng.random::<bool>().then(|| rng.random()),
            shard: rng.random::<bool>().then(|| rng.random()),
            left_us: rng.random(),
            data: data.into(),
            ..Default::default()
        }),
        1 => Body::AttemptResponse(pb::AttemptResponse {
            attempt: rng.random(),
            result: 2,
            data: data.into(),
            ..Default::default()
        }),
        2 => Body::EndpointUpdate(pb::EndpointUpdate {
            kind: 2,
            revision: rng.random(),
            endpoints: (0..rng.random_range(0..20))
                .map(|node| pb::Endpoint {
                    node,
                    address: "127.0.0.1:1".into(),
                    ..Default::default()
                })
                .collect(),
        }),
        3 => Body::GoingAway(pb::GoingAway {}),
        _ => Body::Response(pb::Response {
            id,
            outcome: 1,
            retry_after_us: Some(rng.random()),
            ..Default::default()
        }),
    };
    pb::Frame {
        sent_us: rng.random(),
        body: Some(body),
    }
}

#[test]
fn frames_are_read_as_they_were_written_however_they_are_split() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let sent: Vec<pb::Frame> = (0..20).map(|_| random_frame(&mut rng)).collect();
        let mut bytes = Vec::new();
        for frame in &sent {
            write(frame, &mut bytes);
        }
        let mut reader = Reader::new(64 << 10);
        let mut read = Vec::new();
        let mut start = 0;
        while start < bytes.len() {
            let length = rng.random_range(1..200).min(bytes.len() - start);
            reader.push(&bytes[start..start + length]);
            start += length;
            while let Some(frame) = reader.next::<pb::Frame>().expect("complete frames") {
                read.push(frame);
            }
        }
        assert_eq!((read, reader.partial()), (sent, 0), "seed {seed}");
    }
}

#[test]
fn a_frame_with_a_changed_byte_is_never_accepted() {
    for seed in 0..500 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let sent = random_frame(&mut rng);
        let mut bytes = Vec::new();
        write(&sent, &mut bytes);
        let at = rng.random_range(0..bytes.len());
        bytes[at] ^= 1 << rng.random_range(0..8);
        let mut reader = Reader::new(64 << 10);
        reader.push(&bytes);
        let read = reader.next::<pb::Frame>();
        assert!(
            !matches!(read, Ok(Some(_))),
            "seed {seed}, byte {at}: {read:?}"
        );
    }
}

#[test]
fn noise_is_a_fault_or_incomplete_and_buffers_no_more_than_arrived() {
    for seed in 0..500 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut noise = vec![0; rng.random_range(0..2000)];
        rng.fill_bytes(&mut noise);
        let mut reader = Reader::new(1024);
        reader.push(&noise);
        while let Ok(Some(_)) = reader.next::<pb::Frame>() {}
        assert!(reader.partial() <= noise.len());
    }
}

#[test]
fn the_header_alone_decides_on_the_length_and_unknown_fields_are_skipped() {
    let mut reader = Reader::new(100);
    reader.push(&[0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0]);
    let most = FrameFault::TooLong {
        length: u32::MAX as usize,
        most: 100,
    };
    assert_eq!(reader.next::<pb::Frame>(), Err(most.clone()));
    assert_eq!(
        reader.next::<pb::Frame>(),
        Err(most),
        "every later call returns the fault"
    );
    // A message of a later version: a known body, and the unknown field 99.
    let message = [0x3a, 0, 0x9a, 0x06, 2, b'h', b'i'];
    let mut bytes = (message.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32c::crc32c(&message).to_le_bytes());
    bytes.extend(message);
    let mut reader = Reader::new(100);
    reader.push(&bytes);
    let read = reader.next::<pb::Frame>().unwrap().unwrap();
    assert!(
        matches!(read.body, Some(Body::AttemptResponse(_))),
        "{read:?}"
    );
}
