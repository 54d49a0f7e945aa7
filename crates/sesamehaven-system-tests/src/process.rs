//! A process under test that is killed when its guard is dropped.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::{env, fs};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Deserialize;

use crate::error::{Error, Result};
use crate::wait;

/// The listening addresses that a process writes to its ports file.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct Ports {
    /// The address of the HTTP server.
    pub http: Option<SocketAddr>,
    /// The address of the admin server.
    pub admin: Option<SocketAddr>,
    /// The address that accepts links from entries.
    pub link: Option<SocketAddr>,
    /// The address that receives reports.
    pub udp: Option<SocketAddr>,
}

/// A running binary of the workspace.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a binary of the workspace and appends its output to `{name}.log` in `dir`.
    ///
    /// # Errors
    ///
    /// Fails when the binary has not been built or cannot be started.
    pub fn start(program: &str, name: &str, dir: &Path, args: &[&str]) -> Result<Self> {
        let log = dir.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(locate(program)?)
            .args(args)
            .current_dir(dir)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Process {
            name: name.into(),
            child,
            log,
        })
    }

    /// Returns the name that the test assigned.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the output so far, or an empty text if it cannot be read.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        kill(pid, signal).map_err(|e| self.error(e.to_string()))
    }

    /// Requests a graceful shutdown with `SIGTERM`.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Suspends the process with `SIGSTOP`; its connections stay open.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn pause(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Continues a suspended process with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub fn kill(&mut self) -> Result<()> {
        let _ = self.child.kill();
        self.child.wait()?;
        Ok(())
    }

    /// Returns the exit status if the process has exited.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub fn try_wait(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits until the process exits by itself.
    ///
    /// # Errors
    ///
    /// Fails when it does not exit within [`wait::DEFAULT_TIMEOUT`].
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        let what = format!("{} to exit", self.name);
        let child = &mut self.child;
        wait::until(&what, || {
            let status = child.try_wait().ok().flatten();
            async move { status }
        })
        .await
    }

    /// Waits for the ports file that the process writes once it listens.
    ///
    /// # Errors
    ///
    /// Fails when the process exits first or does not write the file within
    /// [`wait::DEFAULT_TIMEOUT`].
    pub async fn ports(&mut self, file: &Path) -> Result<Ports> {
        let what = format!("the ports file of {}", self.name);
        let child = &mut self.child;
        let found = wait::until(&what, || {
            let text = fs::read_to_string(file).ok();
            let exited = child.try_wait().ok().flatten();
            async move {
                match (text, exited) {
                    (Some(text), _) => Some(Ok(text)),
                    (None, Some(status)) => Some(Err(status)),
                    (None, None) => None,
                }
            }
        })
        .await?;
        match found {
            Ok(text) => Ok(serde_json::from_str(&text)?),
            Err(status) => {
                Err(self.error(format!("exited during startup ({status}):\n{}", self.log())))
            }
        }
    }

    fn error(&self, reason: String) -> Error {
        Error::Process {
            name: self.name.clone(),
            reason,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("--- {}\n{}", self.name, self.log());
        }
    }
}

/// Finds a binary in the directory of this executable or in its parent, where
/// Cargo puts binaries relative to tests.
///
/// # Errors
///
/// Fails when the binary has not been built.
pub fn locate(program: &str) -> Result<PathBuf> {
    let executable = env::current_exe()?;
    let dirs = executable.ancestors().skip(1).take(2);
    let mut paths = dirs.map(|dir| dir.join(program));
    paths
        .find(|path| path.exists())
        .ok_or_else(|| Error::Process {
            name: program.into(),
            reason: "not built; run `cargo build --workspace --bins`".into(),
        })
}
