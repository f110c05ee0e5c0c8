//! Runs arbitrary bytes as a script of iSCSI sessions: logins, commands, faults and lost connections.
#![no_main]

#[path = "../../crates/iscsi-target/tests/script/mod.rs"]
mod script;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| script::play(bytes));
