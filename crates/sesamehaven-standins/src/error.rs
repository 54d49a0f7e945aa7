//! The error type of the stand-ins and tools.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of operations in this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// An error of a stand-in or tool.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// The address is not a loopback address.
        NotLoopback { address: SmolStr } {
            display("address `{address}` is not a loopback address: use 127.0.0.1 or [::1]")
        }
        /// A file could not be read or written.
        File { path: PathBuf, source: io::Error } {
            display("file {}: {source}", path.display())
            source(source)
        }
        /// The content of a file is malformed.
        Malformed { path: PathBuf, reason: String } {
            display("file {}: {reason}", path.display())
        }
        /// A request to another process failed.
        Request { url: SmolStr, reason: String } {
            display("request to {url}: {reason}")
        }
        /// A socket or server failed; the message does not name the address.
        Io(source: io::Error) {
            display("{source}")
            source(source)
            from()
        }
    }
}
