//! The error of the harness, which fails the test that meets it.

use std::io;

use quick_error::quick_error;

/// The result of operations of the harness.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why the harness could not do what a test asked for.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// A condition that did not come about in time.
        TimedOut { what: String } {
            display("timed out waiting for {what}")
        }
        /// A process that could not be started, or that ended too early.
        Process { name: String, reason: String } {
            display("process {name}: {reason}")
        }
        /// An HTTP request without an answer.
        Http { url: String, reason: String } {
            display("{url}: {reason}")
        }
        /// An answer that was not the expected one.
        Unexpected { what: String } {
            display("unexpected: {what}")
        }
        /// A file or socket that failed.
        Io(source: io::Error) {
            display("{source}")
            source(source)
            from()
        }
        /// A text that is not the expected JSON.
        Json(source: serde_json::Error) {
            display("{source}")
            source(source)
            from()
        }
    }
}
