//! Exit codes of the program.

use std::process::Command;

fn run(args: &[&str]) -> (i32, String) {
    let program = env!("CARGO_BIN_EXE_poplar-ctl");
    let output = Command::new(program).args(args).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    (output.status.code().unwrap(), text)
}

fn exit_code(args: &[&str]) -> i32 {
    run(args).0
}

#[test]
fn exit_codes_are_0_1_and_2() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../config");
    let classes = format!("{root}/classes-nairobi.ini");
    let settings = format!("{root}/poplar-ctl.ini");
    assert_eq!(exit_code(&["--help"]), 0);
    assert_eq!(exit_code(&["--version"]), 0);
    assert_eq!(exit_code(&["--json", "check", &classes]), 0);
    assert_eq!(exit_code(&["check", &settings]), 1);
    // Nothing listens at the sample's address, so the error shows that the sample
    // settings were read.
    let (failed, text) = run(&["show", "--settings", &settings]);
    assert!(failed == 1 && text.contains("platform is down"), "{text}");
    assert_eq!(exit_code(&["show"]), 2);
    assert_eq!(
        exit_code(&["show", "--tokens", "5", "--settings", &settings]),
        2
    );
    assert_eq!(exit_code(&["weigh", "--settings", &settings]), 2);
    assert_eq!(
        exit_code(&["budget", "topup", "a", "--settings", &settings]),
        2
    );
    assert_eq!(exit_code(&["show", "--platform", "localhost:80"]), 2);
}
