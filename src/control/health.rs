//! Health, readiness and metrics endpoints of a control replica over HTTP/1.1.

use std::rc;

use actix_http::StatusCode;
use futures_util::future;

use crate::control::ledger_machine;
use crate::control::machine;
use crate::net::http;
use crate::telemetry::metrics;

/// Serves `/healthz`, `/readyz` and `/metrics`.
pub struct Health {
    /// The state of the control process.
    pub shared: rc::Rc<ledger_machine::Shared>,
}

impl Health {
    /// Whether a leader is known: this replica or another.
    fn is_ready(&self) -> bool {
        match &*self.shared.role.borrow() {
            machine::Role::Leader(_) => true,
            machine::Role::Follower { leader } => leader.is_some(),
        }
    }

    fn respond(&self, path: &str) -> (StatusCode, String) {
        match path {
            "/healthz" => (StatusCode::OK, "ok\n".to_owned()),
            "/readyz" if self.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
            "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, "no leader known\n".to_owned()),
            "/metrics" => (StatusCode::OK, metrics::render()),
            _ => (StatusCode::NOT_FOUND, "not found\n".to_owned()),
        }
    }
}

impl http::Handler for Health {
    fn handle(&self, request: http::Request) -> future::LocalBoxFuture<'static, http::Response> {
        let (status, text) = self.respond(request.path());
        let response = http::Response::build(status)
            .content_type("text/plain; charset=utf-8")
            .body(text)
            .map_into_boxed_body();
        Box::pin(future::ready(response))
    }
}
