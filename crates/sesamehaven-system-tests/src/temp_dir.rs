//! Temporary directories that are deleted when their guard is dropped.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::{env, fs, process};

use crate::error::Result;

/// The number of directories that this process has created.
static CREATED: AtomicU32 = AtomicU32::new(0);

/// A temporary directory that is deleted on drop, or kept with its logs and settings if the
/// test failed (the thread is panicking).
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates an empty directory with a unique name.
    ///
    /// # Errors
    ///
    /// Fails when the directory cannot be created.
    pub fn new() -> Result<Self> {
        let count = CREATED.fetch_add(1, Ordering::Relaxed);
        let name = format!("sesamehaven-test-{}-{count}", process::id());
        let path = env::temp_dir().join(name);
        if path.exists() {
            fs::remove_dir_all(&path)?;
        }
        fs::create_dir_all(&path)?;
        Ok(TempDir(path))
    }

    /// Returns the path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs and settings are kept in {}", self.0.display());
            return;
        }
        let _ = fs::remove_dir_all(&self.0);
    }
}
