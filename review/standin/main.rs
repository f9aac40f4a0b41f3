//! Stand-ins of the review: the platform's store, backend servers, clients and a load
//! balancer, around routers that are processes of their own. Each case is a module.
//!
//! `standin CASE RECORD FOLDER` exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` it leaves the disruption out. The settings,
//! logs and process ids of the routers are in the folder, which the caller removes.

mod drill_budget;
mod drill_config;
mod engine;
mod fleet;
mod http;
mod json;
mod load;
mod out_of_step;
mod query_crash;
mod record;
mod restart_budget;
mod silent_engine;
mod site;
mod store;
mod way;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(116);

/// What came of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path, folder] = &args[..] else {
        eprintln!("usage: standin CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::open(Path::new(path)) else {
        eprintln!("the record can't be written");
        return ExitCode::from(2);
    };
    let late = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        late.say("the case took too long");
        std::process::exit(2);
    });
    let folder = Path::new(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    record.say(format!("case {case}, disruption {trouble}"));
    let result = match &**case {
        "drill_config" => drill_config::run(&record, folder, trouble),
        "silent_engine" => silent_engine::run(&record, folder, trouble),
        "restart_budget" => restart_budget::run(&record, folder, trouble),
        "query_crash" => query_crash::run(&record, folder, trouble),
        "out_of_step" => out_of_step::run(&record, folder, trouble),
        "drill_budget" => drill_budget::run(&record, folder, trouble),
        _ => Ok(Verdict::NotRun),
    };
    let verdict = result.unwrap_or_else(|why| {
        record.say(format!("the case could not run: {why}"));
        Verdict::NotRun
    });
    record.say(format!("verdict: {verdict:?}"));
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
