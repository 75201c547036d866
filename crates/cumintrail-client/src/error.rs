//! Errors of talking to an outside process.

use cumintrail_wire::CodecError;
use cumintrail_wire::engine::EngineRefusalReason;
use snafu::Snafu;

/// Tells how an exchange failed, and with that whether the request can have arrived.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No connection came about, so no byte of the request left.
    #[snafu(display("no connection"))]
    NotSent,
    /// No answer within the time limit.
    #[snafu(display("no answer in time"))]
    Timeout,
    /// The connection broke.
    #[snafu(display("the connection broke"))]
    ConnectionLost,
    /// The engine refused and says why.
    #[snafu(display("the engine refused: {reason:?}"))]
    Refused {
        /// The reason.
        reason: EngineRefusalReason,
    },
    /// The answer has an unexpected status.
    #[snafu(display("unexpected status {status}"))]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The answer cannot be read.
    #[snafu(display("unreadable answer"))]
    Malformed,
    /// A message between daemons cannot be written or read.
    #[snafu(transparent)]
    Codec {
        /// The codec's error.
        source: CodecError,
    },
}

impl ClientError {
    /// Tells whether the other side answered, if not as expected.
    pub const fn has_response(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Status { .. } | Self::Malformed)
    }

    /// Tells whether bytes of the request can have left.
    pub const fn may_have_arrived(&self) -> bool {
        !matches!(self, Self::NotSent)
    }
}

impl From<awc::error::SendRequestError> for ClientError {
    fn from(e: awc::error::SendRequestError) -> Self {
        use awc::error::SendRequestError as E;
        match e {
            // The library also reports a connection closed before the response head so, although
            // the request has been written by then.
            E::Connect(awc::error::ConnectError::Disconnected) => Self::ConnectionLost,
            E::Connect(_) | E::Url(_) => Self::NotSent,
            E::Timeout => Self::Timeout,
            _ => Self::ConnectionLost,
        }
    }
}

impl From<awc::error::PayloadError> for ClientError {
    fn from(_: awc::error::PayloadError) -> Self {
        Self::ConnectionLost
    }
}
