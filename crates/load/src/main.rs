//! Load generator and experiment tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    poplar_base::args::exit_code(poplar_load::run(std::env::args().skip(1)))
}
