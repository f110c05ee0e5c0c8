//! Runs the target of `cargo fuzz` on short scripts from fixed seeds, so that each run is the same.

mod script;
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[test]
fn random_sessions_leave_no_state_behind() {
    for seed in 0..600 {
        let mut bytes = vec![0; 4000];
        Pcg64Mcg::seed_from_u64(seed).fill_bytes(&mut bytes);
        let played = std::panic::catch_unwind(|| script::play(&bytes));
        assert!(played.is_ok(), "seed {seed}");
    }
}
