//! Typed getters for the values of a section.
//!
//! Each type of value has up to three getters: the plain one requires the key,
//! the one ending in `_or` takes a default, and the one ending in `_opt` returns
//! `None` if the key is missing.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use super::File;

/// Accepted form of an address, as shown in faults.
const ADDRESS_FORM: &str = "an IP number and a port, as 127.0.0.1:8080";
/// Accepted form of a list of addresses, as shown in faults.
const ADDRESSES_FORM: &str = "IP numbers and ports, separated by commas";
/// Returned in place of an address that could not be parsed.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);
const MAX_TEXT_BYTES: usize = 1024;

/// A section of a settings file.
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

    /// Returns the raw value of `key` and marks the key as read.
    fn raw_value(&mut self, key: &str) -> Option<String> {
        let mut entries = self.file.entries.iter_mut();
        let entry = entries.find(|e| *e.name == *self.name)?;
        if !entry.known_keys.iter().any(|k| k == key) {
            entry.known_keys.push(key.to_owned());
        }
        let pair = entry.pairs.iter_mut().find(|p| p.key == key)?;
        pair.used = true;
        Some(pair.value.trim().to_owned())
    }

    /// Records a fault of the value at `key`.
    pub fn report_fault(
        &mut self,
        key: &str,
        reason: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        self.file
            .report_fault(&self.name.clone(), key, reason, accepted);
    }

    /// Reads `key` with the parser `parse`, which returns the reason if it rejects
    /// the value.
    pub fn read_opt<T>(
        &mut self,
        key: &str,
        accepted: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        let value = self.raw_value(key)?;
        match parse(&value) {
            Ok(value) => Some(value),
            Err(reason) => {
                self.report_fault(key, reason, accepted);
                None
            }
        }
    }

    /// Records a fault if `key` is missing, unless the whole section is missing.
    pub fn require(&mut self, key: &str, accepted: &str) {
        let entry = self.file.entries.iter().find(|e| *e.name == *self.name);
        let missing = entry.is_some_and(|e| !e.pairs.iter().any(|p| p.key == key));
        if missing {
            self.report_fault(key, "missing key", accepted);
        }
    }

    fn read_required<T>(
        &mut self,
        key: &str,
        accepted: &str,
        placeholder: T,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> T {
        let value = self.read_opt(key, accepted, parse);
        value.unwrap_or_else(|| {
            self.require(key, accepted);
            placeholder
        })
    }

    /// Reads a text.
    pub fn text(&mut self, key: &str) -> Arc<str> {
        self.read_required(key, "a text", "".into(), parse_text)
    }

    /// Reads a text, with a default.
    pub fn text_or(&mut self, key: &str, default: &str) -> Arc<str> {
        self.text_opt(key).unwrap_or_else(|| default.into())
    }

    /// Reads an optional text.
    pub fn text_opt(&mut self, key: &str) -> Option<Arc<str>> {
        self.read_opt(key, "a text", parse_text)
    }

    /// Reads a number within `range`; it must be whole if `T` is an integer.
    pub fn number<T: Number>(&mut self, key: &str, range: RangeInclusive<T>) -> T {
        let low = *range.start();
        self.read_required(key, &range_form(&range), low, |v| parse_number(v, &range))
    }

    /// Reads a number within `range`, with a default.
    pub fn number_or<T: Number>(&mut self, key: &str, range: RangeInclusive<T>, default: T) -> T {
        self.number_opt(key, range).unwrap_or(default)
    }

    /// Reads an optional number within `range`.
    pub fn number_opt<T: Number>(&mut self, key: &str, range: RangeInclusive<T>) -> Option<T> {
        self.read_opt(key, &range_form(&range), |v| parse_number(v, &range))
    }

    /// Reads a duration within `range`.
    pub fn duration(&mut self, key: &str, range: RangeInclusive<Duration>) -> Duration {
        let low = *range.start();
        self.read_required(key, &duration_form(&range), low, |v| {
            parse_duration_in(v, &range)
        })
    }

    /// Reads a duration within `range`, with a default.
    pub fn duration_or(
        &mut self,
        key: &str,
        range: RangeInclusive<Duration>,
        default: Duration,
    ) -> Duration {
        self.duration_opt(key, range).unwrap_or(default)
    }

    /// Reads an optional duration within `range`.
    pub fn duration_opt(&mut self, key: &str, range: RangeInclusive<Duration>) -> Option<Duration> {
        self.read_opt(key, &duration_form(&range), |v| {
            parse_duration_in(v, &range)
        })
    }

    /// Reads an IP address and port.
    pub fn address(&mut self, key: &str) -> SocketAddr {
        self.read_required(key, ADDRESS_FORM, PLACEHOLDER_ADDRESS, parse_address)
    }

    /// Reads an IP address and port, with a default.
    pub fn address_or(&mut self, key: &str, default: SocketAddr) -> SocketAddr {
        self.address_opt(key).unwrap_or(default)
    }

    /// Reads an optional IP address and port.
    pub fn address_opt(&mut self, key: &str) -> Option<SocketAddr> {
        self.read_opt(key, ADDRESS_FORM, parse_address)
    }

    /// Reads a list of addresses.
    pub fn addresses(&mut self, key: &str) -> Vec<SocketAddr> {
        self.read_required(key, ADDRESSES_FORM, Vec::new(), parse_addresses)
    }

    /// Reads a list of addresses; empty if the key is missing.
    pub fn addresses_opt(&mut self, key: &str) -> Vec<SocketAddr> {
        let list = self.read_opt(key, ADDRESSES_FORM, parse_addresses);
        list.unwrap_or_default()
    }

    /// Reads `yes` or `no`.
    pub fn flag(&mut self, key: &str) -> bool {
        self.read_required(key, "yes or no", false, parse_flag)
    }

    /// Reads `yes` or `no`, with a default.
    pub fn flag_or(&mut self, key: &str, default: bool) -> bool {
        self.read_opt(key, "yes or no", parse_flag)
            .unwrap_or(default)
    }

    /// Reads one of `choices`.
    pub fn choice<T: Clone>(&mut self, key: &str, choices: &[(&str, T)]) -> T {
        let placeholder = choices[0].1.clone();
        self.read_required(key, &choices_form(choices), placeholder, |v| {
            parse_choice(v, choices)
        })
    }

    /// Reads one of `choices`, with a default.
    pub fn choice_or<T: Clone>(&mut self, key: &str, choices: &[(&str, T)], default: T) -> T {
        let value = self.read_opt(key, &choices_form(choices), |v| parse_choice(v, choices));
        value.unwrap_or(default)
    }
}

/// Number types that settings can hold; implemented by all primitive ones.
pub trait Number: Copy + PartialOrd + Display + FromStr {}

impl<T: Copy + PartialOrd + Display + FromStr> Number for T {}

fn parse_text(value: &str) -> Result<Arc<str>, String> {
    match value.len() {
        0 => Err("is empty".to_owned()),
        1..=MAX_TEXT_BYTES => Ok(value.into()),
        _ => Err(format!("is longer than {MAX_TEXT_BYTES} bytes")),
    }
}

fn parse_number<T: Number>(value: &str, range: &RangeInclusive<T>) -> Result<T, String> {
    let number: T = value.parse().map_err(|_| "is not a number".to_owned())?;
    if range.contains(&number) {
        Ok(number)
    } else {
        Err("out of range".to_owned())
    }
}

fn range_form<T: Display>(range: &RangeInclusive<T>) -> String {
    format!("a number from {} to {}", range.start(), range.end())
}

/// Parses a whole number with the unit `ms`, `s`, `m` or `h`.
///
/// # Errors
/// The unit is missing or unknown, or the number is missing or too large.
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

fn parse_duration_in(value: &str, range: &RangeInclusive<Duration>) -> Result<Duration, String> {
    let duration = parse_duration(value)?;
    if range.contains(&duration) {
        Ok(duration)
    } else {
        Err("out of range".to_owned())
    }
}

fn duration_form(range: &RangeInclusive<Duration>) -> String {
    let (low, high) = (range.start(), range.end());
    format!("a whole number with ms, s, m or h, from {low:?} to {high:?}")
}

fn parse_address(value: &str) -> Result<SocketAddr, String> {
    value
        .parse()
        .map_err(|_| "is not an IP number and a port".to_owned())
}

fn parse_addresses(value: &str) -> Result<Vec<SocketAddr>, String> {
    let addresses = value.split(',').map(|part| parse_address(part.trim()));
    addresses.collect()
}

fn parse_flag(value: &str) -> Result<bool, String> {
    match value {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("is neither yes nor no".to_owned()),
    }
}

fn choices_form<T>(choices: &[(&str, T)]) -> String {
    let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
    format!("one of {}", names.join(", "))
}

fn parse_choice<T: Clone>(value: &str, choices: &[(&str, T)]) -> Result<T, String> {
    let chosen = choices.iter().find(|(name, _)| *name == value);
    let chosen = chosen.ok_or("is not one of the choices")?;
    Ok(chosen.1.clone())
}
