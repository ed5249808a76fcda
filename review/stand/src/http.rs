//! A small HTTP/1.1 client and server over blocking sockets.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A response: status and body.
pub struct Response {
    pub status: u16,
    pub body: String,
}

/// Sends one request on a connection of its own. `None` if no complete response came in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    call_on(stream, method, path, headers, body)
}

/// Sends one request on an open connection and reads the response.
pub fn call_on(
    mut stream: TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    stream.write_all(request(method, path, headers, body).as_bytes()).ok()?;
    read_response(&mut BufReader::new(stream))
}

/// Returns the bytes of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += "Host: stand.example\r\n";
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    text
}

fn read_response(reader: &mut impl BufRead) -> Option<Response> {
    let (first, body) = read_message(reader)?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    Some(Response { status, body })
}

/// Reads the first line and the body of a message.
fn read_message(reader: &mut impl BufRead) -> Option<(String, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first, String::from_utf8(body).ok()?))
}

/// A handler of requests: (method, path, body) to (status, body); status 0 breaks the connection
/// off.
pub type Handler = Arc<dyn Fn(&str, &str, &str) -> (u16, String) + Send + Sync>;

/// Serves requests, each connection on a thread of its own.
pub fn serve(addr: SocketAddr, handler: Handler) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((first, body)) = read_message(&mut reader) {
        let mut words = first.split_whitespace();
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (status, answer) = handler(method, path, &body);
        if status == 0 {
            return;
        }
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
            answer.len()
        );
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
