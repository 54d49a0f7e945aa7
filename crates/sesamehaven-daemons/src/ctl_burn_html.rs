//! The burn-rate report as a self-contained HTML page.

use std::error::Error;
use std::fmt::Write as _;
use std::net::SocketAddr;

use plotters::prelude::*;

use crate::ctl_report::{BurnReport, format_percent, format_rate};

const PLOT_SIZE_PX: (u32, u32) = (720, 320);
const WINDOW_NAMES: [&str; 4] = ["5 min", "30 min", "1 h", "6 h"];

/// Renders the page.
pub(crate) fn page(
    report: &BurnReport,
    failures: &[(SocketAddr, String)],
) -> Result<String, String> {
    let plots = goodput_plot(report).and_then(|goodput| Ok((goodput, burn_plot(report)?)));
    let (goodput, burn) = plots.map_err(|err| err.to_string())?;
    let mut html = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Burn report</title>\
         <style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}\
         </style><h1>Burn report</h1>",
    );
    for (daemon, error) in failures {
        let _ = write!(html, "<p>{daemon} is missing: {}</p>", escape(error));
    }
    let _ = write!(html, "{goodput}{burn}{}", table(report));
    html += "</html>\n";
    Ok(html)
}

fn table(report: &BurnReport) -> String {
    let mut html = format!(
        "<h2>Tiers; objective {}% good</h2><table><tr><th>tier<th>goodput<th>good<th>slow<th>late\
         <th>unknown<th>refused<th>rejected<th>wasted prefill",
        report.objective
    );
    WINDOW_NAMES.iter().for_each(|name| {
        let _ = write!(html, "<th>burn {name}");
    });
    html += "<th>alert</tr>";
    for t in &report.tiers {
        let c = &t.counts;
        let _ = write!(html, "<tr><td>{}<td>{}", t.tier, format_percent(t.goodput));
        for count in [c.good, c.slow, c.late, c.unknown, c.refused, c.rejected] {
            let _ = write!(html, "<td>{count}");
        }
        let _ = write!(html, "<td>{}", format_percent(t.waste));
        for rate in t.burn {
            let _ = write!(html, "<td>{}", format_rate(rate));
        }
        let _ = write!(html, "<td>{:?}</tr>", t.alert);
    }
    html += "</table><h2>Organisations</h2><table><tr><th>organisation<th>goodput<th>requests</tr>";
    for (name, c) in &report.organisations {
        let name = escape(name.as_str());
        let goodput = format_percent(c.goodput());
        let _ = write!(html, "<tr><td>{name}<td>{goodput}<td>{}</tr>", c.eligible());
    }
    html + "</table>"
}

fn goodput_plot(report: &BurnReport) -> Result<String, Box<dyn Error>> {
    let bars = report.tiers.iter().map(|t| (t.tier.index(), t.goodput));
    let bars = bars.map(|(tier, share)| (tier as f64, share.unwrap_or(0.0) * 100.0, 0));
    draw("Goodput by tier, %", 100.0, 1, &bars.collect::<Vec<_>>())
}

fn burn_plot(report: &BurnReport) -> Result<String, Box<dyn Error>> {
    let mut bars = Vec::new();
    for t in &report.tiers {
        for (window, rate) in t.burn.iter().enumerate() {
            bars.push((t.tier.index() as f64, rate.unwrap_or(0.0), window));
        }
    }
    let max = bars.iter().map(|(_, rate, _)| *rate).fold(1.0, f64::max);
    let title = "Burn rate by tier over 5 min, 30 min, 1 h and 6 h";
    draw(title, max * 1.1, WINDOW_NAMES.len(), &bars)
}

/// Draws a bar chart; each bar is given by its tier, its height and its position in
/// the tier's group.
fn draw(
    title: &str,
    max: f64,
    group: usize,
    bars: &[(f64, f64, usize)],
) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    let root = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(-0.5..7.5, 0.0..max)?;
    chart
        .configure_mesh()
        .x_labels(8)
        .x_desc("tier")
        .disable_x_mesh()
        .draw()?;
    let width = 0.8 / group as f64;
    chart.draw_series(bars.iter().map(|(tier, height, position)| {
        let left = tier - 0.4 + width * *position as f64;
        let corners = [(left, 0.0), (left + width * 0.9, *height)];
        Rectangle::new(corners, Palette99::pick(*position).filled())
    }))?;
    root.present()?;
    drop(chart);
    drop(root);
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
