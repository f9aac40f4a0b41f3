//! Parses the arguments of a command.

use std::collections::HashMap;

use datadriven::TestCase;

use crate::error::{Error, Result};

/// Arguments of a command; each is removed when it is read.
pub(super) struct Arguments {
    unused: HashMap<String, Vec<String>>,
}

impl Arguments {
    pub(super) fn new(case: &TestCase) -> Self {
        Self {
            unused: case.args.clone(),
        }
    }

    /// Returns all values of `name`.
    pub(super) fn values(&mut self, name: &str) -> Vec<String> {
        self.unused.remove(name).unwrap_or_default()
    }

    /// Returns the value of `name`, if it is given.
    pub(super) fn optional(&mut self, name: &str) -> Result<Option<String>> {
        let mut values = self.values(name);
        match values.len() {
            0 => Ok(None),
            1 => Ok(values.pop()),
            _ => Err(Error::new(name, "takes one value")),
        }
    }

    /// Returns the value of `name`, which is required.
    pub(super) fn required(&mut self, name: &str) -> Result<String> {
        self.optional(name)?
            .ok_or_else(|| Error::new(name, "is missing"))
    }

    /// Returns `name` as a whole number, if it is given.
    pub(super) fn number(&mut self, name: &str) -> Result<Option<u64>> {
        let text = self.optional(name)?;
        let number = text.map(|t| t.parse().map_err(|e| Error::new(name, e)));
        number.transpose()
    }

    /// Returns `name` as a whole number, which is required.
    pub(super) fn required_number(&mut self, name: &str) -> Result<u64> {
        self.number(name)?
            .ok_or_else(|| Error::new(name, "is missing"))
    }

    /// Whether the flag `name` is given.
    pub(super) fn flag(&mut self, name: &str) -> bool {
        self.unused.remove(name).is_some()
    }

    /// Returns all words without a value, sorted.
    pub(super) fn bare_words(&mut self) -> Vec<String> {
        let bare_words = self.unused.extract_if(|_, values| values.is_empty());
        let mut names: Vec<String> = bare_words.map(|(name, _)| name).collect();
        names.sort();
        names
    }

    /// Fails if an argument was not read, since the command doesn't know it.
    pub(super) fn reject_unused(self) -> Result<()> {
        match self.unused.into_keys().next() {
            Some(name) => Err(Error::new(name, "is not an argument of this command")),
            None => Ok(()),
        }
    }
}
