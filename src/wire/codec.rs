//! Encoding of one message: bincode with fixed settings and a bound on size.

use quick_error::quick_error;

/// The version of the protocols between our processes. A peer of another version is refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// The longest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

quick_error! {
    /// Why bytes are not a message.
    #[derive(Debug)]
    pub enum Error {
        /// The bytes do not decode as the expected type.
        Malformed(detail: String) {
            display("malformed message: {}", detail)
        }
        /// Bytes are left over behind the message.
        Trailing(count: usize) {
            display("{} bytes behind the message", count)
        }
        /// A value is outside what the type permits.
        OutOfRange(field: &'static str) {
            display("{} is out of range", field)
        }
        /// The message is longer than [`MAX_MESSAGE_BYTES`].
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

/// Decodes one message that fills the bytes exactly.
pub fn decode<T: bincode::Decode<()>>(bytes: &[u8]) -> Result<T, Error> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(Error::Oversized(bytes.len()));
    }
    decode_with(bytes, config())
}

/// Decodes a snapshot of any length, whose checksum the caller has verified.
pub fn decode_snapshot<T: bincode::Decode<()>>(bytes: &[u8]) -> Result<T, Error> {
    decode_with(bytes, bincode::config::standard())
}

fn decode_with<T: bincode::Decode<()>>(
    bytes: &[u8],
    config: impl bincode::config::Config,
) -> Result<T, Error> {
    let (message, used) = bincode::decode_from_slice(bytes, config)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    if used != bytes.len() {
        return Err(Error::Trailing(bytes.len() - used));
    }
    Ok(message)
}
