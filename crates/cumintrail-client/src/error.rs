//! Errors of exchanges with other processes.

use cumintrail_wire::CodecError;
use cumintrail_wire::engine::EngineRefusalReason;
use snafu::Snafu;

/// Describes how an exchange failed, which also determines whether the request may have arrived.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No connection was established, or the request could not be encoded: no byte was sent.
    #[snafu(display("no connection"))]
    NotSent,
    /// No response arrived within the time limit.
    #[snafu(display("no answer in time"))]
    Timeout,
    /// The connection failed or closed before the response was complete.
    #[snafu(display("the connection broke"))]
    ConnectionLost,
    /// The response ended regularly, but its content is incomplete.
    #[snafu(display("truncated answer"))]
    Truncated,
    /// The engine refused the request.
    #[snafu(display("the engine refused: {reason:?}"))]
    Refused {
        /// The reason that the engine returned.
        reason: EngineRefusalReason,
    },
    /// The response has an unexpected status.
    #[snafu(display("unexpected status {status}"))]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The response is from before the store was restored, and so does not hold any more.
    #[snafu(display("an answer from before the store was restored"))]
    EarlierEra,
    /// A message cannot be encoded or decoded, or violates the protocol or a size limit.
    #[snafu(display("unreadable answer"))]
    Malformed,
    /// A page of a table announces further rows, but has no new one.
    #[snafu(display("a page without new rows"))]
    NoProgress,
    /// A message between daemons cannot be encoded or decoded.
    #[snafu(transparent)]
    Codec {
        /// The error of the codec.
        source: CodecError,
    },
}

impl ClientError {
    /// Returns whether a response was received, although not the expected one.
    pub const fn has_response(&self) -> bool {
        matches!(
            self,
            Self::Refused { .. }
                | Self::Status { .. }
                | Self::Malformed
                | Self::NoProgress
                | Self::Truncated
        )
    }

    /// Returns whether bytes of the request may have been sent.
    pub const fn may_have_arrived(&self) -> bool {
        !matches!(self, Self::NotSent)
    }
}

impl From<awc::error::SendRequestError> for ClientError {
    fn from(e: awc::error::SendRequestError) -> Self {
        use awc::error::SendRequestError as E;
        match e {
            // The library also reports this error when the connection closes before the response
            // head, although the request has been written by then.
            E::Connect(awc::error::ConnectError::Disconnected) => Self::ConnectionLost,
            E::Connect(_) | E::Url(_) | E::Http(_) => Self::NotSent,
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
