//! Command line parsing: a thin layer over `getopts`.
//!
//! Every program accepts `--help` and `--version`, and most accept
//! `--settings FILE`. The exit code is 0 on success, 1 on a failure and 2 on a
//! usage error.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

use error_stack::Report;
pub use getopts::Matches;
use getopts::{Options, ParsingStyle};

/// Exit code if the work of the program failed.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code if the command line was invalid.
pub const EXIT_USAGE: u8 = 2;

/// Why a program exits with an error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The command line was invalid.
    Usage(String),
    /// The work of the program failed.
    Failed(String),
    /// What the program is to work on can't be read.
    Unreadable(String),
}

impl Failure {
    /// Returns a report of a usage error.
    pub fn usage(reason: impl Into<String>) -> Report<Self> {
        Report::new(Self::Usage(reason.into()))
    }

    /// Returns a report of a failure of the work.
    pub fn failed(reason: impl Into<String>) -> Report<Self> {
        Report::new(Self::Failed(reason.into()))
    }

    /// Returns a report of input that can't be read.
    pub fn unreadable(reason: impl Into<String>) -> Report<Self> {
        Report::new(Self::Unreadable(reason.into()))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(reason) => write!(f, "usage: {reason}"),
            Self::Failed(reason) | Self::Unreadable(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for Failure {}

/// Result of a step of a program, with an error that sets the exit code.
pub type Outcome<T = ()> = Result<T, Report<Failure>>;

/// What the program should do according to its command line.
#[derive(Debug)]
pub enum Invocation {
    /// Run with these options.
    Run(Matches),
    /// Print this text and exit successfully.
    Print(String),
}

/// Definition of a program's command line.
#[derive(Debug)]
pub struct Command {
    name: &'static str,
    /// Description and usage line at the head of the help text.
    summary: String,
    options: Options,
}

impl Command {
    /// Defines a command line with `--help`, `--version` and `--settings`.
    ///
    /// The help text starts with `about`, followed by a line with the program's
    /// name and `usage`.
    pub fn new(name: &'static str, usage: &str, about: &str) -> Self {
        let mut command = Self::without_settings(name, usage, about);
        let options = &mut command.options;
        options.optopt("s", "settings", "read the settings in FILE", "FILE");
        command
    }

    /// Like [`Command::new`], but without `--settings`.
    pub fn without_settings(name: &'static str, usage: &str, about: &str) -> Self {
        let mut options = Options::new();
        options.parsing_style(ParsingStyle::FloatingFrees);
        options.optflag("h", "help", "print this help");
        options.optflag("V", "version", "print the version");
        let summary = format!("{about}\n\nUsage: {name} {usage}");
        Self {
            name,
            summary,
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

    /// Parses the arguments that follow the program's name.
    ///
    /// # Errors
    /// [`Failure::Usage`] for an unknown option or a missing value.
    pub fn parse(&self, args: impl IntoIterator<Item = String>) -> Outcome<Invocation> {
        let args: Vec<String> = args.into_iter().collect();
        let parsed = self.options.parse(args);
        let matches =
            parsed.map_err(|e| Failure::usage(format!("{e}; try {} --help", self.name)))?;
        if matches.opt_present("help") {
            return Ok(Invocation::Print(self.options.usage(&self.summary) + "\n"));
        }
        if matches.opt_present("version") {
            let version = env!("CARGO_PKG_VERSION");
            return Ok(Invocation::Print(format!("{} {version}\n", self.name)));
        }
        Ok(Invocation::Run(matches))
    }
}

/// Returns the path given with `--settings`.
///
/// # Errors
/// [`Failure::Usage`] if the option is missing.
pub fn settings_path(matches: &Matches) -> Outcome<PathBuf> {
    let path = matches.opt_str("settings");
    let path = path.ok_or_else(|| Failure::usage("--settings FILE is missing"))?;
    Ok(path.into())
}

/// Parses the value of option `name`; `None` if the option is not given.
///
/// # Errors
/// [`Failure::Usage`], which quotes `accepted`, if the value can't be parsed.
pub fn parse_option<T: std::str::FromStr>(
    matches: &Matches,
    name: &str,
    accepted: &str,
) -> Outcome<Option<T>> {
    let Some(value) = matches.opt_str(name) else {
        return Ok(None);
    };
    let invalid = |_| Failure::usage(format!("--{name} {value:?}; accepted: {accepted}"));
    value.parse().map(Some).map_err(invalid)
}

/// Prints a failure to stderr and converts an outcome into an exit code.
pub fn exit_code(outcome: Outcome) -> ExitCode {
    let Err(report) = outcome else {
        return ExitCode::SUCCESS;
    };
    eprintln!("{report:#}");
    match report.current_context() {
        Failure::Usage(_) | Failure::Unreadable(_) => ExitCode::from(EXIT_USAGE),
        Failure::Failed(_) => ExitCode::from(EXIT_FAILURE),
    }
}
