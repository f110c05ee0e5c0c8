//! The revision from which a new connection resumes, connections that end with a response, and overdue calls.

use grebecleat_discovery::calls::Call;
use grebecleat_discovery::long_polling::{Action, Event, LongPolling, PollConn, Response};
use std::net::SocketAddr;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const FIRST: PollConn = PollConn(1);
const SECOND: PollConn = PollConn(2);

/// A well-formed response with changes, on a connection that stays open.
const CHANGES: Response = Response {
    revision: 5,
    is_complete: false,
    is_well_formed: true,
    is_empty: false,
    keep_alive: true,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns a state with one connection, on which the complete list of revision 5 was received.
fn polling_with_list() -> LongPolling {
    let mut polling = LongPolling::new(address(1), ms(6000));
    assert_eq!(first_call(&mut polling, ms(0), FIRST), Some(Call::Complete));
    let complete = Response {
        is_complete: true,
        ..CHANGES
    };
    respond(&mut polling, ms(10), complete);
    polling
}

/// Opens a connection, starts a watch on it, and returns the first call.
fn first_call(polling: &mut LongPolling, now: Duration, conn: PollConn) -> Option<Call> {
    polling.step(now, Event::Connected { conn });
    let actions = polling.step(now, Event::Watch { conn, on: true });
    actions.into_iter().find_map(|action| match action {
        Action::Call { call, .. } => Some(call),
        _ => None,
    })
}

/// Passes a response on the first connection.
fn respond(polling: &mut LongPolling, now: Duration, response: Response) -> Vec<Action> {
    let conn = FIRST;
    polling.step(now, Event::Answered { conn, response })
}

/// A call for the changes after a revision.
fn newer(revision: u64, wait: Duration) -> Option<Call> {
    Some(Call::Newer { revision, wait })
}

#[test]
fn a_new_connection_resumes_from_the_known_revision() {
    type Case = (&'static str, Response, Option<Call>);
    let cases: [Case; 4] = [
        (
            "changes",
            Response {
                revision: 6,
                ..CHANGES
            },
            newer(6, ms(0)),
        ),
        (
            "an entry cannot be parsed",
            Response {
                is_well_formed: false,
                ..CHANGES
            },
            Some(Call::Complete),
        ),
        (
            "the revision decreased",
            Response {
                revision: 4,
                ..CHANGES
            },
            Some(Call::Complete),
        ),
        (
            "the revision decreased, in a complete list",
            Response {
                revision: 4,
                is_complete: true,
                ..CHANGES
            },
            newer(4, ms(0)),
        ),
    ];
    for (name, response, expected) in cases {
        let mut polling = polling_with_list();
        respond(&mut polling, ms(20), response);
        let call = first_call(&mut polling, ms(1000), SECOND);
        assert_eq!(call, expected, "{name}");
    }
}

#[test]
fn a_connection_shortly_after_a_response_continues_the_watch() {
    let mut polling = polling_with_list();
    let call = first_call(&mut polling, ms(100), SECOND);
    assert_eq!(call, newer(5, ms(2000)));
}

#[test]
fn another_address_gets_a_call_for_the_complete_list() {
    let mut polling = polling_with_list();
    let address = address(2);
    polling.step(ms(20), Event::Moved { address });
    let call = first_call(&mut polling, ms(30), SECOND);
    assert_eq!(call, Some(Call::Complete));
}

#[test]
fn a_connection_that_ends_early_and_empty_is_dropped() {
    let last = Response {
        keep_alive: false,
        is_empty: true,
        ..CHANGES
    };
    let conn = FIRST;
    let early = respond(&mut polling_with_list(), ms(20), last);
    assert_eq!(early, [Action::Drop { conn }]);
    let after_half_of_the_wait = respond(&mut polling_with_list(), ms(1010), last);
    assert_eq!(after_half_of_the_wait, [Action::End { conn }]);
}

#[test]
fn an_overdue_call_is_reported_once() {
    let mut polling = polling_with_list();
    let conn = FIRST;
    let overdue_at = ms(10) + ms(3000);
    assert!(polling
        .step(overdue_at - ms(1), Event::CheckTimeouts)
        .is_empty());
    let reports = polling.step(overdue_at, Event::CheckTimeouts);
    assert_eq!(reports, [Action::ReportOverdue { conn }]);
    assert!(polling.step(overdue_at, Event::CheckTimeouts).is_empty());
}
