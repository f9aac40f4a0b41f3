//! The report as a picture: burn and refusals of each class.

use crate::chart::{self, Error, Panel, Scale, Series};
use crate::report::{ALL_WORKSPACES, Report, Row, WINDOWS, Window};

/// Draws the report as SVG.
///
/// # Errors
/// What the drawing library says.
pub fn draw(report: &Report) -> Result<String, Error> {
    let rows: Vec<&Row> = report
        .rows
        .iter()
        .filter(|r| *r.workspace == *ALL_WORKSPACES)
        .collect();
    chart::draw(&[burn(&rows), refusals(&rows)])
}

fn series(rows: &[&Row], name: String, value: impl Fn(&[Window]) -> f64) -> Series {
    let values = rows.iter().map(|row| value(&row.windows)).collect();
    Series { name, values }
}

fn names(rows: &[&Row]) -> Vec<String> {
    rows.iter().map(|row| row.class.to_string()).collect()
}

fn burn(rows: &[&Row]) -> Panel {
    let windows = WINDOWS.iter().enumerate();
    let bars = windows.map(|(at, (name, _))| series(rows, (*name).to_owned(), |w| w[at].burn));
    Panel {
        title: "Burn rate by class; at the line the error budget lasts the window".to_owned(),
        groups: names(rows),
        series: bars.collect(),
        mark: Some(1.0),
        scale: Scale::Linear,
    }
}

fn refusals(rows: &[&Row]) -> Panel {
    let day = WINDOWS.len() - 1;
    let all = series(rows, "refused".to_owned(), |w| w[day].refused as f64);
    let wrong = series(rows, "false refusals".to_owned(), |w| {
        w[day].false_refusals as f64
    });
    let missed = series(rows, "missed".to_owned(), |w| w[day].missed as f64);
    Panel {
        title: "Requests of the day by class".to_owned(),
        groups: names(rows),
        series: vec![missed, all, wrong],
        mark: None,
        scale: Scale::Linear,
    }
}
