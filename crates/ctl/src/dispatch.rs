//! From the command line to a command or a query.

use std::time::{Duration, Instant};

use poplar_base::args::{self, Command, Failure, Invocation, Matches, Outcome};
use poplar_base::settings;
use poplar_core::config::{Config, hash_key};

use crate::classes;
use crate::command::{apply, budget, drain, recovery};
use crate::open::{failure_report, open};
use crate::output::Output;
use crate::query::{bills, budgets, config, explain, routers};

/// How long a change is waited for where nothing is said.
const WAIT: Duration = Duration::from_secs(4);
/// Longest wait.
const LONGEST: Duration = Duration::from_secs(600);

/// Longest identity of a top-up in bytes.
const ID: usize = 128;
/// What an identity looks like.
const ID_FORM: &str = "1 to 128 printable ASCII characters without blanks";

const USAGE: &str = "[options] COMMAND

Commands that change something:
    apply FILE              put the classes file in force (--wait, --expect)
    budget create NAME      create a budget (--limit, --wait)
    budget topup NAME       add tokens once for each id (--tokens, --id, --wait)
    drain ROUTER            start the graceful shutdown of a router
    seal INCARNATION        shut a dead router off (--wait)
    release INCARNATION     give back what a sealed router can't have used
                            (--gone, --wait)

Queries:
    check FILE              list every fault of a classes file
    show                    the configuration in the table
    diff FILE               what apply would change
    budget list             every budget
    budget show NAME        one budget
    routers                 live routers, with --all the sealed ones too
    backends                backend servers as the routers see them
    explain REQUEST         what the routers remember of a request
    bills                   audit of every bill
    secret                  the hash of the access key on stdin, for a classes file";

/// The command line of the program.
fn command() -> Command {
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

/// Options with a value or without, beside those for every command.
const OPTIONS: [&str; 7] = ["wait", "expect", "limit", "tokens", "id", "gone", "all"];

/// Runs the program with the words after its name.
///
/// # Errors
/// What goes to stderr; it names the exit code.
pub fn run(words: impl IntoIterator<Item = String>) -> Outcome {
    let matches = match command().parse(words)? {
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
    let shown = runtime.block_on(dispatch(&matches))?;
    if matches.opt_present("json") {
        println!("{:#}", shown.json);
    } else {
        print!("{}", shown.text);
    }
    shown
        .failure
        .map_or(Ok(()), |why| Err(Failure::failed(why)))
}

async fn dispatch(matches: &Matches) -> Outcome<Output> {
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    only(matches, &words)?;
    match words[..] {
        ["check", file] => Ok(config::check(&read(file)?)),
        ["secret"] => secret(),
        [] => Err(Failure::usage("no command; try poplar-ctl --help")),
        _ => remote(matches, &words).await,
    }
}

async fn remote(matches: &Matches, words: &[&str]) -> Outcome<Output> {
    if !known(words) {
        let words = words.join(" ");
        let why = format!("no command {words:?}; try poplar-ctl --help");
        return Err(Failure::usage(why));
    }
    let fleet = open(matches)?;
    let deadline = Instant::now() + wait(matches)?;
    let done = match *words {
        ["apply", file] => {
            let wanted = apply::ApplyRequest {
                config: read(file)?,
                expect: args::parse_option(matches, "expect", "a generation")?,
                deadline,
            };
            let applied = apply::apply(&fleet, &wanted).await;
            applied.map(|applied| apply::output(&applied))
        }
        ["budget", "create", name] => {
            name_of(name)?;
            let limit = need(matches, "limit")?;
            let done = budget::create(&fleet, name, limit, deadline).await;
            done.map(|changed| budget::output(&changed))
        }
        ["budget", "topup", name] => {
            let tokens = need(matches, "tokens")?;
            let id = matches.opt_str("id");
            let id = id.filter(|id| is_id(id));
            let id = id.ok_or_else(|| Failure::usage(format!("--id; accepted: {ID_FORM}")))?;
            let done = budget::top_up(&fleet, name, &id, tokens, deadline).await;
            done.map(|changed| budget::output(&changed))
        }
        ["drain", router] => drain::drain(&fleet, router).await,
        ["seal", of] => recovery::seal(&fleet, of, deadline).await,
        ["release", of] => {
            let gone = matches.opt_present("gone");
            recovery::release(&fleet, of, gone, deadline).await
        }
        ["show"] => config::show(&fleet).await,
        ["diff", file] => config::diff(&fleet, &read(file)?).await,
        ["budget", "list"] => budgets::list(&fleet).await,
        ["budget", "show", name] => budgets::show(&fleet, name).await,
        ["routers"] => routers::routers(&fleet, matches.opt_present("all")).await,
        ["backends"] => routers::backends(&fleet).await,
        ["explain", request] => explain::explain(&fleet, request).await,
        _ => bills::bills(&fleet).await,
    };
    done.map_err(failure_report)
}

/// Hashes the line on stdin, where other users of the machine can't see it.
fn secret() -> Outcome<Output> {
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

fn known(words: &[&str]) -> bool {
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

/// Refuses options that mean nothing to the command.
fn only(matches: &Matches, words: &[&str]) -> Outcome {
    let taken: &[&str] = match words {
        ["apply", ..] => &["wait", "expect"],
        ["budget", "create", ..] => &["limit", "wait"],
        ["seal", ..] => &["wait"],
        ["release", ..] => &["gone", "wait"],
        ["budget", "topup", ..] => &["tokens", "id", "wait"],
        ["routers", ..] => &["all"],
        _ => &[],
    };
    let stray = OPTIONS
        .iter()
        .find(|o| matches.opt_present(o) && !taken.contains(o));
    let stray = stray.map(|o| Failure::usage(format!("--{o} means nothing to this command")));
    stray.map_or(Ok(()), Err)
}

fn name_of(budget: &str) -> Outcome {
    if classes::is_name(budget) {
        return Ok(());
    }
    let accepted = classes::NAME_FORM;
    Err(Failure::usage(format!(
        "budget {budget:?}; accepted: {accepted}"
    )))
}

fn is_id(id: &str) -> bool {
    (1..=ID).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic())
}

fn need(matches: &Matches, name: &str) -> Outcome<u64> {
    let value = args::parse_option(matches, name, "a number of tokens")?;
    value.ok_or_else(|| Failure::usage(format!("--{name} N is missing")))
}

fn wait(matches: &Matches) -> Outcome<Duration> {
    let Some(value) = matches.opt_str("wait") else {
        return Ok(WAIT);
    };
    let wait = settings::parse_duration(&value);
    let wait = wait.ok().filter(|wait| *wait <= LONGEST);
    wait.ok_or_else(|| Failure::usage(format!("--wait {value:?}; accepted: 0s to 10m")))
}

fn read(file: &str) -> Outcome<Config> {
    classes::open(file).map_err(|faults| failure_report(faults.into()))
}
