//! The error of links and codecs.

use quick_error::quick_error;

/// The result of link operations.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a link could not be used or a message not be read.
    #[derive(Debug)]
    #[allow(missing_docs)] // quick-error takes no doc comments on fields.
    pub enum Error {
        /// The transport failed.
        Io(err: std::io::Error) {
            from()
            source(err)
            display("link failed: {err}")
        }
        /// The bytes are not a message of this protocol.
        Malformed(err: postcard::Error) {
            from()
            source(err)
            display("message is malformed: {err}")
        }
        /// A frame is longer than both sides agreed to.
        Oversized { len: usize, max: usize } {
            display("frame of {len} bytes is over the limit of {max}")
        }
        /// The peer speaks a version that this process does not.
        Version { theirs: u16 } {
            display("peer speaks version {theirs} of the protocol")
        }
        /// The peer did not prove that it holds the pre-shared key.
        Unproved {
            display("peer did not prove that it holds the pre-shared key")
        }
        /// The peer left pings unanswered, or took no bytes, for too long.
        Silent {
            display("peer has gone silent")
        }
        /// The peer sent a message that has no place at this point.
        Unexpected {
            display("peer sent a message out of turn")
        }
        /// The bytes of a frame are not those that the peer sent.
        Forged {
            display("frame or datagram does not carry the keyed hash of its sender")
        }
        /// This process left arrived frames unread for longer than the silence that a link allows.
        Unread {
            display("arrived frames were left unread")
        }
        /// The peer closed the link.
        Closed {
            display("peer closed the link")
        }
        /// This process closed the link.
        Dropped {
            display("this process closed the link")
        }
    }
}

impl Error {
    /// Returns whether the peer broke the protocol, as opposed to the network.
    pub fn is_protocol(&self) -> bool {
        match self {
            Error::Malformed(_)
            | Error::Oversized { .. }
            | Error::Version { .. }
            | Error::Unproved
            | Error::Unexpected
            | Error::Forged => true,
            Error::Io(_) | Error::Silent | Error::Unread | Error::Closed | Error::Dropped => false,
        }
    }

    /// Returns the word that stands for the error in counters and status pages.
    pub fn reason(&self) -> &'static str {
        match self {
            Error::Io(_) => "io",
            Error::Malformed(_) => "malformed",
            Error::Oversized { .. } => "oversized",
            Error::Version { .. } => "version",
            Error::Unproved => "unproved",
            Error::Silent => "silent",
            Error::Unexpected => "unexpected",
            Error::Forged => "forged",
            Error::Unread => "unread",
            Error::Closed => "closed",
            Error::Dropped => "dropped",
        }
    }
}
