use super::*;

#[test]
fn values_are_rounded_to_three_significant_digits() {
    for (value, expected) in [
        (0.0, 0.0),
        (1234.5, 1230.0),
        (0.012344, 0.0123),
        (-7.0, -7.0),
        (f64::NAN, 0.0),
    ] {
        assert!(
            (round_significant(value) - expected).abs() < 1e-9,
            "{value}"
        );
    }
}
