//! Parsing of request paths, queries and bodies, with size limits.

use std::time;

use actix_http::HttpMessage as _;
use actix_http::header;
use futures_util::StreamExt as _;

use crate::core::ledger::job;
use crate::core::verdict;
use crate::entry::document;
use crate::net::http;

/// The longest accepted request target and headers together, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The longest body of a submission, in bytes: a payload of 6-byte JSON escapes only, and 64 KiB
/// for the other fields.
pub const MAX_REQUEST_BYTES: usize = 6 * job::MAX_PAYLOAD_BYTES + 64 * 1024;

/// The longest ticket document, in bytes.
pub const MAX_TICKET_BYTES: usize = 2 * 1024 * 1024;

/// The route of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// The status page.
    Page,
    /// The status page's hours as JSON.
    Hours,
    /// The liveness check.
    Health,
    /// The readiness check.
    Ready,
    /// The metrics in Prometheus text format.
    Metrics,
    /// A caller's request.
    Request {
        /// The client account.
        account: String,
        /// The caller's idempotency key.
        key: String,
    },
    /// The answer of a caller's request.
    Answer {
        /// The client account.
        account: String,
        /// The caller's idempotency key.
        key: String,
    },
    /// The collection of tickets.
    Tickets,
    /// The plan of a ticket, that is, the changes that it would make.
    Plan,
    /// A ticket, by number.
    Ticket(u64),
    /// The list of client accounts.
    Accounts,
    /// A client account, by name.
    Account(String),
    /// The list of workers.
    Workers,
    /// The list of workflows.
    Workflows,
    /// A workflow, by number.
    Workflow(u64),
    /// The list of jobs.
    Jobs,
    /// A job, by number.
    Job(u64),
    /// The state of the control group.
    Status,
}

/// Parses a path. Returns `None` if it matches no route.
pub fn route(path: &str) -> Option<Route> {
    let parts: Option<Vec<String>> = path.strip_prefix('/')?.split('/').map(decode).collect();
    let parts = parts?;
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    Some(match parts.as_slice() {
        [""] => Route::Page,
        ["healthz"] => Route::Health,
        ["readyz"] => Route::Ready,
        ["metrics"] => Route::Metrics,
        ["v1", "hours"] => Route::Hours,
        ["v1", "accounts", account, "requests", key] => {
            Route::Request { account: (*account).to_owned(), key: (*key).to_owned() }
        }
        ["v1", "accounts", account, "requests", key, "answer"] => {
            Route::Answer { account: (*account).to_owned(), key: (*key).to_owned() }
        }
        ["v1", "tickets"] => Route::Tickets,
        ["v1", "tickets", "plan"] => Route::Plan,
        ["v1", "tickets", number] => Route::Ticket(number.parse().ok()?),
        ["v1", "accounts"] => Route::Accounts,
        ["v1", "accounts", name] => Route::Account((*name).to_owned()),
        ["v1", "workers"] => Route::Workers,
        ["v1", "workflows"] => Route::Workflows,
        ["v1", "workflows", number] => Route::Workflow(number.parse().ok()?),
        ["v1", "jobs"] => Route::Jobs,
        ["v1", "jobs", number] => Route::Job(number.parse().ok()?),
        ["v1", "status"] => Route::Status,
        _ => return None,
    })
}

/// Percent-decodes a path segment. Returns `None` for invalid UTF-8 and control characters.
fn decode(part: &str) -> Option<String> {
    let bytes: Vec<u8> = percent_encoding::percent_decode_str(part).collect();
    let text = String::from_utf8(bytes).ok()?;
    (!text.chars().any(char::is_control)).then_some(text)
}

/// Creates the refusal of a malformed request.
pub fn bad_request(detail: impl Into<String>) -> verdict::Refusal {
    verdict::Refusal::not_run(verdict::Reason::BadRequest, detail)
}

/// Refuses a request whose target and headers exceed [`MAX_HEAD_BYTES`].
pub fn check_head(request: &http::Request) -> Result<(), verdict::Refusal> {
    let fields = request.headers().iter();
    let size: usize = fields.map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if size + request.uri().to_string().len() > MAX_HEAD_BYTES {
        return Err(bad_request(format!("the head is longer than {MAX_HEAD_BYTES} bytes")));
    }
    Ok(())
}

/// Parses the query of a request, as strictly as `T` does.
pub fn query<T: serde::de::DeserializeOwned>(
    request: &http::Request,
) -> Result<T, verdict::Refusal> {
    let text = request.uri().query().unwrap_or_default();
    serde_urlencoded::from_str(text).map_err(|error| bad_request(format!("query: {error}")))
}

/// Reads a request body. Refuses it if it exceeds `limit` bytes or takes longer than `timeout`.
pub async fn body(
    request: &mut http::Request,
    limit: usize,
    timeout: time::Duration,
) -> Result<Vec<u8>, verdict::Refusal> {
    let declared = request.headers().get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let oversized = || bad_request(format!("the body is longer than {limit} bytes"));
    if declared.is_some_and(|length| length > limit) {
        return Err(oversized());
    }
    let mut payload = request.take_payload();
    let read = async {
        let mut bytes = Vec::with_capacity(declared.unwrap_or_default());
        while let Some(chunk) = payload.next().await {
            let chunk =
                chunk.map_err(|error| bad_request(format!("the body broke off: {error}")))?;
            if bytes.len() + chunk.len() > limit {
                return Err(oversized());
            }
            bytes.extend_from_slice(&chunk);
        }
        Ok(bytes)
    };
    match tokio::time::timeout(timeout, read).await {
        Ok(result) => result,
        Err(_) => Err(bad_request("the body did not arrive in time")),
    }
}

/// Reads a request body as [`body`] does and parses it as JSON.
pub async fn json<T: serde::de::DeserializeOwned>(
    request: &mut http::Request,
    limit: usize,
    timeout: time::Duration,
) -> Result<T, verdict::Refusal> {
    let bytes = body(request, limit, timeout).await?;
    document::parse(&bytes).map_err(|error| bad_request(error.to_string()))
}
