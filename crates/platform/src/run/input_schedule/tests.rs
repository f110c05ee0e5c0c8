use super::*;
use std::collections::BTreeMap;

const LARGE: ConnId = ConnId(LAST_DIALED_CONN + 1);
const SMALL: ConnId = ConnId(LAST_DIALED_CONN + 2);

#[test]
fn a_connection_with_little_input_waits_for_one_turn_of_each_other() {
    let mut schedule = InputSchedule::default();
    for number in 10..30 {
        schedule.add(ConnId(LAST_DIALED_CONN + number));
    }
    schedule.add(SMALL);
    let mut cost_before = 0;
    while let Some(mut turn) = schedule.begin_turn(Eligible::All) {
        if turn.conn() == SMALL {
            break;
        }
        // The others always have more.
        turn.charge_bytes(turn.left());
        cost_before += turn.spent();
        schedule.end_turn(&turn, true);
    }
    assert_eq!(cost_before, 20 * TURN_COST);
    assert!(!schedule.contains(SMALL) && schedule.contains(ConnId(LAST_DIALED_CONN + 10)));
}

/// Guards against connections whose messages cost more than a turn and that get as many turns as others.
#[test]
fn connections_with_input_share_the_work_by_cost() {
    let mut schedule = InputSchedule::default();
    schedule.add(LARGE);
    schedule.add(SMALL);
    let mut spent: BTreeMap<ConnId, usize> = BTreeMap::new();
    for _ in 0..1000 {
        let mut turn = schedule.begin_turn(Eligible::All).unwrap();
        let messages = if turn.conn() == LARGE { 9 } else { 1 };
        for _ in 0..messages {
            turn.charge_message();
        }
        *spent.entry(turn.conn()).or_default() += turn.spent();
        schedule.end_turn(&turn, true);
    }
    let (large, small) = (spent[&LARGE] as f64, spent[&SMALL] as f64);
    // The other connection never spends a whole turn.
    assert!(large / small < 2.1, "{large} and {small}");
}

#[test]
fn a_connection_waits_once_however_often_it_is_added() {
    let mut schedule = InputSchedule::default();
    schedule.add(SMALL);
    schedule.add(SMALL);
    let turn = schedule.begin_turn(Eligible::All).unwrap();
    schedule.add(SMALL);
    schedule.end_turn(&turn, true);
    assert!(schedule.begin_turn(Eligible::All).is_some());
    assert!(schedule.begin_turn(Eligible::All).is_none() && schedule.is_empty());
}

/// Guards against clients that hold up the responses of nodes, and nodes that hold up clients.
#[test]
fn nodes_and_clients_have_alternate_turns() {
    let mut schedule = InputSchedule::default();
    let nodes = [ConnId(1), ConnId(2)];
    for number in 0..6 {
        schedule.add(ConnId(LAST_DIALED_CONN + 1 + number));
    }
    for node in nodes {
        schedule.add(node);
    }
    let mut order = Vec::new();
    while let Some(turn) = schedule.begin_turn(Eligible::All) {
        order.push(nodes.contains(&turn.conn()));
    }
    let expected = [true, false, true, false, false, false, false, false];
    assert_eq!(order, expected);
    schedule.add(SMALL);
    assert!(schedule.begin_turn(Eligible::Dialed).is_none());
    schedule.add(nodes[0]);
    let turn = schedule.begin_turn(Eligible::Dialed).unwrap();
    assert_eq!(turn.conn(), nodes[0]);
}
