//! Charts of grouped bars, drawn as an SVG picture. No font file is needed.

use std::fmt;

use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};

/// Height of a panel. All sizes here are in pixels.
const PANEL_HEIGHT: i32 = 250;
const MIN_WIDTH: i32 = 900;
const MIN_GROUP_WIDTH: i32 = 120;
/// Space for the axis labels.
const LEFT_MARGIN: i32 = 70;
/// Space for the legend.
const RIGHT_MARGIN: i32 = 190;
/// Space for the title.
const TOP_MARGIN: i32 = 34;
/// Space for the names of the groups.
const BOTTOM_MARGIN: i32 = 34;
const FONT_SIZE: i32 = 13;
/// Number of grid lines above the axis.
const GRID_LINES: i32 = 4;
/// Number of decades that a logarithmic scale spans.
const LOG_DECADES: f64 = 4.0;

/// Scale of the values of a panel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scale {
    /// Linear, with zero at the axis.
    Linear,
    /// Logarithmic; the axis is four decades below the largest value.
    Log,
}

/// One bar in each group.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// One value for each group; a missing or non-finite value is not drawn.
    pub values: Vec<f64>,
}

/// A panel of grouped bars.
#[derive(Debug, Clone, PartialEq)]
pub struct Panel {
    /// Title, including the unit.
    pub title: String,
    /// Names of the groups.
    pub groups: Vec<String>,
    /// The bars of each group.
    pub series: Vec<Series>,
    /// Value that is marked by a line.
    pub mark: Option<f64>,
    /// Scale of the values of a panel.
    pub scale: Scale,
}

/// Error of the drawing library.
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

/// Part of the picture in which a panel is drawn.
type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Draws `panels` below each other.
///
/// # Errors
/// Any error of the drawing library.
pub fn draw(panels: &[Panel]) -> Result<String, Error> {
    let groups = panels.iter().map(|p| p.groups.len()).max().unwrap_or(0);
    let width = MIN_WIDTH.max(LEFT_MARGIN + RIGHT_MARGIN + MIN_GROUP_WIDTH * groups as i32);
    let height = PANEL_HEIGHT * panels.len().max(1) as i32;
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

/// Returns the largest value of the panel, or 1 if there is none above 0.
fn max_value(panel: &Panel) -> f64 {
    let values = panel.series.iter().flat_map(|s| &s.values).copied();
    let values = values.chain(panel.mark).filter(|v| v.is_finite());
    let largest = values.fold(0.0, f64::max);
    if largest > 0.0 { largest } else { 1.0 }
}

/// Returns the height of `value` as a share of the full height, 0 to 1.
fn share_of(value: f64, largest: f64, scale: Scale) -> f64 {
    let share = match scale {
        Scale::Linear => value / largest,
        Scale::Log if value <= 0.0 => 0.0,
        Scale::Log => 1.0 + (value / largest).log10() / LOG_DECADES,
    };
    share.clamp(0.0, 1.0)
}

/// Returns the value whose bar takes `share` of the full height.
fn value_at(share: f64, largest: f64, scale: Scale) -> f64 {
    match scale {
        Scale::Linear => share * largest,
        Scale::Log => largest * 10_f64.powf((share - 1.0) * LOG_DECADES),
    }
}

/// Returns the vertical position at `share` of the full height.
fn y_at(share: f64) -> i32 {
    let height = f64::from(PANEL_HEIGHT - TOP_MARGIN - BOTTOM_MARGIN);
    PANEL_HEIGHT - BOTTOM_MARGIN - (share * height).round() as i32
}

fn draw_panel(panel: &Panel, area: &Area<'_>, width: i32) -> Result<(), Error> {
    let largest = max_value(panel);
    let end = width - RIGHT_MARGIN;
    draw_text(area, &panel.title, (LEFT_MARGIN, 8), HPos::Left, &BLACK)?;
    for line in 0..=GRID_LINES {
        let share = f64::from(line) / f64::from(GRID_LINES);
        let y = y_at(share);
        let grey = BLACK.mix(0.15);
        area.draw(&PathElement::new(vec![(LEFT_MARGIN, y), (end, y)], grey))?;
        let label = format_short(value_at(share, largest, panel.scale));
        draw_text(area, &label, (LEFT_MARGIN - 6, y - 6), HPos::Right, &BLACK)?;
    }
    draw_bars(panel, area, largest, end)?;
    if let Some(mark) = panel.mark {
        let y = y_at(share_of(mark, largest, panel.scale));
        area.draw(&PathElement::new(vec![(LEFT_MARGIN, y), (end, y)], RED))?;
    }
    draw_legend(panel, area, end)
}

fn draw_bars(panel: &Panel, area: &Area<'_>, largest: f64, end: i32) -> Result<(), Error> {
    let groups = panel.groups.len().max(1) as i32;
    let group_width = (end - LEFT_MARGIN) / groups;
    let bar_width = (group_width * 4 / 5 / panel.series.len().max(1) as i32).max(1);
    for (group_index, name) in panel.groups.iter().enumerate() {
        let left = LEFT_MARGIN + group_width * group_index as i32 + group_width / 10;
        for (index, series) in panel.series.iter().enumerate() {
            let value = series.values.get(group_index).copied().unwrap_or(f64::NAN);
            if !value.is_finite() {
                continue;
            }
            let x = left + bar_width * index as i32;
            let y = y_at(share_of(value, largest, panel.scale));
            let corners = [(x, y), (x + bar_width - 1, y_at(0.0))];
            area.draw(&Rectangle::new(corners, colour(index).filled()))?;
        }
        let position = (left + group_width * 2 / 5, PANEL_HEIGHT - BOTTOM_MARGIN + 6);
        draw_text(area, name, position, HPos::Center, &BLACK)?;
    }
    Ok(())
}

fn draw_legend(panel: &Panel, area: &Area<'_>, end: i32) -> Result<(), Error> {
    for (index, series) in panel.series.iter().enumerate() {
        let y = TOP_MARGIN + index as i32 * (FONT_SIZE + 6);
        let corners = [(end + 12, y), (end + 22, y + 10)];
        area.draw(&Rectangle::new(corners, colour(index).filled()))?;
        draw_text(area, &series.name, (end + 28, y), HPos::Left, &BLACK)?;
    }
    Ok(())
}

fn colour(index: usize) -> RGBColor {
    let (red, green, blue) = Palette99::pick(index).rgb();
    RGBColor(red, green, blue)
}

fn draw_text(
    area: &Area<'_>,
    text: &str,
    position: (i32, i32),
    align: HPos,
    colour: &RGBColor,
) -> Result<(), Error> {
    let style = ("sans-serif", FONT_SIZE).into_text_style(area);
    let style = style.color(colour).pos(Pos::new(align, VPos::Top));
    area.draw_text(text, &style, position)?;
    Ok(())
}

/// Formats a number with few digits.
fn format_short(value: f64) -> String {
    match value {
        v if v >= 100.0 => format!("{v:.0}"),
        v if v >= 10.0 => format!("{v:.1}"),
        v if v >= 0.1 || v == 0.0 => format!("{v:.2}"),
        v => format!("{v:.4}"),
    }
}
