//! SVG plots.

use crate::{Figures, Report};
use anyhow::anyhow;
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (900, 520);
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 90, 181),
    RGBColor(220, 50, 32),
    RGBColor(0, 128, 80),
    RGBColor(150, 110, 0),
    RGBColor(120, 60, 160),
    RGBColor(90, 90, 90),
    RGBColor(0, 150, 170),
    RGBColor(200, 100, 150),
];

/// Writes plots of the latency distribution and the time series of `report` into `dir`.
pub fn write(report: &Report, dir: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(dir)?;
    let name = format!("{}-{}", report.scenario, report.user);
    let title = format!("{} at load {}, {}", report.scenario, report.load, report.user);
    let policies = &report.policies;
    let nines = |f: &Figures| {
        f.quantiles.iter().map(|(q, ms)| (-(1.0 - q).max(1e-6).log10(), *ms)).collect()
    };
    let path = dir.join(format!("{name}-latency.svg"));
    draw(&path, &title, "nines (2 = 99 in 100)", "latency in ms", policies, nines)?;
    let tail = |f: &Figures| f.series.iter().map(|(t, p99, _)| (*t, *p99)).collect();
    let path = dir.join(format!("{name}-p99.svg"));
    draw(&path, &title, "seconds", "p99 in ms, by quarter second", policies, tail)?;
    let coverage = |f: &Figures| f.series.iter().map(|(t, _, c)| (*t, c * 100.0)).collect();
    let path = dir.join(format!("{name}-coverage.svg"));
    draw(&path, &title, "seconds", "coverage in %", policies, coverage)
}

fn draw(
    path: &Path,
    title: &str,
    x: &str,
    y: &str,
    policies: &[Figures],
    points: impl Fn(&Figures) -> Vec<(f64, f64)>,
) -> anyhow::Result<()> {
    let lines: Vec<(&str, Vec<(f64, f64)>)> =
        policies.iter().map(|p| (p.name.as_str(), points(p))).collect();
    let all = || lines.iter().flat_map(|(_, l)| l.iter().copied());
    let most = |pick: fn(&(f64, f64)) -> f64| all().map(|p| pick(&p)).fold(0.0, f64::max);
    let (right, top) = (most(|p| p.0).max(0.1), most(|p| p.1).max(1.0) * 1.05);
    let failed = |e: &dyn std::fmt::Display| anyhow!("cannot draw plot {}: {e}", path.display());
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| failed(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(|e| failed(&e))?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw().map_err(|e| failed(&e))?;
    for (index, (name, line)) in lines.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        chart
            .draw_series(LineSeries::new(line.iter().copied(), colour.stroke_width(2)))
            .map_err(|e| failed(&e))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| failed(&e))?;
    area.present().map_err(|e| failed(&e))
}
