//! Measures the cost of daemons by fleet size and writes `docs/CAPACITY.md` and its chart.
//!
//! `scripts/capacity` runs it. Only the stand-ins draw random numbers, from the
//! seed 1.

mod chart;
mod fit;
mod library;
mod page;
mod processes;

use std::error::Error;

pub(crate) type Result<T> = std::result::Result<T, Box<dyn Error>>;

#[actix_rt::main]
async fn main() -> Result<()> {
    let directory = std::env::args().nth(1).ok_or("usage: capacity DIRECTORY")?;
    let sizes = library::measure()?;
    let mut fleets = Vec::new();
    for (entries, agents) in [(1, 9), (1, 18), (1, 27), (2, 18), (3, 9), (4, 36)] {
        fleets.push(processes::measure_idle(entries, agents).await?);
    }
    let load = processes::measure_load().await?;
    let page = page::write(&sizes, &fleets, &load)?;
    std::fs::write(format!("{directory}/CAPACITY.md"), page.text)?;
    std::fs::write(format!("{directory}/capacity.svg"), page.chart)?;
    Ok(())
}
