//! Compiles the messages with `protox`, so that no `protoc` has to be installed.

fn main() {
    println!("cargo:rerun-if-changed=proto");
    let files =
        protox::compile(["proto/grebecleat.proto"], ["proto"]).expect("the messages compile");
    prost_build::Config::new()
        .bytes(["."])
        .btree_map(["."])
        // Many times as large as any other frame, and rare.
        .boxed(".grebecleat.wire.v1.Frame.body.host_metrics")
        .compile_fds(files)
        .expect("the messages become Rust");
}
