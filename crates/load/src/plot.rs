//! Draws the results of several runs side by side.

use poplar_burn::chart::{self, Error, Panel, Scale, Series};

use crate::run_result::{Row, RunResult};
use crate::tally::ALL_WORKSPACES;

/// Draws `results` as SVG: targets met, tail latencies and refusals by class.
///
/// # Errors
/// The error of the drawing library.
pub fn draw(results: &[RunResult]) -> Result<String, Error> {
    let classes = classes(results);
    let panel = |title: &str, scale, value: &dyn Fn(&Row) -> f64| Panel {
        title: title.to_owned(),
        groups: classes.clone(),
        series: results.iter().map(|r| series(r, &classes, value)).collect(),
        mark: None,
        scale,
    };
    chart::draw(&[
        panel("Answered on target, % of offered", Scale::Linear, &|row| {
            100.0 * row.totals.met as f64 / row.totals.offered.max(1) as f64
        }),
        panel("First token, 99th percentile, ms", Scale::Log, &|row| {
            p99_millis(&row.first)
        }),
        panel("Whole answer, 99th percentile, ms", Scale::Log, &|row| {
            p99_millis(&row.finish)
        }),
        panel(
            "Given up on a refusal, % of offered",
            Scale::Linear,
            &|row| 100.0 * row.totals.refused as f64 / row.totals.offered.max(1) as f64,
        ),
    ])
}

fn p99_millis(times: &crate::run_result::Percentiles) -> f64 {
    if times.count == 0 {
        f64::NAN
    } else {
        times.p99
    }
}

/// Lists the classes in order of first appearance.
fn classes(results: &[RunResult]) -> Vec<String> {
    let mut classes: Vec<String> = Vec::new();
    for row in results.iter().flat_map(|r| &r.rows) {
        if !classes.contains(&row.class) {
            classes.push(row.class.clone());
        }
    }
    classes
}

fn series(result: &RunResult, classes: &[String], value: &dyn Fn(&Row) -> f64) -> Series {
    let class_value = |class: &String| {
        let mut rows = result.rows.iter();
        let row = rows.find(|r| r.class == *class && r.workspace == ALL_WORKSPACES);
        row.map_or(f64::NAN, value)
    };
    Series {
        name: result.name.clone(),
        values: classes.iter().map(class_value).collect(),
    }
}
