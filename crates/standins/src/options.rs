//! Command-line options shared by the stand-ins.

use std::fmt;
use std::process::exit;
use std::str::FromStr;
use std::time::Duration;

/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: i32 = 2;

/// One option: its name, the form of its value and its help text.
pub type OptionSpec = (&'static str, &'static str, &'static str);

/// The parsed command line.
#[derive(Debug)]
pub struct Options {
    program: &'static str,
    matches: getopts::Matches,
}

/// Parses the command line. Exits on `--help` and on invalid options.
pub fn parse(program: &'static str, specs: &[OptionSpec]) -> Options {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this help and end");
    options.optopt("", "listen", "where to listen [127.0.0.1:0]", "IP:PORT");
    for (name, hint, help) in specs {
        options.optopt("", name, help, hint);
    }
    match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.opt_present("help") => {
            print!("{}", options.usage(&format!("Usage: {program} [options]")));
            exit(0);
        }
        Ok(matches) if matches.free.is_empty() => Options { program, matches },
        Ok(matches) => exit_with_usage_error(program, &format!("unexpected {:?}", matches.free[0])),
        Err(why) => exit_with_usage_error(program, &why),
    }
}

fn exit_with_usage_error(program: &str, why: &impl fmt::Display) -> ! {
    eprintln!("{program}: {why}; see --help");
    exit(USAGE_EXIT_CODE);
}

impl Options {
    /// The value of option `name`, or `default`. Exits if the value is invalid.
    pub fn get<T>(&self, name: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        match self.matches.opt_get_default(name, default) {
            Ok(value) => value,
            Err(why) => exit_with_usage_error(self.program, &format!("--{name}: {why}")),
        }
    }

    /// The duration given by option `name`, or `default`. Exits if it is invalid.
    pub fn duration(&self, name: &str, default: Duration) -> Duration {
        self.get(name, DurationValue(default)).0
    }

    /// Whether option `name` is `yes`, or `default`. Exits if the value is invalid.
    pub fn flag(&self, name: &str, default: bool) -> bool {
        self.get(name, YesNo(default)).0
    }
}

/// A duration, written as a whole number followed by `us`, `ms`, `s` or `m`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DurationValue(pub Duration);

/// A value of `yes` or `no`; `on` and `off` are accepted too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct YesNo(bool);

/// An option value that could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidValue {
    /// Description of the accepted values.
    expected: &'static str,
}

impl fmt::Display for InvalidValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {}", self.expected)
    }
}

impl std::error::Error for InvalidValue {}

impl FromStr for DurationValue {
    type Err = InvalidValue;

    fn from_str(text: &str) -> Result<Self, InvalidValue> {
        let invalid = InvalidValue {
            expected: "a whole number with us, ms, s or m",
        };
        let unit = text.find(|c: char| !c.is_ascii_digit());
        let (number, unit) = text.split_at(unit.ok_or(invalid.clone())?);
        let number: u32 = number.parse().map_err(|_| invalid.clone())?;
        let unit = match unit {
            "us" => Duration::from_micros(1),
            "ms" => Duration::from_millis(1),
            "s" => Duration::from_secs(1),
            "m" => Duration::from_secs(60),
            _ => return Err(invalid),
        };
        Ok(Self(unit * number))
    }
}

impl FromStr for YesNo {
    type Err = InvalidValue;

    fn from_str(text: &str) -> Result<Self, InvalidValue> {
        match text {
            "yes" | "on" => Ok(Self(true)),
            "no" | "off" => Ok(Self(false)),
            _ => Err(InvalidValue {
                expected: "yes or no",
            }),
        }
    }
}
