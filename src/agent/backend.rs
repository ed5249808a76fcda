//! The agent's calls to the backend server beside it.
//!
//! Every call is bounded in time and in the bytes it reads. A response counts only if it names the
//! task that was asked about.

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

/// How long connecting may take.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// How long an ordinary call may take.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// How long an idle connection is kept. Backend servers keep theirs longer, so that a request is
/// not sent on a connection that is being closed.
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(5);

/// How long the backend server may hold back the answer to a question after a running task.
const WATCH_WAIT: core_time::Millis = core_time::Millis::from_secs(5);

/// How often a task is asked after where there are too few connections to wait on one.
const WATCH_PAUSE: time::Duration = time::Duration::from_millis(200);

/// How long a start is tried that certainly has not happened yet.
const BEGIN_LIMIT: core_time::Millis = core_time::Millis::from_secs(2);

/// The pause between two tries of a start.
const BEGIN_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Connections kept free for calls beside the questions after running tasks.
const SPARE_CONNECTIONS: u32 = 2;

/// The longest status, in bytes.
const MAX_STATUS: usize = 16 * 1024;

/// The longest list of tasks, in bytes.
const MAX_LIST: usize = 1024 * 1024;

/// A response, read whole.
struct Reply {
    status: http::StatusCode,
    task: Option<String>,
    body: Bytes,
}

/// Why there is no response.
enum Failure {
    /// The request never left.
    NotSent(String),
    /// It may have arrived.
    Unknown(String),
}

impl Failure {
    fn into_detail(self) -> String {
        match self {
            Failure::NotSent(detail) | Failure::Unknown(detail) => detail,
        }
    }
}

/// What became of one try of a start.
enum Tried {
    Settled(state::StartOutcome),
    /// It certainly has not happened, and may be tried again.
    Again(String),
}

/// The calls to one backend server.
pub struct Client {
    http: awc::Client,
    url: String,
    /// Whether there are connections enough to wait on one for each running task.
    waits: bool,
}

impl Client {
    /// Calls the backend server that announced itself so, on no more than its connections.
    pub fn new(announcement: &contract::Announcement) -> Self {
        let connector = awc::Connector::new()
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(KEEP_ALIVE)
            .limit(announcement.connections as usize);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(CALL_TIMEOUT)
            .disable_redirects()
            .finish();
        let slots = announcement.slots.min(announcement.connections);
        let waits = announcement.connections >= slots.saturating_add(SPARE_CONNECTIONS);
        Self { http, url: announcement.url.trim_end_matches('/').to_owned(), waits }
    }

    fn task_url(&self, task: contract::TaskKey, rest: &str) -> String {
        format!("{}/tasks/{task}{rest}", self.url)
    }

    /// Orders the start of a task, unless the lease has ended.
    pub async fn begin(
        &self,
        clock: clock::Clock,
        task: contract::TaskKey,
        prepare: &agent::Prepare,
        lease: state::Lease,
    ) -> state::StartOutcome {
        let hop = trace::Hop::start("agent.start", trace_of(prepare));
        let last = clock.tick() + BEGIN_LIMIT;
        loop {
            if clock.tick() >= lease.until {
                return state::StartOutcome::Refused("the lease ended before the start".to_owned());
            }
            match hop.run(self.try_begin(task, prepare, lease.fence, hop.context())).await {
                Tried::Settled(begun) => {
                    hop.outcome(word(&begun));
                    return begun;
                }
                Tried::Again(detail) if clock.tick() >= last => {
                    return state::StartOutcome::Refused(detail);
                }
                Tried::Again(_) => tokio::time::sleep(BEGIN_PAUSE).await,
            }
        }
    }

    async fn try_begin(
        &self,
        task: contract::TaskKey,
        prepare: &agent::Prepare,
        fence: u64,
        context: trace::Context,
    ) -> Tried {
        let request = self.http.put(self.task_url(task, ""));
        let request = match request.query(&contract::Start::new(prepare, fence)) {
            Ok(request) => request,
            Err(error) => return Tried::Settled(state::StartOutcome::Refused(error.to_string())),
        };
        let request = request.insert_header((trace::HEADER, context.to_string()));
        let sent = request.send_body(prepare.payload.clone());
        match self.read(sent, CALL_TIMEOUT, MAX_STATUS).await {
            Err(Failure::NotSent(detail)) => Tried::Again(detail),
            Err(Failure::Unknown(detail)) => self.find_begun(task, detail).await,
            Ok(reply) if !reply.names(task) => {
                self.find_begun(task, "the answer to the start names another task".to_owned()).await
            }
            Ok(reply) if reply.status.is_success() => Tried::Settled(state::StartOutcome::Accepted),
            Ok(reply) => match serde_json::from_slice::<contract::Refused>(&reply.body) {
                Ok(refused) => refused.into(),
                Err(_) => self.find_begun(task, format!("status {}", reply.status)).await,
            },
        }
    }

    /// Looks whether a start of which nothing is known has happened. It is never sent again.
    async fn find_begun(&self, task: contract::TaskKey, detail: String) -> Tried {
        let sent = self.http.get(self.task_url(task, "")).send();
        let found = match self.read(sent, CALL_TIMEOUT, MAX_STATUS).await {
            Ok(reply) => reply.names(task) && reply.status.is_success(),
            Err(_) => false,
        };
        Tried::Settled(if found {
            state::StartOutcome::Accepted
        } else {
            state::StartOutcome::Unknown(format!("the start was not confirmed: {detail}"))
        })
    }

    /// Asks after a task until it has ended, or for a bounded time.
    pub async fn watch(&self, task: contract::TaskKey) -> state::TaskStatus {
        let wait = if self.waits { WATCH_WAIT } else { core_time::Millis(0) };
        if !self.waits {
            tokio::time::sleep(WATCH_PAUSE).await;
        }
        let limit = CALL_TIMEOUT + wait.to_duration();
        let request = self.http.get(self.task_url(task, &format!("?wait={wait}")));
        let sent = request.timeout(limit).send();
        match self.read(sent, limit, MAX_STATUS).await {
            Ok(reply) => reply.seen(task),
            Err(failure) => state::TaskStatus::Unreachable(failure.into_detail()),
        }
    }

    /// Stops a task. Not knowing the task means that it will not start any more.
    pub async fn stop(&self, task: contract::TaskKey) -> state::TaskStatus {
        let sent = self.http.post(self.task_url(task, "/stop")).send();
        match self.read(sent, CALL_TIMEOUT, MAX_STATUS).await {
            Ok(reply) => reply.seen(task),
            Err(failure) => state::TaskStatus::Unreachable(failure.into_detail()),
        }
    }

    /// Orders something about a task. Whether it arrived shows in its status.
    pub async fn order(&self, task: contract::TaskKey, order: &str) {
        let sent = self.http.post(self.task_url(task, order)).send();
        if let Err(failure) = self.read(sent, CALL_TIMEOUT, MAX_STATUS).await {
            tracing::debug!(%task, order, error = failure.into_detail(), "order not confirmed");
        }
    }

    /// Deletes tasks that nobody asks about any more.
    pub async fn delete(&self, tasks: &[contract::TaskKey]) {
        for task in tasks {
            let sent = self.http.delete(self.task_url(*task, "")).send();
            let _ = self.read(sent, CALL_TIMEOUT, MAX_STATUS).await;
        }
    }

    /// Stops every task but those to keep, waits for its end and deletes it. False if that failed.
    pub async fn sweep(&self, keep: &[contract::TaskKey]) -> bool {
        let sent = self.http.get(format!("{}/tasks", self.url)).send();
        let Ok(reply) = self.read(sent, CALL_TIMEOUT, MAX_LIST).await else { return false };
        let Ok(list) = serde_json::from_slice::<contract::List>(&reply.body) else { return false };
        for text in list.tasks {
            // What this agent can't have started under a name of that form is not its own.
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

    /// Asks for the answer of a task. The caller reads and checks it.
    pub async fn answer(&self, task: contract::TaskKey) -> Result<Answer, String> {
        let sent = self.http.get(self.task_url(task, "/answer")).timeout(ANSWER_TIMEOUT).send();
        let response = sent.await.map_err(|error| error.to_string())?;
        let named = header(&response);
        Ok(Answer {
            status: response.status(),
            named: names(&named, task),
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

/// How long the head of an answer may take: an answer may come late.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// The head of an answer, and its body still to be read.
pub struct Answer {
    /// The status.
    pub status: http::StatusCode,
    /// Whether the response names the task that was asked about.
    pub named: bool,
    /// The body.
    pub body: LocalBoxStream<'static, Result<Bytes, error::PayloadError>>,
}

impl Reply {
    fn names(&self, task: contract::TaskKey) -> bool {
        names(&self.task, task)
    }

    fn seen(&self, task: contract::TaskKey) -> state::TaskStatus {
        if !self.names(task) {
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

impl From<contract::Refused> for Tried {
    fn from(refused: contract::Refused) -> Self {
        let detail = format!("the backend server refused the start: {}", refused.detail);
        match refused.error {
            contract::Refusal::NoLease => Tried::Again(detail),
            contract::Refusal::Stopped | contract::Refusal::Refused => {
                Tried::Settled(state::StartOutcome::Refused(detail))
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

fn word(begun: &state::StartOutcome) -> &'static str {
    match begun {
        state::StartOutcome::Accepted => "accepted",
        state::StartOutcome::Refused(_) => "refused",
        state::StartOutcome::Unknown(_) => "unknown",
    }
}

fn trace_of(prepare: &agent::Prepare) -> trace::Context {
    trace::Context::try_from(prepare.trace.clone()).unwrap_or(trace::Context::NONE)
}

fn names(named: &Option<String>, task: contract::TaskKey) -> bool {
    named.as_deref() == Some(task.to_string().as_str())
}

fn header<S>(response: &awc::ClientResponse<S>) -> Option<String> {
    let value = response.headers().get(contract::TASK_HEADER)?;
    value.to_str().ok().map(str::to_owned)
}

async fn read_reply(sent: awc::SendClientRequest, bytes: usize) -> Result<Reply, Failure> {
    let mut response = sent.await.map_err(Failure::from)?;
    let (status, task) = (response.status(), header(&response));
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

/// Whether no connection stood. The library reports a connection that closed after the request was
/// sent as a failure to connect too; that one counts as sent.
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

/// The client of the moment; another announcement may bring another one.
pub type Shared = rc::Rc<Client>;
