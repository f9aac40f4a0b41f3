//! The program accepts every command on the operators' page.

use std::process::{Command, Stdio};

/// Returns the commands on the page, without the program's name.
fn commands() -> Vec<Vec<String>> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators/ctl.md");
    let page = std::fs::read_to_string(path).unwrap();
    let mut fenced = false;
    let mut found = Vec::new();
    for line in page.lines() {
        fenced ^= line.starts_with("```");
        let words = line.split_whitespace().map(str::to_owned);
        if fenced && line.starts_with("poplar-ctl ") {
            found.push(words.skip(1).collect());
        }
    }
    found
}

#[test]
fn the_commands_on_the_page_are_accepted() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let found = commands();
    assert!(found.len() > 12);
    for words in found {
        let mut command = Command::new(env!("CARGO_BIN_EXE_poplar-ctl"));
        command.args(&words).current_dir(root).stdin(Stdio::null());
        // No platform is running, so these commands would only time out.
        let waiting_commands = ["create", "topup", "seal", "release"];
        if words
            .iter()
            .any(|word| waiting_commands.contains(&word.as_str()))
        {
            command.args(["--wait", "0s"]);
        }
        let output = command.output().unwrap();
        let text = String::from_utf8_lossy(&output.stderr);
        let accepted = output.status.success() || text.contains("down");
        assert!(accepted || words[0] == "secret", "{words:?}: {text}");
    }
}
