use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn attempt(n: u64) -> pb::Frame {
    pb::Frame {
        sent_us: 0,
        body: Some(Body::Attempt(pb::Attempt {
            attempt: n,
            left_us: 1,
            ..Default::default()
        })),
    }
}

fn attempts_of(batch: &Batch) -> Vec<(u64, u64)> {
    let attempts = batch.frames.iter().filter_map(|frame| match &frame.body {
        Some(Body::Attempt(message)) => Some((message.attempt, message.left_us)),
        _ => None,
    });
    attempts.collect()
}

#[test]
fn an_attempt_is_either_written_or_revoked() {
    let outbox = Outbox::new(|| (), || ());
    (1..=4).for_each(|n| outbox.put_attempt(AttemptId(n), attempt(n), ms(n), ms(100)));
    assert!(outbox.revoke(AttemptId(2)) && !outbox.revoke(AttemptId(2)));
    assert_eq!(outbox.stale(ms(2), ms(50)), [AttemptId(1)]);
    assert!(outbox.revoke(AttemptId(1)));
    assert_eq!(attempts_of(&outbox.take_batch(|| ms(60), 1)), [(3, 40_000)]);
    assert!(!outbox.revoke(AttemptId(3)), "it was written");
    // The deadline of the remaining attempt passes while the socket has no capacity.
    assert_eq!(attempts_of(&outbox.take_batch(|| ms(100), 1000)), []);
    assert_eq!(outbox.stale(ms(0), ms(100)), [AttemptId(4)]);
    assert!(outbox.revoke(AttemptId(4)));
    assert_eq!(
        (
            outbox.bytes(),
            attempts_of(&outbox.take_batch(|| ms(101), 1000)).len()
        ),
        (0, 0)
    );
    assert!(outbox.is_flushed());
}

/// The owner may have many inputs to handle before it learns of a cancellation or the end of a client's
/// connection. The writer must skip the attempt before that.
#[test]
fn an_attempt_is_not_written_once_its_client_has_cancelled_or_disconnected() {
    type Case = (&'static str, fn(&Outbox), bool);
    let id = Bytes::from_static(b"an id");
    let cancels = |outbox: &Outbox| {
        let id = Bytes::from_static(b"an id");
        outbox.record_cancellations(&[pb::Frame {
            sent_us: 0,
            body: Some(Body::CancelRequest(pb::CancelRequest { id })),
        }]);
    };
    let cancels_another = |outbox: &Outbox| {
        let id = Bytes::from_static(b"another");
        outbox.record_cancellations(&[pb::Frame {
            sent_us: 0,
            body: Some(Body::CancelRequest(pb::CancelRequest { id })),
        }]);
    };
    let cases: [Case; 4] = [
        ("it does nothing", |_| (), true),
        ("it cancels another request", cancels_another, true),
        ("it cancels the request", cancels, false),
        ("it disconnects", Outbox::close, false),
    ];
    for (case, act, written) in cases {
        let client = Arc::new(Outbox::new(|| (), || ()));
        let outbox = Outbox::new(|| (), || ());
        let body = pb::Attempt {
            attempt: 1,
            id: id.clone(),
            ..Default::default()
        };
        let attempt = pb::Frame {
            sent_us: 0,
            body: Some(Body::Attempt(body)),
        };
        outbox.put_client_attempt(AttemptId(1), attempt, ms(1), ms(100), Some(client.clone()));
        act(&client);
        assert_eq!(
            attempts_of(&outbox.take_batch(|| ms(2), 1000)).len(),
            usize::from(written),
            "{case}"
        );
        assert_eq!(
            outbox.revoke(AttemptId(1)),
            !written,
            "{case}: it never ran"
        );
        client.forget_cancellation(&id);
        assert!(client.lock().cancelled.len() <= 1, "{case}");
    }
}
