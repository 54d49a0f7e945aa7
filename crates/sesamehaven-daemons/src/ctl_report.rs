//! `sesamectl report`: the place of the burn report.

use crate::ctl::{Error, Output, Result};

/// Says that the report is not there yet.
pub(crate) fn run() -> Result<Output> {
    Err(Error::Unavailable {
        what: "the burn report",
    })
}
