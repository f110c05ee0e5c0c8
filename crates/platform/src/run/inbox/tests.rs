use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a queue whose length depends on how the peer cut its bytes.
#[test]
fn small_reads_are_taken_together_in_order_with_the_time_of_the_first() {
    let mut inbox = Inbox::default();
    for n in 0..100u8 {
        inbox.push(ms(u64::from(n)), vec![n; 10], 11);
    }
    assert_eq!(inbox.len(), 1000);
    let taken = inbox.take(usize::MAX).unwrap();
    assert_eq!((taken.at, taken.charged), (ms(0), 1100));
    let expected: Vec<u8> = (0..100).flat_map(|n| [n; 10]).collect();
    assert_eq!(taken.bytes, expected);
    assert!(inbox.is_empty() && inbox.take(1).is_none());
}

#[test]
fn large_reads_keep_their_times_and_are_taken_in_parts() {
    let mut inbox = Inbox::default();
    inbox.push(ms(1), vec![1; MAX_MERGED_BYTES], 7);
    inbox.push(ms(2), vec![2; 5], 9);
    let mut taken = Vec::new();
    while let Some(part) = inbox.take(3000) {
        taken.push((part.at, part.bytes.len(), part.charged));
    }
    let rest = MAX_MERGED_BYTES - 3000;
    assert_eq!(taken, [(ms(1), 3000, 0), (ms(1), rest, 7), (ms(2), 5, 9)]);
}

#[test]
fn dropped_bytes_release_what_they_charged() {
    let mut inbox = Inbox::default();
    inbox.push(ms(1), vec![0; MAX_MERGED_BYTES], 100);
    inbox.push(ms(1), vec![0; MAX_MERGED_BYTES], 50);
    assert!(inbox.take(10).is_some_and(|taken| taken.charged == 0));
    assert_eq!(inbox.clear(), 150);
    assert!(inbox.is_empty() && inbox.take(1).is_none());
}
