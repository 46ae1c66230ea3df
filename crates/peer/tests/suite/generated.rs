//! The committed code is what the protocol's file generates.

use std::path::Path;

const COMMITTED: &str = "src/generated/fescue.peer.v1.rs";

fn generate(out: &Path) {
    let files = protox::compile(["proto/peer.proto"], ["proto"]).expect("the protocol parses");
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)
        .expect("code is generated");
}

/// Writes the code anew when `REGENERATE` is set, as CONTRIBUTING describes.
#[test]
fn generated_matches_protocol() {
    let out = std::env::temp_dir().join(format!("fescue-peer-{}", std::process::id()));
    std::fs::create_dir_all(&out).expect("a folder for the code");
    generate(&out);
    let fresh = std::fs::read_to_string(out.join("fescue.peer.v1.rs")).expect("the code");
    std::fs::remove_dir_all(&out).expect("the folder goes");
    if std::env::var_os("REGENERATE").is_some() {
        std::fs::write(COMMITTED, &fresh).expect("the code is written");
    }
    let committed = std::fs::read_to_string(COMMITTED).expect("the committed code");
    assert!(
        committed == fresh,
        "run REGENERATE=1 cargo test -p fescue-peer"
    );
}
