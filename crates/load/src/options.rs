//! Command-line options of a run, with their limits.

use std::net::SocketAddr;
use std::time::Duration;

use poplar_base::args::{self, Command, Failure, Matches, Outcome};
use poplar_base::settings::parse_duration;

use crate::balancer::{self, Target};
use crate::mix::{self, Mix, RequestKind};
use crate::retry::Policy;
use crate::schedule::{Plan, Rush};

/// Highest rate, in arrivals per second.
const MAX_RATE: f64 = 50_000.0;
const MAX_DURATION: Duration = Duration::from_secs(3600);
/// Highest limit on concurrent requests.
const MAX_STREAMS: usize = 20_000;
/// Highest limit on attempts of one request.
const MAX_ATTEMPTS: u32 = 20;
/// Default number of distinct prompts of a class and workspace with `--verify`,
/// so that prompts repeat and their answers can be compared.
const VERIFY_PROMPTS: u64 = 8;

const USAGE: &str = "--mix NAME --target IP:PORT[,IP:PORT] [options]
       poplar-load --plot FILE.svg RESULT.json...";

const ABOUT: &str = "Sends requests of a deployment at times computed from a seed, and prints one
JSON result. A target is a router's address for callers, then its admin
address, whose /readyz the balancer follows.";

/// Declares the command line of the program.
pub fn command() -> Command {
    Command::without_settings("poplar-load", USAGE, ABOUT)
        .value("mix", "waiharakeke or nairobi", "NAME")
        .values(
            "target",
            "a router; several are given one by one",
            "ADDRESSES",
        )
        .value("name", "name of the run in the result", "NAME")
        .value("seed", "seed of the arrivals [1]", "N")
        .value("rate", "arrivals a second [20]", "N")
        .value("duration", "how long requests arrive [10s]", "TIME")
        .value(
            "skip",
            "leave arrivals before this out of the result [0s]",
            "TIME",
        )
        .value(
            "streams",
            "most requests under way; more are shed [2000]",
            "N",
        )
        .value("attempts", "most attempts at a request [4]", "N")
        .value("patience", "until a caller gives up [150s]", "TIME")
        .value(
            "rush",
            "a workspace sends more: as council,10,5s,15s",
            "NAME,TIMES,FROM,UNTIL",
        )
        .value(
            "prefix",
            "bytes that prompts of a workspace and class share",
            "N",
        )
        .value("prompts", "distinct prompts of a workspace and class", "N")
        .value("only", "leave only these classes", "CLASS,...")
        .values("key", "access key of a workspace [trial-NAME]", "NAME=KEY")
        .value("classes", "take targets from a classes file", "FILE")
        .value(
            "platform",
            "ask for overspend and false refusals",
            "IP:PORT",
        )
        .value(
            "run",
            "beginning of idempotency keys [from the time]",
            "TEXT",
        )
        .value(
            "direct",
            "targets are engines of this model, for comparison",
            "MODEL",
        )
        .flag(
            "unkeyed",
            "no idempotency key where a request may be repeated",
        )
        .flag("verify", "compare answers to the same prompt")
        .value("plot", "draw results side by side into FILE", "FILE")
}

/// Parsed options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the run in its result.
    pub name: String,
    /// Classes and workspaces of the requests.
    pub mix: Mix,
    /// Routers that requests are sent to.
    pub targets: Vec<Target>,
    /// Parameters of the arrivals.
    pub plan: Plan,
    /// Arrivals before this time are excluded from the result.
    pub warm_up: Duration,
    /// Limit on concurrent requests.
    pub max_streams: usize,
    /// Limits on retries.
    pub policy: Policy,
    /// Address of the platform, if budgets are to be reported.
    pub platform: Option<SocketAddr>,
    /// Prefix of idempotency keys.
    pub key_prefix: String,
    /// Whether repeatable requests carry an idempotency key too.
    pub always_keyed: bool,
    /// Model name to send if engines are called directly, without a router.
    pub direct_model: Option<String>,
    /// Whether answers to the same prompt are compared with each other.
    pub verify: bool,
}

/// Reads the options of a run; `default_run` is the key prefix without `--run`.
///
/// # Errors
/// [`Failure::Usage`] for values that are invalid or out of range.
pub fn read(matches: &Matches, default_run: &str) -> Outcome<Options> {
    let mix = mix(matches)?;
    let targets = targets(matches)?;
    let verify = matches.opt_present("verify");
    let prompts = args::parse_option(matches, "prompts", "a whole number")?;
    let default = if verify { VERIFY_PROMPTS } else { 0 };
    let plan = Plan {
        seed: args::parse_option(matches, "seed", "a whole number")?.unwrap_or(1),
        rate: bounded_number(matches, "rate", 20.0, 0.001, MAX_RATE)?,
        duration: bounded_duration(matches, "duration", Duration::from_secs(10))?,
        rush: rush(matches, &mix)?,
        distinct_prompts: prompts.unwrap_or(default),
    };
    let policy = Policy {
        max_attempts: bounded_number(matches, "attempts", 4, 1, MAX_ATTEMPTS)?,
        timeout: bounded_duration(matches, "patience", Duration::from_secs(150))?,
    };
    Ok(Options {
        name: matches
            .opt_str("name")
            .unwrap_or_else(|| mix.name.to_owned()),
        warm_up: bounded_duration(matches, "skip", Duration::ZERO)?,
        max_streams: bounded_number(matches, "streams", 2000, 1, MAX_STREAMS)?,
        platform: args::parse_option(matches, "platform", "IP:PORT")?,
        key_prefix: matches
            .opt_str("run")
            .unwrap_or_else(|| default_run.to_owned()),
        always_keyed: !matches.opt_present("unkeyed"),
        direct_model: matches.opt_str("direct"),
        mix,
        targets,
        plan,
        policy,
        verify,
    })
}

fn mix(matches: &Matches) -> Outcome<Mix> {
    let name = matches.opt_str("mix").unwrap_or_default();
    let found = mix::find(&name);
    let why = format!("--mix {name:?}; accepted: {}", mix::NAMES);
    let mut mix = found.ok_or_else(|| Failure::usage(why))?;
    if let Some(only) = matches.opt_str("only") {
        let names: Vec<String> = only.split(',').map(str::to_owned).collect();
        mix.retain_classes(&names);
        if mix.classes.len() != names.len() {
            return Err(Failure::usage(format!(
                "--only {only:?} names classes that the mix doesn't have"
            )));
        }
    }
    if let Some(bytes) = args::parse_option(matches, "prefix", "a number of bytes")? {
        mix.set_prefix(bytes);
    }
    if matches.opt_present("direct") {
        mix.classes
            .retain(|c| matches!(c.kind, RequestKind::Chat(_)));
    }
    for text in matches.opt_strs("key") {
        let split = text.split_once('=');
        let sender = split.and_then(|(name, key)| Some((mix.sender_index(name)?, key)));
        let why = "--key; accepted: NAME=KEY of a workspace in the mix";
        let (index, key) = sender.ok_or_else(|| Failure::usage(why))?;
        key.clone_into(&mut mix.senders[index].key);
    }
    if let Some(file) = matches.opt_str("classes") {
        let config = poplar_ctl::classes::open(file);
        mix.apply_config(
            &config.map_err(|faults| poplar_ctl::open::failure_report(faults.into()))?,
        );
    }
    Ok(mix)
}

fn targets(matches: &Matches) -> Outcome<Vec<Target>> {
    let given = matches.opt_strs("target");
    if given.is_empty() {
        return Err(Failure::usage("--target IP:PORT is missing"));
    }
    let read = given.iter().map(|text| balancer::parse_target(text));
    let read: Result<Vec<Target>, String> = read.collect();
    read.map_err(|why| Failure::usage(format!("--target: {why}")))
}

fn rush(matches: &Matches, mix: &Mix) -> Outcome<Option<Rush>> {
    let Some(text) = matches.opt_str("rush") else {
        return Ok(None);
    };
    let read = parse_rush(&text).filter(|rush| mix.sender_index(&rush.workspace).is_some());
    let why = format!("--rush {text:?}; accepted: WORKSPACE,TIMES,FROM,UNTIL as council,10,5s,15s");
    read.map(Some).ok_or_else(|| Failure::usage(why))
}

fn parse_rush(text: &str) -> Option<Rush> {
    let parts: Vec<&str> = text.split(',').collect();
    let [workspace, times, from, until] = parts[..] else {
        return None;
    };
    let rush = Rush {
        workspace: workspace.to_owned(),
        factor: times.parse().ok().filter(|t| (1.0..=1000.0).contains(t))?,
        from: parse_duration(from).ok()?,
        until: parse_duration(until).ok()?,
    };
    (rush.from < rush.until).then_some(rush)
}

fn bounded_number<T>(matches: &Matches, name: &str, default: T, lowest: T, highest: T) -> Outcome<T>
where
    T: std::str::FromStr + PartialOrd + std::fmt::Display + Copy,
{
    let accepted = format!("a number from {lowest} to {highest}");
    let value = args::parse_option(matches, name, &accepted)?.unwrap_or(default);
    if value >= lowest && value <= highest {
        Ok(value)
    } else {
        let why = format!("--{name} {value}; accepted: {accepted}");
        Err(Failure::usage(why))
    }
}

fn bounded_duration(matches: &Matches, name: &str, default: Duration) -> Outcome<Duration> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    let read = parse_duration(&text).ok().filter(|d| *d <= MAX_DURATION);
    let why = format!("--{name} {text:?}; accepted: a whole number with ms, s, m or h, at most 1h");
    read.ok_or_else(|| Failure::usage(why))
}
