//! A process under test, killed when its guard is dropped.

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

/// The addresses that a process reports in its ports file.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct Ports {
    /// Where HTTP is served.
    pub http: Option<SocketAddr>,
    /// Where operators are served.
    pub admin: Option<SocketAddr>,
    /// Where entries' links are accepted.
    pub link: Option<SocketAddr>,
    /// Where reports are received.
    pub udp: Option<SocketAddr>,
}

/// A running program of the workspace.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program of the workspace; what it prints goes to a file in `dir`.
    ///
    /// # Errors
    ///
    /// Fails when the program has not been built or cannot be started.
    pub fn start(program: &str, name: &str, dir: &Path, args: &[&str]) -> Result<Self> {
        let log = dir.join(format!("{name}.log"));
        let out = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(locate(program)?)
            .args(args)
            .current_dir(dir)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        Ok(Process {
            name: name.into(),
            child,
            log,
        })
    }

    /// Returns the name that the test gave.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns everything that was printed so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        kill(pid, signal).map_err(|e| self.error(e.to_string()))
    }

    /// Asks the process to stop in good order.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Pauses the process, which keeps its connections open.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn pause(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a paused process go on.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub fn kill(&mut self) -> Result<()> {
        let _ = self.child.kill();
        self.child.wait()?;
        Ok(())
    }

    /// Returns the exit status, if the process has ended.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits for the process to end by itself.
    ///
    /// # Errors
    ///
    /// Fails when it does not end within [`wait::LONGEST`].
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        let what = format!("the end of {}", self.name);
        let child = &mut self.child;
        wait::until(&what, || {
            let status = child.try_wait().ok().flatten();
            async move { status }
        })
        .await
    }

    /// Waits for the ports file that the process writes at start.
    ///
    /// # Errors
    ///
    /// Fails when the process ends before it, or does not write it in time.
    pub async fn ports(&mut self, file: &Path) -> Result<Ports> {
        let what = format!("the ports file of {}", self.name);
        let child = &mut self.child;
        let found = wait::until(&what, || {
            let text = fs::read_to_string(file).ok();
            let ended = child.try_wait().ok().flatten();
            async move {
                match (text, ended) {
                    (Some(text), _) => Some(Ok(text)),
                    (None, Some(status)) => Some(Err(status)),
                    (None, None) => None,
                }
            }
        })
        .await?;
        match found {
            Ok(text) => Ok(serde_json::from_str(&text)?),
            Err(status) => Err(self.error(format!("ended at start ({status}):\n{}", self.log()))),
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

/// Finds a program beside this executable, or beside its directory as for tests.
///
/// # Errors
///
/// Fails when the program has not been built.
pub fn locate(program: &str) -> Result<PathBuf> {
    let own = env::current_exe()?;
    let dirs = own.ancestors().skip(1).take(2);
    let mut paths = dirs.map(|dir| dir.join(program));
    paths
        .find(|path| path.exists())
        .ok_or_else(|| Error::Process {
            name: program.into(),
            reason: "not built; run `cargo build --workspace --bins`".into(),
        })
}
