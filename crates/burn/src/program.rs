//! Command line of the program.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use poplar_base::args::{Command, Failure, Invocation, Matches, Outcome};
use poplar_ctl::open::{failure_report, open};

use crate::report::{Report, report};
use crate::{gather, picture, text};

const ABOUT: &str = "The service-level burn report of poplarreel: targets met and missed, error
budget burned over 5 minutes, 1 hour and the day, overspend and refusals.
Ends with 1 where a budget is overspent.";

/// Runs the program with the arguments that follow its name.
///
/// # Errors
/// A report to print to stderr, which also sets the exit code.
pub fn run(args: impl IntoIterator<Item = String>) -> Outcome {
    let command = Command::new("poplar-burn", "[options]", ABOUT)
        .value("platform", "address of the platform", "IP:PORT")
        .value("svg", "write the picture to FILE", "FILE")
        .flag("json", "print JSON");
    let matches = match command.parse(args)? {
        Invocation::Print(text) => {
            print!("{text}");
            return Ok(());
        }
        Invocation::Run(matches) => matches,
    };
    if let Some(arg) = matches.free.first() {
        return Err(Failure::usage(format!("unexpected argument {arg:?}")));
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Failure::failed(e.to_string()))?;
    let report = runtime.block_on(create_report(&matches))?;
    print_report(&matches, &report)
}

async fn create_report(matches: &Matches) -> Outcome<Report> {
    let fleet = open(matches)?;
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now_ms.unwrap_or(Duration::ZERO).as_millis() as u64;
    let input = gather::gather(&fleet, now_ms)
        .await
        .map_err(failure_report)?;
    Ok(report(&input, now_ms))
}

fn print_report(matches: &Matches, report: &Report) -> Outcome {
    if let Some(path) = matches.opt_str("svg") {
        let svg = picture::draw(report).map_err(|e| Failure::failed(e.to_string()))?;
        let written = std::fs::write(&path, svg);
        written.map_err(|e| Failure::failed(format!("{path}: {e}")))?;
    }
    if matches.opt_present("json") {
        let json = serde_json::to_string_pretty(report);
        println!("{}", json.map_err(|e| Failure::failed(e.to_string()))?);
    } else {
        print!("{}", text::text(report));
    }
    match report.overspend {
        0 => Ok(()),
        tokens => Err(Failure::failed(format!("{tokens} tokens are overspent"))),
    }
}
