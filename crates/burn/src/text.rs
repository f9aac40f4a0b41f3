//! The report as text tables.

use poplar_ctl::output::Table;

use crate::report::{Report, Row, Window};

/// Formats the report as text tables.
pub fn text(report: &Report) -> String {
    let (overspend, false_refusals) = (report.overspend, report.false_refusals);
    let mut text =
        format!("overspend {overspend} tokens, false refusals {false_refusals} in the day\n\n");
    text.push_str(&row_table(report));
    if !report.refusals.is_empty() {
        text.push('\n');
        text.push_str(&refusal_table(report));
    }
    text.push('\n');
    text.push_str(&budget_table(report));
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

fn row_table(report: &Report) -> String {
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
    let [five_minutes, hour, day] = row.windows.as_slice() else {
        return Vec::new();
    };
    let rate = |window: &Window| format!("{:.2}", window.burn);
    vec![
        row.class.to_string(),
        row.workspace.to_string(),
        row.objective.to_string(),
        day.met.to_string(),
        day.missed.to_string(),
        rate(five_minutes),
        rate(hour),
        rate(day),
        day.refused.to_string(),
        day.false_refusals.to_string(),
        if row.alarm { "ALARM" } else { "" }.to_owned(),
    ]
}

fn refusal_table(report: &Report) -> String {
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

fn budget_table(report: &Report) -> String {
    let mut table = Table::new(["BUDGET", "LIMIT", "BILLED", "LOST", "OVERSPEND"]);
    for usage in &report.budgets {
        table.add_row([
            usage.budget.to_string(),
            usage.limit.to_string(),
            usage.billed.to_string(),
            usage.lost.to_string(),
            usage.overspend().to_string(),
        ]);
    }
    table.text()
}
