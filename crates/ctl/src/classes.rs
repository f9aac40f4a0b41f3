//! The classes file: what operators write and `apply` puts in force.
//!
//! `[class NAME]` sections hold targets, `[workspace NAME]` sections the hash
//! of an access key. The order of the file has no meaning.

use std::path::Path;
use std::time::Duration;

use poplar_base::settings::{Faults, File, Section};
use poplar_core::config::{Class, Config, Kind, Workspace, hash_key};
use poplar_core::id::Name;

/// Shortest target.
const SHORTEST: Duration = Duration::from_millis(1);
/// Longest target.
const LONGEST: Duration = Duration::from_secs(3600);
/// Share of requests on target where the file says nothing.
const OBJECTIVE: f64 = 0.999;
/// Largest cap on output, in tokens.
const CAP: u32 = 1_000_000;
/// Largest price of a service call, in tokens.
const PRICE: u64 = 1_000_000_000;
/// Longest name in bytes.
const NAME: usize = 64;
/// What a name looks like.
pub const NAME_FORM: &str = "1 to 64 lower-case letters, digits, hyphens";
/// What a secret looks like.
const SECRET_FORM: &str = "SHA-256 of the access key, 64 lower-case hex digits";

/// Reads the classes file at `path`; its generation is 0.
///
/// # Errors
/// Every fault of the file.
pub fn open(path: impl AsRef<Path>) -> Result<Config, Faults> {
    read(File::open(path)?)
}

/// Reads a parsed classes file.
///
/// # Errors
/// Every fault of the file.
pub fn read(mut file: File) -> Result<Config, Faults> {
    let mut config = Config::default();
    for name in file.named_sections("class") {
        check_name(&mut file, "class", &name);
        let section = file.section(&format!("class {name}"));
        config.classes.push(class(section, name));
    }
    for name in file.named_sections("workspace") {
        check_name(&mut file, "workspace", &name);
        let section = file.section(&format!("workspace {name}"));
        let secret = secret(section);
        config.workspaces.push(Workspace { name, secret });
    }
    config.sort();
    check_whole(&mut file, &config);
    file.finish()?;
    Ok(config)
}

/// Whether `name` can be a class's, a workspace's or a budget's.
pub fn is_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=NAME).contains(&name.len()) && name.bytes().all(plain)
}

fn check_name(file: &mut File, kind: &str, name: &str) {
    if !is_name(name) {
        file.report_fault(&format!("{kind} {name}"), "", "bad name", NAME_FORM);
    }
}

fn check_whole(file: &mut File, config: &Config) {
    if config.classes.is_empty() {
        file.report_fault("class NAME", "", "missing section", "one class or more");
    }
    if config.workspaces.is_empty() {
        let accepted = "one workspace or more";
        file.report_fault("workspace NAME", "", "missing section", accepted);
    }
    for (at, one) in config.workspaces.iter().enumerate() {
        let before = &config.workspaces[..at];
        let twin = before.iter().find(|w| w.secret == one.secret);
        if let Some(twin) = twin.filter(|w| !w.secret.is_empty()) {
            let section = format!("workspace {}", one.name);
            let reason = format!("has the access key of workspace {}", twin.name);
            file.report_fault(&section, "", reason, "a key of its own");
        }
    }
}

fn class(mut section: Section<'_>, name: Name) -> Class {
    let kinds = [("model", Kind::Model), ("service", Kind::Service)];
    let kind = section.choice("kind", &kinds);
    let serves = section.text("serves");
    let finish = section.duration("finish", SHORTEST..=LONGEST);
    let objective = section.number_or("objective", 0.0..=0.999_999, OBJECTIVE);
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
            let first = section.duration("first", SHORTEST..=LONGEST);
            if first > finish {
                section.report_fault("first", "is later than finish", "at most finish");
            }
            class.first_target = Some(first);
            class.output_cap = section.number("cap", 1..=CAP);
        }
        Kind::Service => {
            class.repeatable = section.flag("repeat");
            class.price = section.number_or("price", 0..=PRICE, 1);
        }
    }
    class
}

fn secret(mut section: Section<'_>) -> Name {
    let key = section.text_opt("key");
    let secret = section.read_opt("secret", SECRET_FORM, |value| {
        let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        let right = value.len() == 64 && value.bytes().all(hex);
        right
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
