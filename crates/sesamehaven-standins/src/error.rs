//! The error of the stand-ins and tools, which ends the process that meets it.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of operations in this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a stand-in or tool could not do its work.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// An address that is not on this machine.
        NotLoopback { address: SmolStr } {
            display("address `{address}` is not a loopback address: use 127.0.0.1 or [::1]")
        }
        /// A file that could not be read or written.
        File { path: PathBuf, source: io::Error } {
            display("file {}: {source}", path.display())
            source(source)
        }
        /// A file whose content does not have the expected form.
        Malformed { path: PathBuf, reason: String } {
            display("file {}: {reason}", path.display())
        }
        /// A request to another process that failed.
        Request { url: SmolStr, reason: String } {
            display("request to {url}: {reason}")
        }
        /// A socket or server that failed.
        Io(source: io::Error) {
            display("{source}")
            source(source)
            from()
        }
    }
}
