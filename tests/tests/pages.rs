//! The pages are in step with the programs and the files.
//!
//! Every command line of a product's program in a block marked `sh` names a
//! program that is built, with options that its help lists. Every relative link
//! leads to a file that is there, and to a heading in it where it names one. The
//! operators' page has each key of the router's sample settings.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// What the names of the product's programs and its stand-ins begin with.
const PROGRAMS: [&str; 2] = ["poplar-", "fake-"];
/// What ends one command of a line.
const SEPARATORS: [&str; 5] = ["|", "&&", "||", ";", "&"];
/// What begins a link's target.
const LINK: &str = "](";

/// A page: its path from the root, and its text.
struct Page {
    path: PathBuf,
    text: String,
}

/// A program's help, taken apart.
struct Help {
    text: String,
    /// Each option, and whether it takes a value.
    options: Vec<(String, bool)>,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Pages at the root and below `docs`.
fn pages() -> Vec<Page> {
    let mut paths = markdown(&root(), false);
    paths.extend(markdown(&root().join("docs"), true));
    paths.sort();
    let page = |path: PathBuf| Page {
        text: fs::read_to_string(&path).expect("a page is readable"),
        path,
    };
    paths.into_iter().map(page).collect()
}

fn markdown(folder: &Path, deep: bool) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder of pages") {
        let path = entry.expect("an entry of the folder").path();
        if path.is_dir() && deep {
            found.extend(markdown(&path, deep));
        } else if path.extension().is_some_and(|e| e == "md") {
            found.push(path);
        }
    }
    found
}

/// The page's lines, each with the kind of its block; `None` for prose.
fn lines(page: &Page) -> Vec<(Option<String>, &str)> {
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

/// The words of each command in the page's `sh` blocks.
fn commands(page: &Page) -> Vec<Vec<String>> {
    let mut all = Vec::new();
    let mut open = String::new();
    for (_, line) in lines(page).iter().filter(|l| l.0.as_deref() == Some("sh")) {
        if let Some(part) = line.strip_suffix('\\') {
            open.push_str(part);
            continue;
        }
        open.push_str(line);
        let words: Vec<String> = open.split_whitespace().map(str::to_owned).collect();
        let words = words.split(|w| SEPARATORS.contains(&w.as_str()));
        all.extend(words.map(<[String]>::to_vec));
        open.clear();
    }
    all
}

/// The program's name, where a command runs one of ours.
fn program(words: &[String]) -> Option<&str> {
    let name = Path::new(words.first()?).file_name()?.to_str()?;
    PROGRAMS.iter().any(|p| name.starts_with(p)).then_some(name)
}

/// Asks a built program for its help; `None` where there is no such program.
fn help(name: &str) -> Option<Help> {
    let test = std::env::current_exe().expect("the test's own path");
    let folder = test.parent().and_then(Path::parent);
    let path = folder.expect("a target folder").join(name);
    let output = Command::new(path).arg("--help").output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    let listed = text.lines().filter(|l| l.trim_start().starts_with('-'));
    let options = listed.flat_map(listed_options).collect();
    Some(Help { text, options })
}

/// The options of one line of help: `-s, --settings FILE  read the settings`.
fn listed_options(line: &str) -> Vec<(String, bool)> {
    let names = line.trim_start().split("  ").next().unwrap_or_default();
    let words: Vec<&str> = names.split([' ', ',']).filter(|w| !w.is_empty()).collect();
    let valued = words.iter().any(|w| !w.starts_with('-'));
    let options = words.iter().filter(|w| w.starts_with('-'));
    options.map(|w| ((*w).to_owned(), valued)).collect()
}

/// What is wrong with a command's words after the program's name.
fn faults(words: &[String], help: &Help) -> Vec<String> {
    let mut faults = Vec::new();
    let mut free = Vec::new();
    let mut words = words.iter().take_while(|w| !w.starts_with('#'));
    while let Some(word) = words.next() {
        if !word.starts_with('-') {
            free.push(word.as_str());
            continue;
        }
        let (name, given) = word
            .split_once('=')
            .map_or((word.as_str(), false), |(name, _)| (name, true));
        match help.options.iter().find(|(option, _)| option == name) {
            None => faults.push(format!("no option {name}")),
            Some((_, true)) if !given => {
                let value = words.next().map(String::as_str);
                faults.extend(value.is_none().then(|| format!("no value of {name}")));
                free.extend(value.filter(|v| v.starts_with("config/")));
            }
            Some(_) => {}
        }
    }
    let subcommand = free.first().filter(|_| help.text.contains("COMMAND"));
    if let Some(name) = subcommand.filter(|name| !has_command(help, name)) {
        faults.push(format!("no command {name}"));
    }
    let files = free.iter().filter(|w| w.starts_with("config/"));
    let missing = files.filter(|f| !root().join(f).exists());
    faults.extend(missing.map(|f| format!("no file {f}")));
    faults
}

fn has_command(help: &Help, name: &str) -> bool {
    let mut lines = help.text.lines();
    lines.any(|l| l.split_whitespace().next() == Some(name))
}

/// Targets of the links in the page's prose.
fn links(page: &Page) -> Vec<String> {
    let mut targets = Vec::new();
    for (_, line) in lines(page).iter().filter(|l| l.0.is_none()) {
        for part in line.split(LINK).skip(1) {
            targets.extend(part.split_once(')').map(|(target, _)| target.to_owned()));
        }
    }
    targets
}

/// Headings of a page as links name them.
fn anchors(page: &Page) -> Vec<String> {
    let prose = lines(page).into_iter().filter(|l| l.0.is_none());
    let headings = prose.filter_map(|(_, l)| l.starts_with('#').then_some(l));
    headings
        .map(|l| anchor(l.trim_start_matches('#').trim()))
        .collect()
}

fn anchor(heading: &str) -> String {
    let kept = |c: &char| c.is_alphanumeric() || matches!(c, ' ' | '-' | '_');
    let text: String = heading.chars().filter(kept).collect();
    text.to_lowercase().replace(' ', "-")
}

/// What is wrong with a link of `page`.
fn broken(page: &Page, target: &str) -> Option<String> {
    if target.contains("://") || target.starts_with("mailto:") {
        return None;
    }
    let (file, heading) = target.split_once('#').unwrap_or((target, ""));
    let path = match file {
        "" => page.path.clone(),
        file => page.path.parent()?.join(file),
    };
    if !path.exists() {
        return Some(format!("{target} is not there"));
    }
    if heading.is_empty() {
        return None;
    }
    let text = fs::read_to_string(&path).unwrap_or_default();
    let there = anchors(&Page { path, text }).iter().any(|a| a == heading);
    (!there).then(|| format!("{target} has no such heading"))
}

fn shown(page: &Page, what: &str) -> String {
    let path = page.path.strip_prefix(root()).unwrap_or(&page.path);
    format!("{}: {what}", path.display())
}

#[test]
fn every_command_on_a_page_is_one_of_a_program() {
    let mut found = Vec::new();
    let mut wrong = Vec::new();
    for page in &pages() {
        for words in commands(page) {
            let Some(name) = program(&words) else {
                continue;
            };
            found.push(name.to_owned());
            let faults = match help(name) {
                Some(help) => faults(&words[1..], &help),
                None => vec![format!("no program {name}; build all programs first")],
            };
            let line = words.join(" ");
            wrong.extend(faults.iter().map(|f| shown(page, &format!("{f}: {line}"))));
        }
    }
    for name in ["poplar-router", "poplar-ctl", "poplar-burn"] {
        assert!(found.iter().any(|f| f == name), "no page runs {name}");
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn every_relative_link_leads_to_a_file() {
    let mut wrong = Vec::new();
    for page in &pages() {
        let targets = links(page);
        let faults = targets.iter().filter_map(|target| broken(page, target));
        wrong.extend(faults.map(|f| shown(page, &f)));
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
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
