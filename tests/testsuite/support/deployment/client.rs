//! A minimal HTTP client for callers and operators.

use std::net;
use std::time;

/// Timeout of a call; longer than any wait of an entry.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Maximum length of a response body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// An HTTP response.
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the body as JSON, or null if it isn't JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A client that sends requests with a bearer token.
#[derive(Clone)]
pub struct Client {
    client: awc::Client,
    token: String,
}

impl Client {
    /// Creates a client with this bearer token.
    pub fn new(token: &str) -> Self {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        Self { client, token: token.to_owned() }
    }

    /// Sends one request; returns `None` without a complete response.
    pub async fn send(
        &self,
        method: awc::http::Method,
        addr: net::SocketAddr,
        path: &str,
        body: Option<&serde_json::Value>,
    ) -> Option<Response> {
        let request = self
            .client
            .request(method, format!("http://{addr}{path}"))
            .insert_header(("authorization", format!("Bearer {}", self.token)));
        let sent = match body {
            Some(body) => request.send_body(body.to_string()).await,
            None => request.send().await,
        };
        let mut response = sent.ok()?;
        let body = response.body().limit(MAX_BODY_BYTES).await.ok()?;
        Some(Response { status: response.status().as_u16(), body: body.to_vec() })
    }

    /// Sends a `GET` request.
    pub async fn get(&self, addr: net::SocketAddr, path: &str) -> Option<Response> {
        self.send(awc::http::Method::GET, addr, path, None).await
    }

    /// Sends a `PUT` request.
    pub async fn put(
        &self,
        addr: net::SocketAddr,
        path: &str,
        body: &serde_json::Value,
    ) -> Option<Response> {
        self.send(awc::http::Method::PUT, addr, path, Some(body)).await
    }

    /// Sends a `POST` request.
    pub async fn post(
        &self,
        addr: net::SocketAddr,
        path: &str,
        body: &serde_json::Value,
    ) -> Option<Response> {
        self.send(awc::http::Method::POST, addr, path, Some(body)).await
    }
}
