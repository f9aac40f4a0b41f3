//! Logs: one line an event, as `key=value` fields.
//!
//! An event never carries a prompt, an answer or an access key. Values with
//! blanks, quotes or control characters are quoted, so that an event stays one
//! line whatever a caller sent. Lines beyond a bound are dropped and counted,
//! and a thread of its own writes them, so that nobody waits for who reads.

use std::fmt::{Display, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{ErrorHandler, Level, LevelFilter, Logger, ThreadPool};

use crate::log_limit::{LineLimiter, Verdict};
use crate::settings::Section;

/// Longest value of a field in bytes; the rest is cut off.
const VALUE: usize = 400;
/// Lines that wait to be written at the most; some hundred bytes each.
const WAITING: usize = 4096;

/// The bound on this process's lines.
static LIMIT: Mutex<Option<LineLimiter>> = Mutex::new(None);

/// Where events go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// The standard error stream.
    Stderr,
    /// The standard output stream.
    Stdout,
}

/// How a program logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// The lowest level that is written; `None` writes nothing.
    pub level: Option<Level>,
    /// Where events go.
    pub destination: Destination,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            level: Some(Level::Info),
            destination: Destination::Stderr,
        }
    }
}

impl Settings {
    /// Reads `level` and `destination` of the section `[log]`.
    pub fn read(mut section: Section<'_>) -> Self {
        let default = Self::default();
        let levels = [
            ("error", Some(Level::Error)),
            ("warn", Some(Level::Warn)),
            ("info", Some(Level::Info)),
            ("debug", Some(Level::Debug)),
            ("off", None),
        ];
        let destinations = [
            ("stderr", Destination::Stderr),
            ("stdout", Destination::Stdout),
        ];
        Self {
            level: section.choice_or("level", &levels, default.level),
            destination: section.choice_or("destination", &destinations, default.destination),
        }
    }
}

/// Sets the process's logger up.
///
/// # Errors
/// What the log library says where it can't.
pub fn init(settings: Settings) -> Result<(), spdlog::Error> {
    let stream = match settings.destination {
        Destination::Stderr => StdStream::Stderr,
        Destination::Stdout => StdStream::Stdout,
    };
    let line = pattern!(
        "time={year}-{month}-{day}T{hour}:{minute}:{second}.{millisecond}{tz_offset} level={level} {payload}{eol}"
    );
    let sink = StdStreamSink::builder()
        .std_stream(stream)
        .style_mode(StyleMode::Never)
        .formatter(PatternFormatter::new(line))
        .build_arc()?;
    let pool = ThreadPool::builder()
        .capacity(WAITING.try_into().expect("not zero"))
        .build_arc()?;
    // Lines that find the queue full are dropped: whoever reads them is stuck,
    // and could not be told.
    let sink = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(ErrorHandler::new(|_| {}))
        .build_arc()?;
    let filter = match settings.level {
        Some(level) => LevelFilter::MoreSevereEqual(level),
        None => LevelFilter::Off,
    };
    let logger = Logger::builder().sink(sink).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// An event that is being put together; [`Event::write`] ends it.
#[derive(Debug)]
#[must_use = "an event is only written by `write`"]
pub struct Event {
    level: Level,
    /// `None` where the level is filtered out, so that nothing is formatted.
    line: Option<String>,
}

/// An event at `level`, named `name`.
pub fn event(level: Level, name: &'static str) -> Event {
    let wanted = spdlog::default_logger().should_log(level);
    let line = wanted.then(|| format!("event={name}"));
    Event { level, line }
}

/// An event at the level `error`: somebody should act.
pub fn error(name: &'static str) -> Event {
    event(Level::Error, name)
}

/// An event at the level `warn`: something failed and was dealt with.
pub fn warn(name: &'static str) -> Event {
    event(Level::Warn, name)
}

/// An event at the level `info`.
pub fn info(name: &'static str) -> Event {
    event(Level::Info, name)
}

/// An event at the level `debug`.
pub fn debug(name: &'static str) -> Event {
    event(Level::Debug, name)
}

impl Event {
    /// Adds the request's identity.
    pub fn request(self, id: impl Display) -> Self {
        self.with("request", id)
    }

    /// Adds the workspace.
    pub fn workspace(self, name: impl Display) -> Self {
        self.with("workspace", name)
    }

    /// Adds the class of work.
    pub fn class(self, name: impl Display) -> Self {
        self.with("class", name)
    }

    /// Adds the reason.
    pub fn reason(self, why: impl Display) -> Self {
        self.with("reason", why)
    }

    /// Adds a field.
    pub fn with(mut self, key: &'static str, value: impl Display) -> Self {
        if let Some(line) = &mut self.line {
            let value = quoted(&value.to_string());
            write!(line, " {key}={value}").expect("a string takes all");
        }
        self
    }

    /// The fields as they would be written; empty where filtered out.
    pub fn text(&self) -> &str {
        self.line.as_deref().unwrap_or_default()
    }

    /// Writes the event.
    pub fn write(self) {
        let Some(line) = self.line else {
            return;
        };
        let limit = LIMIT.lock();
        let mut limit = limit.unwrap_or_else(PoisonError::into_inner);
        let limit = limit.get_or_insert_default();
        let Verdict::Write { dropped } = limit.admit(Instant::now()) else {
            return;
        };
        if dropped > 0 {
            spdlog::warn!("event=\"lines dropped\" count={dropped}");
        }
        spdlog::log!(self.level, "{line}");
    }
}

/// Writes what waits, at the end of a program.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// A value as it stands in a line, quoted where it would not be one word.
fn quoted(value: &str) -> String {
    let cut = value.floor_char_boundary(VALUE);
    let value = &value[..cut];
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        value.to_owned()
    } else {
        format!("{value:?}")
    }
}
