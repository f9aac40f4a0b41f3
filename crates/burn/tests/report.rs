//! The report and its formats, computed from a fixed input and time.

use std::process::Command;

use poplar_base::settings::File;
use poplar_burn::report::{
    AnswerRecord, BudgetUsage, Input, RefusalCount, Report, burn_rate, report,
};
use poplar_burn::{picture, text};
use poplar_core::id::Incarnation;
use poplar_ctl::classes;

/// Time of the report in milliseconds of Unix time; a whole minute.
const NOW_MS: u64 = 1_800_000_000_000;
const MINUTE_MS: u64 = 60_000;

fn answer(class: &str, workspace: &str, age_ms: u64, met: bool) -> AnswerRecord {
    AnswerRecord {
        workspace: workspace.into(),
        class: class.into(),
        at_ms: NOW_MS - age_ms,
        met,
    }
}

fn refusal(class: &str, age_ms: u64, code: &str, count: u64, false_refusals: u64) -> RefusalCount {
    RefusalCount {
        workspace: "council".into(),
        class: class.into(),
        minute: (NOW_MS - age_ms) / MINUTE_MS - 1,
        code: code.into(),
        count,
        false_refusals,
    }
}

fn usage(budget: &str, limit: u64, billed: u64, lost: u64) -> BudgetUsage {
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
        answer("plan", "council", 0, true),
        answer("plan", "crew", MINUTE_MS, false),
        answer("plan", "crew", 5 * MINUTE_MS - 1, true),
        answer("plan", "crew", 5 * MINUTE_MS, false),
        answer("plan", "council", 60 * MINUTE_MS - 1, true),
        answer("plan", "council", 60 * MINUTE_MS, true),
        answer("plan", "council", 24 * 60 * MINUTE_MS, false),
        answer("gone", "council", 0, true),
    ];
    answers.extend((0..95).map(|at| answer("plan", "crew", 61 * MINUTE_MS + at, true)));
    Input {
        config,
        answers,
        refusals: vec![
            refusal("push", 0, "budget", 3, 2),
            refusal("push", 6 * MINUTE_MS, "budget", 1, 0),
            refusal("plan", 0, "overloaded", 4, 0),
            refusal("plan", 25 * 60 * MINUTE_MS, "overloaded", 9, 9),
        ],
        budgets: vec![usage("council", 100, 90, 10), usage("crew", 10, 9, 3)],
        silent: vec![Incarnation("north.1".into())],
        broken: vec!["bills/north.1/00000001-0".into()],
    }
}

fn sample_report() -> Report {
    report(&input(), NOW_MS)
}

#[test]
fn the_text_shows_the_whole_report() {
    insta::assert_snapshot!(text::text(&sample_report()));
}

#[test]
fn the_json_holds_each_window() {
    let report = sample_report();
    let row = report
        .rows
        .iter()
        .find(|r| &*r.class == "plan" && &*r.workspace == "*");
    insta::assert_snapshot!(serde_json::to_string_pretty(row.unwrap()).unwrap());
}

#[test]
fn the_picture_needs_no_font_and_is_drawn_from_the_report_alone() {
    insta::assert_snapshot!(picture::draw(&sample_report()).unwrap());
    let empty = report(&Input::default(), NOW_MS);
    assert!(picture::draw(&empty).unwrap().contains("<svg"));
}

#[test]
fn burn_rate_is_the_missed_share_over_the_allowed_share() {
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
        // Nothing listens at the sample's address, so the error shows that the
        // sample settings were read.
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(text.contains("platform is down"), "{line}: {text}");
        assert_eq!(output.status.code(), Some(1));
        count += 1;
    }
    assert_eq!(count, 3);
}
