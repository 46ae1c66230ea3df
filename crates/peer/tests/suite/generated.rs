//! Tests that the committed code matches `proto/peer.proto`.

use std::path::Path;

const COMMITTED: &str = "src/generated/fescue.peer.v1.rs";

fn generate(out: &Path) {
    let files =
        protox::compile(["proto/peer.proto"], ["proto"]).expect("proto/peer.proto compiles");
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)
        .expect("failed to generate code");
}

/// Guards against a protocol file that changed without its generated code. Rewrites the code if
/// `REGENERATE` is set, as CONTRIBUTING describes.
#[test]
fn generated_matches_protocol() {
    let out = std::env::temp_dir().join(format!("fescue-peer-{}", std::process::id()));
    std::fs::create_dir_all(&out).expect("failed to create the output directory");
    generate(&out);
    let fresh = std::fs::read_to_string(out.join("fescue.peer.v1.rs"))
        .expect("failed to read the generated code");
    std::fs::remove_dir_all(&out).expect("failed to remove the output directory");
    if std::env::var_os("REGENERATE").is_some() {
        std::fs::write(COMMITTED, &fresh).expect("failed to write the committed code");
    }
    let committed = std::fs::read_to_string(COMMITTED).expect("failed to read the committed code");
    assert!(
        committed == fresh,
        "run REGENERATE=1 cargo test -p fescue-peer"
    );
}
