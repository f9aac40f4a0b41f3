//! Checks the documentation against the programs and files.
//!
//! Every command of one of our programs in a code block marked `sh` must name a
//! program that is built, and options that its help lists. Every relative link
//! must lead to an existing file and, if it names one, to a heading in it. The
//! operators' page must list each key of the router's sample settings.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Prefixes of the names of our programs and stand-ins.
const PROGRAM_PREFIXES: [&str; 2] = ["poplar-", "fake-"];
/// Shell operators that separate the commands of a line.
const COMMAND_SEPARATORS: [&str; 5] = ["|", "&&", "||", ";", "&"];
/// Text before the target of a Markdown link.
const LINK_START: &str = "](";

/// A page of the documentation.
struct Page {
    path: PathBuf,
    text: String,
}

/// Parsed help of a program.
struct Help {
    text: String,
    /// Each option, and whether it takes a value.
    options: Vec<(String, bool)>,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Reads the Markdown pages at the root of the repository and below `docs`.
fn read_pages() -> Vec<Page> {
    let mut paths = markdown_files(&root(), false);
    paths.extend(markdown_files(&root().join("docs"), true));
    paths.sort();
    let page = |path: PathBuf| Page {
        text: fs::read_to_string(&path).expect("the page is readable"),
        path,
    };
    paths.into_iter().map(page).collect()
}

fn markdown_files(folder: &Path, recursive: bool) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() && recursive {
            found.extend(markdown_files(&path, recursive));
        } else if path.extension().is_some_and(|e| e == "md") {
            found.push(path);
        }
    }
    found
}

/// Returns the page's lines, each with the language of its code block; `None` for prose.
fn tagged_lines(page: &Page) -> Vec<(Option<String>, &str)> {
    let mut block: Option<String> = None;
    let mut lines = Vec::new();
    for line in page.text.lines() {
        match (line.trim_start().strip_prefix("```"), &block) {
            (Some(kind), None) => block = Some(kind.trim().to_owned()),
            (Some(_), Some(_)) => block = None,
            (None, _) => lines.push((block.clone(), line)),
        }
    }
    lines
}

/// Splits the page's `sh` blocks into commands, and each command into words.
fn commands(page: &Page) -> Vec<Vec<String>> {
    let mut commands = Vec::new();
    let mut partial_line = String::new();
    for (_, line) in tagged_lines(page)
        .iter()
        .filter(|l| l.0.as_deref() == Some("sh"))
    {
        if let Some(part) = line.strip_suffix('\\') {
            partial_line.push_str(part);
            continue;
        }
        partial_line.push_str(line);
        let words: Vec<String> = partial_line.split_whitespace().map(str::to_owned).collect();
        let words = words.split(|w| COMMAND_SEPARATORS.contains(&w.as_str()));
        commands.extend(words.map(<[String]>::to_vec));
        partial_line.clear();
    }
    commands
}

/// Returns the program's name if a command runs one of ours.
fn program_name(words: &[String]) -> Option<&str> {
    let name = Path::new(words.first()?).file_name()?.to_str()?;
    PROGRAM_PREFIXES
        .iter()
        .any(|p| name.starts_with(p))
        .then_some(name)
}

/// Runs a built program with `--help`; `None` if there is no such program.
fn read_help(name: &str) -> Option<Help> {
    let test_path = std::env::current_exe().expect("the test's own path");
    let folder = test_path.parent().and_then(Path::parent);
    let path = folder.expect("a target folder").join(name);
    let output = Command::new(path).arg("--help").output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    let listed = text.lines().filter(|l| l.trim_start().starts_with('-'));
    let options = listed.flat_map(listed_options).collect();
    Some(Help { text, options })
}

/// Parses the options of a line of help: `-s, --settings FILE  read the settings`.
fn listed_options(line: &str) -> Vec<(String, bool)> {
    let names = line.trim_start().split("  ").next().unwrap_or_default();
    let words: Vec<&str> = names.split([' ', ',']).filter(|w| !w.is_empty()).collect();
    let valued = words.iter().any(|w| !w.starts_with('-'));
    let options = words.iter().filter(|w| w.starts_with('-'));
    options.map(|w| ((*w).to_owned(), valued)).collect()
}

/// Lists the errors in a command's words after the program's name.
fn command_errors(words: &[String], help: &Help) -> Vec<String> {
    let mut errors = Vec::new();
    let mut positional = Vec::new();
    let mut words = words.iter().take_while(|w| !w.starts_with('#'));
    while let Some(word) = words.next() {
        if !word.starts_with('-') {
            positional.push(word.as_str());
            continue;
        }
        let (name, has_value) = word
            .split_once('=')
            .map_or((word.as_str(), false), |(name, _)| (name, true));
        match help.options.iter().find(|(option, _)| option == name) {
            None => errors.push(format!("no option {name}")),
            Some((_, true)) if !has_value => {
                let value = words.next().map(String::as_str);
                errors.extend(value.is_none().then(|| format!("no value of {name}")));
                positional.extend(value.filter(|v| v.starts_with("config/")));
            }
            Some(_) => {}
        }
    }
    let subcommand = positional.first().filter(|_| help.text.contains("COMMAND"));
    if let Some(name) = subcommand.filter(|name| !has_command(help, name)) {
        errors.push(format!("no command {name}"));
    }
    let files = positional.iter().filter(|w| w.starts_with("config/"));
    let missing = files.filter(|f| !root().join(f).exists());
    errors.extend(missing.map(|f| format!("no file {f}")));
    errors
}

fn has_command(help: &Help, name: &str) -> bool {
    let mut lines = help.text.lines();
    lines.any(|l| l.split_whitespace().next() == Some(name))
}

/// Returns the targets of the links in the page's prose.
fn links(page: &Page) -> Vec<String> {
    let mut targets = Vec::new();
    for (_, line) in tagged_lines(page).iter().filter(|l| l.0.is_none()) {
        for part in line.split(LINK_START).skip(1) {
            targets.extend(part.split_once(')').map(|(target, _)| target.to_owned()));
        }
    }
    targets
}

/// Returns the page's headings in the form that links use.
fn anchors(page: &Page) -> Vec<String> {
    let prose = tagged_lines(page).into_iter().filter(|l| l.0.is_none());
    let headings = prose.filter_map(|(_, l)| l.starts_with('#').then_some(l));
    headings
        .map(|l| anchor(l.trim_start_matches('#').trim()))
        .collect()
}

fn anchor(heading: &str) -> String {
    let is_kept = |c: &char| c.is_alphanumeric() || matches!(c, ' ' | '-' | '_');
    let text: String = heading.chars().filter(is_kept).collect();
    text.to_lowercase().replace(' ', "-")
}

/// Describes the error of a link of `page`, if it has one.
fn link_error(page: &Page, target: &str) -> Option<String> {
    if target.contains("://") || target.starts_with("mailto:") {
        return None;
    }
    let (file, heading) = target.split_once('#').unwrap_or((target, ""));
    let path = match file {
        "" => page.path.clone(),
        file => page.path.parent()?.join(file),
    };
    if !path.exists() {
        return Some(format!("{target} does not exist"));
    }
    if heading.is_empty() {
        return None;
    }
    let text = fs::read_to_string(&path).unwrap_or_default();
    let exists = anchors(&Page { path, text }).iter().any(|a| a == heading);
    (!exists).then(|| format!("{target} has no such heading"))
}

fn with_path(page: &Page, what: &str) -> String {
    let path = page.path.strip_prefix(root()).unwrap_or(&page.path);
    format!("{}: {what}", path.display())
}

#[test]
fn every_command_on_a_page_is_one_of_a_program() {
    let mut found = Vec::new();
    let mut all_errors = Vec::new();
    for page in &read_pages() {
        for words in commands(page) {
            let Some(name) = program_name(&words) else {
                continue;
            };
            found.push(name.to_owned());
            let errors = match read_help(name) {
                Some(help) => command_errors(&words[1..], &help),
                None => vec![format!("no program {name}; build all programs first")],
            };
            let line = words.join(" ");
            all_errors.extend(
                errors
                    .iter()
                    .map(|f| with_path(page, &format!("{f}: {line}"))),
            );
        }
    }
    for name in ["poplar-router", "poplar-ctl", "poplar-burn"] {
        assert!(found.iter().any(|f| f == name), "no page runs {name}");
    }
    assert!(all_errors.is_empty(), "{}", all_errors.join("\n"));
}

#[test]
fn every_relative_link_leads_to_a_file() {
    let mut all_errors = Vec::new();
    for page in &read_pages() {
        let targets = links(page);
        let errors = targets.iter().filter_map(|target| link_error(page, target));
        all_errors.extend(errors.map(|f| with_path(page, &f)));
    }
    assert!(all_errors.is_empty(), "{}", all_errors.join("\n"));
}

#[test]
fn every_setting_of_the_router_is_on_the_operators_page() {
    let sample = fs::read_to_string(root().join("config/poplar-router.ini"));
    let sample = sample.expect("the sample settings");
    let page = fs::read_to_string(root().join("docs/operators/README.md"));
    let page = page.expect("the operators' page");
    let keys = sample.lines().filter_map(|line| {
        let (key, _) = line.trim_start_matches("# ").split_once(" = ")?;
        Some(key.to_owned())
    });
    let keys: Vec<String> = keys.collect();
    assert!(keys.iter().any(|k| k == "advertise"), "no optional key");
    let rows: Vec<&str> = page.lines().filter(|l| l.starts_with('|')).collect();
    for key in keys {
        let cell = format!("| `{key}` |");
        let listed = rows.iter().any(|row| row.contains(&cell));
        assert!(listed, "{key} is not on the page");
    }
}
