//! Nanoseconds that one request costs the decisions, and the desk with them, in a closed loop: each
//! answer brings a new request, so that the numbers out and held stay.

use crate::site;
use bytes::Bytes;
use grebecleat_host::outbox::Outbox;
use grebecleat_host::router::{ConnId, Input, Output, RequestRouter};
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::Scheduler;
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn measure(span: Duration) {
    println!(
        "| nodes | open | held | batch | decisions, ns a transfer | desk and decisions, ns a transfer |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for nodes in [10, 100, 1000] {
        for open in [1, 100, 10_000] {
            for batch in [1, 32] {
                let (alone, held) = decisions(nodes, open, batch, span);
                let router = router(nodes, open, batch, span);
                println!("| {nodes} | {open} | {held} | {batch} | {alone:.0} | {router:.0} |");
            }
        }
    }
}

fn settings(nodes: u32) -> Settings {
    Settings::read("bench.star".as_ref(), site(nodes, 600)).expect("good settings")
}

fn id(n: u64) -> RequestId {
    let mut id = [b'0'; 36];
    id[..8].copy_from_slice(&n.to_le_bytes());
    RequestId(id)
}

/// The decisions alone: virtual time goes on by 50 us for each request, as at 20,000 a second.
fn decisions(nodes: u32, open: usize, batch: usize, span: Duration) -> (f64, usize) {
    let s = settings(nodes);
    let traffic_classes = s.traffic_classes.iter().map(|x| x.facts.clone()).collect();
    let plans = s.plans.iter().map(|p| p.facts.clone()).collect();
    let list = DiscoveryPolicy {
        polled: false,
        poll_interval: ms(10_000),
        lease: None,
    };
    let mut scheduler = Scheduler::new(
        1,
        traffic_classes,
        plans,
        s.units.clone(),
        s.host_limits.clone(),
    )
    .with_rules(s.rules.cold.clone(), list, None, ms(200));
    let entry = |n: u32| Endpoint {
        node: NodeId(n + 1),
        zone: ZoneId(0),
        shard: ShardId(n + 1),
        state: NodeState::Ready,
        started: None,
    };
    let endpoints = (0..nodes).map(entry).collect();
    let mut now = ms(1000);
    scheduler.step(
        now,
        vec![Event::EndpointUpdate {
            kind: EndpointUpdateKind::Snapshot,
            endpoints,
        }],
    );
    let (mut next, mut out) = (0u64, VecDeque::new());
    let mut events = Vec::new();
    let take = |next: &mut u64, now: Duration| {
        *next += 1;
        Event::RequestReceived(Request {
            id: id(*next),
            units: 1.0,
            shard: Some(ShardId((*next % u64::from(nodes)) as u32 + 1)),
            traffic_class: TrafficClassId(0),
            plan: PlanId(0),
            hosts: 1,
            key: None,
            deadline: now + Duration::from_secs(600),
            volume: VolumeId(*next % 100),
        })
    };
    events.extend((0..open).map(|_| take(&mut next, now)));
    let mut run =
        |events: Vec<Event>, now: Duration, out: &mut VecDeque<(RequestId, NodeId)>| -> usize {
            let mut gone = 0;
            for action in scheduler.step(now, events) {
                match action {
                    Action::SendAttempt { id, node, .. } => out.push_back((id, node)),
                    Action::Reject { .. } | Action::Fail { .. } => gone += 1,
                    _ => {}
                }
            }
            gone
        };
    run(events, now, &mut out);
    let (started, mut requests, mut open) = (Instant::now(), 0u64, open);
    while started.elapsed() < span {
        now += Duration::from_micros(50) * batch as u32;
        let mut events = Vec::new();
        for _ in 0..batch {
            let Some((id, node)) = out.pop_front() else {
                break;
            };
            events.push(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: 0,
                node,
                outcome: AttemptOutcome::Completed,
                elapsed: ms(1),
                answered: true,
                reported: None,
                others: 0.0,
                busy: None,
            }));
            events.push(take(&mut next, now));
            requests += 1;
        }
        let gone = run(events, now, &mut out);
        open -= gone.min(open);
        // What was given up is replaced, or nothing would be held after a while.
        if gone > 0 {
            let again = (0..gone).map(|_| take(&mut next, now)).collect();
            open += gone;
            open -= run(again, now, &mut out).min(open);
        }
    }
    let held = open.saturating_sub(out.len());
    (
        started.elapsed().as_nanos() as f64 / requests.max(1) as f64,
        held,
    )
}

/// The desk with the decisions inside, its outboxes pulled as writers would.
fn router(nodes: u32, open: usize, batch: usize, span: Duration) -> f64 {
    let mut router = RequestRouter::new(Arc::new(settings(nodes)), 1);
    let mut now = ms(1000);
    let entry = |n: u32| pb::Endpoint {
        node: n + 1,
        shard: n + 1,
        state: pb::NodeState::Ready.into(),
        address: "127.0.0.1:9".into(),
        start: 1,
        ..Default::default()
    };
    let list = pb::EndpointUpdate {
        kind: pb::EndpointUpdateKind::Snapshot.into(),
        revision: 1,
        endpoints: (0..nodes).map(entry).collect(),
    };
    let client = ConnId(1 << 50);
    let to_client = Arc::new(Outbox::new(|| (), || ()));
    let mut boxes: HashMap<ConnId, Arc<Outbox>> = HashMap::new();
    let rung: Arc<Mutex<Vec<ConnId>>> = Arc::default();
    let mut out: VecDeque<(ConnId, u64)> = VecDeque::new();
    let mut next = 0u64;
    let mut take = |now: Duration| {
        next += 1;
        let id = Bytes::copy_from_slice(&id(next).0);
        let shard = Some((next % u64::from(nodes)) as u32 + 1);
        let take = pb::SubmitRequest {
            piece: id.clone(),
            id,
            volume: next % 100,
            shard,
            units: 1.0,
            left_us: 600_000_000,
            length: 512,
            ..Default::default()
        };
        pb::Frame {
            sent_us: now.as_micros() as u64,
            body: Some(Body::SubmitRequest(take)),
        }
    };
    let mut inputs = vec![
        Input::CachedEndpoints { list },
        Input::ClientUp {
            conn: client,
            outbox: to_client.clone(),
        },
        Input::ClientFrames {
            conn: client,
            at: now,
            frames: (0..open).map(|_| take(now)).collect(),
        },
    ];
    let (mut started, mut requests, mut warm) = (Instant::now(), 0u64, false);
    while !warm || started.elapsed() < span {
        let mut ups = Vec::new();
        for output in router.step(now, inputs) {
            if let Output::Dial { conn, .. } = output {
                let rung = rung.clone();
                let ring = move || rung.lock().expect("one thread").push(conn);
                let outbox = Arc::new(Outbox::new(ring, || ()));
                boxes.insert(conn, outbox.clone());
                ups.push(Input::NodeUp { conn, outbox });
            }
        }
        let dialled = !ups.is_empty();
        router.step(now, ups);
        let answered = to_client.take_batch(|| now, usize::MAX).frames.len();
        to_client.batch_written();
        // Only connections with something to write are looked at, as a bell wakes their writers.
        for conn in std::mem::take(&mut *rung.lock().expect("one thread")) {
            let outbox = &boxes[&conn];
            let attempts = outbox.take_batch(|| now, usize::MAX).frames.into_iter();
            out.extend(attempts.filter_map(|f| match f.body {
                Some(Body::Attempt(l)) => Some((conn, l.attempt)),
                _ => None,
            }));
            outbox.batch_written();
        }
        if !warm && !dialled && requests > 2000.min(open as u64 * 20) {
            (started, requests, warm) = (Instant::now(), 0, true);
        }
        now += Duration::from_micros(50) * batch as u32;
        inputs = Vec::new();
        for _ in 0..batch {
            let Some((conn, attempt)) = out.pop_front() else {
                break;
            };
            let a = pb::AttemptResponse {
                attempt,
                result: pb::Result::Ok.into(),
                ..Default::default()
            };
            let frames = vec![pb::Frame {
                sent_us: 0,
                body: Some(Body::AttemptResponse(a)),
            }];
            inputs.push(Input::NodeFrames {
                conn,
                at: now,
                frames,
            });
            requests += 1;
        }
        let frames: Vec<_> = (0..answered).map(|_| take(now)).collect();
        if !frames.is_empty() {
            inputs.push(Input::ClientFrames {
                conn: client,
                at: now,
                frames,
            });
        }
    }
    started.elapsed().as_nanos() as f64 / requests.max(1) as f64
}
