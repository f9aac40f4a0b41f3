//! Structured logging: one line per event, as `key=value` fields.
//!
//! An event never contains a prompt, an answer or an access key. Values with
//! blanks, quotes or control characters are quoted, so that an event stays on one
//! line whatever a caller sent. Lines beyond a rate limit are dropped and counted.
//! A separate thread writes the lines, so that a slow reader of the log never
//! blocks the program.

use std::fmt::{Display, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{ErrorHandler, Level, LevelFilter, Logger, ThreadPool};

use crate::log_limit::{LineLimiter, Verdict};
use crate::settings::Section;

/// Longer field values are truncated.
const MAX_VALUE_BYTES: usize = 400;
/// Capacity of the queue to the writing thread; a line has some hundred bytes.
const QUEUE_LINES: usize = 4096;

/// The rate limit of this process.
static LIMITER: Mutex<Option<LineLimiter>> = Mutex::new(None);

/// Output stream of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// The standard error stream.
    Stderr,
    /// The standard output stream.
    Stdout,
}

/// Settings of the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// The least severe level that is written; `None` writes nothing.
    pub level: Option<Level>,
    /// The output stream.
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
    /// Reads `level` and `destination` from the section `[log]`.
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

/// Installs the process-wide logger.
///
/// # Errors
/// Any error of the log library.
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
        .capacity(QUEUE_LINES.try_into().expect("not zero"))
        .build_arc()?;
    // Lines that arrive at a full queue are dropped: the reader of the log has
    // stopped reading, so the loss can't be reported to it either.
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

/// Builder of a log line; [`Event::write`] writes it.
#[derive(Debug)]
#[must_use = "an event is only written by `write`"]
pub struct Event {
    level: Level,
    /// `None` if the level is filtered out, so that nothing is formatted.
    line: Option<String>,
}

/// Starts an event named `name` at `level`.
pub fn event(level: Level, name: &'static str) -> Event {
    let enabled = spdlog::default_logger().should_log(level);
    let line = enabled.then(|| format!("event={name}"));
    Event { level, line }
}

/// Starts an event at the level `error`: an operator should act.
pub fn error(name: &'static str) -> Event {
    event(Level::Error, name)
}

/// Starts an event at the level `warn`: something failed and was handled.
pub fn warn(name: &'static str) -> Event {
    event(Level::Warn, name)
}

/// Starts an event at the level `info`.
pub fn info(name: &'static str) -> Event {
    event(Level::Info, name)
}

/// Starts an event at the level `debug`.
pub fn debug(name: &'static str) -> Event {
    event(Level::Debug, name)
}

impl Event {
    /// Adds the request id.
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
    pub fn reason(self, reason: impl Display) -> Self {
        self.with("reason", reason)
    }

    /// Adds a field.
    pub fn with(mut self, key: &'static str, value: impl Display) -> Self {
        if let Some(line) = &mut self.line {
            let value = quoted(&value.to_string());
            write!(line, " {key}={value}").expect("writing to a string can't fail");
        }
        self
    }

    /// Returns the fields as they would be written; empty if filtered out.
    pub fn text(&self) -> &str {
        self.line.as_deref().unwrap_or_default()
    }

    /// Writes the event, unless the rate limit drops it.
    pub fn write(self) {
        let Some(line) = self.line else {
            return;
        };
        let limiter = LIMITER.lock();
        let mut limiter = limiter.unwrap_or_else(PoisonError::into_inner);
        let limiter = limiter.get_or_insert_default();
        let Verdict::Write { dropped } = limiter.admit(Instant::now()) else {
            return;
        };
        if dropped > 0 {
            spdlog::warn!("event=\"lines dropped\" count={dropped}");
        }
        spdlog::log!(self.level, "{line}");
    }
}

/// Writes all queued lines; called before a program exits.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// Truncates a value and quotes it if it is not a single plain word.
fn quoted(value: &str) -> String {
    let end = value.floor_char_boundary(MAX_VALUE_BYTES);
    let value = &value[..end];
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        value.to_owned()
    } else {
        format!("{value:?}")
    }
}
