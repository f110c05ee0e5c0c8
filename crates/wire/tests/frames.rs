//! Properties of frames: whole messages come out as they went in, however the bytes are cut; damage
//! is told.

use grebecleat_wire::frame::{write, FrameFault, Reader};
use grebecleat_wire::pb::{self, frame::Body};
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn some_frame(rng: &mut Pcg64Mcg) -> pb::Frame {
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
fn frames_come_out_as_they_went_in_however_they_are_cut() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let sent: Vec<pb::Frame> = (0..20).map(|_| some_frame(&mut rng)).collect();
        let mut bytes = Vec::new();
        sent.iter().for_each(|f| _ = write(f, &mut bytes));
        let (mut reader, mut got, mut at) = (Reader::new(64 << 10), Vec::new(), 0);
        while at < bytes.len() {
            let n = rng.random_range(1..200).min(bytes.len() - at);
            reader.push(&bytes[at..at + n]);
            at += n;
            while let Some(f) = reader.next::<pb::Frame>().expect("whole frames") {
                got.push(f);
            }
        }
        assert_eq!((got, reader.partial()), (sent, 0), "seed {seed}");
    }
}

#[test]
fn a_changed_byte_is_never_taken_for_the_frame_that_was_sent() {
    for seed in 0..500 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let sent = some_frame(&mut rng);
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
fn noise_is_a_fault_or_unfinished_and_keeps_no_more_than_came() {
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
fn the_length_is_judged_by_the_header_alone_and_unknown_fields_are_skipped() {
    let mut reader = Reader::new(100);
    reader.push(&[0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0]);
    let most = FrameFault::TooLong {
        length: u32::MAX as usize,
        most: 100,
    };
    assert_eq!(reader.next::<pb::Frame>(), Err(most.clone()));
    assert_eq!(reader.next::<pb::Frame>(), Err(most), "it stays a fault");
    // A later version's message: a known body, and field 99 beside it.
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
