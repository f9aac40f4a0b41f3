//! The program `poplar-ctl`, the operators' command line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    poplar_base::args::exit_code(poplar_ctl::run(std::env::args().skip(1)))
}
