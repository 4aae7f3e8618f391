//! Plots live replicas and bytes sent by the origin over time.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use crate::report::Report;

/// Width and height of the plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 600);
/// Space for the axis labels, in pixels.
const LABEL_AREA_PX: u32 = 50;

/// The state of the fleet at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Seconds since the confirmation.
    pub seconds: f64,
    /// Number of live replicas.
    pub live: usize,
    /// Bytes sent by the origin divided by the bytes of the file.
    pub origin_copies: f64,
}

/// Writes a plot of the timeline to an SVG file.
pub fn draw(path: &Path, timeline: &[Sample], report: &Report) -> eyre::Result<()> {
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE).map_err(|error| eyre!("{error}"))?;
    let (upper, lower) = root.split_vertically(PLOT_SIZE_PX.1 / 2);
    let live: Vec<(f64, f64)> = timeline.iter().map(|it| (it.seconds, it.live as f64)).collect();
    let copies: Vec<(f64, f64)> =
        timeline.iter().map(|it| (it.seconds, it.origin_copies)).collect();
    draw_curve(&upper, "replicas live", &live, report.replicas as f64, report.bound_seconds)?;
    let max_copies = copies.iter().map(|(_, it)| *it).fold(1.0, f64::max);
    draw_curve(
        &lower,
        "copies fetched from the origin",
        &copies,
        max_copies,
        report.bound_seconds,
    )?;
    root.present().map_err(|error| eyre!("{error}"))
}

fn draw_curve(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    points: &[(f64, f64)],
    top: f64,
    bound: f64,
) -> eyre::Result<()> {
    let end = points.last().map_or(1.0, |(seconds, _)| seconds.max(bound));
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{title} (grey: lower bound of the time)"), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..end, 0.0..top * 1.05)
        .map_err(|error| eyre!("{error}"))?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(|error| eyre!("{error}"))?;
    let line = LineSeries::new(points.iter().copied(), &BLUE);
    chart.draw_series(line).map_err(|error| eyre!("{error}"))?;
    let bound_line = LineSeries::new([(bound, 0.0), (bound, top)], &BLACK.mix(0.4));
    chart.draw_series(bound_line).map_err(|error| eyre!("{error}"))?;
    Ok(())
}
