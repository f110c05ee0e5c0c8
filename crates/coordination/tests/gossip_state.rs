//! Tests of the gossip state: which reports a host stores, drops and forwards, and how it raises its own
//! incarnation.

mod common;

use common::{ms, observation, NOW};
use grebecleat_coordination::gossip_message::GossipMessage;
use grebecleat_coordination::gossip_state::{
    GossipState, MergeOutcome, ENTRY_TIMEOUT, SYNC_TIMEOUT,
};
use grebecleat_coordination::host_report::{GossipEntry, HostReport, VersionStamp};
use grebecleat_coordination::{HostNumber, Incarnation};
use std::time::Duration;

/// Returns the state of host 0 with incarnation 10 and the peers 1 to `peers`.
fn gossip_state(peers: u32) -> GossipState {
    GossipState::new(
        NOW,
        HostNumber(0),
        Incarnation(10),
        ms(200),
        (1..=peers).map(HostNumber).collect(),
        3,
    )
}

fn entry(writer: u32, incarnation: u64, count: u64, age: Duration, attempts: u32) -> GossipEntry {
    let report = HostReport {
        observations: vec![observation(1, attempts, 0)],
        ..HostReport::default()
    };
    GossipEntry {
        writer: HostNumber(writer),
        version: VersionStamp {
            incarnation: Incarnation(incarnation),
            count,
        },
        age,
        report,
    }
}

/// Handles a message from host 2 with one entry.
fn handle_entry(state: &mut GossipState, now: Duration, entry: GossipEntry) -> MergeOutcome {
    let message = GossipMessage {
        incarnation: Incarnation(1),
        requests_sync: false,
        entries: vec![entry],
        lease_messages: Vec::new(),
    };
    state.handle_message(now, HostNumber(2), &message)
}

#[test]
fn the_larger_version_is_stored_in_any_order_of_arrival() {
    // Each case lists received entries as (incarnation, count, age in ms, attempts), and the attempts
    // of the entry that is stored after all of them.
    type Case<'a> = (&'a [(u64, u64, u64, u32)], u32);
    let cases: [Case; 5] = [
        (&[(1, 1, 0, 5), (1, 2, 0, 6)], 6),
        (&[(1, 2, 0, 6), (1, 1, 0, 5)], 6),
        (&[(1, 2, 0, 6), (1, 2, 0, 9)], 6),      // duplicated
        (&[(1, 900, 0, 5), (2, 1, 0, 6)], 6),    // a later incarnation
        (&[(1, 2, 0, 6), (2, 1, 60_000, 7)], 6), // too old to be stored
    ];
    for (received, stored) in cases {
        let mut state = gossip_state(3);
        for (incarnation, count, age, attempts) in received {
            let entry = entry(1, *incarnation, *count, ms(*age), *attempts);
            handle_entry(&mut state, NOW, entry);
        }
        let reports = state.reports(NOW);
        let all: Vec<u32> = reports
            .map(|known| known.report.observations[0].attempts)
            .collect();
        assert_eq!(all, [stored], "{received:?}");
    }
}

#[test]
fn an_expired_entry_is_dropped_and_does_not_come_back_through_a_slow_peer() {
    let mut state = gossip_state(3);
    handle_entry(&mut state, NOW, entry(1, 1, 5, ms(0), 6));
    let later = NOW + ENTRY_TIMEOUT;
    assert_eq!(state.reports(later).count(), 0);
    state.run_round(later);
    let outcome = handle_entry(&mut state, later, entry(1, 1, 5, ENTRY_TIMEOUT, 6));
    assert_eq!((outcome.updated.len(), outcome.rejected), (0, 1));
    // An entry of an unknown host is rejected as well.
    let outcome = handle_entry(&mut state, later, entry(77, 1, 5, ms(0), 6));
    assert_eq!(outcome.rejected, 1);
}

#[test]
fn a_restarted_host_requests_entries_and_raises_its_incarnation_before_it_publishes() {
    let mut state = gossip_state(3);
    let messages = state.run_round(NOW + ms(250)).messages;
    assert!(
        messages
            .iter()
            .all(|(_, message)| message.requests_sync && message.entries.is_empty()),
        "{messages:?}"
    );
    let outcome = handle_entry(&mut state, NOW + ms(300), entry(0, 40, 7, ms(0), 1));
    assert!(outcome.incarnation_raised);
    assert_eq!(state.incarnation(), Incarnation(41));
    state.publish(NOW + ms(300), HostReport::default(), true);
    let messages = state.run_round(NOW + SYNC_TIMEOUT + ms(300)).messages;
    let is_own = |entry: &GossipEntry| entry.writer == HostNumber(0);
    assert!(
        messages
            .iter()
            .any(|(_, message)| message.entries.iter().any(is_own)),
        "{messages:?}"
    );
}

#[test]
fn an_earlier_process_of_a_host_is_superseded_while_the_later_one_reports() {
    let mut state = gossip_state(3);
    let after = NOW + SYNC_TIMEOUT + ms(500);
    state.publish(after, HostReport::default(), true);
    state.run_round(after);
    let outcome = handle_entry(&mut state, after, entry(0, 11, 3, ms(0), 1));
    assert!(!outcome.incarnation_raised);
    assert!(state.is_superseded());
    // The host stays superseded while new entries of the other process arrive.
    handle_entry(&mut state, after + ms(9000), entry(0, 11, 40, ms(0), 1));
    assert!(!state.run_round(after + ms(12_000)).incarnation_raised);
    assert!(state.is_superseded());
    let raised = state.run_round(after + ms(19_500)).incarnation_raised;
    assert!(raised && !state.is_superseded());
    assert_eq!(state.incarnation(), Incarnation(12));
}
