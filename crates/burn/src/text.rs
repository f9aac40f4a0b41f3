//! The report for people.

use poplar_ctl::output::Table;

use crate::report::{Report, Row, Window};

/// The report as text tables.
pub fn text(report: &Report) -> String {
    let (overspend, wrong) = (report.overspend, report.false_refusals);
    let mut text = format!("overspend {overspend} tokens, false refusals {wrong} in the day\n\n");
    text.push_str(&rows(report));
    if !report.refusals.is_empty() {
        text.push('\n');
        text.push_str(&refusals(report));
    }
    text.push('\n');
    text.push_str(&budgets(report));
    for router in &report.silent {
        text.push_str(&format!("\nrefusals of {router} are missing: no answer"));
    }
    for batch in &report.broken {
        text.push_str(&format!(
            "\nbills before {batch} are missing: no such batch"
        ));
    }
    if !(report.silent.is_empty() && report.broken.is_empty()) {
        text.push('\n');
    }
    text
}

fn rows(report: &Report) -> String {
    let mut table = Table::new([
        "CLASS",
        "WORKSPACE",
        "OBJECTIVE",
        "MET",
        "MISSED",
        "BURN 5M",
        "BURN 1H",
        "BURN DAY",
        "REFUSED",
        "FALSE",
        "",
    ]);
    for row in &report.rows {
        table.add_row(cells(row));
    }
    table.text()
}

fn cells(row: &Row) -> Vec<String> {
    let [five, hour, day] = row.windows.as_slice() else {
        return Vec::new();
    };
    let rate = |window: &Window| format!("{:.2}", window.burn);
    vec![
        row.class.to_string(),
        row.workspace.to_string(),
        row.objective.to_string(),
        day.met.to_string(),
        day.missed.to_string(),
        rate(five),
        rate(hour),
        rate(day),
        day.refused.to_string(),
        day.false_refusals.to_string(),
        if row.alarm { "ALARM" } else { "" }.to_owned(),
    ]
}

fn refusals(report: &Report) -> String {
    let mut table = Table::new(["REFUSED FOR", "CLASS", "WORKSPACE", "COUNT", "FALSE"]);
    for reason in &report.refusals {
        table.add_row([
            reason.code.to_string(),
            reason.class.to_string(),
            reason.workspace.to_string(),
            reason.count.to_string(),
            reason.false_refusals.to_string(),
        ]);
    }
    table.text()
}

fn budgets(report: &Report) -> String {
    let mut table = Table::new(["BUDGET", "LIMIT", "BILLED", "LOST", "OVERSPEND"]);
    for spent in &report.budgets {
        table.add_row([
            spent.budget.to_string(),
            spent.limit.to_string(),
            spent.billed.to_string(),
            spent.lost.to_string(),
            spent.overspend().to_string(),
        ]);
    }
    table.text()
}
