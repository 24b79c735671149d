//! Encoding and decoding of single messages.

/// Maximum size of an encoded message or frame, in bytes. A larger frame is rejected before memory is allocated for it.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Reason for which a message can't be encoded or decoded.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum CodecError {
    /// The message can't be encoded.
    #[display("message can't be encoded: {_0}")]
    Encode(rmp_serde::encode::Error),
    /// The bytes are not an encoded message of the expected type.
    #[display("message can't be decoded: {_0}")]
    Decode(rmp_serde::decode::Error),
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    #[display("message of {length} bytes exceeds {MAX_MESSAGE_BYTES} bytes")]
    #[from(skip)]
    TooLarge {
        /// Length from the prefix of a received frame, or of an encoded message, in bytes.
        length: usize,
    },
}

/// Encodes a message with named fields, so that later versions can add fields with defaults.
///
/// # Errors
/// Returns an error if the message can't be encoded or is too large.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let bytes = rmp_serde::to_vec_named(message)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge { length: bytes.len() });
    }
    Ok(bytes)
}

/// Decodes a message. The bound [`MAX_MESSAGE_BYTES`] is not checked here.
///
/// # Errors
/// Returns an error if the bytes are not an encoded message of this type.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    Ok(rmp_serde::from_slice(bytes)?)
}
