//! Compiles the messages with `protox`, so that no `protoc` has to be installed.

fn main() {
    println!("cargo:rerun-if-changed=proto");
    let files = protox::compile(["proto/grebecleat.proto", "proto/console.proto"], ["proto"])
        .expect("the messages compile");
    prost_build::Config::new()
        .bytes(["."])
        .btree_map(["."])
        .compile_fds(files)
        .expect("the messages become Rust");
}
