//! Parses the command line and runs the command or query.

use std::time::{Duration, Instant};

use poplar_base::args::{self, Command, Failure, Invocation, Matches, Outcome};
use poplar_base::settings;
use poplar_core::config::{Config, hash_key};
use poplar_platform::store::Store;

use crate::classes;
use crate::command::{apply, budget, drain, recovery};
use crate::open::{failure_report, open, read_platform};
use crate::output::Output;
use crate::query::{bills, budgets, config, explain, routers, verify};

/// Default of `--wait`.
const DEFAULT_WAIT: Duration = Duration::from_secs(4);
/// Largest value of `--wait`.
const MAX_WAIT: Duration = Duration::from_secs(600);
/// Longest id of a top-up.
const MAX_ID_BYTES: usize = 128;
/// Accepted form of the id of a top-up.
const ID_FORM: &str = "1 to 128 printable ASCII characters without blanks";

const USAGE: &str = "[options] COMMAND

Commands that change something:
    apply FILE              put the classes file in force (--wait, --expect)
    budget create NAME      create a budget (--limit, --wait)
    budget topup NAME       add tokens once for each id (--tokens, --id, --wait)
    drain ROUTER            start the graceful shutdown of a router
    seal INCARNATION        seal a dead router: it can write nothing more (--wait)
    release INCARNATION     give back what a sealed router can't have used
                            (--gone, --wait)

Queries:
    check FILE              list every fault of a classes file
    verify FILE             check a configuration of the users' platform before it
                            is sent; with an address, compare it with the one in
                            force
    show                    the configuration in the table
    diff FILE               what apply would change
    budget list             every budget
    budget show NAME        one budget
    routers                 live routers, with --all the sealed ones too
    backends                backend servers as the routers see them
    explain REQUEST         what the routers remember of a request
    bills                   audit of every bill
    secret                  the hash of the access key on stdin, for a classes file";

/// Defines the command line of the program.
fn command_line() -> Command {
    Command::new("poplar-ctl", USAGE, "The operators' command of poplarreel.")
        .value("platform", "address of the platform", "IP:PORT")
        .value("wait", "how long to wait, 4s by default", "TIME")
        .value("expect", "generation that apply must replace", "N")
        .value("limit", "a new budget's limit in tokens", "N")
        .value("tokens", "tokens of a top-up", "N")
        .value("id", "identity of a top-up", "ID")
        .flag("gone", "the process of the sealed router has ended")
        .flag("all", "list sealed routers too")
        .flag("json", "print JSON")
}

/// Options that only some commands accept.
const COMMAND_OPTIONS: [&str; 7] = ["wait", "expect", "limit", "tokens", "id", "gone", "all"];

/// Runs the program with the arguments that follow its name.
///
/// # Errors
/// A report to print to stderr, which also sets the exit code.
pub fn run(args: impl IntoIterator<Item = String>) -> Outcome {
    let matches = match command_line().parse(args)? {
        Invocation::Print(text) => {
            print!("{text}");
            return Ok(());
        }
        Invocation::Run(matches) => matches,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Failure::failed(e.to_string()))?;
    let output = runtime.block_on(dispatch(&matches))?;
    if matches.opt_present("json") {
        println!("{:#}", output.json);
    } else {
        print!("{}", output.text);
    }
    output
        .failure
        .map_or(Ok(()), |reason| Err(Failure::failed(reason)))
}

async fn dispatch(matches: &Matches) -> Outcome<Output> {
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    check_options(matches, &words)?;
    match words[..] {
        ["check", file] => Ok(config::check(&read_classes(file)?)),
        ["verify", file] => verify_file(matches, file).await,
        ["secret"] => hash_secret(),
        [] => Err(Failure::usage("no command; try poplar-ctl --help")),
        _ => run_on_fleet(matches, &words).await,
    }
}

/// Checks a configuration, by itself or against what is in force.
async fn verify_file(matches: &Matches, file: &str) -> Outcome<Output> {
    let content = std::fs::read(file);
    let content = content.map_err(|e| Failure::unreadable(format!("can't read {file}: {e}")))?;
    let names_store = ["platform", "settings"]
        .iter()
        .any(|o| matches.opt_present(o));
    if !names_store {
        return verify::verify(&content, None);
    }
    let unknown = || Failure::Unreadable("the address of the platform is not known".to_owned());
    let platform = read_platform(matches);
    let (address, timeout) = platform.map_err(|why| why.change_context(unknown()))?;
    let in_force = verify::read_in_force(&Store::open(address), timeout).await?;
    verify::verify(&content, Some(&in_force))
}

/// Runs a command that needs the fleet.
async fn run_on_fleet(matches: &Matches, words: &[&str]) -> Outcome<Output> {
    if !is_command(words) {
        let words = words.join(" ");
        let reason = format!("no command {words:?}; try poplar-ctl --help");
        return Err(Failure::usage(reason));
    }
    let fleet = open(matches)?;
    let deadline = Instant::now() + wait_time(matches)?;
    let result = match *words {
        ["apply", file] => {
            let request = apply::ApplyRequest {
                config: read_classes(file)?,
                expect: args::parse_option(matches, "expect", "a generation")?,
                deadline,
            };
            let report = apply::apply(&fleet, &request).await;
            report.map(|report| apply::output(&report))
        }
        ["budget", "create", name] => {
            check_budget_name(name)?;
            let limit = required_tokens(matches, "limit")?;
            let change = budget::create(&fleet, name, limit, deadline).await;
            change.map(|change| budget::output(&change))
        }
        ["budget", "topup", name] => {
            let tokens = required_tokens(matches, "tokens")?;
            let id = matches.opt_str("id");
            let id = id.filter(|id| is_valid_id(id));
            let id = id.ok_or_else(|| Failure::usage(format!("--id; accepted: {ID_FORM}")))?;
            let change = budget::top_up(&fleet, name, &id, tokens, deadline).await;
            change.map(|change| budget::output(&change))
        }
        ["drain", router] => drain::drain(&fleet, router).await,
        ["seal", incarnation] => recovery::seal(&fleet, incarnation, deadline).await,
        ["release", incarnation] => {
            let gone = matches.opt_present("gone");
            recovery::release(&fleet, incarnation, gone, deadline).await
        }
        ["show"] => config::show(&fleet).await,
        ["diff", file] => config::diff(&fleet, &read_classes(file)?).await,
        ["budget", "list"] => budgets::list(&fleet).await,
        ["budget", "show", name] => budgets::show(&fleet, name).await,
        ["routers"] => routers::routers(&fleet, matches.opt_present("all")).await,
        ["backends"] => routers::backends(&fleet).await,
        ["explain", request] => explain::explain(&fleet, request).await,
        _ => bills::bills(&fleet).await,
    };
    result.map_err(failure_report)
}

/// Hashes the access key on stdin. It is not taken from the command line, where
/// other users of the machine could see it.
fn hash_secret() -> Outcome<Output> {
    let mut line = String::new();
    let read = std::io::stdin().read_line(&mut line);
    read.map_err(|e| Failure::failed(e.to_string()))?;
    let key = line.trim();
    if key.is_empty() {
        return Err(Failure::usage("no access key on stdin"));
    }
    let hash = hash_key(key);
    Ok(Output::new(&hash, format!("{hash}\n")))
}

fn is_command(words: &[&str]) -> bool {
    matches!(
        words,
        ["show" | "routers" | "backends" | "bills"]
            | [
                "apply" | "drain" | "seal" | "release" | "diff" | "explain",
                _
            ]
            | ["budget", "list"]
            | ["budget", "create" | "topup" | "show", _]
    )
}

/// Rejects options that the command does not accept.
fn check_options(matches: &Matches, words: &[&str]) -> Outcome {
    let accepted: &[&str] = match words {
        ["apply", ..] => &["wait", "expect"],
        ["budget", "create", ..] => &["limit", "wait"],
        ["seal", ..] => &["wait"],
        ["release", ..] => &["gone", "wait"],
        ["budget", "topup", ..] => &["tokens", "id", "wait"],
        ["routers", ..] => &["all"],
        _ => &[],
    };
    let rejected = COMMAND_OPTIONS
        .iter()
        .find(|o| matches.opt_present(o) && !accepted.contains(o));
    let rejected =
        rejected.map(|o| Failure::usage(format!("--{o} is not an option of this command")));
    rejected.map_or(Ok(()), Err)
}

fn check_budget_name(budget: &str) -> Outcome {
    if classes::is_valid_name(budget) {
        return Ok(());
    }
    let accepted = classes::NAME_FORM;
    Err(Failure::usage(format!(
        "budget {budget:?}; accepted: {accepted}"
    )))
}

fn is_valid_id(id: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic())
}

fn required_tokens(matches: &Matches, name: &str) -> Outcome<u64> {
    let value = args::parse_option(matches, name, "a number of tokens")?;
    value.ok_or_else(|| Failure::usage(format!("--{name} N is missing")))
}

fn wait_time(matches: &Matches) -> Outcome<Duration> {
    let Some(value) = matches.opt_str("wait") else {
        return Ok(DEFAULT_WAIT);
    };
    let wait = settings::parse_duration(&value);
    let wait = wait.ok().filter(|wait| *wait <= MAX_WAIT);
    wait.ok_or_else(|| Failure::usage(format!("--wait {value:?}; accepted: 0s to 10m")))
}

fn read_classes(file: &str) -> Outcome<Config> {
    classes::open(file).map_err(|faults| failure_report(faults.into()))
}
