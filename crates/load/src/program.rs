//! Entry point: parses the command line, carries out the run and prints its result.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use poplar_base::args::{Failure, Invocation, Matches, Outcome};
use poplar_ctl::open::failure_report;

use crate::run_result;
use crate::{options, plot, runner};

/// Runs the program with the arguments after its name.
///
/// # Errors
/// The message for stderr, with the exit code.
pub fn run(args: impl IntoIterator<Item = String>) -> Outcome {
    let matches = match options::command().parse(args)? {
        Invocation::Print(text) => {
            print!("{text}");
            return Ok(());
        }
        Invocation::Run(matches) => matches,
    };
    if let Some(svg_path) = matches.opt_str("plot") {
        return draw_plot(&svg_path, &matches);
    }
    if let Some(arg) = matches.free.first() {
        return Err(Failure::usage(format!("unexpected argument {arg:?}")));
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or(Duration::ZERO).as_millis();
    let options = options::read(&matches, &format!("load{now:x}"))?;
    let runtime = tokio::runtime::Runtime::new().map_err(|e| Failure::failed(e.to_string()))?;
    let result = runtime
        .block_on(runner::run(&options))
        .map_err(failure_report)?;
    let json = serde_json::to_string_pretty(&result);
    println!("{}", json.map_err(|e| Failure::failed(e.to_string()))?);
    check_answers(&result)
}

/// Fails the run on wrong answers; slow or refused requests don't fail it.
fn check_answers(result: &run_result::RunResult) -> Outcome {
    let (differing, miscounted) = (result.differing, result.miscounted);
    if differing + miscounted > 0 {
        let why = format!(
            "{differing} answers differ between equal prompts, {miscounted} have a wrong token count"
        );
        return Err(Failure::failed(why));
    }
    Ok(())
}

fn draw_plot(svg_path: &str, matches: &Matches) -> Outcome {
    if matches.free.is_empty() {
        return Err(Failure::usage("--plot needs one or more RESULT.json files"));
    }
    let mut results = Vec::with_capacity(matches.free.len());
    for path in &matches.free {
        let text = std::fs::read(path);
        let text = text.map_err(|e| Failure::failed(format!("{path}: {e}")))?;
        let read = serde_json::from_slice::<run_result::RunResult>(&text);
        results.push(read.map_err(|e| Failure::failed(format!("{path}: {e}")))?);
    }
    let svg = plot::draw(&results).map_err(|e| Failure::failed(e.to_string()))?;
    std::fs::write(svg_path, svg).map_err(|e| Failure::failed(format!("{svg_path}: {e}")))
}
