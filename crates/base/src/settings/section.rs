//! Typed getters of a section.
//!
//! Each kind of value has up to three getters: the plain one needs the key, the
//! one ending in `_or` takes a default, the one ending in `_opt` gives `None`
//! where the key is missing.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use super::File;

/// What an address looks like.
const ADDRESS: &str = "an IP number and a port, as 127.0.0.1:8080";
/// What a list of addresses looks like.
const ADDRESSES: &str = "IP numbers and ports, separated by commas";
/// Stands in for an address that could not be read.
const NOWHERE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);
/// Longest text of a name, in bytes.
const TEXT: usize = 1024;

/// A section that is being read.
#[derive(Debug)]
pub struct Section<'a> {
    file: &'a mut File,
    name: Arc<str>,
}

impl<'a> Section<'a> {
    pub(super) fn new(file: &'a mut File, name: &str) -> Self {
        let name = name.into();
        Self { file, name }
    }

    /// Takes the raw value of `key` and marks it as asked for.
    fn take(&mut self, key: &str) -> Option<String> {
        let mut entries = self.file.entries.iter_mut();
        let entry = entries.find(|e| *e.name == *self.name)?;
        if !entry.known.iter().any(|k| k == key) {
            entry.known.push(key.to_owned());
        }
        let pair = entry.pairs.iter_mut().find(|p| p.key == key)?;
        pair.asked = true;
        Some(pair.value.trim().to_owned())
    }

    /// Notes a fault of the value at `key`.
    pub fn report_fault(
        &mut self,
        key: &str,
        reason: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        self.file
            .report_fault(&self.name.clone(), key, reason, accepted);
    }

    /// Reads `key` with `read`, which says why it refuses a value.
    pub fn read_opt<T>(
        &mut self,
        key: &str,
        accepted: &str,
        read: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        let value = self.take(key)?;
        match read(&value) {
            Ok(value) => Some(value),
            Err(reason) => {
                self.report_fault(key, reason, accepted);
                None
            }
        }
    }

    /// Notes that `key` is missing, unless the whole section is.
    pub fn require(&mut self, key: &str, accepted: &str) {
        let entry = self.file.entries.iter().find(|e| *e.name == *self.name);
        let missing = entry.is_some_and(|e| !e.pairs.iter().any(|p| p.key == key));
        if missing {
            self.report_fault(key, "missing key", accepted);
        }
    }

    fn read<T>(
        &mut self,
        key: &str,
        accepted: &str,
        placeholder: T,
        read: impl FnOnce(&str) -> Result<T, String>,
    ) -> T {
        let value = self.read_opt(key, accepted, read);
        value.unwrap_or_else(|| {
            self.require(key, accepted);
            placeholder
        })
    }

    /// A text.
    pub fn text(&mut self, key: &str) -> Arc<str> {
        self.read(key, "a text", "".into(), text)
    }

    /// A text with a default.
    pub fn text_or(&mut self, key: &str, default: &str) -> Arc<str> {
        self.text_opt(key).unwrap_or_else(|| default.into())
    }

    /// A text that may be missing.
    pub fn text_opt(&mut self, key: &str) -> Option<Arc<str>> {
        self.read_opt(key, "a text", text)
    }

    /// A number within `range`; whole where its type is.
    pub fn number<T: Number>(&mut self, key: &str, range: RangeInclusive<T>) -> T {
        let low = *range.start();
        self.read(key, &span(&range), low, |v| number(v, &range))
    }

    /// A number within `range` with a default.
    pub fn number_or<T: Number>(&mut self, key: &str, range: RangeInclusive<T>, default: T) -> T {
        self.number_opt(key, range).unwrap_or(default)
    }

    /// A number within `range` that may be missing.
    pub fn number_opt<T: Number>(&mut self, key: &str, range: RangeInclusive<T>) -> Option<T> {
        self.read_opt(key, &span(&range), |v| number(v, &range))
    }

    /// A duration within `range`.
    pub fn duration(&mut self, key: &str, range: RangeInclusive<Duration>) -> Duration {
        let low = *range.start();
        self.read(key, &length(&range), low, |v| duration(v, &range))
    }

    /// A duration within `range` with a default.
    pub fn duration_or(
        &mut self,
        key: &str,
        range: RangeInclusive<Duration>,
        default: Duration,
    ) -> Duration {
        self.duration_opt(key, range).unwrap_or(default)
    }

    /// A duration within `range` that may be missing.
    pub fn duration_opt(&mut self, key: &str, range: RangeInclusive<Duration>) -> Option<Duration> {
        self.read_opt(key, &length(&range), |v| duration(v, &range))
    }

    /// An address by IP number and port.
    pub fn address(&mut self, key: &str) -> SocketAddr {
        self.read(key, ADDRESS, NOWHERE, address)
    }

    /// An address with a default.
    pub fn address_or(&mut self, key: &str, default: SocketAddr) -> SocketAddr {
        self.address_opt(key).unwrap_or(default)
    }

    /// An address that may be missing.
    pub fn address_opt(&mut self, key: &str) -> Option<SocketAddr> {
        self.read_opt(key, ADDRESS, address)
    }

    /// A list of addresses.
    pub fn addresses(&mut self, key: &str) -> Vec<SocketAddr> {
        self.read(key, ADDRESSES, Vec::new(), addresses)
    }

    /// A list of addresses, empty where the key is missing.
    pub fn addresses_opt(&mut self, key: &str) -> Vec<SocketAddr> {
        let list = self.read_opt(key, ADDRESSES, addresses);
        list.unwrap_or_default()
    }

    /// `yes` or `no`.
    pub fn flag(&mut self, key: &str) -> bool {
        self.read(key, "yes or no", false, flag)
    }

    /// `yes` or `no` with a default.
    pub fn flag_or(&mut self, key: &str, default: bool) -> bool {
        self.read_opt(key, "yes or no", flag).unwrap_or(default)
    }

    /// One of `choices`.
    pub fn choice<T: Clone>(&mut self, key: &str, choices: &[(&str, T)]) -> T {
        let placeholder = choices[0].1.clone();
        self.read(key, &one_of(choices), placeholder, |v| choose(v, choices))
    }

    /// One of `choices` with a default.
    pub fn choice_or<T: Clone>(&mut self, key: &str, choices: &[(&str, T)], default: T) -> T {
        let value = self.read_opt(key, &one_of(choices), |v| choose(v, choices));
        value.unwrap_or(default)
    }
}

/// What numbers in settings can do; every primitive number does.
pub trait Number: Copy + PartialOrd + Display + FromStr {}

impl<T: Copy + PartialOrd + Display + FromStr> Number for T {}

fn text(value: &str) -> Result<Arc<str>, String> {
    match value.len() {
        0 => Err("is empty".to_owned()),
        1..=TEXT => Ok(value.into()),
        _ => Err(format!("is longer than {TEXT} bytes")),
    }
}

fn number<T: Number>(value: &str, range: &RangeInclusive<T>) -> Result<T, String> {
    let read: T = value.parse().map_err(|_| "is not a number".to_owned())?;
    if range.contains(&read) {
        Ok(read)
    } else {
        Err("out of range".to_owned())
    }
}

fn span<T: Display>(range: &RangeInclusive<T>) -> String {
    format!("a number from {} to {}", range.start(), range.end())
}

/// Reads a whole number with `ms`, `s`, `m` or `h`.
///
/// # Errors
/// A missing or unknown unit, or no whole number before it.
pub fn parse_duration(value: &str) -> Result<Duration, String> {
    let digits = value.bytes().take_while(u8::is_ascii_digit).count();
    let (count, unit) = value.split_at(digits);
    let scale: u64 = match unit.trim() {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        "" => return Err("has no unit".to_owned()),
        _ => return Err("has no whole number with a known unit".to_owned()),
    };
    let count: u64 = count.parse().map_err(|_| "is not a whole number")?;
    let millis = count.checked_mul(scale).ok_or("out of range")?;
    Ok(Duration::from_millis(millis))
}

fn duration(value: &str, range: &RangeInclusive<Duration>) -> Result<Duration, String> {
    let read = parse_duration(value)?;
    if range.contains(&read) {
        Ok(read)
    } else {
        Err("out of range".to_owned())
    }
}

fn length(range: &RangeInclusive<Duration>) -> String {
    let (low, high) = (range.start(), range.end());
    format!("a whole number with ms, s, m or h, from {low:?} to {high:?}")
}

fn address(value: &str) -> Result<SocketAddr, String> {
    value
        .parse()
        .map_err(|_| "is not an IP number and a port".to_owned())
}

fn addresses(value: &str) -> Result<Vec<SocketAddr>, String> {
    let read = value.split(',').map(|part| address(part.trim()));
    read.collect()
}

fn flag(value: &str) -> Result<bool, String> {
    match value {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("is neither yes nor no".to_owned()),
    }
}

fn one_of<T>(choices: &[(&str, T)]) -> String {
    let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
    format!("one of {}", names.join(", "))
}

fn choose<T: Clone>(value: &str, choices: &[(&str, T)]) -> Result<T, String> {
    let chosen = choices.iter().find(|(name, _)| *name == value);
    let chosen = chosen.ok_or("is not one of the choices")?;
    Ok(chosen.1.clone())
}
