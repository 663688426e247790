//! Rows of results as text, JSON and a plot.

use std::fmt;

use parsley_standins::load::stats::{Spread, spread};
use plotters::prelude::*;
use serde_json::json;

use crate::scenarios::{Measured, Target};

/// A figure over all repetitions.
pub struct ResultRow {
    scenario: &'static str,
    name: &'static str,
    values: Spread,
    target: Option<Target>,
}

impl ResultRow {
    /// Whether the worst repetition meets the target.
    fn is_met(&self) -> Option<bool> {
        Some(match self.target? {
            Target::AtMost(bound) => self.values.greatest <= bound,
            Target::AtLeast(bound) => self.values.least >= bound,
        })
    }

    fn target_text(&self) -> String {
        match self.target {
            None => String::new(),
            Some(Target::AtMost(bound)) => format!("<= {bound}"),
            Some(Target::AtLeast(bound)) => format!(">= {bound}"),
        }
    }
}

impl fmt::Display for ResultRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Spread { median, least, greatest } = self.values;
        let verdict = match self.is_met() {
            None => "",
            Some(true) => "met",
            Some(false) => "MISSED",
        };
        write!(
            f,
            "{:<20} {:<32} {median:>12.3} [{least:.3} .. {greatest:.3}] {:<9} {verdict}",
            self.scenario,
            self.name,
            self.target_text(),
        )
    }
}

/// One row for each figure of a scenario.
pub fn summarize(scenario: &'static str, repetitions: &[Vec<Measured>]) -> Vec<ResultRow> {
    let Some(first) = repetitions.first() else { return Vec::new() };
    let row = |(index, measured): (usize, &Measured)| {
        let values: Vec<_> = repetitions.iter().map(|figures| figures[index].value).collect();
        let values = spread(&values);
        ResultRow { scenario, name: measured.name, values, target: measured.target }
    };
    first.iter().enumerate().map(row).collect()
}

/// Writes all rows as JSON.
pub fn write_json(path: &str, rows: &[ResultRow]) -> std::io::Result<()> {
    let rows: Vec<_> = rows
        .iter()
        .map(|row| {
            json!({
                "scenario": row.scenario, "name": row.name, "median": row.values.median,
                "least": row.values.least, "greatest": row.values.greatest,
                "target": row.target_text(), "met": row.is_met(),
            })
        })
        .collect();
    std::fs::write(path, format!("{:#}\n", json!(rows)))
}

/// Plots the ratios that have a target, as bars beside their bounds.
pub fn write_plot(path: &str, rows: &[ResultRow]) -> Result<(), Box<dyn std::error::Error>> {
    let ratios: Vec<_> = rows
        .iter()
        .filter_map(|row| match row.target? {
            Target::AtMost(bound) if bound > 0.0 => Some((row, row.values.median / bound)),
            Target::AtLeast(bound) => Some((row, row.values.median / bound)),
            Target::AtMost(_) => None,
        })
        .collect();
    let area = SVGBackend::new(path, (900, 60 + 40 * ratios.len() as u32)).into_drawing_area();
    area.fill(&WHITE)?;
    let widest = ratios.iter().map(|ratio| ratio.1).fold(1.5, f64::max).min(5.0);
    let mut chart = ChartBuilder::on(&area)
        .caption("measured over bound (1.0 is the bound)", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .build_cartesian_2d(0.0..widest, 0.0..ratios.len() as f64)?;
    chart.configure_mesh().disable_y_mesh().draw()?;
    let bar = |(index, (_, ratio)): (usize, &(&ResultRow, f64))| {
        let top = ratios.len() as f64 - index as f64;
        let corners = [(0.0, top - 0.8), (ratio.min(widest), top - 0.2)];
        Rectangle::new(corners, BLUE.mix(0.4).filled())
    };
    chart.draw_series(ratios.iter().enumerate().map(bar))?;
    let label = |(index, (row, ratio)): (usize, &(&ResultRow, f64))| {
        let text = format!("{}: {} ({ratio:.2})", row.scenario, row.name);
        Text::new(text, (0.02, ratios.len() as f64 - index as f64 - 0.3), ("sans-serif", 14))
    };
    chart.draw_series(ratios.iter().enumerate().map(label))?;
    chart.draw_series(LineSeries::new([(1.0, 0.0), (1.0, ratios.len() as f64)], &RED))?;
    area.present()?;
    Ok(())
}
