//! The report as an SVG picture: burn rate and refusals of each class.

use crate::chart::{self, Error, Panel, Scale, Series};
use crate::report::{ALL_WORKSPACES, Report, Row, WINDOWS, Window};

/// Draws the report as SVG.
///
/// # Errors
/// Any error of the drawing library.
pub fn draw(report: &Report) -> Result<String, Error> {
    let rows: Vec<&Row> = report
        .rows
        .iter()
        .filter(|r| *r.workspace == *ALL_WORKSPACES)
        .collect();
    chart::draw(&[burn_panel(&rows), refusal_panel(&rows)])
}

fn series_of(rows: &[&Row], name: String, value: impl Fn(&[Window]) -> f64) -> Series {
    let values = rows.iter().map(|row| value(&row.windows)).collect();
    Series { name, values }
}

fn class_names(rows: &[&Row]) -> Vec<String> {
    rows.iter().map(|row| row.class.to_string()).collect()
}

fn burn_panel(rows: &[&Row]) -> Panel {
    let windows = WINDOWS.iter().enumerate();
    let bars =
        windows.map(|(index, (name, _))| series_of(rows, (*name).to_owned(), |w| w[index].burn));
    Panel {
        title: "Burn rate by class; at the line the error budget lasts the window".to_owned(),
        groups: class_names(rows),
        series: bars.collect(),
        mark: Some(1.0),
        scale: Scale::Linear,
    }
}

fn refusal_panel(rows: &[&Row]) -> Panel {
    let day = WINDOWS.len() - 1;
    let refused = series_of(rows, "refused".to_owned(), |w| w[day].refused as f64);
    let false_refusals = series_of(rows, "false refusals".to_owned(), |w| {
        w[day].false_refusals as f64
    });
    let missed = series_of(rows, "missed".to_owned(), |w| w[day].missed as f64);
    Panel {
        title: "Requests of the day by class".to_owned(),
        groups: class_names(rows),
        series: vec![missed, refused, false_refusals],
        mark: None,
        scale: Scale::Linear,
    }
}
