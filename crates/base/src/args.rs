//! The command line: a thin layer over `getopts`.
//!
//! Every program knows `--help`, `--version` and `--settings FILE`, and ends
//! with 0 on success, 1 on a failure and 2 on wrong usage.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

use error_stack::Report;
pub use getopts::Matches;
use getopts::{Options, ParsingStyle};

/// Exit code of a failure.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code of wrong usage.
pub const EXIT_USAGE: u8 = 2;

/// Why a program ends without success.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The command line was wrong.
    Usage(String),
    /// The work failed.
    Failed(String),
}

impl Failure {
    /// Wrong usage, as a report.
    pub fn usage(why: impl Into<String>) -> Report<Self> {
        Report::new(Self::Usage(why.into()))
    }

    /// A failure of the work, as a report.
    pub fn failed(why: impl Into<String>) -> Report<Self> {
        Report::new(Self::Failed(why.into()))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(why) => write!(f, "usage: {why}"),
            Self::Failed(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for Failure {}

/// How a program ends.
pub type Outcome<T = ()> = Result<T, Report<Failure>>;

/// What the command line asked for.
#[derive(Debug)]
pub enum Invocation {
    /// Run with these options.
    Run(Matches),
    /// Print this text and end with success.
    Print(String),
}

/// A program's command line.
#[derive(Debug)]
pub struct Command {
    name: &'static str,
    brief: String,
    options: Options,
}

impl Command {
    /// A command line with the options that every program has.
    ///
    /// `usage` follows the name in the first line of the help text, `about`
    /// stands below it.
    pub fn new(name: &'static str, usage: &str, about: &str) -> Self {
        let mut command = Self::without_settings(name, usage, about);
        let options = &mut command.options;
        options.optopt("s", "settings", "read the settings in FILE", "FILE");
        command
    }

    /// As [`Command::new`], for a program without a settings file.
    pub fn without_settings(name: &'static str, usage: &str, about: &str) -> Self {
        let mut options = Options::new();
        options.parsing_style(ParsingStyle::FloatingFrees);
        options.optflag("h", "help", "print this help");
        options.optflag("V", "version", "print the version");
        let brief = format!("{about}\n\nUsage: {name} {usage}");
        Self {
            name,
            brief,
            options,
        }
    }

    /// Adds an option with a value.
    pub fn value(mut self, name: &str, about: &str, hint: &str) -> Self {
        self.options.optopt("", name, about, hint);
        self
    }

    /// Adds an option with a value that may be given several times.
    pub fn values(mut self, name: &str, about: &str, hint: &str) -> Self {
        self.options.optmulti("", name, about, hint);
        self
    }

    /// Adds an option without a value.
    pub fn flag(mut self, name: &str, about: &str) -> Self {
        self.options.optflag("", name, about);
        self
    }

    /// Reads the words after the program's name.
    ///
    /// # Errors
    /// [`Failure::Usage`] for an unknown option, or one without its value.
    pub fn parse(&self, words: impl IntoIterator<Item = String>) -> Outcome<Invocation> {
        let words: Vec<String> = words.into_iter().collect();
        let read = self.options.parse(words);
        let matches = read.map_err(|e| Failure::usage(format!("{e}; try {} --help", self.name)))?;
        if matches.opt_present("help") {
            return Ok(Invocation::Print(self.options.usage(&self.brief) + "\n"));
        }
        if matches.opt_present("version") {
            let version = env!("CARGO_PKG_VERSION");
            return Ok(Invocation::Print(format!("{} {version}\n", self.name)));
        }
        Ok(Invocation::Run(matches))
    }
}

/// The value of `--settings`, which a program needs.
///
/// # Errors
/// [`Failure::Usage`] where it is missing.
pub fn settings_path(matches: &Matches) -> Outcome<PathBuf> {
    let path = matches.opt_str("settings");
    let path = path.ok_or_else(|| Failure::usage("--settings FILE is missing"))?;
    Ok(path.into())
}

/// The value of option `name` read as a `T`.
///
/// # Errors
/// [`Failure::Usage`] with `accepted` where it can't be read.
pub fn parse_option<T: std::str::FromStr>(
    matches: &Matches,
    name: &str,
    accepted: &str,
) -> Outcome<Option<T>> {
    let Some(value) = matches.opt_str(name) else {
        return Ok(None);
    };
    let wrong = |_| Failure::usage(format!("--{name} {value:?}; accepted: {accepted}"));
    value.parse().map(Some).map_err(wrong)
}

/// Prints a failure on stderr and turns an outcome into an exit code.
pub fn exit_code(outcome: Outcome) -> ExitCode {
    let Err(report) = outcome else {
        return ExitCode::SUCCESS;
    };
    eprintln!("{report:#}");
    match report.current_context() {
        Failure::Usage(_) => ExitCode::from(EXIT_USAGE),
        Failure::Failed(_) => ExitCode::from(EXIT_FAILURE),
    }
}
