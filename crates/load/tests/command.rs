//! Tests of the command line: exit codes, and the commands of the documentation.

use std::process::Command;

use poplar_base::args::Invocation;
use poplar_load::options;

fn exit_code(words: &[&str]) -> i32 {
    let program = env!("CARGO_BIN_EXE_poplar-load");
    let output = Command::new(program).args(words).output().unwrap();
    output.status.code().unwrap()
}

#[test]
fn invalid_options_exit_with_2_and_an_unreachable_router_with_0() {
    let valid = ["--mix", "nairobi", "--target", "127.0.0.1:1"];
    let with = |more: &[&'static str]| exit_code(&[&valid[..], more].concat());
    assert_eq!(exit_code(&["--help"]), 0);
    assert_eq!(exit_code(&["--mix", "nairobi"]), 2);
    assert_eq!(
        exit_code(&["--mix", "elsewhere", "--target", "127.0.0.1:1"]),
        2
    );
    assert_eq!(with(&["--rate", "0"]), 2);
    assert_eq!(with(&["--rate", "NaN"]), 2);
    assert_eq!(with(&["--duration", "2h"]), 2);
    assert_eq!(with(&["--rush", "nobody,10,1s,2s"]), 2);
    assert_eq!(with(&["--rush", "teams,10,2s,1s"]), 2);
    assert_eq!(with(&["--only", "festival-plan"]), 2);
    assert_eq!(exit_code(&["--plot", "x.svg"]), 2);
    assert_eq!(with(&["--duration", "100ms", "--attempts", "1"]), 0);
}

#[test]
fn the_documented_commands_are_accepted() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/developers/load.md");
    let page = std::fs::read_to_string(path).unwrap();
    let lines = page.lines().filter(|l| l.starts_with("poplar-load --"));
    let mut count = 0;
    for line in lines {
        let words = line.split_whitespace().skip(1).map(str::to_owned);
        let Ok(Invocation::Run(matches)) = options::command().parse(words) else {
            panic!("{line}");
        };
        assert!(matches.opt_present("plot") || options::read(&matches, "test").is_ok());
        count += 1;
    }
    assert_eq!(count, 5);
}
