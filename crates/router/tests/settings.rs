//! The sample settings are in step with the parser.

use std::path::Path;

use poplar_router::settings::Settings;

fn sample() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../config/poplar-router.ini")
}

#[test]
fn the_sample_is_read_without_a_fault() {
    let settings = Settings::open(sample()).expect("the sample is right");
    assert_eq!(&*settings.name, "router-1");
}

#[test]
fn every_fault_of_a_file_is_told_at_once() {
    let text = std::fs::read_to_string(sample()).expect("the sample");
    let broken = text
        .replace("timeout = 1s", "timeout = 1 parsec")
        .replace("body = 1048576", "body = 7")
        .replace("[stop]", "[stop]\nlingre = 2s");
    let path = std::env::temp_dir().join(format!("poplar-router-{}.ini", std::process::id()));
    std::fs::write(&path, broken).expect("a temporary file");
    let faults = Settings::open(&path).expect_err("three faults").to_string();
    std::fs::remove_file(&path).expect("the temporary file");
    for part in ["timeout", "1 parsec", "body", "lingre"] {
        assert!(faults.contains(part), "{part} is not in: {faults}");
    }
}
