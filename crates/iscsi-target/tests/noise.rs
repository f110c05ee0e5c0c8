//! The scripts of `cargo fuzz`, drawn from seeds: short, and the same each time.

mod script;
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[test]
fn whole_sessions_of_noise_leave_nothing_behind() {
    for seed in 0..600 {
        let mut bytes = vec![0; 4000];
        Pcg64Mcg::seed_from_u64(seed).fill_bytes(&mut bytes);
        let played = std::panic::catch_unwind(|| script::play(&bytes));
        assert!(played.is_ok(), "seed {seed}");
    }
}
