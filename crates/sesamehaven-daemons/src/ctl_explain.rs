//! `sesamectl explain`: the timeline of a request, from the logs of all processes.

use std::io::BufRead;
use std::path::{Path, PathBuf};

use serde_json::json;

use crate::ctl::{Error, Exit, Output, Result};
use crate::timeline::{LogLine, Timeline};

/// Reads logs and prints the timeline of a request.
///
/// # Errors
///
/// Fails when a file cannot be read.
pub(crate) fn run(id: &str, files: &[PathBuf]) -> Result<Output> {
    let mut lines = Vec::new();
    for path in files {
        read(path, &mut lines)?;
    }
    if files.is_empty() {
        read(Path::new("-"), &mut lines)?;
    }
    Ok(match Timeline::find(id, &lines) {
        Some(timeline) => Output::done(timeline.text(), json!(timeline)),
        None => {
            let text = format!(
                "no line of {} names request {id}; give the logs of all processes\n",
                lines.len()
            );
            Output {
                json: json!({ "id": id, "lines": [] }),
                text,
                exit: Exit::Difference,
            }
        }
    })
}

fn read(path: &Path, lines: &mut Vec<LogLine>) -> Result<()> {
    let failed = |err| Error::Read {
        path: path.to_owned(),
        err,
    };
    if path == Path::new("-") {
        return collect(std::io::stdin().lock(), "stdin", lines).map_err(failed);
    }
    let file = std::fs::File::open(path).map_err(failed)?;
    let source = path.file_stem().unwrap_or_default().to_string_lossy();
    collect(std::io::BufReader::new(file), &source, lines).map_err(failed)
}

/// Collects the lines of logs in JSON, and ignores other lines.
fn collect(text: impl BufRead, source: &str, lines: &mut Vec<LogLine>) -> std::io::Result<()> {
    for line in text.split(b'\n') {
        let line = line?;
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&line), source));
    }
    Ok(())
}
