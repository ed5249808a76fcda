//! Authorization by bearer tokens, which are stored as digests and compared in constant time.

use actix_http::header;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

use crate::core::account;
use crate::entry::document;

/// The longest accepted token, in bytes.
const MAX_TOKEN_BYTES: usize = 512;

/// The SHA-256 digest of the bearer token in the headers; `None` without a valid token.
pub fn token_digest(headers: &header::HeaderMap) -> Option<[u8; 32]> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let scheme = value.get(..7)?;
    let token = value.get(7..)?;
    if !scheme.eq_ignore_ascii_case(b"bearer ") || token.is_empty() || token.len() > MAX_TOKEN_BYTES
    {
        return None;
    }
    Some(sha2::Sha256::digest(token).into())
}

/// Whether the token is one of the account's. The check takes as long for an unknown account as
/// for a wrong token.
pub fn is_account_token(config: &account::Config, name: &str, token: &[u8; 32]) -> bool {
    let known = config.accounts.get(name);
    let tokens = known.map_or(&[][..], |account| account.tokens.as_slice());
    matches(tokens, token, document::MAX_TOKENS)
}

/// Whether the token is an operator's.
pub fn is_operator_token(digests: &[[u8; 32]], token: &[u8; 32]) -> bool {
    matches(digests, token, digests.len())
}

/// Compares the token with all digests, and with dummies up to `count`, so that the time does not
/// depend on whether or where a match is found.
fn matches(digests: &[[u8; 32]], token: &[u8; 32], count: usize) -> bool {
    let mut found = subtle::Choice::from(0);
    for index in 0..count.max(digests.len()) {
        let stored = digests.get(index);
        let is_stored = subtle::Choice::from(u8::from(stored.is_some()));
        found |= stored.unwrap_or(&[0; 32]).ct_eq(token) & is_stored;
    }
    found.into()
}
