//! Settings in INI files, with all faults of a file reported at once.
//!
//! A program opens its file, reads each section with typed getters and calls
//! [`File::finish`]. A getter that finds a fault records it and returns a
//! placeholder, so that reading continues to the next fault. At the end, each key
//! and section that no getter has read is reported as unknown.

mod fault;
mod section;

pub use fault::{Fault, Faults};
pub use section::{Number, Section, parse_duration};

use std::path::Path;
use std::sync::Arc;

use ini::{Ini, ParseOption};

/// A key of the file with its value.
#[derive(Debug, Clone)]
struct Pair {
    key: String,
    value: String,
    /// Whether a getter has read it.
    used: bool,
}

/// A section of the file.
#[derive(Debug, Clone)]
struct Entry {
    name: String,
    pairs: Vec<Pair>,
    /// Keys that getters have read, whether or not they exist in the file.
    known_keys: Vec<String>,
    /// Whether the program has opened the section.
    used: bool,
}

/// A settings file that is being read.
#[derive(Debug, Clone)]
pub struct File {
    path: Arc<str>,
    entries: Vec<Entry>,
    /// Sections that the program has opened, whether or not they exist.
    known_sections: Vec<String>,
    faults: Vec<Fault>,
}

impl File {
    /// Opens and parses the file at `path`.
    ///
    /// # Errors
    /// The file can't be read, or it is not valid INI; the fault names the line.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, Faults> {
        let path = path.as_ref();
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&name, &text),
            Err(error) => {
                let reason = format!("can't be read: {error}");
                Err(Faults(vec![Fault::of_file(
                    &name,
                    reason,
                    "a readable text file",
                )]))
            }
        }
    }

    /// Parses `text`; `name` is the file's name in faults.
    ///
    /// # Errors
    /// The text is not valid INI; the fault names the line.
    pub fn parse(name: &str, text: &str) -> Result<Self, Faults> {
        let option = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option).map_err(|error| {
            let reason = format!("line {}: {}", error.line, error.msg);
            let accepted = "[section] lines followed by key = value lines";
            Faults(vec![Fault::of_file(name, reason, accepted)])
        })?;
        let mut file = Self {
            path: name.into(),
            entries: Vec::new(),
            known_sections: Vec::new(),
            faults: Vec::new(),
        };
        for (section, properties) in &ini {
            file.add_section(section, properties);
        }
        Ok(file)
    }

    fn add_section(&mut self, section: Option<&str>, properties: &ini::Properties) {
        let Some(name) = section else {
            for (key, value) in properties.iter() {
                let reason = "stands before the first section";
                self.push_fault("", key, Some(value), reason, "keys below a [section] line");
            }
            return;
        };
        if self.entries.iter().any(|e| e.name == name) {
            let reason = "duplicate section";
            self.push_fault(name, "", None, reason, "each section once");
            return;
        }
        let mut pairs: Vec<Pair> = Vec::new();
        for (key, value) in properties.iter() {
            if pairs.iter().any(|p| p.key == key) {
                self.push_fault(name, key, Some(value), "duplicate key", "each key once");
                continue;
            }
            if let Some((line, _)) = key.split_once('\n') {
                self.push_fault(name, line, None, "line without =", "key = value");
                continue;
            }
            pairs.push(Pair {
                key: key.to_owned(),
                value: value.to_owned(),
                used: false,
            });
        }
        self.entries.push(Entry {
            name: name.to_owned(),
            pairs,
            known_keys: Vec::new(),
            used: false,
        });
    }

    /// Records a fault of a key, of a section (empty key) or of the file.
    fn push_fault(
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

    /// Records a fault that the program found itself, such as two values that
    /// contradict each other.
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
        self.push_fault(section, key, value.as_deref(), reason, accepted);
    }

    /// Opens the section `name`; it is a fault if the section is missing.
    pub fn section(&mut self, name: &str) -> Section<'_> {
        if !self.mark_used(name) {
            self.push_fault(name, "", None, "missing section", format!("[{name}]"));
        }
        Section::new(self, name)
    }

    /// Opens the section `name`; `None` if the section is missing.
    pub fn section_opt(&mut self, name: &str) -> Option<Section<'_>> {
        self.mark_used(name).then(|| Section::new(self, name))
    }

    /// Opens the section `name`; a missing section is read as an empty one.
    pub fn section_or_empty(&mut self, name: &str) -> Section<'_> {
        self.mark_used(name);
        Section::new(self, name)
    }

    /// Returns the names of the sections `[kind NAME]`, in the order of the file.
    pub fn named_sections(&mut self, kind: &str) -> Vec<Arc<str>> {
        let prefix = format!("{kind} ");
        self.known_sections.push(format!("{kind} NAME"));
        let names = self
            .entries
            .iter()
            .filter_map(|e| e.name.strip_prefix(&prefix));
        names.map(|name| name.trim().into()).collect()
    }

    /// Marks a section as opened and returns whether it exists.
    fn mark_used(&mut self, name: &str) -> bool {
        if !self.known_sections.iter().any(|k| k == name) {
            self.known_sections.push(name.to_owned());
        }
        let entry = self.entries.iter_mut().find(|e| e.name == name);
        entry.map(|e| e.used = true).is_some()
    }

    /// Finishes reading.
    ///
    /// # Errors
    /// All recorded faults, and each key and section that was not read.
    pub fn finish(mut self) -> Result<(), Faults> {
        for entry in std::mem::take(&mut self.entries) {
            if entry.used {
                let accepted = entry.known_keys.join(", ");
                for pair in entry.pairs.iter().filter(|p| !p.used) {
                    let value = Some(&*pair.value);
                    self.push_fault(&entry.name, &pair.key, value, "unknown key", &*accepted);
                }
            } else {
                let accepted = self.known_sections.join(", ");
                self.push_fault(&entry.name, "", None, "unknown section", accepted);
            }
        }
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(self.faults))
        }
    }
}
