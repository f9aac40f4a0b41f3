//! Settings in INI files, with every fault of a file reported at once.
//!
//! A program opens its file, reads each section with typed getters and calls
//! [`File::finish`]. A getter that meets a fault notes it and returns a
//! placeholder, so that reading goes on to the next fault. What no getter asked
//! for is refused at the end.

mod fault;
mod section;

pub use fault::{Fault, Faults};
pub use section::{Number, Section, parse_duration};

use std::path::Path;
use std::sync::Arc;

use ini::{Ini, ParseOption};

/// A key with its value as it stands in the file.
#[derive(Debug, Clone)]
struct Pair {
    key: String,
    value: String,
    asked: bool,
}

/// A section as it stands in the file.
#[derive(Debug, Clone)]
struct Entry {
    name: String,
    pairs: Vec<Pair>,
    /// Keys that getters asked for, whether or not they are there.
    known: Vec<String>,
    asked: bool,
}

/// A settings file that is being read.
#[derive(Debug, Clone)]
pub struct File {
    path: Arc<str>,
    entries: Vec<Entry>,
    /// Sections that were asked for, whether or not they are there.
    known: Vec<String>,
    faults: Vec<Fault>,
}

impl File {
    /// Opens and parses the file at `path`.
    ///
    /// # Errors
    /// A file that can't be read or is no INI; the fault names the line.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, Faults> {
        let path = path.as_ref();
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&name, &text),
            Err(error) => {
                let reason = format!("can't be read: {error}");
                Err(Faults(vec![Fault::whole(
                    &name,
                    reason,
                    "a readable text file",
                )]))
            }
        }
    }

    /// Parses `text`; faults call the file `name`.
    ///
    /// # Errors
    /// A text that is no INI; the fault names the line.
    pub fn parse(name: &str, text: &str) -> Result<Self, Faults> {
        let option = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option).map_err(|error| {
            let reason = format!("line {}: {}", error.line, error.msg);
            let accepted = "[section] lines followed by key = value lines";
            Faults(vec![Fault::whole(name, reason, accepted)])
        })?;
        let mut file = Self {
            path: name.into(),
            entries: Vec::new(),
            known: Vec::new(),
            faults: Vec::new(),
        };
        for (section, properties) in &ini {
            file.add(section, properties);
        }
        Ok(file)
    }

    fn add(&mut self, section: Option<&str>, properties: &ini::Properties) {
        let Some(name) = section else {
            for (key, value) in properties.iter() {
                let reason = "stands before the first section";
                self.note("", key, Some(value), reason, "keys below a [section] line");
            }
            return;
        };
        if self.entries.iter().any(|e| e.name == name) {
            let reason = "duplicate section";
            self.note(name, "", None, reason, "each section once");
            return;
        }
        let mut pairs: Vec<Pair> = Vec::new();
        for (key, value) in properties.iter() {
            if pairs.iter().any(|p| p.key == key) {
                self.note(name, key, Some(value), "duplicate key", "each key once");
                continue;
            }
            if let Some((line, _)) = key.split_once('\n') {
                self.note(name, line, None, "line without =", "key = value");
                continue;
            }
            pairs.push(Pair {
                key: key.to_owned(),
                value: value.to_owned(),
                asked: false,
            });
        }
        self.entries.push(Entry {
            name: name.to_owned(),
            pairs,
            known: Vec::new(),
            asked: false,
        });
    }

    /// Notes a fault of a section, or of a key where one is given.
    fn note(
        &mut self,
        section: &str,
        key: &str,
        value: Option<&str>,
        reason: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        self.faults.push(Fault {
            file: self.path.clone(),
            section: section.into(),
            key: key.into(),
            value: value.map(Into::into),
            reason: reason.into(),
            accepted: accepted.into(),
        });
    }

    /// Notes a fault that a program found between several values.
    pub fn report_fault(
        &mut self,
        section: &str,
        key: &str,
        reason: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        let entry = self.entries.iter().find(|e| e.name == section);
        let pair = entry.and_then(|e| e.pairs.iter().find(|p| p.key == key));
        let value = pair.map(|p| p.value.clone());
        self.note(section, key, value.as_deref(), reason, accepted);
    }

    /// The section `name`; its absence is a fault.
    pub fn section(&mut self, name: &str) -> Section<'_> {
        if !self.ask(name) {
            self.note(name, "", None, "missing section", format!("[{name}]"));
        }
        Section::new(self, name)
    }

    /// The section `name`, `None` where there is none.
    pub fn section_opt(&mut self, name: &str) -> Option<Section<'_>> {
        self.ask(name).then(|| Section::new(self, name))
    }

    /// The section `name`; its absence stands for one without keys.
    pub fn section_or_empty(&mut self, name: &str) -> Section<'_> {
        self.ask(name);
        Section::new(self, name)
    }

    /// Names of the sections `[kind NAME]`, in the order of the file.
    pub fn named_sections(&mut self, kind: &str) -> Vec<Arc<str>> {
        let prefix = format!("{kind} ");
        self.known.push(format!("{kind} NAME"));
        let names = self
            .entries
            .iter()
            .filter_map(|e| e.name.strip_prefix(&prefix));
        names.map(|name| name.trim().into()).collect()
    }

    fn ask(&mut self, name: &str) -> bool {
        if !self.known.iter().any(|k| k == name) {
            self.known.push(name.to_owned());
        }
        let entry = self.entries.iter_mut().find(|e| e.name == name);
        entry.map(|e| e.asked = true).is_some()
    }

    /// Ends the reading.
    ///
    /// # Errors
    /// Every fault noted so far, and each key and section nobody asked for.
    pub fn finish(mut self) -> Result<(), Faults> {
        for entry in std::mem::take(&mut self.entries) {
            if entry.asked {
                let accepted = entry.known.join(", ");
                for pair in entry.pairs.iter().filter(|p| !p.asked) {
                    let value = Some(&*pair.value);
                    self.note(&entry.name, &pair.key, value, "unknown key", &*accepted);
                }
            } else {
                let accepted = self.known.join(", ");
                self.note(&entry.name, "", None, "unknown section", accepted);
            }
        }
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(self.faults))
        }
    }
}
