use super::*;

#[test]
fn only_changed_rows_are_reported_and_a_new_service_receives_all() {
    let row = |node, attempts, unsure_us| pb::NodeObservation {
        node,
        attempts,
        unsure_us,
        ..Default::default()
    };
    let nodes = |rows: &[pb::NodeObservation]| rows.iter().map(|row| row.node).collect::<Vec<_>>();
    let mut report = ObservationReport::default();
    assert_eq!(nodes(&report.changes([row(1, 0, 0), row(2, 3, 0)])), [1, 2]);
    assert_eq!(nodes(&report.changes([row(1, 0, 0), row(2, 2, 900)])), [2]);
    assert!(
        report.changes([row(1, 0, 0), row(2, 2, 100)]).is_empty(),
        "the remaining time has only become shorter"
    );
    assert_eq!(nodes(&report.changes([row(1, 0, 0), row(2, 2, 0)])), [2]);
    report.forget();
    assert_eq!(nodes(&report.changes([row(1, 0, 0), row(2, 2, 0)])), [1, 2]);
}
