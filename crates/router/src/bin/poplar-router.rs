//! `poplar-router`: the router on an entry host.

use std::process::ExitCode;

use poplar_base::args::{self, Command, Failure, Invocation, Outcome};
use poplar_base::log;
use poplar_router::lifecycle;
use poplar_router::relay;
use poplar_router::settings::Settings;
use tokio::runtime::Builder;

fn main() -> ExitCode {
    let outcome = run();
    log::flush();
    args::exit_code(outcome)
}

fn run() -> Outcome {
    let command = Command::new(
        "poplar-router",
        "--settings FILE [--check] | --platform [--check]",
        "Takes callers' requests and sends them to backend servers.",
    )
    .flag("check", "check the settings and exit")
    .flag("platform", "take the settings from the users' platform");
    let matches = match command.parse(std::env::args().skip(1))? {
        Invocation::Run(matches) => matches,
        Invocation::Print(text) => {
            print!("{text}");
            return Ok(());
        }
    };
    if matches.opt_present("platform") {
        return run_on_platform(matches.opt_present("check"));
    }
    let settings = Settings::open(args::settings_path(&matches)?);
    let settings = settings.map_err(|faults| Failure::failed(faults.to_string()))?;
    if matches.opt_present("check") {
        return Ok(());
    }
    log::init(settings.log).map_err(|e| Failure::failed(e.to_string()))?;
    let runtime = Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Failure::failed(e.to_string()))?;
    runtime
        .block_on(lifecycle::run(settings))
        .map_err(|e| Failure::failed(e.to_string()))
}

/// Runs the router for the users' platform, on one thread because its hosts have
/// a fraction of a core.
fn run_on_platform(check: bool) -> Outcome {
    let (path, settings) =
        relay::lifecycle::load_settings().map_err(|e| Failure::failed(e.to_string()))?;
    if check {
        return Ok(());
    }
    let logs = log::Settings {
        destination: log::Destination::Stdout,
        ..log::Settings::default()
    };
    log::init(logs).map_err(|e| Failure::failed(e.to_string()))?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Failure::failed(e.to_string()))?;
    runtime
        .block_on(relay::lifecycle::run(path, settings))
        .map_err(|e| Failure::failed(e.to_string()))
}
