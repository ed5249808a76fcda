//! The agent's HTTP server, which receives announcements of the backend server and serves health
//! checks and metrics.

use std::cell;
use std::rc;

use actix_http::Method;
use actix_http::StatusCode;
use futures_util::StreamExt as _;
use futures_util::future::LocalBoxFuture;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::agent::contract;
use crate::agent::driver;
use crate::net::http;
use crate::telemetry::metrics;

/// Handles requests from the backend server and from monitoring.
#[derive(Clone)]
pub struct Handler {
    /// Sends announcements to the driver.
    pub calls: mpsc::Sender<driver::Call>,
    /// The agent's status.
    pub view: rc::Rc<cell::RefCell<driver::View>>,
}

impl http::Handler for Handler {
    fn handle(&self, request: http::Request) -> LocalBoxFuture<'static, http::Response> {
        let handler = self.clone();
        Box::pin(async move { handler.answer(request).await })
    }
}

impl Handler {
    async fn answer(&self, request: http::Request) -> http::Response {
        match (request.method(), request.path()) {
            (&Method::PUT, contract::ANNOUNCE_PATH) => self.announce(request).await,
            (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n".to_owned()),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/metrics") => text(StatusCode::OK, metrics::render()),
            (_, contract::ANNOUNCE_PATH | "/healthz" | "/readyz" | "/metrics") => {
                refuse(StatusCode::METHOD_NOT_ALLOWED, "this method is not allowed here")
            }
            _ => refuse(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn ready(&self) -> http::Response {
        let view = self.view.borrow();
        let worker = view.worker.as_deref().unwrap_or("none");
        let body = format!("ready={} worker={worker} revision={}\n", view.ready, view.revision);
        let status = if view.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        text(status, body)
    }

    async fn announce(&self, request: http::Request) -> http::Response {
        let bytes = match read(request, contract::MAX_ANNOUNCEMENT_BYTES).await {
            Ok(bytes) => bytes,
            Err(status) => return refuse(status, "the announcement can't be read"),
        };
        let announcement = match serde_json::from_slice::<contract::Announcement>(&bytes) {
            Ok(announcement) => announcement,
            Err(error) => return refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if let Err(error) = announcement.check() {
            return refuse(StatusCode::BAD_REQUEST, &error.to_string());
        }
        let (reply, answer) = oneshot::channel();
        if self.calls.send(driver::Call::Announce(announcement, reply)).await.is_err() {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "the agent is stopping");
        }
        match answer.await {
            Ok(Ok(lease)) => json(StatusCode::OK, &lease),
            Ok(Err(worker)) => {
                let detail = format!("this agent serves worker {worker}; restart it to change");
                refuse(StatusCode::CONFLICT, &detail)
            }
            Err(_) => refuse(StatusCode::SERVICE_UNAVAILABLE, "the agent is stopping"),
        }
    }
}

/// Reads a body of at most `limit` bytes. Fails with the status to respond with.
pub async fn read(mut request: http::Request, limit: usize) -> Result<Vec<u8>, StatusCode> {
    let mut bytes = Vec::new();
    let mut payload = request.take_payload();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        if bytes.len() + chunk.len() > limit {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

fn text(status: StatusCode, body: String) -> http::Response {
    let mut builder = actix_http::Response::build(status);
    builder.content_type("text/plain; charset=utf-8").body(body).map_into_boxed_body()
}

/// Creates a response with a JSON body.
pub fn json(status: StatusCode, body: &impl serde::Serialize) -> http::Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut builder = actix_http::Response::build(status);
    builder.content_type("application/json").body(body).map_into_boxed_body()
}

fn refuse(status: StatusCode, detail: &str) -> http::Response {
    json(status, &serde_json::json!({ "error": detail }))
}
