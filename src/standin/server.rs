//! HTTP interface of a stand-in: the contract of `docs/BACKEND.md`, the record and the switches.

use std::cell;
use std::future;
use std::rc;
use std::time;

use actix_http::Method;
use actix_http::StatusCode;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::agent::contract;
use crate::agent::server;
use crate::core::ledger::job;
use crate::net::http;
use crate::standin::options;
use crate::standin::tasks;

/// Longest time that a status request may wait for the task's end.
const MAX_WAIT: time::Duration = time::Duration::from_secs(30);

/// State that the parts of a stand-in share.
pub struct Shared {
    /// The stand-in's tasks.
    pub tasks: cell::RefCell<tasks::Tasks>,
    /// Notified when a task, the lease or a switch has changed.
    pub changed: tokio::sync::Notify,
    /// Whether the stand-in has died.
    pub dead: tokio::sync::watch::Sender<bool>,
}

/// Handler of the agent's requests.
#[derive(Clone)]
pub struct Handler(pub rc::Rc<Shared>);

impl http::Handler for Handler {
    fn handle(&self, request: http::Request) -> LocalBoxFuture<'static, http::Response> {
        let handler = self.clone();
        Box::pin(async move { handler.respond(request).await })
    }
}

#[derive(Default, serde::Deserialize)]
#[serde(default)]
struct Query {
    wait: u64,
    percent: u32,
}

impl Handler {
    async fn respond(&self, request: http::Request) -> http::Response {
        if *self.0.dead.borrow() {
            return future::pending().await;
        }
        let (method, path) = (request.method().clone(), request.path().to_owned());
        match (&method, path.as_str()) {
            (&Method::GET, "/tasks") => server::json(StatusCode::OK, &self.0.tasks.borrow().list()),
            (&Method::GET, "/record") => {
                server::json(StatusCode::OK, &self.0.tasks.borrow().record())
            }
            (&Method::PUT, "/switches") => self.switch(request).await,
            _ => match path.strip_prefix("/tasks/") {
                Some(rest) => self.task(request, &method, rest).await,
                None => status(StatusCode::NOT_FOUND),
            },
        }
    }

    async fn switch(&self, request: http::Request) -> http::Response {
        let Ok(bytes) = server::read(request, contract::MAX_ANNOUNCEMENT_BYTES).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        match serde_json::from_slice::<options::Switches>(&bytes) {
            Ok(switches) => {
                self.0.tasks.borrow_mut().switches = switches;
                self.0.changed.notify_waiters();
                status(StatusCode::NO_CONTENT)
            }
            Err(_) => status(StatusCode::BAD_REQUEST),
        }
    }

    async fn task(&self, request: http::Request, method: &Method, rest: &str) -> http::Response {
        let (name, order) = rest.split_once('/').unwrap_or((rest, ""));
        let Ok(key) = name.parse::<contract::TaskKey>() else {
            return status(StatusCode::BAD_REQUEST);
        };
        let query = request.uri().query().unwrap_or_default().to_owned();
        let parsed: Query = serde_urlencoded::from_str(&query).unwrap_or_default();
        let now = time::Instant::now();
        let mut response = match (method, order) {
            (&Method::PUT, "") => self.start(request, key, &query).await,
            (&Method::GET, "") => self.status(key, parsed.wait).await,
            (&Method::GET, "answer") => return self.send_answer(key).await,
            (&Method::POST, "stop") => self.change(key, |tasks| tasks.stop(key)),
            (&Method::POST, "checkpoint") => self.change(key, |tasks| tasks.checkpoint(now, key)),
            (&Method::POST, "throttle") => {
                self.change(key, |tasks| tasks.throttle(now, key, parsed.percent))
            }
            (&Method::DELETE, "") => {
                self.0.tasks.borrow_mut().delete(key);
                self.0.changed.notify_waiters();
                status(StatusCode::NO_CONTENT)
            }
            _ => status(StatusCode::NOT_FOUND),
        };
        let named_key = if method == Method::GET { self.crossed_key(key) } else { None };
        set_task_header(&mut response, named_key.unwrap_or(key));
        response
    }

    /// The other task that the next response is to name; none unless the switches require it.
    fn crossed_key(&self, key: contract::TaskKey) -> Option<contract::TaskKey> {
        let mut tasks = self.0.tasks.borrow_mut();
        if tasks.switches.crossed == 0 {
            return None;
        }
        tasks.switches.crossed -= 1;
        let unknown = contract::TaskKey { index: key.index + 1, ..key };
        Some(tasks.other_key(key).unwrap_or(unknown))
    }

    async fn start(
        &self,
        request: http::Request,
        key: contract::TaskKey,
        query: &str,
    ) -> http::Response {
        let Ok(start) = serde_urlencoded::from_str::<contract::Start>(query) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let Ok(payload) = server::read(request, job::MAX_PAYLOAD_BYTES).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let started = {
            let mut tasks = self.0.tasks.borrow_mut();
            let started = tasks.start(time::Instant::now(), key, &start, &payload);
            if started.is_ok() && tasks.is_crash_due() {
                self.0.dead.send_replace(true);
            }
            started
        };
        self.0.changed.notify_waiters();
        if *self.0.dead.borrow() || (started.is_ok() && self.skips_reply()) {
            return future::pending().await;
        }
        match started {
            Ok(started) => server::json(StatusCode::OK, &started),
            Err(refused) => server::json(StatusCode::CONFLICT, &refused),
        }
    }

    /// Whether the current start is to get no reply; counts the switch down.
    fn skips_reply(&self) -> bool {
        let switches = &mut self.0.tasks.borrow_mut().switches;
        let skipped = switches.mute_starts > 0;
        switches.mute_starts = switches.mute_starts.saturating_sub(1);
        skipped
    }

    async fn status(&self, key: contract::TaskKey, wait: u64) -> http::Response {
        let wait = time::Duration::from_millis(wait).min(MAX_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.0.changed.notified();
            let found = self.0.tasks.borrow().status(key);
            let Some(found) = found else { return status(StatusCode::NOT_FOUND) };
            let has_ended = found.state != contract::State::Running;
            if has_ended || tokio::time::timeout_at(deadline, changed).await.is_err() {
                return server::json(StatusCode::OK, &found);
            }
        }
    }

    async fn send_answer(&self, key: contract::TaskKey) -> http::Response {
        let late = self.0.tasks.borrow().switches.late_ms;
        tokio::time::sleep(time::Duration::from_millis(late)).await;
        let named_key = self.crossed_key(key).unwrap_or(key);
        let answer = self.0.tasks.borrow().find_answer(named_key);
        let mut response = match answer {
            Some(answer) => answer_response(self.corrupt(answer)),
            None => status(StatusCode::NOT_FOUND),
        };
        set_task_header(&mut response, named_key);
        response
    }

    /// Flips a bit of the answer if the switches require it.
    fn corrupt(&self, answer: Bytes) -> Bytes {
        let switches = &mut self.0.tasks.borrow_mut().switches;
        if switches.corrupt == 0 || answer.is_empty() {
            return answer;
        }
        switches.corrupt -= 1;
        let mut bytes = answer.to_vec();
        bytes[0] ^= 1;
        bytes.into()
    }

    fn change(
        &self,
        key: contract::TaskKey,
        change: impl FnOnce(&mut tasks::Tasks),
    ) -> http::Response {
        let found = {
            let mut tasks = self.0.tasks.borrow_mut();
            change(&mut tasks);
            tasks.status(key)
        };
        self.0.changed.notify_waiters();
        match found {
            Some(found) => server::json(StatusCode::OK, &found),
            None => status(StatusCode::NOT_FOUND),
        }
    }
}

fn status(status: StatusCode) -> http::Response {
    actix_http::Response::new(status)
}

fn answer_response(bytes: Bytes) -> http::Response {
    let mut builder = actix_http::Response::build(StatusCode::OK);
    builder.content_type("application/octet-stream").body(bytes).map_into_boxed_body()
}

fn set_task_header(response: &mut http::Response, key: contract::TaskKey) {
    let name = actix_http::header::HeaderName::from_static(contract::TASK_HEADER);
    if let Ok(value) = actix_http::header::HeaderValue::from_str(&key.to_string()) {
        response.headers_mut().insert(name, value);
    }
}
