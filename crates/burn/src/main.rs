//! The program `poplar-burn`, which prints the service-level burn report.

use std::process::ExitCode;

fn main() -> ExitCode {
    poplar_base::args::exit_code(poplar_burn::run(std::env::args().skip(1)))
}
