//! Streams of messages between our processes over h2, and the HTTP/1.1 server of each program.

pub mod http;
pub mod known;
pub mod leader;
pub mod seeds;
pub mod stall;
pub mod stream;
