use super::*;

/// Guards against a line whose figures repeat those of the previous one.
#[test]
fn a_line_states_what_was_spent_since_the_previous_one() {
    let us = Duration::from_micros;
    let mut time = OwnerTime::default();
    for waited in [10, 30] {
        time.event();
        time.read(4, us(waited));
    }
    time.step();
    time.turn();
    time.spent(Activity::Parsing, us(6));
    time.spent(Activity::Deciding, us(2));
    time.spent(Activity::Idle, us(100));
    assert_eq!(
        time.take().to_string(),
        "owner steps=1 events=2 turns=1 reads=2 bytes=8 copying_us=0 parsing_us=6 deciding_us=2 \
         writing_us=0 sweeping_us=0 idle_us=100 busy_ns_per_event=4000 busy_ns_per_byte=1000 mean_wait_us=20 \
         longest_wait_us=30"
    );
    assert!(time.take().to_string().contains("events=0"));
}
