//! The program's exit codes.

use std::process::Command;

fn run(words: &[&str]) -> (i32, String) {
    let program = env!("CARGO_BIN_EXE_poplar-ctl");
    let output = Command::new(program).args(words).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    (output.status.code().unwrap(), text)
}

fn code(words: &[&str]) -> i32 {
    run(words).0
}

#[test]
fn exit_codes_are_0_1_and_2() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../config");
    let classes = format!("{root}/classes-nairobi.ini");
    let settings = format!("{root}/poplar-ctl.ini");
    assert_eq!(code(&["--help"]), 0);
    assert_eq!(code(&["--version"]), 0);
    assert_eq!(code(&["--json", "check", &classes]), 0);
    assert_eq!(code(&["check", &settings]), 1);
    // Nothing listens there, which shows that the sample's settings were read.
    let (failed, text) = run(&["show", "--settings", &settings]);
    assert!(failed == 1 && text.contains("platform is down"), "{text}");
    assert_eq!(code(&["show"]), 2);
    assert_eq!(code(&["show", "--tokens", "5", "--settings", &settings]), 2);
    assert_eq!(code(&["weigh", "--settings", &settings]), 2);
    assert_eq!(code(&["budget", "topup", "a", "--settings", &settings]), 2);
    assert_eq!(code(&["show", "--platform", "localhost:80"]), 2);
}
