//! Message streams between processes over h2, and the HTTP/1.1 server of each program.

pub mod http;
pub mod known_addrs;
pub mod leader;
pub mod seeds;
pub mod stream;
pub mod write_timeout;
