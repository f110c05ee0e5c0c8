//! Bytes as a script of whole sessions through logins, commands, faults and losses.
#![no_main]

#[path = "../../crates/iscsi-target/tests/script/mod.rs"]
mod script;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| script::play(bytes));
