//! Draws replicas live and origin bytes over time.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use crate::report::Report;

/// The size of the picture, in pixels.
const SIZE: (u32, u32) = (900, 600);
/// The space for labels, in pixels.
const LABELS: u32 = 50;

/// What was seen at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Seconds since the confirmation.
    pub seconds: f64,
    /// Replicas live.
    pub live: usize,
    /// Copies drawn from the origin.
    pub origin_copies: f64,
}

/// Draws the timeline into an SVG file.
pub fn draw(path: &Path, timeline: &[Moment], report: &Report) -> eyre::Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| eyre!("{error}"))?;
    let (upper, lower) = root.split_vertically(SIZE.1 / 2);
    let live: Vec<(f64, f64)> = timeline.iter().map(|it| (it.seconds, it.live as f64)).collect();
    let copies: Vec<(f64, f64)> =
        timeline.iter().map(|it| (it.seconds, it.origin_copies)).collect();
    curve(&upper, "replicas live", &live, report.replicas as f64, report.bound_seconds)?;
    let most = copies.iter().map(|(_, it)| *it).fold(1.0, f64::max);
    curve(&lower, "copies drawn from the origin", &copies, most, report.bound_seconds)?;
    root.present().map_err(|error| eyre!("{error}"))
}

fn curve(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    points: &[(f64, f64)],
    top: f64,
    bound: f64,
) -> eyre::Result<()> {
    let end = points.last().map_or(1.0, |(seconds, _)| seconds.max(bound));
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{title} (grey: the least possible time)"), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..end, 0.0..top * 1.05)
        .map_err(|error| eyre!("{error}"))?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(|error| eyre!("{error}"))?;
    let line = LineSeries::new(points.iter().copied(), &BLUE);
    chart.draw_series(line).map_err(|error| eyre!("{error}"))?;
    let least = LineSeries::new([(bound, 0.0), (bound, top)], &BLACK.mix(0.4));
    chart.draw_series(least).map_err(|error| eyre!("{error}"))?;
    Ok(())
}
