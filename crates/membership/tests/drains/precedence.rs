//! Tests the precedence of the sources of evidence on a node's status.

use grebecleat_catalog::records::Stage::{self, Drained, Draining, Queued, Removed};
use grebecleat_membership::answers::ResponseHealth;
use grebecleat_membership::list_entry::ListedState;
use grebecleat_membership::node_status::{node_status, Evidence, NodeStatus, StatusSource};

fn evidence(drain: Option<Stage>, listed: ListedState, answers: ResponseHealth) -> Evidence {
    Evidence {
        drain,
        listed,
        answers,
        ..Evidence::default()
    }
}

fn warming(evidence: Evidence) -> Evidence {
    Evidence {
        warming: true,
        ..evidence
    }
}

fn restarted(evidence: Evidence) -> Evidence {
    Evidence {
        restarted_after_removal: true,
        ..evidence
    }
}

#[test]
fn the_source_with_precedence_decides_the_status() {
    use ListedState::{Gone, NeverListed, Ready};
    use NodeStatus as Status;
    use ResponseHealth::{Bad, Good, None as Unknown};
    use StatusSource::{EndpointList, Operators, Responses};
    let listed = |listed, answers| evidence(None, listed, answers);
    let drained = |stage, listed, answers| evidence(Some(stage), listed, answers);
    let cases = [
        (listed(NeverListed, Unknown), Status::Unknown, EndpointList),
        (listed(Ready, Unknown), Status::Ready, EndpointList),
        (listed(Ready, Good), Status::Ready, Responses),
        (warming(listed(Ready, Good)), Status::Warming, EndpointList),
        (warming(listed(Ready, Bad)), Status::Suspect, Responses),
        (
            listed(ListedState::Draining, Good),
            Status::Draining,
            EndpointList,
        ),
        (listed(Gone, Good), Status::Removed, EndpointList),
        (drained(Queued, Ready, Good), Status::Ready, Responses),
        (drained(Queued, Gone, Good), Status::Removed, EndpointList),
        (
            warming(restarted(drained(Draining, Ready, Good))),
            Status::Draining,
            Operators,
        ),
        (
            drained(Draining, Gone, Unknown),
            Status::Draining,
            Operators,
        ),
        (drained(Drained, Ready, Bad), Status::Drained, Operators),
        (drained(Removed, Gone, Unknown), Status::Removed, Operators),
        (drained(Removed, Ready, Unknown), Status::Removed, Operators),
        (
            warming(restarted(drained(Removed, Ready, Unknown))),
            Status::Returned,
            EndpointList,
        ),
        (
            warming(restarted(drained(Removed, Gone, Unknown))),
            Status::Removed,
            Operators,
        ),
    ];
    for (evidence, status, status_source) in cases {
        assert_eq!(
            node_status(&evidence),
            (status, status_source),
            "{evidence:?}"
        );
    }
}
