//! Measures what daemons cost by size and writes `docs/CAPACITY.md` and its picture.
//!
//! `scripts/capacity` runs it. Nothing is drawn at random but by the stand-ins,
//! whose seed is 1.

mod fit;
mod library;
mod page;
mod picture;
mod processes;

use std::error::Error;

pub(crate) type Result<T> = std::result::Result<T, Box<dyn Error>>;

#[actix_rt::main]
async fn main() -> Result<()> {
    let out = std::env::args()
        .nth(1)
        .ok_or("name the directory of the pages")?;
    let library = library::measure()?;
    let mut fleets = Vec::new();
    for (entries, agents) in [(1, 9), (1, 18), (1, 27), (2, 18), (3, 9), (4, 36)] {
        fleets.push(processes::idle(entries, agents).await?);
    }
    let work = processes::work().await?;
    let page = page::write(&library, &fleets, &work)?;
    std::fs::write(format!("{out}/CAPACITY.md"), page.text)?;
    std::fs::write(format!("{out}/capacity.svg"), page.picture)?;
    Ok(())
}
