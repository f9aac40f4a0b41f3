//! Tests of the stand-ins as processes: command line, signals and crashes.

mod common;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};

use common::{Caller, chat};
use poplar_base::http::Error;
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";
const ENGINE: &str = env!("CARGO_BIN_EXE_fake-engine");
const PLATFORM: &str = env!("CARGO_BIN_EXE_fake-platform");
const SERVICE: &str = env!("CARGO_BIN_EXE_fake-service");

/// A process that is killed if it still runs when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored: the process may already have ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    fn start(program: &str, args: &[&str]) -> (Self, Caller) {
        let mut command = Command::new(program);
        command.args(args).stdout(Stdio::piped());
        let mut process = Self(command.spawn().unwrap());
        let out = process.0.stdout.take().unwrap();
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).unwrap();
        let address = line.strip_prefix("listening ").unwrap().trim_end();
        (process, Caller::new(address.parse().unwrap()))
    }

    fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.unwrap().success());
    }

    fn wait_for_exit(&mut self) -> ExitStatus {
        self.0.wait().unwrap()
    }
}

#[test]
fn sigterm_ends_the_process_with_exit_code_0() {
    for program in [ENGINE, PLATFORM, SERVICE] {
        let (mut process, _) = Process::start(program, &["--listen", "127.0.0.1:0"]);
        process.signal("TERM");
        assert_eq!(process.wait_for_exit().code(), Some(0), "{program}");
    }
}

#[test]
fn an_invalid_command_line_is_refused() {
    for program in [ENGINE, PLATFORM, SERVICE] {
        for args in [&["--listen", "nowhere"][..], &["--seeed", "1"], &["more"]] {
            let run = Command::new(program).args(args).output().unwrap();
            assert_eq!(run.status.code(), Some(2), "{program} {args:?}");
            assert!(run.stdout.is_empty());
        }
    }
}

/// The options that `--help` prints, with their dashes.
fn options(program: &str) -> Vec<String> {
    let help = Command::new(program).arg("--help").output().unwrap();
    let help = String::from_utf8(help.stdout).unwrap();
    let words = help.split_whitespace();
    let names = words.filter(|word| word.starts_with("--"));
    names.map(str::to_owned).collect()
}

/// The first cell of each table row.
fn first_cells(part: &str) -> impl Iterator<Item = &str> {
    part.lines()
        .filter_map(|line| line.strip_prefix("| ")?.split(" | ").next())
}

/// Whether a cell names `word`, alone or followed by the form of its value.
fn names(cell: &str, word: &str) -> bool {
    cell.contains(&format!("`{word}`")) || cell.contains(&format!("`{word} "))
}

#[tokio::test]
async fn the_documentation_names_every_option_and_switch() {
    let page = include_str!("../../../docs/developers/standins.md");
    let parts: Vec<_> = page.split("\n## ").collect();
    for (program, name) in [
        (ENGINE, "fake-engine"),
        (PLATFORM, "fake-platform"),
        (SERVICE, "fake-service"),
    ] {
        let own = parts.iter().find(|part| part.starts_with(name)).unwrap();
        let (_process, caller) = Process::start(program, &[]);
        let switches: Value = caller.get("/control").await;
        let mut words: Vec<_> = switches.as_object().unwrap().keys().cloned().collect();
        words.extend(options(program));
        for word in words {
            let found = |part: &str| first_cells(part).any(|cell| names(cell, &word));
            // Options and switches of all three stand-ins are in the first part.
            assert!(found(own) || found(parts[0]), "{name}: {word}");
        }
    }
}

#[tokio::test]
async fn a_marked_prompt_crashes_the_engine() {
    let (mut process, engine) = Process::start(ENGINE, &["--step", "1ms"]);
    let answer = engine.post(CHAT, &[], chat("x [crash]")).await;
    assert!(matches!(answer, Err(Error::Lost(_))));
    assert_eq!(process.wait_for_exit().code(), None);
}

#[tokio::test]
async fn die_after_aborts_the_engine_after_that_many_tokens() {
    let (mut process, engine) = Process::start(ENGINE, &["--step", "1ms"]);
    engine.switch(json!({"die_after": 5})).await;
    let whole = engine.post(CHAT, &[], chat("x [tokens=4]")).await;
    assert_eq!(whole.unwrap().status, 200);
    let broken = engine.post(CHAT, &[], chat("x [tokens=4]")).await;
    assert!(matches!(broken, Err(Error::Lost(_))));
    assert_eq!(process.wait_for_exit().code(), None);
}

#[tokio::test]
async fn a_drained_engine_ends_after_its_last_answer() {
    let (mut process, engine) = Process::start(ENGINE, &["--step", "1ms"]);
    let mut old = engine.open(CHAT, &[], chat("x [tokens=50]")).await;
    // The last chunk is sent long after the last step.
    engine.switch(json!({"drain": true, "late_ms": 300})).await;
    let read = common::read(&mut old, usize::MAX).await;
    assert!(common::events(&read.body).1);
    assert_eq!(process.wait_for_exit().code(), Some(0));
}
