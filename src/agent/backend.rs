//! The agent's calls to the backend server beside it.
//!
//! Every call is bounded in time and in the bytes it reads. A response is accepted only if it names
//! the task of the request.

use std::rc;
use std::time;

use awc::error;
use awc::http;
use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream::LocalBoxStream;

use crate::agent::contract;
use crate::agent::state;
use crate::control::clock;
use crate::core::time as core_time;
use crate::telemetry::trace;
use crate::wire::agent;
use crate::wire::common;

/// Timeout of connecting.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Timeout of a call, except for a long poll or an answer.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// How long an idle connection is kept open. Backend servers keep theirs open longer, so that a
/// request is not sent on a connection that is being closed.
const KEEP_ALIVE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// How long the backend server may delay its response to a status request while the task runs.
const LONG_POLL_WAIT: core_time::Millis = core_time::Millis::from_secs(5);

/// Interval of status requests where there are too few connections for long polling.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How long a start is retried that has certainly not happened yet.
const START_RETRY_TIMEOUT: core_time::Millis = core_time::Millis::from_secs(2);

/// Delay between two attempts of a start.
const START_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Connections reserved for calls other than the long polls of running tasks.
const SPARE_CONNECTIONS: u32 = 2;

/// Size limit of a status.
const MAX_STATUS_BYTES: usize = 16 * 1024;

/// Size limit of a list of tasks.
const MAX_LIST_BYTES: usize = 1024 * 1024;

/// A response with its complete body.
struct Reply {
    status: http::StatusCode,
    task: Option<String>,
    body: Bytes,
}

/// Why a call has no response.
enum Failure {
    /// The request was not sent.
    NotSent(String),
    /// The request may have arrived.
    Unknown(String),
}

impl Failure {
    fn into_detail(self) -> String {
        match self {
            Failure::NotSent(detail) | Failure::Unknown(detail) => detail,
        }
    }
}

/// The result of one try of a start.
enum StartTry {
    /// The outcome of the start.
    Final(state::StartOutcome),
    /// The start has certainly not happened and may be retried.
    Retry(String),
}

/// A client of one backend server.
pub struct Client {
    http: awc::Client,
    url: String,
    /// Whether the connections suffice for a long poll of each running task.
    long_poll: bool,
}

impl Client {
    /// Creates a client of the announced backend server, limited to the announced connections.
    pub fn new(announcement: &contract::Announcement) -> Self {
        let connector = awc::Connector::new()
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(KEEP_ALIVE_TIMEOUT)
            .limit(announcement.connections as usize);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(CALL_TIMEOUT)
            .disable_redirects()
            .finish();
        let slots = announcement.slots.min(announcement.connections);
        let long_poll = announcement.connections >= slots.saturating_add(SPARE_CONNECTIONS);
        Self { http, url: announcement.url.trim_end_matches('/').to_owned(), long_poll }
    }

    fn task_url(&self, task: contract::TaskKey, rest: &str) -> String {
        format!("{}/tasks/{task}{rest}", self.url)
    }

    /// Orders the start of a task, unless the lease has ended.
    pub async fn start(
        &self,
        clock: clock::Clock,
        task: contract::TaskKey,
        prepare: &agent::Prepare,
        lease: state::Lease,
    ) -> state::StartOutcome {
        let hop = trace::Hop::start("agent.start", trace_context(prepare));
        let retry_until = clock.tick() + START_RETRY_TIMEOUT;
        loop {
            if clock.tick() >= lease.until {
                return state::StartOutcome::Refused("the lease ended before the start".to_owned());
            }
            match hop.run(self.try_start(task, prepare, lease.fence, hop.context())).await {
                StartTry::Final(outcome) => {
                    hop.outcome(label(&outcome));
                    return outcome;
                }
                StartTry::Retry(detail) if clock.tick() >= retry_until => {
                    return state::StartOutcome::Refused(detail);
                }
                StartTry::Retry(_) => tokio::time::sleep(START_RETRY_DELAY).await,
            }
        }
    }

    async fn try_start(
        &self,
        task: contract::TaskKey,
        prepare: &agent::Prepare,
        fence: u64,
        context: trace::Context,
    ) -> StartTry {
        let request = self.http.put(self.task_url(task, ""));
        let request = match request.query(&contract::Start::new(prepare, fence)) {
            Ok(request) => request,
            Err(error) => return StartTry::Final(state::StartOutcome::Refused(error.to_string())),
        };
        let request = request.insert_header((trace::HEADER, context.to_string()));
        let sent = request.send_body(prepare.payload.clone());
        match self.read(sent, CALL_TIMEOUT, MAX_STATUS_BYTES).await {
            Err(Failure::NotSent(detail)) => StartTry::Retry(detail),
            Err(Failure::Unknown(detail)) => self.check_started(task, detail).await,
            Ok(reply) if !reply.is_for(task) => {
                self.check_started(task, "the answer to the start names another task".to_owned())
                    .await
            }
            Ok(reply) if reply.status.is_success() => {
                StartTry::Final(state::StartOutcome::Accepted)
            }
            Ok(reply) => match serde_json::from_slice::<contract::Refused>(&reply.body) {
                Ok(refused) => refused.into(),
                Err(_) => self.check_started(task, format!("status {}", reply.status)).await,
            },
        }
    }

    /// Checks whether a start without a valid response has happened. It is never sent again.
    async fn check_started(&self, task: contract::TaskKey, detail: String) -> StartTry {
        let sent = self.http.get(self.task_url(task, "")).send();
        let found = match self.read(sent, CALL_TIMEOUT, MAX_STATUS_BYTES).await {
            Ok(reply) => reply.is_for(task) && reply.status.is_success(),
            Err(_) => false,
        };
        StartTry::Final(if found {
            state::StartOutcome::Accepted
        } else {
            state::StartOutcome::Unknown(format!("the start was not confirmed: {detail}"))
        })
    }

    /// Requests the status of a task, waiting a bounded time for its end.
    pub async fn watch(&self, task: contract::TaskKey) -> state::TaskStatus {
        let wait = if self.long_poll { LONG_POLL_WAIT } else { core_time::Millis(0) };
        if !self.long_poll {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let limit = CALL_TIMEOUT + wait.to_duration();
        let request = self.http.get(self.task_url(task, &format!("?wait={wait}")));
        let sent = request.timeout(limit).send();
        match self.read(sent, limit, MAX_STATUS_BYTES).await {
            Ok(reply) => reply.task_status(task),
            Err(failure) => state::TaskStatus::Unreachable(failure.into_detail()),
        }
    }

    /// Stops a task. A backend server that does not know the task will not start it any more.
    pub async fn stop(&self, task: contract::TaskKey) -> state::TaskStatus {
        let sent = self.http.post(self.task_url(task, "/stop")).send();
        match self.read(sent, CALL_TIMEOUT, MAX_STATUS_BYTES).await {
            Ok(reply) => reply.task_status(task),
            Err(failure) => state::TaskStatus::Unreachable(failure.into_detail()),
        }
    }

    /// Posts an order about a task. Its effect shows in the status of the task.
    pub async fn order(&self, task: contract::TaskKey, order: &str) {
        let sent = self.http.post(self.task_url(task, order)).send();
        if let Err(failure) = self.read(sent, CALL_TIMEOUT, MAX_STATUS_BYTES).await {
            tracing::debug!(%task, order, error = failure.into_detail(), "order not confirmed");
        }
    }

    /// Deletes tasks whose status and answer are no longer needed.
    pub async fn delete(&self, tasks: &[contract::TaskKey]) {
        for task in tasks {
            let sent = self.http.delete(self.task_url(*task, "")).send();
            let _ = self.read(sent, CALL_TIMEOUT, MAX_STATUS_BYTES).await;
        }
    }

    /// Stops every task except those in `keep`, waits for its end and deletes it. Returns false if
    /// that failed.
    pub async fn sweep(&self, keep: &[contract::TaskKey]) -> bool {
        let sent = self.http.get(format!("{}/tasks", self.url)).send();
        let Ok(reply) = self.read(sent, CALL_TIMEOUT, MAX_LIST_BYTES).await else { return false };
        let Ok(list) = serde_json::from_slice::<contract::List>(&reply.body) else { return false };
        for text in list.tasks {
            // The agent can't have started a task whose name does not have this form.
            let Ok(task) = text.parse::<contract::TaskKey>() else { continue };
            if keep.contains(&task) {
                continue;
            }
            self.stop(task).await;
            if !matches!(self.watch(task).await, state::TaskStatus::Ended(_)) {
                return false;
            }
            self.delete(&[task]).await;
        }
        true
    }

    /// Requests the answer of a task. The caller reads and checks the body.
    pub async fn answer(&self, task: contract::TaskKey) -> Result<Answer, String> {
        let sent = self.http.get(self.task_url(task, "/answer")).timeout(ANSWER_TIMEOUT).send();
        let response = sent.await.map_err(|error| error.to_string())?;
        let header = task_header(&response);
        Ok(Answer {
            status: response.status(),
            is_for_task: names_task(&header, task),
            body: response.boxed_local(),
        })
    }

    async fn read(
        &self,
        sent: awc::SendClientRequest,
        limit: time::Duration,
        bytes: usize,
    ) -> Result<Reply, Failure> {
        match tokio::time::timeout(limit, read_reply(sent, bytes)).await {
            Ok(reply) => reply,
            Err(_) => Err(Failure::Unknown("no answer in time".to_owned())),
        }
    }
}

/// Timeout of the head of an answer, which may be late.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// The head of an answer and its unread body.
pub struct Answer {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// Whether the response names the task of the request.
    pub is_for_task: bool,
    /// The unread body.
    pub body: LocalBoxStream<'static, Result<Bytes, error::PayloadError>>,
}

impl Reply {
    fn is_for(&self, task: contract::TaskKey) -> bool {
        names_task(&self.task, task)
    }

    fn task_status(&self, task: contract::TaskKey) -> state::TaskStatus {
        if !self.is_for(task) {
            return state::TaskStatus::Unreachable("the status names another task".to_owned());
        }
        if self.status == http::StatusCode::NOT_FOUND {
            let detail = "the backend server does not know the task".to_owned();
            return state::TaskStatus::Ended(state::TaskEnd::Gone(detail));
        }
        match serde_json::from_slice::<contract::Status>(&self.body) {
            Ok(status) if self.status.is_success() && status.task == task.to_string() => {
                status.into()
            }
            Ok(_) => state::TaskStatus::Unreachable(format!("status {}", self.status)),
            Err(error) => state::TaskStatus::Unreachable(format!("malformed status: {error}")),
        }
    }
}

impl From<contract::Refused> for StartTry {
    fn from(refused: contract::Refused) -> Self {
        let detail = format!("the backend server refused the start: {}", refused.detail);
        match refused.error {
            contract::Refusal::NoLease => StartTry::Retry(detail),
            contract::Refusal::Stopped | contract::Refusal::Refused => {
                StartTry::Final(state::StartOutcome::Refused(detail))
            }
        }
    }
}

impl From<contract::Status> for state::TaskStatus {
    fn from(status: contract::Status) -> Self {
        state::TaskStatus::Ended(match status.state {
            contract::State::Running => return state::TaskStatus::Running,
            contract::State::Done => match contract::parse_digest(&status.sha256) {
                Some(sha256) => {
                    state::TaskEnd::Done(common::AnswerMeta { length: status.length, sha256 })
                }
                None => state::TaskEnd::Failed("the answer's checksum is malformed".to_owned()),
            },
            contract::State::Failed => state::TaskEnd::Failed(status.detail),
            contract::State::Stopped => state::TaskEnd::Stopped,
        })
    }
}

fn label(outcome: &state::StartOutcome) -> &'static str {
    match outcome {
        state::StartOutcome::Accepted => "accepted",
        state::StartOutcome::Refused(_) => "refused",
        state::StartOutcome::Unknown(_) => "unknown",
    }
}

fn trace_context(prepare: &agent::Prepare) -> trace::Context {
    trace::Context::try_from(prepare.trace.clone()).unwrap_or(trace::Context::NONE)
}

fn names_task(header: &Option<String>, task: contract::TaskKey) -> bool {
    header.as_deref() == Some(task.to_string().as_str())
}

fn task_header<S>(response: &awc::ClientResponse<S>) -> Option<String> {
    let value = response.headers().get(contract::TASK_HEADER)?;
    value.to_str().ok().map(str::to_owned)
}

async fn read_reply(sent: awc::SendClientRequest, bytes: usize) -> Result<Reply, Failure> {
    let mut response = sent.await.map_err(Failure::from)?;
    let (status, task) = (response.status(), task_header(&response));
    let body = response.body().limit(bytes).await;
    let body = body.map_err(|error| Failure::Unknown(error.to_string()))?;
    Ok(Reply { status, task, body })
}

impl From<error::SendRequestError> for Failure {
    fn from(error: error::SendRequestError) -> Self {
        let detail = error.to_string();
        match error {
            error::SendRequestError::Url(_) => Failure::NotSent(detail),
            error::SendRequestError::Connect(error) if never_connected(&error) => {
                Failure::NotSent(detail)
            }
            _ => Failure::Unknown(detail),
        }
    }
}

/// Whether no connection was established. The library also reports a connection that closed after
/// the request was sent as a failure to connect; such a request counts as sent.
fn never_connected(error: &error::ConnectError) -> bool {
    match error {
        error::ConnectError::Resolver(_)
        | error::ConnectError::NoRecords
        | error::ConnectError::Timeout
        | error::ConnectError::Unresolved => true,
        error::ConnectError::Io(error) => matches!(
            error.kind(),
            std::io::ErrorKind::ConnectionRefused
                | std::io::ErrorKind::HostUnreachable
                | std::io::ErrorKind::NetworkUnreachable
        ),
        _ => false,
    }
}

/// The current client; an announcement of another URL or other limits replaces it.
pub type Shared = rc::Rc<Client>;
