//! Compiles the messages with `protox`, so that no `protoc` has to be installed.

fn main() {
    println!("cargo:rerun-if-changed=proto");
    let files =
        protox::compile(["proto/grebecleat.proto"], ["proto"]).expect("the messages compile");
    prost_build::Config::new()
        .bytes(["."])
        .btree_map(["."])
        // This message is much larger than the others, and rare. Boxed, it does not enlarge every
        // frame.
        .boxed(".grebecleat.wire.v1.Frame.body.host_metrics")
        .compile_fds(files)
        .expect("the messages become Rust");
}
