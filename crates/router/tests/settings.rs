//! The parser accepts the sample settings and reports every fault of a file.

use std::path::Path;

use poplar_router::settings::Settings;

fn sample_path() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../config/poplar-router.ini")
}

#[test]
fn the_sample_settings_are_valid() {
    let settings = Settings::open(sample_path()).expect("the sample is valid");
    assert_eq!(&*settings.name, "router-1");
}

#[test]
fn all_faults_of_a_file_are_reported_at_once() {
    let text = std::fs::read_to_string(sample_path()).expect("the sample");
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
