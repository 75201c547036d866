//! `MessagePack` with named fields, so that daemons of different versions can decode each other's
//! messages.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Reports a peer message that cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The message cannot be encoded.
    #[snafu(display("cannot encode a peer message"))]
    Encode {
        /// The codec's error.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not a valid message of the expected type.
    #[snafu(display("cannot decode a peer message"))]
    Decode {
        /// The codec's error.
        source: rmp_serde::decode::Error,
    },
}

/// Encodes a peer message.
pub fn to_msgpack<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(message).context(EncodeSnafu)
}

/// Decodes a peer message.
pub fn from_msgpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).context(DecodeSnafu)
}
