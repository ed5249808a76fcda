//! Settings of an entry.

use std::net;

use crate::core::time;
use crate::settings;
use crate::settings::telemetry;

/// Settings of `hemlockcleat-entry`.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The entry's name.
    pub name: String,
    /// The number of the entry's cell.
    #[serde(default)]
    pub cell: u16,
    /// The entry's data centre.
    pub data_center: String,
    /// The listen address for callers, operators and the status page.
    pub listen: net::SocketAddr,
    /// The addresses of the control replicas.
    pub control: Vec<net::SocketAddr>,
    /// SHA-256 digests, in hexadecimal, of the tokens that authenticate operators.
    pub operators: Vec<String>,
    /// Limits, each with a default.
    #[serde(default)]
    pub limits: Limits,
    /// Settings of logs and traces.
    #[serde(default)]
    pub telemetry: telemetry::Telemetry,
}

/// Limits of an entry.
#[derive(Clone, Copy, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// How long a client may take to send the head of a request, in milliseconds.
    pub head_ms: u64,
    /// How long a client may take to send the body of a request, in milliseconds.
    pub body_ms: u64,
    /// How long a client may take to accept the next bytes of a response, in milliseconds.
    pub write_ms: u64,
    /// How long a call may take to reach control and be answered, in milliseconds.
    pub patience_ms: u64,
    /// Maximum of a caller's `wait` parameter, in milliseconds.
    pub wait_ms: u64,
    /// How long a stopping entry reports that it isn't ready before it stops listening, in
    /// milliseconds, so that the load balancer can route new callers to other entries.
    pub notice_ms: u64,
    /// How long a stopping entry waits for open requests to complete, in milliseconds.
    pub stop_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 1024,
            head_ms: 5_000,
            body_ms: 10_000,
            write_ms: 10_000,
            patience_ms: 5_000,
            wait_ms: 60_000,
            notice_ms: 0,
            stop_ms: 10_000,
        }
    }
}

impl Limits {
    fn timeouts(&self) -> [(&'static str, u64); 6] {
        [
            ("limits.head_ms", self.head_ms),
            ("limits.body_ms", self.body_ms),
            ("limits.write_ms", self.write_ms),
            ("limits.patience_ms", self.patience_ms),
            ("limits.wait_ms", self.wait_ms),
            ("limits.stop_ms", self.stop_ms),
        ]
    }
}

impl Settings {
    /// Returns the digests of the operators' tokens as bytes.
    ///
    /// # Errors
    ///
    /// [`settings::Error::Value`] for the first malformed digest.
    pub fn operator_digests(&self) -> Result<Vec<[u8; 32]>, settings::Error> {
        let digest = |(index, text): (usize, &String)| {
            parse_digest(text).ok_or_else(|| {
                let field = format!("operators[{index}]");
                settings::value_error(field, "must be a SHA-256 digest of 64 hexadecimal digits")
            })
        };
        self.operators.iter().enumerate().map(digest).collect()
    }
}

/// Parses a SHA-256 digest of 64 hexadecimal digits.
pub fn parse_digest(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return None;
    }
    let mut digest = [0; 32];
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}

impl settings::Check for Settings {
    fn check(&self) -> Result<(), settings::Error> {
        if self.name.is_empty() {
            return Err(settings::value_error("name", "must not be empty"));
        }
        if self.control.is_empty() {
            return Err(settings::value_error("control", "must name a control replica"));
        }
        if self.limits.connections == 0 {
            return Err(settings::value_error("limits.connections", "must be 1 or more"));
        }
        for (field, timeout) in self.limits.timeouts() {
            if timeout == 0 || time::Millis(timeout) > time::HOUR {
                return Err(settings::value_error(field, "must be 1 to 3600000 milliseconds"));
            }
        }
        self.operator_digests()?;
        Ok(())
    }
}
