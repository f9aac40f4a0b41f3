//! Panels of grouped bars as an SVG picture, without any font file.

use std::fmt;

use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};

/// Height of a panel in pixels.
const PANEL: i32 = 250;
/// Smallest width of the picture in pixels.
const WIDTH: i32 = 900;
/// Width that a group of bars takes at least.
const GROUP: i32 = 120;
/// Room for the axis on the left and the legend on the right.
const LEFT: i32 = 70;
const RIGHT: i32 = 190;
/// Room above and below the bars.
const TOP: i32 = 34;
const BOTTOM: i32 = 34;
/// Size of the letters in pixels.
const LETTERS: i32 = 13;
/// Lines of the grid above the axis.
const GRID: i32 = 4;
/// Smallest bar of a logarithmic scale as a share of the largest.
const DECADES: f64 = 4.0;

/// How values become heights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scale {
    /// Zero at the axis.
    Linear,
    /// Four decades below the largest value at the axis.
    Log,
}

/// Values of one kind, one a group.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// Its name in the legend.
    pub name: String,
    /// One value a group; absent ones are drawn as nothing.
    pub values: Vec<f64>,
}

/// A panel of grouped bars.
#[derive(Debug, Clone, PartialEq)]
pub struct Panel {
    /// Stands above it, with the unit.
    pub title: String,
    /// Names of the groups.
    pub groups: Vec<String>,
    /// The bars of each group.
    pub series: Vec<Series>,
    /// A value to mark by a line.
    pub mark: Option<f64>,
    /// How values become heights.
    pub scale: Scale,
}

/// The picture could not be drawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "picture: {}", self.0)
    }
}

impl std::error::Error for Error {}

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for Error {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        Self(error.to_string())
    }
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Draws `panels` below each other.
///
/// # Errors
/// What the drawing library says.
pub fn draw(panels: &[Panel]) -> Result<String, Error> {
    let groups = panels.iter().map(|p| p.groups.len()).max().unwrap_or(0);
    let width = WIDTH.max(LEFT + RIGHT + GROUP * groups as i32);
    let height = PANEL * panels.len().max(1) as i32;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (width as u32, height as u32));
        let root = root.into_drawing_area();
        root.fill(&WHITE)?;
        let areas = root.split_evenly((panels.len().max(1), 1));
        for (panel, area) in panels.iter().zip(&areas) {
            draw_panel(panel, area, width)?;
        }
        root.present()?;
    }
    Ok(svg)
}

/// The largest value that has to fit, never 0.
fn top(panel: &Panel) -> f64 {
    let values = panel.series.iter().flat_map(|s| &s.values).copied();
    let values = values.chain(panel.mark).filter(|v| v.is_finite());
    let top = values.fold(0.0, f64::max);
    if top > 0.0 { top } else { 1.0 }
}

/// Share of the height that `value` takes, 0 to 1.
fn share(value: f64, top: f64, scale: Scale) -> f64 {
    let share = match scale {
        Scale::Linear => value / top,
        Scale::Log if value <= 0.0 => 0.0,
        Scale::Log => 1.0 + (value / top).log10() / DECADES,
    };
    share.clamp(0.0, 1.0)
}

/// The value that takes `share` of the height.
fn value_at(share: f64, top: f64, scale: Scale) -> f64 {
    match scale {
        Scale::Linear => share * top,
        Scale::Log => top * 10_f64.powf((share - 1.0) * DECADES),
    }
}

fn row_of(share: f64) -> i32 {
    let height = f64::from(PANEL - TOP - BOTTOM);
    PANEL - BOTTOM - (share * height).round() as i32
}

fn draw_panel(panel: &Panel, area: &Area<'_>, width: i32) -> Result<(), Error> {
    let top = top(panel);
    let end = width - RIGHT;
    write(area, &panel.title, (LEFT, 8), HPos::Left, &BLACK)?;
    for line in 0..=GRID {
        let share = f64::from(line) / f64::from(GRID);
        let row = row_of(share);
        let grey = BLACK.mix(0.15);
        area.draw(&PathElement::new(vec![(LEFT, row), (end, row)], grey))?;
        let label = short(value_at(share, top, panel.scale));
        write(area, &label, (LEFT - 6, row - 6), HPos::Right, &BLACK)?;
    }
    bars(panel, area, top, end)?;
    if let Some(mark) = panel.mark {
        let row = row_of(share(mark, top, panel.scale));
        area.draw(&PathElement::new(vec![(LEFT, row), (end, row)], RED))?;
    }
    legend(panel, area, end)
}

fn bars(panel: &Panel, area: &Area<'_>, top: f64, end: i32) -> Result<(), Error> {
    let groups = panel.groups.len().max(1) as i32;
    let group = (end - LEFT) / groups;
    let bar = (group * 4 / 5 / panel.series.len().max(1) as i32).max(1);
    for (at, name) in panel.groups.iter().enumerate() {
        let left = LEFT + group * at as i32 + group / 10;
        for (nth, series) in panel.series.iter().enumerate() {
            let value = series.values.get(at).copied().unwrap_or(f64::NAN);
            if !value.is_finite() {
                continue;
            }
            let x = left + bar * nth as i32;
            let row = row_of(share(value, top, panel.scale));
            let corners = [(x, row), (x + bar - 1, row_of(0.0))];
            area.draw(&Rectangle::new(corners, colour(nth).filled()))?;
        }
        let place = (left + group * 2 / 5, PANEL - BOTTOM + 6);
        write(area, name, place, HPos::Center, &BLACK)?;
    }
    Ok(())
}

fn legend(panel: &Panel, area: &Area<'_>, end: i32) -> Result<(), Error> {
    for (nth, series) in panel.series.iter().enumerate() {
        let row = TOP + nth as i32 * (LETTERS + 6);
        let corners = [(end + 12, row), (end + 22, row + 10)];
        area.draw(&Rectangle::new(corners, colour(nth).filled()))?;
        write(area, &series.name, (end + 28, row), HPos::Left, &BLACK)?;
    }
    Ok(())
}

fn colour(nth: usize) -> RGBColor {
    let (red, green, blue) = Palette99::pick(nth).rgb();
    RGBColor(red, green, blue)
}

fn write(
    area: &Area<'_>,
    text: &str,
    place: (i32, i32),
    side: HPos,
    colour: &RGBColor,
) -> Result<(), Error> {
    let style = ("sans-serif", LETTERS).into_text_style(area);
    let style = style.color(colour).pos(Pos::new(side, VPos::Top));
    area.draw_text(text, &style, place)?;
    Ok(())
}

/// A number in few letters.
fn short(value: f64) -> String {
    match value {
        v if v >= 100.0 => format!("{v:.0}"),
        v if v >= 10.0 => format!("{v:.1}"),
        v if v >= 0.1 || v == 0.0 => format!("{v:.2}"),
        v => format!("{v:.4}"),
    }
}
