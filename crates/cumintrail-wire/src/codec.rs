//! `MessagePack` with named fields, so that old and new daemons understand each other.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Reports a message between daemons that cannot be written or read.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The value cannot be written.
    #[snafu(display("cannot encode a peer message"))]
    Encode {
        /// The codec's error.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are no such message.
    #[snafu(display("cannot decode a peer message"))]
    Decode {
        /// The codec's error.
        source: rmp_serde::decode::Error,
    },
}

/// Encodes a message.
pub fn to_msgpack<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(message).context(EncodeSnafu)
}

/// Decodes a message.
pub fn from_msgpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).context(DecodeSnafu)
}
