//! The client's calls: the timeout of dial and call, overdue links, address changes and failures.

use grebecleat_discovery::{Action, DiscoveryClient, Event, FailureReason, LinkId, LogEvent};
use grebecleat_wire::pb::{self, frame::Body};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const CALL_TIMEOUT: Duration = ms(2000);

fn client() -> DiscoveryClient {
    DiscoveryClient::new(CALL_TIMEOUT)
}

/// Opens the first link, sends a watch on it, and returns the link.
fn open_watch(client: &mut DiscoveryClient) -> LinkId {
    let link = dialled(&client.step(ms(0), Event::Watch { on: true }));
    client.step(ms(1), Event::Connected { link });
    link
}

/// Returns the link of the only dial among the actions.
fn dialled(actions: &[Action]) -> LinkId {
    let dials: Vec<LinkId> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Dial { link } => Some(*link),
            _ => None,
        })
        .collect();
    assert_eq!(dials.len(), 1, "{actions:?}");
    dials[0]
}

/// Returns the links that the actions close.
fn closed(actions: &[Action]) -> Vec<LinkId> {
    let closed = actions.iter().filter_map(|action| match action {
        Action::Close { link } => Some(*link),
        _ => None,
    });
    closed.collect()
}

/// Returns whether the actions confirm that the list is up to date.
fn confirms_list(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::ConfirmList))
}

/// Returns the events that the actions log.
fn logged(actions: &[Action]) -> Vec<LogEvent> {
    let events = actions.iter().filter_map(|action| match action {
        Action::Log(event) => Some(event.clone()),
        _ => None,
    });
    events.collect()
}

/// Returns the event that discovery has sent a complete list with one node on the link.
fn response(link: LinkId) -> Event {
    let list = pb::EndpointUpdate {
        kind: pb::EndpointUpdateKind::Snapshot.into(),
        revision: 1,
        endpoints: vec![pb::Endpoint {
            node: 1,
            state: pb::NodeState::Ready.into(),
            address: "127.0.0.1:9".into(),
            ..pb::Endpoint::default()
        }],
    };
    let frames = vec![pb::Frame {
        sent_us: 0,
        body: Some(Body::EndpointUpdate(list)),
    }];
    Event::Received { link, frames }
}

#[test]
fn dial_and_call_share_one_timeout() {
    let mut client = client();
    let link = dialled(&client.step(ms(0), Event::Watch { on: true }));
    client.step(ms(1500), Event::Connected { link });
    assert_eq!(client.wake_at(), Some(CALL_TIMEOUT));
    assert!(client.step(ms(1999), Event::CheckTimeout).is_empty());
    let actions = client.step(CALL_TIMEOUT, Event::CheckTimeout);
    assert_eq!(
        logged(&actions),
        [LogEvent::CallFailed {
            reason: FailureReason::TimedOut,
            since_response: None,
            failures: 1
        }]
    );
    assert!(
        closed(&actions).is_empty(),
        "the overdue link must stay open"
    );
}

#[test]
fn a_response_to_an_overdue_call_replaces_the_later_call() {
    let mut client = client();
    let first = open_watch(&mut client);
    client.step(CALL_TIMEOUT, Event::CheckTimeout);
    let second = dialled(&client.step(ms(2500), Event::Watch { on: true }));
    client.step(ms(2501), Event::Connected { link: second });
    let actions = client.step(ms(2600), response(first));
    assert_eq!(closed(&actions), [second]);
    assert!(confirms_list(&actions));
    assert_eq!(
        logged(&actions),
        [
            LogEvent::OverdueCallAnswered,
            LogEvent::Recovered { failures: 1 }
        ]
    );
}

#[test]
fn a_response_on_the_active_link_closes_the_overdue_links() {
    let mut client = client();
    let first = open_watch(&mut client);
    client.step(CALL_TIMEOUT, Event::CheckTimeout);
    let second = dialled(&client.step(ms(2500), Event::Watch { on: true }));
    client.step(ms(2501), Event::Connected { link: second });
    let actions = client.step(ms(2600), response(second));
    assert_eq!(closed(&actions), [first]);
    let late = client.step(ms(2700), response(first));
    assert!(
        !confirms_list(&late),
        "a response on a closed link must be ignored"
    );
}

#[test]
fn after_an_address_change_the_former_link_is_read_but_does_not_confirm_the_list() {
    let mut client = client();
    let former = open_watch(&mut client);
    client.step(ms(10), response(former));
    let actions = client.step(ms(20), Event::Moved);
    assert_ne!(dialled(&actions), former);
    assert!(closed(&actions).is_empty());
    let actions = client.step(ms(30), response(former));
    let applies = |action: &Action| matches!(action, Action::Apply(_));
    assert!(actions.iter().any(applies) && !confirms_list(&actions));
}

#[test]
fn a_refusal_of_a_continued_watch_confirms_the_list() {
    for up_to_date in [false, true] {
        let mut client = client();
        let link = open_watch(&mut client);
        let waited = ms(7);
        let actions = client.step(
            ms(10),
            Event::Refused {
                link,
                waited,
                up_to_date,
            },
        );
        assert_eq!(confirms_list(&actions), up_to_date);
        let reports = |action: &Action| matches!(action, Action::ReportRefusal { waited: reported } if *reported == waited);
        assert!(actions.iter().any(reports), "{actions:?}");
    }
}

#[test]
fn a_connection_that_ends_with_its_response_is_not_a_failure() {
    let mut client = client();
    let link = open_watch(&mut client);
    client.step(ms(10), response(link));
    let actions = client.step(ms(11), Event::Ended { link });
    let next = dialled(&actions);
    assert!(logged(&actions).is_empty());
    let actions = client.step(ms(12), Event::Connected { link: next });
    assert!(matches!(actions[..], [Action::Send { .. }]), "{actions:?}");
    assert_eq!(
        client.wake_at(),
        None,
        "the transport, not the client, applies the timeout of a continued watch"
    );
}
