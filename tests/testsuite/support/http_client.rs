//! An HTTP client that sends one request per connection and reads the complete response.

use std::net;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// A received response.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has the length that the `Content-Length` header declares.
    pub complete: bool,
}

impl Reply {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends raw bytes on a new connection and reads until it closes. Returns `None` without a valid
/// response.
pub async fn raw(addr: net::SocketAddr, bytes: &[u8]) -> Option<Reply> {
    let mut socket = tokio::net::TcpStream::connect(addr).await.expect("a connection");
    socket.write_all(bytes).await.expect("the request is sent");
    let mut response = Vec::new();
    // The server resets the connection after the response to refuse the rest of a body.
    let _ = socket.read_to_end(&mut response).await;
    parse(&response)
}

/// Sends a request with a token and a body.
pub async fn send(
    addr: net::SocketAddr,
    method: &str,
    path: &str,
    token: &str,
    body: &str,
) -> Reply {
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
         authorization: Bearer {token}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    raw(addr, text.as_bytes()).await.expect("a response")
}

fn parse(bytes: &[u8]) -> Option<Reply> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8(bytes[..end].to_vec()).ok()?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let header = |line: &str| {
        let (name, value) = line.split_once(": ").expect("a header line");
        (name.to_ascii_lowercase(), value.to_owned())
    };
    let headers: Vec<_> = lines.map(header).collect();
    let body = bytes[end + 4..].to_vec();
    let mut reply = Reply { status, headers, body, complete: false };
    let stated = reply.header("content-length").and_then(|length| length.parse::<usize>().ok());
    reply.complete = stated == Some(reply.body.len());
    Some(reply)
}
