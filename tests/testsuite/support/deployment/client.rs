//! A caller and an operator over HTTP, as small as the tests need.

use std::net;
use std::time;

/// How long a call may take; more than an entry waits for anything.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// The longest response body that is read, in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// A response: its status, and its body as bytes.
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// The body as JSON; null where it is not.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Whoever sends requests under one bearer token.
#[derive(Clone)]
pub struct Client {
    client: awc::Client,
    token: String,
}

impl Client {
    /// A client that proves itself by this token.
    pub fn new(token: &str) -> Self {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        Self { client, token: token.to_owned() }
    }

    /// Sends one request; none if there was no whole response.
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
        let body = response.body().limit(MAX_BODY).await.ok()?;
        Some(Response { status: response.status().as_u16(), body: body.to_vec() })
    }

    /// Sends a `GET`.
    pub async fn get(&self, addr: net::SocketAddr, path: &str) -> Option<Response> {
        self.send(awc::http::Method::GET, addr, path, None).await
    }

    /// Sends a `PUT`.
    pub async fn put(
        &self,
        addr: net::SocketAddr,
        path: &str,
        body: &serde_json::Value,
    ) -> Option<Response> {
        self.send(awc::http::Method::PUT, addr, path, Some(body)).await
    }

    /// Sends a `POST`.
    pub async fn post(
        &self,
        addr: net::SocketAddr,
        path: &str,
        body: &serde_json::Value,
    ) -> Option<Response> {
        self.send(awc::http::Method::POST, addr, path, Some(body)).await
    }
}
