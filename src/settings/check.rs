//! Validation of values that occur in the settings of several programs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net;

use crate::settings;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum number of addresses in a list.
const MAX_ENDPOINTS: usize = 16;

/// Number of hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// Checks a name: 1 to 64 letters, digits, `-`, `_` or `.`.
pub fn name(field: &str, text: &str) -> Result<(), settings::Error> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(allowed) {
        let detail = format!("must be 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
        return Err(settings::value_error(field, detail));
    }
    Ok(())
}

/// Checks an address to which other processes connect: neither the address nor the port is
/// unspecified.
pub fn endpoint(field: &str, addr: net::SocketAddr) -> Result<(), settings::Error> {
    if addr.ip().is_unspecified() || addr.port() == 0 {
        let detail = format!("must be an IP number and a port others can reach, not {addr}");
        return Err(settings::value_error(field, detail));
    }
    Ok(())
}

/// Checks a list of addresses to connect to: 1 to 16 of them, without duplicates.
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

/// Checks that the addresses on which one process listens don't conflict.
pub fn listeners(fields: &[(&str, net::SocketAddr)]) -> Result<(), settings::Error> {
    let mut ports: BTreeMap<u16, (&str, net::SocketAddr)> = BTreeMap::new();
    for (field, addr) in fields {
        // For port 0 the operating system chooses a free port, so it conflicts with no other.
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

/// Returns whether sockets of the same port on these addresses conflict.
fn overlaps(first: net::IpAddr, second: net::IpAddr) -> bool {
    first == second || first.is_unspecified() || second.is_unspecified()
}

/// Checks SHA-256 digests in hexadecimal: no duplicates, in upper or lower case.
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

/// Checks that a number is within `low` and `high`, both inclusive.
pub fn range(field: &str, value: u64, low: u64, high: u64) -> Result<(), settings::Error> {
    if value < low || value > high {
        return Err(settings::value_error(field, format!("must be {low} to {high}, not {value}")));
    }
    Ok(())
}
