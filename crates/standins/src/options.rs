//! Command-line options shared by the stand-ins.

use std::fmt;
use std::process::exit;
use std::str::FromStr;
use std::time::Duration;

/// Exit code of a command line that can't be read.
const USAGE: i32 = 2;

/// One option: its name, the form of its value and what it does.
pub type Spec = (&'static str, &'static str, &'static str);

/// The options given on the command line.
#[derive(Debug)]
pub struct Options {
    program: &'static str,
    matches: getopts::Matches,
}

/// Reads the command line; ends the process on `--help` and on a bad line.
pub fn parse(program: &'static str, specs: &[Spec]) -> Options {
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
        Ok(matches) => refuse(program, &format!("unexpected {:?}", matches.free[0])),
        Err(why) => refuse(program, &why),
    }
}

fn refuse(program: &str, why: &impl fmt::Display) -> ! {
    eprintln!("{program}: {why}; see --help");
    exit(USAGE);
}

impl Options {
    /// The value of `name`, or `default`; ends the process on a bad one.
    pub fn get<T>(&self, name: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        match self.matches.opt_get_default(name, default) {
            Ok(value) => value,
            Err(why) => refuse(self.program, &format!("--{name}: {why}")),
        }
    }

    /// The duration `name`, or `default`; ends the process on a bad one.
    pub fn span(&self, name: &str, default: Duration) -> Duration {
        self.get(name, Span(default)).0
    }

    /// Whether `name` is `yes`, or `default`; ends the process on a bad value.
    pub fn yes(&self, name: &str, default: bool) -> bool {
        self.get(name, Switch(default)).0
    }
}

/// A duration as a whole number with `us`, `ms`, `s` or `m`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span(pub Duration);

/// `yes` or `no`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Switch(bool);

/// A value that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bad {
    /// What is accepted.
    expected: &'static str,
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {}", self.expected)
    }
}

impl std::error::Error for Bad {}

impl FromStr for Span {
    type Err = Bad;

    fn from_str(text: &str) -> Result<Self, Bad> {
        let bad = Bad {
            expected: "a whole number with us, ms, s or m",
        };
        let unit = text.find(|c: char| !c.is_ascii_digit());
        let (number, unit) = text.split_at(unit.ok_or(bad.clone())?);
        let number: u32 = number.parse().map_err(|_| bad.clone())?;
        let unit = match unit {
            "us" => Duration::from_micros(1),
            "ms" => Duration::from_millis(1),
            "s" => Duration::from_secs(1),
            "m" => Duration::from_secs(60),
            _ => return Err(bad),
        };
        Ok(Self(unit * number))
    }
}

impl FromStr for Switch {
    type Err = Bad;

    fn from_str(text: &str) -> Result<Self, Bad> {
        match text {
            "yes" | "on" => Ok(Self(true)),
            "no" | "off" => Ok(Self(false)),
            _ => Err(Bad {
                expected: "yes or no",
            }),
        }
    }
}
