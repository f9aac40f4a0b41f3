//! The program around a run.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use poplar_base::args::{Failure, Invocation, Matches, Outcome};
use poplar_ctl::open::failure_report;

use crate::outcome;
use crate::{options, plot, runner};

/// Runs the program with the words after its name.
///
/// # Errors
/// What goes to stderr; it names the exit code.
pub fn run(words: impl IntoIterator<Item = String>) -> Outcome {
    let matches = match options::command().parse(words)? {
        Invocation::Print(text) => {
            print!("{text}");
            return Ok(());
        }
        Invocation::Run(matches) => matches,
    };
    if let Some(picture) = matches.opt_str("plot") {
        return draw(&picture, &matches);
    }
    if let Some(word) = matches.free.first() {
        return Err(Failure::usage(format!("unexpected {word:?}")));
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or(Duration::ZERO).as_millis();
    let asked = options::read(&matches, &format!("load{now:x}"))?;
    let runtime = tokio::runtime::Runtime::new().map_err(|e| Failure::failed(e.to_string()))?;
    let outcome = runtime
        .block_on(runner::run(&asked))
        .map_err(failure_report)?;
    let json = serde_json::to_string_pretty(&outcome);
    println!("{}", json.map_err(|e| Failure::failed(e.to_string()))?);
    judge(&outcome)
}

/// Wrong answers fail the run; slow and refused ones are its result.
fn judge(outcome: &outcome::Outcome) -> Outcome {
    let (differing, miscounted) = (outcome.differing, outcome.miscounted);
    if differing + miscounted > 0 {
        let why = format!("{differing} answers differ, {miscounted} are miscounted");
        return Err(Failure::failed(why));
    }
    Ok(())
}

fn draw(picture: &str, matches: &Matches) -> Outcome {
    if matches.free.is_empty() {
        return Err(Failure::usage("--plot needs results to draw"));
    }
    let mut results = Vec::with_capacity(matches.free.len());
    for path in &matches.free {
        let text = std::fs::read(path);
        let text = text.map_err(|e| Failure::failed(format!("{path}: {e}")))?;
        let read = serde_json::from_slice::<outcome::Outcome>(&text);
        results.push(read.map_err(|e| Failure::failed(format!("{path}: {e}")))?);
    }
    let svg = plot::draw(&results).map_err(|e| Failure::failed(e.to_string()))?;
    std::fs::write(picture, svg).map_err(|e| Failure::failed(format!("{picture}: {e}")))
}
