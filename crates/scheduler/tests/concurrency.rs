//! Back-off of the concurrency limit.

mod common;
use common::*;

#[test]
fn late_answers_pace_requests_below_one_outstanding() {
    let mut scheduler = idempotent_host(plan(100.0));
    let mut sends = vec![0; 8];
    for t in (1010..9010).step_by(10) {
        let n = ((t / 10) % 250) as u8;
        let (sent, ..) = step_at(&mut scheduler, t, receive(request(n, ms(t + 900))));
        sends[(t as usize - 1010) / 1000] += sent.len();
        let late = if t < 1100 { 10 } else { 180 };
        step_at(&mut scheduler, t + 1, completed(&sent, late));
    }
    assert!(sends[7] * 4 < sends[0], "{sends:?}");
}
