use super::*;

#[test]
fn a_quota_scales_the_rate_of_a_limit_and_nothing_else() {
    let terms = VolumeTerms {
        plan: PlanId(1),
        hosts: 4,
        limit: Some(LimitQuota {
            rate: 10.0,
            burst: 20.0,
        }),
    };
    let half = scaled_limit(terms, 0.5);
    assert_eq!(
        (half.plan, half.hosts, half.limit),
        (
            PlanId(1),
            4,
            Some(LimitQuota {
                rate: 5.0,
                burst: 20.0
            })
        )
    );
    assert_eq!(
        scaled_limit(terms, 0.0).limit,
        Some(LimitQuota {
            rate: 0.0,
            burst: 0.0
        })
    );
    assert_eq!(
        scaled_limit(
            VolumeTerms {
                limit: None,
                ..terms
            },
            0.5
        )
        .limit,
        None
    );
}
