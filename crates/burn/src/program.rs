//! The program around the report.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use poplar_base::args::{Command, Failure, Invocation, Matches, Outcome};
use poplar_ctl::open::{failure_report, open};

use crate::report::{Report, report};
use crate::{gather, picture, text};

const ABOUT: &str = "The service-level burn report of poplarreel: targets met and missed, error
budget burned over 5 minutes, 1 hour and the day, overspend and refusals.
Ends with 1 where a budget is overspent.";

/// Runs the program with the words after its name.
///
/// # Errors
/// What goes to stderr; it names the exit code.
pub fn run(words: impl IntoIterator<Item = String>) -> Outcome {
    let command = Command::new("poplar-burn", "[options]", ABOUT)
        .value("platform", "address of the platform", "IP:PORT")
        .value("svg", "write the picture to FILE", "FILE")
        .flag("json", "print JSON");
    let matches = match command.parse(words)? {
        Invocation::Print(text) => {
            print!("{text}");
            return Ok(());
        }
        Invocation::Run(matches) => matches,
    };
    if let Some(word) = matches.free.first() {
        return Err(Failure::usage(format!("unexpected {word:?}")));
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Failure::failed(e.to_string()))?;
    let report = runtime.block_on(make(&matches))?;
    show(&matches, &report)
}

async fn make(matches: &Matches) -> Outcome<Report> {
    let fleet = open(matches)?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or(Duration::ZERO).as_millis() as u64;
    let input = gather::gather(&fleet, now).await.map_err(failure_report)?;
    Ok(report(&input, now))
}

fn show(matches: &Matches, report: &Report) -> Outcome {
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
