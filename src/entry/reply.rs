//! HTTP responses: JSON, plain text, HTML, and refusals with the HTTP status of their reason.

use actix_http::StatusCode;
use actix_http::header;

use crate::core::time;
use crate::core::verdict;
use crate::entry::view;
use crate::net::http;
use crate::wire::common;

/// The `Retry-After` time of a retryable refusal.
const RETRY_AFTER: time::Millis = time::Millis(1_000);

/// A JSON response.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> http::Response {
    let mut text = serde_json::to_string(value).expect("views are plain JSON");
    text.push('\n');
    with_type(status, "application/json", text)
}

/// A plain text response.
pub fn text(status: StatusCode, text: impl Into<String>) -> http::Response {
    with_type(status, "text/plain; charset=utf-8", text.into())
}

/// An HTML response whose content security policy forbids loading resources and running scripts.
pub fn html(status: StatusCode, text: String) -> http::Response {
    let mut response = with_type(status, "text/html; charset=utf-8", text);
    let policy = "default-src 'none'; style-src 'unsafe-inline'; frame-ancestors 'none'";
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_SECURITY_POLICY, header::HeaderValue::from_static(policy));
    headers.insert(header::X_CONTENT_TYPE_OPTIONS, header::HeaderValue::from_static("nosniff"));
    response
}

/// A response with the content type `kind`.
pub fn with_type(status: StatusCode, kind: &'static str, text: String) -> http::Response {
    let mut response = actix_http::Response::build(status);
    response.insert_header((header::CONTENT_TYPE, kind));
    response.insert_header((header::CACHE_CONTROL, "no-store"));
    response.body(text).map_into_boxed_body()
}

/// The response to a request that this entry refuses.
pub fn refused(refusal: &verdict::Refusal) -> http::Response {
    refusal_view(status(refusal.reason), &refusal.into())
}

/// The response to a request that control refuses.
pub fn refused_by_control(refusal: &common::Refusal) -> http::Response {
    let reason = verdict::Reason::from_number(refusal.reason);
    refusal_view(reason.map_or(StatusCode::BAD_GATEWAY, status), &refusal.into())
}

/// The response for a refusal with the given HTTP status, which may differ from its reason's.
pub fn refusal_view(status: StatusCode, refusal: &view::Refusal) -> http::Response {
    let mut response = json(status, refusal);
    if refusal.retryable {
        retry_after(&mut response, RETRY_AFTER);
    }
    if status == StatusCode::UNAUTHORIZED {
        let scheme = header::HeaderValue::from_static("Bearer");
        response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}

/// Sets the `Retry-After` header, rounded up to whole seconds, at least 1.
pub fn retry_after(response: &mut http::Response, after: time::Millis) {
    let secs = after.0.div_ceil(1000).max(1);
    response.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from(secs));
}

/// The HTTP status for a reason.
pub fn status(reason: verdict::Reason) -> StatusCode {
    match reason {
        verdict::Reason::BadRequest => StatusCode::BAD_REQUEST,
        verdict::Reason::Forbidden => StatusCode::UNAUTHORIZED,
        verdict::Reason::Unknown => StatusCode::NOT_FOUND,
        verdict::Reason::KeyReused
        | verdict::Reason::TicketReused
        | verdict::Reason::TicketStale => StatusCode::CONFLICT,
        verdict::Reason::KeyExpired | verdict::Reason::Cancelled => StatusCode::GONE,
        verdict::Reason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        verdict::Reason::NoControl | verdict::Reason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        verdict::Reason::Unplaceable | verdict::Reason::GuaranteeUnpackable => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        verdict::Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        verdict::Reason::Failed | verdict::Reason::WorkerLost | verdict::Reason::BadAnswer => {
            StatusCode::BAD_GATEWAY
        }
    }
}
