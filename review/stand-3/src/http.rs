//! The small part of HTTP/1.1 that the stand-ins need.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Debug)]
pub struct Request {
    pub path: String,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Reads the requests of one connection.
#[derive(Default)]
pub struct Reader(Vec<u8>);

impl Reader {
    pub fn request(&mut self, stream: &mut TcpStream) -> Option<Request> {
        let mut chunk = [0; 8192];
        loop {
            if let Some((head, length)) = split(&self.0)
                && self.0.len() >= head + length
            {
                let text = String::from_utf8_lossy(&self.0[..head]).into_owned();
                let body = String::from_utf8_lossy(&self.0[head..head + length]).into_owned();
                self.0.drain(..head + length);
                let mut lines = text.split("\r\n");
                let path = lines.next()?.split(' ').nth(1)?.to_owned();
                return Some(Request { path, headers: headers(lines), body });
            }
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.0.extend_from_slice(&chunk[..count]),
            }
        }
    }
}

fn headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect()
}

/// The length of the head and of the body, once the head is complete.
fn split(bytes: &[u8]) -> Option<(usize, usize)> {
    let head = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
    let length = text.split("\r\n").find_map(|line| line.strip_prefix("content-length:"));
    Some((head, length.and_then(|text| text.trim().parse().ok()).unwrap_or(0)))
}

pub fn response(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends one request on a connection of its own.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&addr, timeout).map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {addr}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all((head + body).as_bytes()).map_err(|e| e.to_string())?;
    let (mut bytes, mut chunk) = (Vec::new(), [0; 8192]);
    loop {
        if let Some((head, length)) = split(&bytes)
            && bytes.len() >= head + length
        {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or("no status")?;
            return Ok((status, text[head..].to_owned()));
        }
        let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero());
        let left = left.ok_or("no answer in time")?;
        stream.set_read_timeout(Some(left)).map_err(|e| e.to_string())?;
        match stream.read(&mut chunk) {
            Ok(0) => return Err("closed without an answer".to_owned()),
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            Err(error) => return Err(error.to_string()),
        }
    }
}
