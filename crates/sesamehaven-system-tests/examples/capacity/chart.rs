//! The chart of the page.

use plotters::prelude::*;

use crate::Result;
use crate::page::{CONTROL_LIMIT_BYTES_PER_S, Lines, Size, TARGET};

/// Draws control traffic and memory by fleet size as SVG.
pub(crate) fn draw_chart(l: &Lines) -> Result<String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (760, 640)).into_drawing_area();
        root.fill(&WHITE)?;
        let (above, below) = root.split_vertically(320);
        let scaled = |n: f64| Size {
            entries: n * TARGET.entries / 370.0,
            agents: n * TARGET.agents / 370.0,
            endpoints: n * TARGET.endpoints / 370.0,
            ..TARGET
        };
        let all_to_all = |n: f64| 2.0 * l.report_traffic(&TARGET, n - 1.0) / 1e3;
        let mut chart = ChartBuilder::on(&above)
            .caption(
                "Control KB/s: entry, agent (blue, green), all-to-all (red), bound (black)",
                ("sans-serif", 15),
            )
            .margin(10)
            .x_label_area_size(25)
            .y_label_area_size(60)
            .build_cartesian_2d(10.0..370.0, 0.0..all_to_all(370.0))?;
        chart.configure_mesh().x_desc("daemons").draw()?;
        let sizes = || (10..=370).step_by(10).map(f64::from);
        chart.draw_series(LineSeries::new(
            sizes().map(|n| (n, l.entry_control(&scaled(n)) / 1e3)),
            BLUE,
        ))?;
        chart.draw_series(LineSeries::new(
            sizes().map(|n| (n, l.agent_control(&scaled(n)) / 1e3)),
            GREEN,
        ))?;
        chart.draw_series(LineSeries::new(sizes().map(|n| (n, all_to_all(n))), RED))?;
        chart.draw_series(LineSeries::new(
            sizes().map(|n| (n, CONTROL_LIMIT_BYTES_PER_S / 1e3)),
            BLACK,
        ))?;
        let entry_memory =
            |n: f64| (l.entry_memory.at(scaled(n).agents) + l.organisation.at(42_000.0)) / 1e6;
        let agent_memory =
            |n: f64| (l.agent_memory.at(scaled(n).entries) + l.organisation.at(42_000.0)) / 1e6;
        let all_to_all_memory =
            |n: f64| (l.entry_memory.at(n - 1.0) + l.organisation.at(42_000.0)) / 1e6;
        let max_memory = all_to_all_memory(370.0).max(40.0);
        let mut chart = ChartBuilder::on(&below)
            .caption(
                "Memory MB: entry, agent, all-to-all (reasoned), bound",
                ("sans-serif", 15),
            )
            .margin(10)
            .x_label_area_size(25)
            .y_label_area_size(60)
            .build_cartesian_2d(10.0..370.0, 0.0..max_memory)?;
        chart.configure_mesh().x_desc("daemons").draw()?;
        chart.draw_series(LineSeries::new(sizes().map(|n| (n, entry_memory(n))), BLUE))?;
        chart.draw_series(LineSeries::new(
            sizes().map(|n| (n, agent_memory(n))),
            GREEN,
        ))?;
        chart.draw_series(LineSeries::new(
            sizes().map(|n| (n, all_to_all_memory(n))),
            RED,
        ))?;
        // The limit of 32 MB is that of an entry's memory in `write_limits`.
        chart.draw_series(LineSeries::new(sizes().map(|n| (n, 32.0)), BLACK))?;
        root.present()?;
    }
    Ok(svg)
}
