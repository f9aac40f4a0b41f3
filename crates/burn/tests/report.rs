//! The report is a pure function of its inputs and the time.

use std::process::Command;

use poplar_base::settings::File;
use poplar_burn::report::{
    AnswerRecord, BudgetUsage, Input, RefusalCount, Report, burn_rate, report,
};
use poplar_burn::{picture, text};
use poplar_core::id::Incarnation;
use poplar_ctl::classes;

/// Some noon in milliseconds of Unix time, on a whole minute.
const NOW: u64 = 1_800_000_000_000;
const MINUTE: u64 = 60_000;

fn answered(class: &str, workspace: &str, ago: u64, met: bool) -> AnswerRecord {
    AnswerRecord {
        workspace: workspace.into(),
        class: class.into(),
        at_ms: NOW - ago,
        met,
    }
}

fn refused(class: &str, ago: u64, code: &str, count: u64, wrong: u64) -> RefusalCount {
    RefusalCount {
        workspace: "council".into(),
        class: class.into(),
        minute: (NOW - ago) / MINUTE - 1,
        code: code.into(),
        count,
        false_refusals: wrong,
    }
}

fn spending(budget: &str, limit: u64, billed: u64, lost: u64) -> BudgetUsage {
    BudgetUsage {
        budget: budget.into(),
        limit,
        billed,
        lost,
    }
}

fn input() -> Input {
    let text = "[class plan]\nkind = model\nserves = s\nfirst = 1s\nfinish = 9s\ncap = 9\n\
                objective = 0.99\n\
                [class push]\nkind = service\nserves = p\nfinish = 1s\nrepeat = no\n\
                [workspace council]\nkey = a\n";
    let config = classes::read(File::parse("x", text).unwrap()).unwrap();
    let mut answers = vec![
        answered("plan", "council", 0, true),
        answered("plan", "crew", MINUTE, false),
        answered("plan", "crew", 5 * MINUTE - 1, true),
        answered("plan", "crew", 5 * MINUTE, false),
        answered("plan", "council", 60 * MINUTE - 1, true),
        answered("plan", "council", 60 * MINUTE, true),
        answered("plan", "council", 24 * 60 * MINUTE, false),
        answered("gone", "council", 0, true),
    ];
    answers.extend((0..95).map(|at| answered("plan", "crew", 61 * MINUTE + at, true)));
    Input {
        config,
        answers,
        refusals: vec![
            refused("push", 0, "budget", 3, 2),
            refused("push", 6 * MINUTE, "budget", 1, 0),
            refused("plan", 0, "overloaded", 4, 0),
            refused("plan", 25 * 60 * MINUTE, "overloaded", 9, 9),
        ],
        budgets: vec![spending("council", 100, 90, 10), spending("crew", 10, 9, 3)],
        silent: vec![Incarnation("north.1".into())],
        broken: vec!["bills/north.1/00000001-0".into()],
    }
}

fn made() -> Report {
    report(&input(), NOW)
}

#[test]
fn the_text_shows_all_that_is_asked_for() {
    insta::assert_snapshot!(text::text(&made()));
}

#[test]
fn the_json_holds_each_window() {
    let report = made();
    let row = report
        .rows
        .iter()
        .find(|r| &*r.class == "plan" && &*r.workspace == "*");
    insta::assert_snapshot!(serde_json::to_string_pretty(row.unwrap()).unwrap());
}

#[test]
fn the_picture_needs_no_font_and_is_drawn_from_the_report_alone() {
    insta::assert_snapshot!(picture::draw(&made()).unwrap());
    let empty = report(&Input::default(), NOW);
    assert!(picture::draw(&empty).unwrap().contains("<svg"));
}

#[test]
fn burn_is_the_missed_share_over_the_allowed_one() {
    assert_eq!(burn_rate(0, 0, 0.999), 0.0);
    assert!((burn_rate(999, 1, 0.999) - 1.0).abs() < 1e-9);
    assert!((burn_rate(0, 5, 0.9) - 10.0).abs() < 1e-9);
}

#[test]
fn the_commands_on_the_page_read_the_sample_settings() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let page = std::fs::read_to_string(format!("{root}/docs/operators/burn.md")).unwrap();
    let lines = page.lines().filter(|l| l.starts_with("poplar-burn "));
    let mut count = 0;
    for line in lines {
        let mut command = Command::new(env!("CARGO_BIN_EXE_poplar-burn"));
        command.args(line.split_whitespace().skip(1));
        let output = command.current_dir(root).output().unwrap();
        // Nothing listens at the sample's address.
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(text.contains("platform is down"), "{line}: {text}");
        assert_eq!(output.status.code(), Some(1));
        count += 1;
    }
    assert_eq!(count, 3);
}
