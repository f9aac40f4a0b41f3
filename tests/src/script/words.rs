//! The arguments of a command.

use std::collections::HashMap;

use datadriven::TestCase;

use crate::fault::{Fault, Result};

/// Arguments that were not looked at yet.
pub(super) struct Words {
    left: HashMap<String, Vec<String>>,
}

impl Words {
    pub(super) fn new(case: &TestCase) -> Self {
        Self {
            left: case.args.clone(),
        }
    }

    /// All values of `name`.
    pub(super) fn many(&mut self, name: &str) -> Vec<String> {
        self.left.remove(name).unwrap_or_default()
    }

    /// The value of `name`.
    pub(super) fn text(&mut self, name: &str) -> Result<Option<String>> {
        let mut values = self.many(name);
        match values.len() {
            0 => Ok(None),
            1 => Ok(values.pop()),
            _ => Err(Fault::of(name, "takes one value")),
        }
    }

    /// The value of `name`, which must be there.
    pub(super) fn need(&mut self, name: &str) -> Result<String> {
        self.text(name)?
            .ok_or_else(|| Fault::of(name, "is missing"))
    }

    /// The whole number `name`.
    pub(super) fn number(&mut self, name: &str) -> Result<Option<u64>> {
        let text = self.text(name)?;
        let number = text.map(|t| t.parse().map_err(|e| Fault::of(name, e)));
        number.transpose()
    }

    /// The whole number `name`, which must be there.
    pub(super) fn need_number(&mut self, name: &str) -> Result<u64> {
        self.number(name)?
            .ok_or_else(|| Fault::of(name, "is missing"))
    }

    /// Whether the flag `name` is there.
    pub(super) fn flag(&mut self, name: &str) -> bool {
        self.left.remove(name).is_some()
    }

    /// All words without a value, in order of their names.
    pub(super) fn names(&mut self) -> Vec<String> {
        let bare = self.left.extract_if(|_, values| values.is_empty());
        let mut names: Vec<String> = bare.map(|(name, _)| name).collect();
        names.sort();
        names
    }

    /// Refuses arguments that nothing looked at.
    pub(super) fn finish(self) -> Result<()> {
        match self.left.into_keys().next() {
            Some(name) => Err(Fault::of(name, "is not an argument of this command")),
            None => Ok(()),
        }
    }
}
