//! Errors of links and codecs.

use quick_error::quick_error;

/// The result type of link operations.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// An error of a link or of message decoding.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// The transport returned an I/O error.
        Io(err: std::io::Error) {
            from()
            source(err)
            display("link I/O error: {err}")
        }
        /// The bytes could not be decoded as a message.
        Malformed(err: postcard::Error) {
            from()
            source(err)
            display("malformed message: {err}")
        }
        /// A frame, datagram or report exceeds its maximum length.
        ///
        /// For a chunk frame or a report, `len` may be an estimate.
        Oversized { len: usize, max: usize } {
            display("message of {len} bytes exceeds the limit of {max} bytes")
        }
        /// The peer uses a protocol version that this process does not support.
        UnsupportedVersion { theirs: u16 } {
            display("peer uses unsupported protocol version {theirs}")
        }
        /// The peer did not prove that it holds the pre-shared key.
        Unauthenticated {
            display("peer failed to authenticate with the pre-shared key")
        }
        /// Connecting, the handshake, a pong or a write to the peer timed out.
        TimedOut {
            display("peer did not respond in time (connect, handshake, heartbeat or write)")
        }
        /// The peer sent a frame that is not allowed in the current state.
        UnexpectedFrame {
            display("peer sent an unexpected frame")
        }
        /// The authentication tag of a frame is invalid.
        ///
        /// The frame was forged or altered, or an earlier frame was lost or repeated.
        InvalidTag {
            display("frame has an invalid authentication tag")
        }
        /// This process did not consume received frames within the heartbeat timeout.
        ReceiverStalled {
            display("received frames were not consumed in time")
        }
        /// The peer closed the link.
        ClosedByPeer {
            display("peer closed the link")
        }
        /// This process closed the link, or sent a frame on a link that was already closed.
        ClosedLocally {
            display("link closed locally")
        }
    }
}

impl Error {
    /// Returns whether the peer violated the protocol.
    pub fn is_protocol_violation(&self) -> bool {
        match self {
            Error::Malformed(_)
            | Error::Oversized { .. }
            | Error::UnsupportedVersion { .. }
            | Error::Unauthenticated
            | Error::UnexpectedFrame
            | Error::InvalidTag => true,
            Error::Io(_)
            | Error::TimedOut
            | Error::ReceiverStalled
            | Error::ClosedByPeer
            | Error::ClosedLocally => false,
        }
    }

    /// Returns the value of the `reason` label that counters use for the error.
    pub fn reason(&self) -> &'static str {
        match self {
            Error::Io(_) => "io",
            Error::Malformed(_) => "malformed",
            Error::Oversized { .. } => "oversized",
            Error::UnsupportedVersion { .. } => "version",
            Error::Unauthenticated => "unproved",
            Error::TimedOut => "silent",
            Error::UnexpectedFrame => "unexpected",
            Error::InvalidTag => "forged",
            Error::ReceiverStalled => "unread",
            Error::ClosedByPeer => "closed",
            Error::ClosedLocally => "dropped",
        }
    }
}
