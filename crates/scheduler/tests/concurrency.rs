//! Backoff of the concurrency limit at a node that completes requests late.

mod common;
use common::*;

#[test]
fn late_completions_lower_the_rate_below_one_outstanding_attempt() {
    let mut scheduler = idempotent_host(plan(100.0));
    let mut sent_each_second = vec![0; 8];
    for t in (1010..9010).step_by(10) {
        let n = ((t / 10) % 250) as u8;
        let (sent, ..) = step_at(&mut scheduler, t, receive(request(n, ms(t + 900))));
        sent_each_second[(t as usize - 1010) / 1000] += sent.len();
        let elapsed = if t < 1100 { 10 } else { 180 };
        step_at(&mut scheduler, t + 1, completed(&sent, elapsed));
    }
    assert!(
        sent_each_second[7] * 4 < sent_each_second[0],
        "{sent_each_second:?}"
    );
}
