//! Encoding and decoding of single messages: bincode with fixed settings and a size limit.

use quick_error::quick_error;

/// Version of the protocols between the processes. A peer with another version is refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// The longest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

quick_error! {
    /// An error of decoding a message.
    #[derive(Debug)]
    pub enum Error {
        /// The bytes do not decode as the expected type.
        Malformed(detail: String) {
            display("malformed message: {}", detail)
        }
        /// Bytes follow the end of the message.
        Trailing(count: usize) {
            display("{} trailing bytes after the message", count)
        }
        /// The value of this field is outside the permitted range.
        OutOfRange(field: &'static str) {
            display("{} is out of range", field)
        }
        /// The message has this many bytes, more than [`MAX_MESSAGE_BYTES`].
        Oversized(length: usize) {
            display("message of {} bytes exceeds {}", length, MAX_MESSAGE_BYTES)
        }
    }
}

const fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes one message.
pub fn encode(message: &impl bincode::Encode) -> Vec<u8> {
    bincode::encode_to_vec(message, bincode::config::standard())
        .expect("encoding into memory can't fail for derived types")
}

/// Decodes one message of at most [`MAX_MESSAGE_BYTES`] that occupies all the bytes.
pub fn decode<T: bincode::Decode<()>>(bytes: &[u8]) -> Result<T, Error> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(Error::Oversized(bytes.len()));
    }
    decode_with(bytes, config())
}

/// Decodes a snapshot of any length; the caller must have verified its checksum.
pub fn decode_snapshot<T: bincode::Decode<()>>(bytes: &[u8]) -> Result<T, Error> {
    decode_with(bytes, bincode::config::standard())
}

fn decode_with<T: bincode::Decode<()>>(
    bytes: &[u8],
    config: impl bincode::config::Config,
) -> Result<T, Error> {
    let (message, length) = bincode::decode_from_slice(bytes, config)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    if length != bytes.len() {
        return Err(Error::Trailing(bytes.len() - length));
    }
    Ok(message)
}
