//! The page's picture.

use plotters::prelude::*;

use crate::Result;
use crate::page::{BOUND, Lines, Size, TARGET};

pub(crate) fn picture(l: &Lines) -> Result<String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (760, 640)).into_drawing_area();
        root.fill(&WHITE)?;
        let (above, below) = root.split_vertically(320);
        let size = |n: f64| Size {
            entries: n * TARGET.entries / 370.0,
            agents: n * TARGET.agents / 370.0,
            endpoints: n * TARGET.endpoints / 370.0,
            ..TARGET
        };
        let all = |n: f64| 2.0 * l.of_reports(&TARGET, n - 1.0) / 1e3;
        let mut chart = ChartBuilder::on(&above)
            .caption(
                "Control KB/s: entry, agent (blue, green), all-to-all (red), bound (black)",
                ("sans-serif", 15),
            )
            .margin(10)
            .x_label_area_size(25)
            .y_label_area_size(60)
            .build_cartesian_2d(10.0..370.0, 0.0..all(370.0))?;
        chart.configure_mesh().x_desc("daemons").draw()?;
        let x = || (10..=370).step_by(10).map(f64::from);
        chart.draw_series(LineSeries::new(
            x().map(|n| (n, l.entry_bytes(&size(n)) / 1e3)),
            BLUE,
        ))?;
        chart.draw_series(LineSeries::new(
            x().map(|n| (n, l.agent_bytes(&size(n)) / 1e3)),
            GREEN,
        ))?;
        chart.draw_series(LineSeries::new(x().map(|n| (n, all(n))), RED))?;
        chart.draw_series(LineSeries::new(x().map(|n| (n, BOUND / 1e3)), BLACK))?;
        let memory =
            |n: f64| (l.entry_memory.at(size(n).agents) + l.organisation.at(42_000.0)) / 1e6;
        let small =
            |n: f64| (l.agent_memory.at(size(n).entries) + l.organisation.at(42_000.0)) / 1e6;
        let plain = |n: f64| (l.entry_memory.at(n - 1.0) + l.organisation.at(42_000.0)) / 1e6;
        let most = plain(370.0).max(40.0);
        let mut chart = ChartBuilder::on(&below)
            .caption(
                "Memory MB: entry, agent, all-to-all (reasoned), bound",
                ("sans-serif", 15),
            )
            .margin(10)
            .x_label_area_size(25)
            .y_label_area_size(60)
            .build_cartesian_2d(10.0..370.0, 0.0..most)?;
        chart.configure_mesh().x_desc("daemons").draw()?;
        chart.draw_series(LineSeries::new(x().map(|n| (n, memory(n))), BLUE))?;
        chart.draw_series(LineSeries::new(x().map(|n| (n, small(n))), GREEN))?;
        chart.draw_series(LineSeries::new(x().map(|n| (n, plain(n))), RED))?;
        chart.draw_series(LineSeries::new(x().map(|n| (n, 32.0)), BLACK))?;
        root.present()?;
    }
    Ok(svg)
}
