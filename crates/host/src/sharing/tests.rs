use super::*;

#[test]
fn a_part_scales_the_rate_of_a_limit_and_nothing_else() {
    let terms = Terms {
        plan: PlanId(1),
        hosts: 4,
        limit: Some((10.0, 20.0)),
    };
    let half = limit_times(terms, 0.5);
    assert_eq!(
        (half.plan, half.hosts, half.limit),
        (PlanId(1), 4, Some((5.0, 20.0)))
    );
    assert_eq!(limit_times(terms, 0.0).limit, Some((0.0, 0.0)));
    assert_eq!(
        limit_times(
            Terms {
                limit: None,
                ..terms
            },
            0.5
        )
        .limit,
        None
    );
}
