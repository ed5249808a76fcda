//! HTTP/1.1 server for metrics and health checks, for daemons that serve nothing else at its
//! address.

use std::net;
use std::rc;

use actix_http::StatusCode;
use futures_util::future;

use crate::net::http;
use crate::telemetry::metrics;

struct Exposition;

impl http::Handler for Exposition {
    fn handle(&self, request: http::Request) -> future::LocalBoxFuture<'static, http::Response> {
        let (status, text) = match request.path() {
            "/healthz" => (StatusCode::OK, "ok\n".to_owned()),
            "/metrics" => (StatusCode::OK, metrics::render()),
            _ => (StatusCode::NOT_FOUND, "not found\n".to_owned()),
        };
        let response = http::Response::build(status)
            .content_type("text/plain; charset=utf-8")
            .body(text)
            .map_into_boxed_body();
        Box::pin(future::ready(response))
    }
}

/// Serves `/metrics` and `/healthz` at an address.
pub async fn serve(addr: net::SocketAddr) -> std::io::Result<http::Server> {
    http::Server::bind(addr, http::Limits::default(), rc::Rc::new(Exposition)).await
}
