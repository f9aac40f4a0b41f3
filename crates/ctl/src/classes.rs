//! The classes file, which operators write and `apply` puts in force.
//!
//! A section `[class NAME]` contains the targets of a class, a section
//! `[workspace NAME]` an access key or its hash. The order of the sections has no
//! meaning.

use std::path::Path;
use std::time::Duration;

use poplar_base::settings::{Faults, File, Section};
use poplar_core::config::{Class, Config, Kind, Workspace, hash_key};
use poplar_core::id::Name;

const MIN_TARGET: Duration = Duration::from_millis(1);
const MAX_TARGET: Duration = Duration::from_secs(3600);
/// Share of requests that must meet the targets if the file names none.
const DEFAULT_OBJECTIVE: f64 = 0.999;
/// Largest `cap` of output, in tokens.
const MAX_OUTPUT_CAP: u32 = 1_000_000;
/// Largest `price` of a service call, in tokens.
const MAX_PRICE: u64 = 1_000_000_000;
const MAX_NAME_BYTES: usize = 64;
/// Accepted form of a name, as shown in faults.
pub const NAME_FORM: &str = "1 to 64 lower-case letters, digits, hyphens";
/// Accepted form of a secret, as shown in faults.
const SECRET_FORM: &str = "SHA-256 of the access key, 64 lower-case hex digits";

/// Reads the classes file at `path`. The returned generation is 0.
///
/// # Errors
/// All faults of the file.
pub fn open(path: impl AsRef<Path>) -> Result<Config, Faults> {
    read(File::open(path)?)
}

/// Reads a parsed classes file.
///
/// # Errors
/// All faults of the file.
pub fn read(mut file: File) -> Result<Config, Faults> {
    let mut config = Config::default();
    for name in file.named_sections("class") {
        check_name(&mut file, "class", &name);
        let section = file.section(&format!("class {name}"));
        config.classes.push(read_class(section, name));
    }
    for name in file.named_sections("workspace") {
        check_name(&mut file, "workspace", &name);
        let section = file.section(&format!("workspace {name}"));
        let secret = read_secret(section);
        config.workspaces.push(Workspace { name, secret });
    }
    config.sort();
    check_config(&mut file, &config);
    file.finish()?;
    Ok(config)
}

/// Whether `name` is valid for a class, a workspace or a budget.
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

fn check_name(file: &mut File, kind: &str, name: &str) {
    if !is_valid_name(name) {
        file.report_fault(&format!("{kind} {name}"), "", "bad name", NAME_FORM);
    }
}

fn check_config(file: &mut File, config: &Config) {
    if config.classes.is_empty() {
        file.report_fault("class NAME", "", "missing section", "one class or more");
    }
    if config.workspaces.is_empty() {
        let accepted = "one workspace or more";
        file.report_fault("workspace NAME", "", "missing section", accepted);
    }
    for (index, workspace) in config.workspaces.iter().enumerate() {
        let earlier = &config.workspaces[..index];
        let duplicate = earlier.iter().find(|w| w.secret == workspace.secret);
        if let Some(duplicate) = duplicate.filter(|w| !w.secret.is_empty()) {
            let section = format!("workspace {}", workspace.name);
            let reason = format!("has the access key of workspace {}", duplicate.name);
            file.report_fault(&section, "", reason, "a key of its own");
        }
    }
}

fn read_class(mut section: Section<'_>, name: Name) -> Class {
    let kinds = [("model", Kind::Model), ("service", Kind::Service)];
    let kind = section.choice("kind", &kinds);
    let serves = section.text("serves");
    let finish = section.duration("finish", MIN_TARGET..=MAX_TARGET);
    let objective = section.number_or("objective", 0.0..=0.999_999, DEFAULT_OBJECTIVE);
    let mut class = Class {
        name,
        kind,
        serves,
        first_target: None,
        finish_target: finish,
        objective,
        repeatable: true,
        price: 0,
        output_cap: 0,
    };
    match kind {
        Kind::Model => {
            let first = section.duration("first", MIN_TARGET..=MAX_TARGET);
            if first > finish {
                section.report_fault("first", "is later than finish", "at most finish");
            }
            class.first_target = Some(first);
            class.output_cap = section.number("cap", 1..=MAX_OUTPUT_CAP);
        }
        Kind::Service => {
            class.repeatable = section.flag("repeat");
            class.price = section.number_or("price", 0..=MAX_PRICE, 1);
        }
    }
    class
}

fn read_secret(mut section: Section<'_>) -> Name {
    let key = section.text_opt("key");
    let secret = section.read_opt("secret", SECRET_FORM, |value| {
        let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        let valid = value.len() == 64 && value.bytes().all(is_hex);
        valid
            .then(|| Name::from(value))
            .ok_or_else(|| "is no hash".to_owned())
    });
    match (key, secret) {
        (Some(key), None) => hash_key(&key).into(),
        (None, Some(secret)) => secret,
        (Some(_), Some(_)) => {
            section.report_fault("key", "stands beside secret", "either key or secret");
            "".into()
        }
        (None, None) => {
            section.require("secret", SECRET_FORM);
            "".into()
        }
    }
}
