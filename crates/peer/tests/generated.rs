//! Checks that the committed code is what `proto/peer.proto` generates.
//!
//! `POPLAR_BLESS=1 cargo test -p poplar-peer` writes the generated code to the
//! committed file first.

use std::path::Path;

#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = std::env::temp_dir().join(format!("poplar-peer-{}", std::process::id()));
    std::fs::create_dir_all(&out).expect("temporary folder");
    let descriptors = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])
        .expect("the protocol file compiles");
    tonic_prost_build::configure()
        .build_transport(true)
        .out_dir(&out)
        .compile_fds(descriptors)
        .expect("code is generated");
    let fresh = std::fs::read_to_string(out.join("poplar.peer.v1.rs")).expect("generated file");
    std::fs::remove_dir_all(&out).expect("temporary folder is removed");
    let committed = root.join("src/generated/peer.rs");
    if std::env::var_os("POPLAR_BLESS").is_some() {
        std::fs::write(&committed, &fresh).expect("generated file is written");
    }
    let committed = std::fs::read_to_string(committed).expect("committed file");
    assert!(
        fresh == committed,
        "run POPLAR_BLESS=1 cargo test -p poplar-peer"
    );
}
