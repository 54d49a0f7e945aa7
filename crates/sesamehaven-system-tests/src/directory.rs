//! A temporary directory that goes away with its guard.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::{env, fs, process};

use crate::error::Result;

static COUNT: AtomicU32 = AtomicU32::new(0);

/// A temporary directory, deleted on drop unless the test failed.
#[derive(Debug)]
pub struct Directory(PathBuf);

impl Directory {
    /// Creates an empty directory of its own.
    ///
    /// # Errors
    ///
    /// Fails when the directory cannot be created.
    pub fn new() -> Result<Self> {
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("sesamehaven-test-{}-{count}", process::id());
        let path = env::temp_dir().join(name);
        if path.exists() {
            fs::remove_dir_all(&path)?;
        }
        fs::create_dir_all(&path)?;
        Ok(Directory(path))
    }

    /// Returns the path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs and settings are kept in {}", self.0.display());
            return;
        }
        let _ = fs::remove_dir_all(&self.0);
    }
}
