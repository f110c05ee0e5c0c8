//! The number of volumes that clients can make a host remember.

mod common;
use common::*;
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::Scheduler;

/// Number of idle volumes that a host remembers, and of all volumes that requests may name.
const MAX_IDLE: usize = 4096;
const MAX_NAMED: usize = 4 * MAX_IDLE;
/// More than a control interval, after which the scheduler forgets volumes.
const LATER_MS: u64 = 2000;

/// Returns a request for a shard without a node, which is rejected at once.
fn request_of(volume: u64, now: u64) -> Request {
    let mut id = [0; 36];
    id[..8].copy_from_slice(&volume.to_le_bytes());
    Request {
        id: RequestId(id),
        volume: VolumeId(volume),
        shard: Some(ShardId(99)),
        ..request(0, ms(now + 500))
    }
}

fn name_volumes(scheduler: &mut Scheduler, volumes: std::ops::Range<u64>, now: u64) {
    for volume in volumes {
        step_at(scheduler, now, receive(request_of(volume, now)));
    }
}

/// Guards against clients that name ever new volumes, each of which the host remembered for good.
#[test]
fn volumes_that_requests_named_are_forgotten_once_idle_those_with_the_oldest_requests_first() {
    let mut scheduler = idempotent_host(plan(0.0));
    let mut now = 1000;
    for round in 0..4 {
        let first = round * 3000;
        name_volumes(&mut scheduler, first..first + 3000, now);
        step_at(&mut scheduler, now + 1, receive(request_of(0, now)));
        now += LATER_MS;
        step_at(&mut scheduler, now, vec![]);
        assert!(scheduler.volume_count() <= MAX_IDLE, "round {round}");
    }
    assert_eq!(scheduler.volume_count(), MAX_IDLE);
    name_volumes(&mut scheduler, 12_000..12_000 + MAX_NAMED as u64, now);
    assert!(!scheduler.has_place_for_volume(VolumeId(u64::MAX)));
    assert!(
        scheduler.has_place_for_volume(VolumeId(0)),
        "used in each round"
    );
    assert!(!scheduler.has_place_for_volume(VolumeId(1)), "forgotten");
    step_at(&mut scheduler, now + LATER_MS, vec![]);
    assert!(scheduler.has_place_for_volume(VolumeId(u64::MAX)));
    assert_eq!(scheduler.volume_count(), MAX_IDLE);
}

/// Guards against a limit that starts anew when its volume is forgotten: the quota of a volume that is
/// named again starts empty.
#[test]
fn a_limit_is_not_exceeded_by_a_volume_that_was_forgotten() {
    let limited_plan = Plan {
        limit: 0.02,
        limit_burst: 4.0,
        ..plan(50.0)
    };
    let mut scheduler = idempotent_host(limited_plan);
    let one_host = |n, now: u64| Request {
        hosts: 1,
        ..request(n, ms(now + 500_000))
    };
    step_at(&mut scheduler, 1000, receive(one_host(1, 1000)));
    let (first, ..) = step_at(&mut scheduler, 201_000, vec![]);
    assert_eq!(first.len(), 1, "the bucket has filled");
    step_at(&mut scheduler, 201_001, completed(&first, 1));
    // The volume's demand has decayed before the others are named.
    for seconds in 202..240 {
        step_at(&mut scheduler, seconds * 1000, vec![]);
    }
    name_volumes(&mut scheduler, 1000..1000 + MAX_IDLE as u64 + 1, 240_000);
    step_at(&mut scheduler, 240_000 + LATER_MS, vec![]);
    assert_eq!(scheduler.volume_count(), MAX_IDLE);
    let (sent, ..) = step_at(&mut scheduler, 243_000, receive(one_host(2, 243_000)));
    assert_eq!(sent.len(), 0, "its bucket is empty");
}
