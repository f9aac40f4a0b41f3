//! Parsing of the command line: help, version and usage errors.

use poplar_base::args::{Command, Failure, Invocation, parse_option};

fn parse(args: &[&str]) -> Result<Invocation, Failure> {
    let command = Command::new("poplar-x", "[options]", "Does x.").value("count", "how many", "N");
    let invocation = command.parse(args.iter().map(|arg| (*arg).to_owned()));
    invocation.map_err(|report| report.current_context().clone())
}

#[test]
fn help_and_version_are_printed_and_bad_options_are_usage() {
    let Ok(Invocation::Print(help)) = parse(&["--help"]) else {
        panic!("--help prints");
    };
    assert!(help.contains("Usage: poplar-x [options]") && help.contains("--settings FILE"));
    let Ok(Invocation::Print(version)) = parse(&["-V"]) else {
        panic!("--version prints");
    };
    assert!(version.starts_with("poplar-x 0."));
    assert!(matches!(parse(&["--nope"]), Err(Failure::Usage(_))));
    let Ok(Invocation::Run(matches)) = parse(&["--count", "x"]) else {
        panic!("a known option is accepted");
    };
    let invalid = parse_option::<u32>(&matches, "count", "a number").unwrap_err();
    assert!(matches!(invalid.current_context(), Failure::Usage(_)));
}
