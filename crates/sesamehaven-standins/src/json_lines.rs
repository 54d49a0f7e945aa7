//! JSON Lines files, which hold records that outlive the process.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};

/// A writer that appends records to a JSON Lines file.
#[derive(Debug)]
pub struct JsonLinesWriter {
    path: PathBuf,
    file: BufWriter<File>,
}

impl JsonLinesWriter {
    /// Opens the file for appending and creates it if necessary.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be opened.
    pub fn open(path: &Path) -> Result<Self> {
        let file = File::options().create(true).append(true).open(path);
        let file = file.map_err(|source| file_error(path, source))?;
        Ok(JsonLinesWriter {
            path: path.into(),
            file: BufWriter::new(file),
        })
    }

    /// Appends a record to the buffer, which the next flush writes out.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn append(&mut self, record: &impl Serialize) -> Result<()> {
        let write = |file: &mut BufWriter<File>| {
            serde_json::to_writer(&mut *file, record)?;
            file.write_all(b"\n")
        };
        write(&mut self.file).map_err(|source| file_error(&self.path, source))
    }

    /// Writes out all buffered records.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn flush(&mut self) -> Result<()> {
        self.file
            .flush()
            .map_err(|source| file_error(&self.path, source))
    }
}

/// Reads all records of a file; an unterminated last line is ignored.
///
/// # Errors
///
/// Fails when the file cannot be read, or a line is not a valid record of this type.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>> {
    let file = File::open(path).map_err(|source| file_error(path, source))?;
    let mut reader = BufReader::new(file);
    let mut records = Vec::new();
    let mut line = String::new();
    loop {
        line.clear();
        let read = reader.read_line(&mut line);
        read.map_err(|source| file_error(path, source))?;
        if !line.ends_with('\n') {
            return Ok(records);
        }
        let record = serde_json::from_str(&line).map_err(|e| Error::Malformed {
            path: path.into(),
            reason: format!("line {}: {e}", records.len() + 1),
        })?;
        records.push(record);
    }
}

fn file_error(path: &Path, source: std::io::Error) -> Error {
    Error::File {
        path: path.into(),
        source,
    }
}
