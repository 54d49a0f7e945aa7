//! The error type of the harness.

use std::io;

use quick_error::quick_error;

/// The result type of the harness.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// A failed operation of the harness.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// A condition that did not hold before the timeout.
        TimedOut { what: String } {
            display("timed out waiting for {what}")
        }
        /// A process that could not be started or controlled, or that exited too early.
        Process { name: String, reason: String } {
            display("process {name}: {reason}")
        }
        /// An HTTP request without a complete response.
        Http { url: String, reason: String } {
            display("{url}: {reason}")
        }
        /// An unexpected response or result.
        Unexpected { what: String } {
            display("unexpected: {what}")
        }
        /// An I/O error of a file, socket or process.
        Io(source: io::Error) {
            display("{source}")
            source(source)
            from()
        }
        /// A JSON text that cannot be written or parsed.
        Json(source: serde_json::Error) {
            display("{source}")
            source(source)
            from()
        }
    }
}
