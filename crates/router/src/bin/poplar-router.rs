//! `poplar-router`: the router on an entry host.

use std::process::ExitCode;

use poplar_base::args::{self, Asked, Command, Failure, Outcome};
use poplar_base::log;
use poplar_router::life;
use poplar_router::settings::Settings;

#[tokio::main]
async fn main() -> ExitCode {
    args::exit(run().await)
}

async fn run() -> Outcome {
    let command = Command::new(
        "poplar-router",
        "--settings FILE [--check]",
        "Takes callers' requests and sends them to backend servers.",
    )
    .flag("check", "check the settings and end");
    let matches = match command.parse(std::env::args().skip(1))? {
        Asked::Run(matches) => matches,
        Asked::Print(text) => {
            print!("{text}");
            return Ok(());
        }
    };
    let settings = Settings::open(args::settings(&matches)?);
    let settings = settings.map_err(|faults| Failure::failed(faults.to_string()))?;
    if matches.opt_present("check") {
        return Ok(());
    }
    log::open(settings.log).map_err(|e| Failure::failed(e.to_string()))?;
    life::run(settings)
        .await
        .map_err(|e| Failure::failed(e.to_string()))
}
