//! Checks of values that several programs' settings share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net;

use crate::settings;

/// The longest name, in bytes.
const MAX_NAME: usize = 64;

/// The most addresses in one list.
const MAX_ENDPOINTS: usize = 16;

/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// A name: letters, digits, `-`, `_` and `.`.
pub fn name(field: &str, text: &str) -> Result<(), settings::Error> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if text.is_empty() || text.len() > MAX_NAME || !text.bytes().all(plain) {
        let detail = format!("must be 1 to {MAX_NAME} letters, digits, '-', '_' or '.'");
        return Err(settings::value_error(field, detail));
    }
    Ok(())
}

/// An address that others connect to.
pub fn endpoint(field: &str, addr: net::SocketAddr) -> Result<(), settings::Error> {
    if addr.ip().is_unspecified() || addr.port() == 0 {
        let detail = format!("must be an IP number and a port others can reach, not {addr}");
        return Err(settings::value_error(field, detail));
    }
    Ok(())
}

/// A list of addresses to connect to: at least one, none twice.
pub fn endpoints(field: &str, addrs: &[net::SocketAddr]) -> Result<(), settings::Error> {
    if addrs.is_empty() || addrs.len() > MAX_ENDPOINTS {
        let detail = format!("must hold 1 to {MAX_ENDPOINTS} addresses");
        return Err(settings::value_error(field, detail));
    }
    let mut seen = BTreeSet::new();
    for (index, addr) in addrs.iter().enumerate() {
        let field = format!("{field}[{index}]");
        endpoint(&field, *addr)?;
        if !seen.insert(*addr) {
            return Err(settings::value_error(field, format!("{addr} stands here twice")));
        }
    }
    Ok(())
}

/// Addresses that one process listens on: none may take another's place.
pub fn listeners(fields: &[(&str, net::SocketAddr)]) -> Result<(), settings::Error> {
    let mut ports: BTreeMap<u16, (&str, net::SocketAddr)> = BTreeMap::new();
    for (field, addr) in fields {
        // Port 0 lets the system pick, so that it clashes with nothing.
        if addr.port() == 0 {
            continue;
        }
        if let Some((other, taken)) = ports.insert(addr.port(), (field, *addr))
            && overlaps(taken.ip(), addr.ip())
        {
            let detail = format!("{addr} clashes with {other}, which is {taken}");
            return Err(settings::value_error(*field, detail));
        }
    }
    Ok(())
}

/// Whether two sockets of the same port on these addresses are in each other's way.
fn overlaps(first: net::IpAddr, second: net::IpAddr) -> bool {
    first == second || first.is_unspecified() || second.is_unspecified()
}

/// SHA-256 digests in hexadecimal: none twice.
pub fn digests(field: &str, digests: &[String]) -> Result<(), settings::Error> {
    let mut seen = BTreeSet::new();
    for (index, digest) in digests.iter().enumerate() {
        let field = format!("{field}[{index}]");
        let hexadecimal = digest.bytes().all(|byte| byte.is_ascii_hexdigit());
        if digest.len() != DIGEST_DIGITS || !hexadecimal {
            let detail = format!("must be a SHA-256 digest of {DIGEST_DIGITS} hexadecimal digits");
            return Err(settings::value_error(field, detail));
        }
        if !seen.insert(digest.to_ascii_lowercase()) {
            return Err(settings::value_error(field, "the digest stands here twice"));
        }
    }
    Ok(())
}

/// A number within bounds, both of them allowed.
pub fn range(field: &str, value: u64, low: u64, high: u64) -> Result<(), settings::Error> {
    if value < low || value > high {
        return Err(settings::value_error(field, format!("must be {low} to {high}, not {value}")));
    }
    Ok(())
}
