use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
const LIMITS: WindowLimits = WindowLimits {
    initial: 16.0,
    maximum: 64.0,
    max_per_session: 32,
};

fn sum(p: &BackPressure) -> u32 {
    p.sessions.values().map(|s| s.granted).sum()
}

#[test]
fn simultaneous_rejections_count_once_and_completed_commands_raise_the_budget() {
    let (mut p, a) = (BackPressure::new(LIMITS), SessionNo(1));
    (0..16).for_each(|_| p.opened(a));
    let rejected = CommandResult::Rejected {
        retry_after: ms(500),
    };
    (0..10).for_each(|i| p.closed(ms(1000 + i), a, rejected));
    assert!((p.budget() - 11.2).abs() < 1e-9, "{}", p.budget());
    p.closed(ms(1500), a, rejected);
    assert!(p.budget() < 8.0);
    let low = p.budget();
    for t in 2000..2200 {
        (0..20).for_each(|_| p.opened(a));
        (0..20).for_each(|_| p.closed(ms(t), a, CommandResult::Completed));
    }
    assert!(p.budget() > low * 2.0 && p.budget() <= 64.0);
}

#[test]
fn an_unused_budget_does_not_grow() {
    let (mut p, a) = (BackPressure::new(LIMITS), SessionNo(1));
    for t in 0..1000 {
        p.opened(a);
        p.closed(ms(t), a, CommandResult::Completed);
    }
    assert_eq!(p.budget(), 16.0);
}

#[test]
fn a_greedy_session_leaves_the_others_their_share() {
    let (mut p, greedy, modest) = (BackPressure::new(LIMITS), SessionNo(1), SessionNo(2));
    p.join(modest);
    for round in 0..6 {
        for _ in 0..32 {
            p.opened(greedy);
        }
        (0..3).for_each(|_| p.opened(modest));
        p.step();
        (0..32).for_each(|_| p.closed(ms(round), greedy, CommandResult::Other));
        (0..3).for_each(|_| p.closed(ms(round), modest, CommandResult::Other));
    }
    let granted = |s: SessionNo| p.sessions[&s].granted;
    assert!(
        granted(modest) >= 4 && granted(greedy) >= 10,
        "{} {}",
        granted(modest),
        granted(greedy)
    );
    assert!(sum(&p) <= 16);
}

#[test]
fn windows_never_exceed_the_budget_except_for_the_minimum_of_each() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut p = BackPressure::new(LIMITS);
        for t in 0..200 {
            let s = SessionNo(rng.random_range(0..30));
            match rng.random_range(0..6) {
                0 => p.join(s),
                1 => p.leave(s),
                2 => p.closed(ms(t), s, CommandResult::Rejected { retry_after: ms(3) }),
                3 => p.closed(ms(t), s, CommandResult::Completed),
                _ => p.opened(s),
            }
            p.step();
            let n = p.sessions.len() as u32;
            assert!(p.sessions.values().all(|s| (1..=32).contains(&s.granted)));
            assert!(
                sum(&p) <= (p.budget().floor() as u32).max(n) + n,
                "seed {seed}"
            );
        }
    }
}

#[test]
fn fair_shares_use_the_whole_total_and_never_exceed_the_demand() {
    for seed in 0..500 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let demands: Vec<u32> = (0..rng.random_range(1..12))
            .map(|_| rng.random_range(0..20))
            .collect();
        let total = rng.random_range(0..100);
        let shares = max_min_shares(total, &demands);
        assert_eq!(
            shares.iter().sum::<u32>(),
            total.min(demands.iter().sum()),
            "{total} {demands:?}"
        );
        assert!(shares.iter().zip(&demands).all(|(g, a)| g <= a));
        // A session that got less than its demand got no less than any other, except for the
        // remainder of the division.
        let short = shares
            .iter()
            .zip(&demands)
            .filter(|(g, a)| g < a)
            .map(|(g, _)| *g)
            .min();
        assert!(
            short.is_none_or(|s| shares.iter().all(|g| *g <= s + 1)),
            "{total} {demands:?} {shares:?}"
        );
    }
}
