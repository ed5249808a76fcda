//! Dispatch of HTTP requests to the handlers of their routes.

use std::rc;

use actix_http::ConnectionType;
use actix_http::HttpMessage as _;
use actix_http::Method;
use actix_http::StatusCode;
use actix_http::header;
use futures_util::future::LocalBoxFuture;

use crate::core::verdict;
use crate::entry::caller;
use crate::entry::input;
use crate::entry::operator;
use crate::entry::public;
use crate::entry::reply;
use crate::entry::state;
use crate::entry::workflow;
use crate::net::http;
use crate::telemetry::metrics as names;
use crate::telemetry::trace;

/// The entry's HTTP interface.
pub struct Api {
    /// The state that all handlers share.
    pub state: rc::Rc<state::State>,
}

impl http::Handler for Api {
    fn handle(&self, request: http::Request) -> LocalBoxFuture<'static, http::Response> {
        let state = self.state.clone();
        Box::pin(async move {
            let response = serve(&state, request).await;
            let status = response.status().as_u16().to_string();
            metrics::counter!(names::RESPONSES, "status" => status).increment(1);
            response
        })
    }
}

async fn serve(state: &rc::Rc<state::State>, request: http::Request) -> http::Response {
    if let Err(refusal) = input::check_head(&request) {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        let mut response = reply::refusal_view(status, &(&refusal).into());
        response.head_mut().set_connection_type(ConnectionType::Close);
        return response;
    }
    let Some(route) = input::route(request.uri().path()) else {
        let detail = format!("no such path: {}", request.uri().path());
        return reply::refused(&verdict::Refusal::not_run(verdict::Reason::Unknown, detail));
    };
    let methods = methods(&route);
    if !methods.contains(request.method()) {
        return not_allowed(methods);
    }
    let parent = parent_context(&request);
    let Some(name) = span_name(&route) else { return public(state, route, request, parent).await };
    let hop = trace::Hop::start(name, parent);
    let response = hop.run(handle(state, route, request, &hop)).await;
    hop.outcome(response.status().as_str());
    response
}

fn parent_context(request: &http::Request) -> trace::Context {
    let value = request.headers().get(trace::HEADER);
    trace::Context::from_header(value.and_then(|value| value.to_str().ok()))
}

/// The methods that a route permits.
fn methods(route: &input::Route) -> &'static [Method] {
    match route {
        input::Route::Request { .. } => &[Method::PUT, Method::GET, Method::DELETE],
        input::Route::Tickets | input::Route::Plan => &[Method::POST],
        input::Route::Job(_) | input::Route::Workflow(_) => &[Method::GET, Method::DELETE],
        _ => &[Method::GET],
    }
}

fn not_allowed(methods: &[Method]) -> http::Response {
    let names: Vec<&str> = methods.iter().map(Method::as_str).collect();
    let allow = names.join(", ");
    let refusal = verdict::Refusal::not_run(
        verdict::Reason::BadRequest,
        format!("this path permits {allow}"),
    );
    let mut response = reply::refusal_view(StatusCode::METHOD_NOT_ALLOWED, &(&refusal).into());
    if let Ok(value) = header::HeaderValue::from_str(&allow) {
        response.headers_mut().insert(header::ALLOW, value);
    }
    response
}

/// The name of a route's trace span. Routes that need no token and may be polled have no span.
fn span_name(route: &input::Route) -> Option<&'static str> {
    match route {
        input::Route::Page
        | input::Route::Hours
        | input::Route::Health
        | input::Route::Ready
        | input::Route::Metrics => None,
        input::Route::Request { .. } => Some("entry.request"),
        input::Route::Answer { .. } => Some("entry.answer"),
        _ => Some("entry.operator"),
    }
}

async fn public(
    state: &state::State,
    route: input::Route,
    request: http::Request,
    trace: trace::Context,
) -> http::Response {
    match route {
        input::Route::Page => public::page(state, request, trace).await,
        input::Route::Hours => public::hours(state, request, trace).await,
        input::Route::Ready => public::ready(state),
        input::Route::Metrics => public::metrics(state),
        _ => public::health(),
    }
}

async fn handle(
    state: &rc::Rc<state::State>,
    route: input::Route,
    request: http::Request,
    hop: &trace::Hop,
) -> http::Response {
    match route {
        input::Route::Request { account, key } => {
            let target = caller::Target { account, key };
            match *request.method() {
                Method::PUT => caller::submit(state, target, request, hop).await,
                Method::DELETE => caller::cancel(state, target, request, hop).await,
                _ => caller::fetch(state, target, request, hop).await,
            }
        }
        input::Route::Answer { account, key } => {
            caller::answer(state, caller::Target { account, key }, request, hop).await
        }
        route => match state.authorize_operator(&request) {
            Ok(()) => {
                handle_operator(state, route, request, hop).await.unwrap_or_else(|refused| refused)
            }
            Err(refusal) => reply::refused(&refusal),
        },
    }
}

async fn handle_operator(
    state: &state::State,
    route: input::Route,
    request: http::Request,
    hop: &trace::Hop,
) -> Result<http::Response, http::Response> {
    match route {
        input::Route::Tickets => operator::apply(state, request, hop).await,
        input::Route::Plan => operator::plan(state, request, hop).await,
        input::Route::Ticket(number) => operator::ticket_record(state, number, hop).await,
        input::Route::Accounts => operator::accounts(state, hop).await,
        input::Route::Account(name) => operator::account(state, &name, hop).await,
        input::Route::Workers => operator::workers(state, hop).await,
        input::Route::Jobs => operator::jobs(state, request, hop).await,
        input::Route::Job(number) if request.method() == Method::DELETE => {
            operator::cancel(state, number, hop).await
        }
        input::Route::Job(number) => operator::job(state, number, hop).await,
        input::Route::Workflows => workflow::list(state, request, hop).await,
        input::Route::Workflow(number) if request.method() == Method::DELETE => {
            workflow::cancel(state, number, hop).await
        }
        input::Route::Workflow(number) => workflow::show(state, number, hop).await,
        _ => operator::status(state, hop).await,
    }
}
