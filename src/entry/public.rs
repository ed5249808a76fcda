//! Handlers that need no token: the status page, its hours, health, readiness and metrics.

use std::collections::BTreeMap;
use std::time;

use actix_http::StatusCode;

use crate::core::time as core_time;
use crate::core::verdict;
use crate::entry::hours;
use crate::entry::input;
use crate::entry::page;
use crate::entry::reply;
use crate::entry::state;
use crate::net::http;
use crate::telemetry::metrics as names;
use crate::telemetry::trace;
use crate::wire::entry as wire;

/// The timeout of a look-up of hours outside the cached span.
const LOOKUP_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The query parameters of the status page.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Query {
    /// The start of the first hour, in milliseconds since 1970.
    from: Option<u64>,
    /// The end of the last hour, in milliseconds since 1970.
    until: Option<u64>,
}

/// The response body of `GET /v1/hours`.
#[derive(serde::Serialize)]
struct Hours<'a> {
    as_of: Option<u64>,
    age_ms: u64,
    control_reachable: bool,
    fresh: bool,
    services: &'a BTreeMap<String, Vec<hours::Row>>,
}

/// The hours to show.
struct HoursView {
    services: BTreeMap<String, Vec<hours::Row>>,
    as_of: Option<core_time::Wall>,
    age: time::Duration,
    reachable: bool,
    span: hours::Span,
}

/// `GET /`: returns the status page.
pub async fn page(
    state: &state::State,
    request: http::Request,
    trace: trace::Context,
) -> http::Response {
    let view = match requested_hours(state, &request, trace).await {
        Ok(view) => view,
        Err(response) => return response,
    };
    let page = page::Page {
        services: &view.services,
        as_of: view.as_of,
        age: view.age,
        reachable: view.reachable,
        span: view.span,
    };
    reply::html(StatusCode::OK, page::render(&page))
}

/// `GET /v1/hours`: returns the content of the status page as JSON.
pub async fn hours(
    state: &state::State,
    request: http::Request,
    trace: trace::Context,
) -> http::Response {
    let view = match requested_hours(state, &request, trace).await {
        Ok(view) => view,
        Err(response) => return response,
    };
    let hours = Hours {
        as_of: view.as_of.map(|as_of| as_of.0),
        age_ms: u64::try_from(view.age.as_millis()).unwrap_or(u64::MAX),
        control_reachable: view.reachable,
        fresh: view.as_of.is_some() && view.reachable && view.age <= hours::MAX_FRESH_AGE,
        services: &view.services,
    };
    reply::json(StatusCode::OK, &hours)
}

async fn requested_hours(
    state: &state::State,
    request: &http::Request,
    trace: trace::Context,
) -> Result<HoursView, http::Response> {
    let query: Query = input::query(request).map_err(|refusal| reply::refused(&refusal))?;
    match (query.from, query.until) {
        (None, None) => Ok(cached_hours(state)),
        (Some(from), Some(until)) => look_up(state, from, until, trace).await,
        _ => Err(bad_request("from and until: give both or none")),
    }
}

fn bad_request(detail: &str) -> http::Response {
    reply::refused(&verdict::Refusal::not_run(verdict::Reason::BadRequest, detail))
}

/// The cached copy of the hours, regardless of its age.
fn cached_hours(state: &state::State) -> HoursView {
    let span = hours::Span::around(state::now());
    let cache = state.hours.borrow();
    let (services, as_of, age) = match cache.get() {
        Some((copy, age)) => (hours::rows(copy, span), Some(core_time::Wall(copy.as_of)), age),
        None => (BTreeMap::new(), None, time::Duration::ZERO),
    };
    HoursView { services, as_of, age, reachable: state.link.is_up(), span }
}

async fn look_up(
    state: &state::State,
    from: u64,
    until: u64,
    trace: trace::Context,
) -> Result<HoursView, http::Response> {
    let limit = hours::MAX_SPAN_HOURS;
    let span = hours::Span::checked(from, until)
        .ok_or_else(|| bad_request(&format!("from and until: must span 1 to {limit} hours")))?;
    let Ok(_permit) = state.lookups.try_acquire() else {
        let detail = "too many readers ask for other hours";
        let refusal = verdict::Refusal::not_run(verdict::Reason::Overloaded, detail);
        return Err(reply::refused(&refusal));
    };
    let call = wire::Call::Hours { from: span.from.0, until: span.until.0 };
    match state.ask(trace, call, LOOKUP_TIMEOUT).await? {
        wire::Reply::Hours(hours) => Ok(HoursView {
            services: hours::rows(&hours, span),
            as_of: Some(core_time::Wall(hours.as_of)),
            age: time::Duration::ZERO,
            reachable: true,
            span,
        }),
        _ => Err(state::unexpected_reply("hours")),
    }
}

/// `GET /healthz`: reports that the process is alive.
pub fn health() -> http::Response {
    reply::text(StatusCode::OK, "ok\n")
}

/// `GET /readyz`: reports whether load balancers should send callers to this entry. An entry that
/// can't reach control stays ready: it still serves the status page, and its refusals tell callers
/// whether their requests may have run.
pub fn ready(state: &state::State) -> http::Response {
    let why = match (state.ready.get(), state.link.config().is_some()) {
        (false, _) => "stopping\n",
        (_, false) => "no configuration yet\n",
        _ => return reply::text(StatusCode::OK, "ready\n"),
    };
    reply::text(StatusCode::SERVICE_UNAVAILABLE, why)
}

/// `GET /metrics`: returns the metrics in Prometheus text format.
pub fn metrics(state: &state::State) -> http::Response {
    let up = if state.link.is_up() { 1.0 } else { 0.0 };
    metrics::gauge!(names::CONTROL_REACHABLE).set(up);
    let revision = state.link.config().map_or(0, |config| config.revision.0);
    metrics::gauge!(names::REVISION).set(revision as f64);
    let kind = "text/plain; version=0.0.4; charset=utf-8";
    reply::with_type(StatusCode::OK, kind, names::render())
}
