use super::*;

#[test]
fn figures_are_rounded_to_three_digits() {
    for (x, is) in [
        (0.0, 0.0),
        (1234.5, 1230.0),
        (0.012344, 0.0123),
        (-7.0, -7.0),
        (f64::NAN, 0.0),
    ] {
        assert!((round(x) - is).abs() < 1e-9, "{x}");
    }
}
