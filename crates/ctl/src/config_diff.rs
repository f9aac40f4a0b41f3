//! Differences between two configurations.

use std::fmt;

use poplar_core::config::{Class, Config, Kind, Workspace};
use poplar_core::id::Name;
use serde::Serialize;

/// One difference.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Change {
    /// `class` or `workspace`.
    pub kind: &'static str,
    /// Name of the class or workspace.
    pub name: Name,
    /// The field; empty if the whole entry was added or removed.
    pub field: &'static str,
    /// Value before; empty if there was none.
    pub before: String,
    /// Value after; empty if there is none.
    pub after: String,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, name) = (self.kind, &self.name);
        match (self.field, self.before.is_empty()) {
            ("", true) => write!(f, "+ {kind} {name}: {}", self.after),
            ("", false) => write!(f, "- {kind} {name}: {}", self.before),
            (field, _) => {
                let (before, after) = (&self.before, &self.after);
                write!(f, "~ {kind} {name}: {field} {before} -> {after}")
            }
        }
    }
}

/// Names and formatted values of the fields of a class or workspace.
pub(crate) type Fields = Vec<(&'static str, String)>;

/// Lists the changes from `before` to `after`, sorted by name, classes first.
pub fn diff(before: &Config, after: &Config) -> Vec<Change> {
    let classes = |c: &Config| -> Vec<(Name, Fields)> {
        let entries = c.classes.iter().map(|c| (c.name.clone(), class_fields(c)));
        entries.collect()
    };
    let workspaces = |c: &Config| -> Vec<(Name, Fields)> {
        let entries = c.workspaces.iter();
        let entries = entries.map(|w| (w.name.clone(), workspace_fields(w)));
        entries.collect()
    };
    let mut changes = compare_entries("class", &classes(before), &classes(after));
    let (before, after) = (workspaces(before), workspaces(after));
    changes.extend(compare_entries("workspace", &before, &after));
    changes
}

/// Lists the changes of entries that are sorted by name.
pub(crate) fn compare_entries(
    kind: &'static str,
    before: &[(Name, Fields)],
    after: &[(Name, Fields)],
) -> Vec<Change> {
    let mut names: Vec<&Name> = before.iter().chain(after).map(|(name, _)| name).collect();
    names.sort();
    names.dedup();
    let find = |entries: &[(Name, Fields)], name: &Name| -> Option<Fields> {
        let index = entries.binary_search_by(|(n, _)| n.cmp(name)).ok()?;
        Some(entries[index].1.clone())
    };
    let mut changes = Vec::new();
    for name in names {
        let (old, new) = (find(before, name), find(after, name));
        changes.extend(entry_changes(kind, name, old, new));
    }
    changes
}

fn entry_changes(
    kind: &'static str,
    name: &Name,
    old: Option<Fields>,
    new: Option<Fields>,
) -> Vec<Change> {
    let change = |field, before, after| Change {
        kind,
        name: name.clone(),
        field,
        before,
        after,
    };
    match (old, new) {
        (Some(old), Some(new)) => {
            let pairs = old.into_iter().zip(new);
            let differing = pairs.filter(|(old, new)| old.1 != new.1);
            differing
                .map(|(old, new)| change(old.0, old.1, new.1))
                .collect()
        }
        (Some(old), None) => vec![change("", summary(&old), String::new())],
        (None, Some(new)) => vec![change("", String::new(), summary(&new))],
        (None, None) => Vec::new(),
    }
}

/// Formats the fields on one line, without those that don't apply (`-`).
pub fn summary(fields: &[(&'static str, String)]) -> String {
    let applicable = fields.iter().filter(|(_, value)| value != "-");
    let parts: Vec<String> = applicable
        .map(|(field, value)| format!("{field}={value}"))
        .collect();
    parts.join(" ")
}

/// Formats the fields of a class; `-` stands for a field that does not apply to
/// its kind.
pub fn class_fields(class: &Class) -> Fields {
    let is_model = class.kind == Kind::Model;
    let only_if = |applies: bool, text: String| if applies { text } else { "-".to_owned() };
    let first = class.first_target.map(|d| format!("{d:?}"));
    vec![
        (
            "kind",
            if is_model { "model" } else { "service" }.to_owned(),
        ),
        ("serves", class.serves.to_string()),
        ("first", first.unwrap_or_else(|| "-".to_owned())),
        ("finish", format!("{:?}", class.finish_target)),
        ("objective", class.objective.to_string()),
        ("repeat", only_if(!is_model, yes_no(class.repeatable))),
        ("price", only_if(!is_model, class.price.to_string())),
        ("cap", only_if(is_model, class.output_cap.to_string())),
    ]
}

/// Formats the fields of a workspace; only the first digits of the key's hash are
/// shown.
pub fn workspace_fields(workspace: &Workspace) -> Fields {
    let prefix: String = workspace.secret.chars().take(8).collect();
    vec![("secret", format!("{prefix}..."))]
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
