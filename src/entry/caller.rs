//! Handlers for callers: submit a request, wait for its end, fetch its answer and cancel it.

use std::rc;
use std::time;

use actix_http::StatusCode;

use crate::core::account;
use crate::core::ledger::job;
use crate::core::limit;
use crate::core::time as core_time;
use crate::core::verdict;
use crate::entry::answer;
use crate::entry::input;
use crate::entry::reply;
use crate::entry::state;
use crate::entry::submission;
use crate::entry::view;
use crate::net::http;
use crate::telemetry::metrics as names;
use crate::telemetry::trace;
use crate::wire::common;
use crate::wire::entry as wire;

/// The query parameters of a caller's request.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Query {
    /// How long to wait for the request's end, in milliseconds.
    wait: u64,
    /// Whether the caller got no response to an earlier send with this key. The entry then can't
    /// reply `not-run`, since the earlier send may have run.
    resend: bool,
}

/// The account and key that identify a request, taken from its path.
#[derive(Clone)]
pub struct Target {
    /// The client account.
    pub account: String,
    /// The caller's idempotency key.
    pub key: String,
}

impl Target {
    fn check(&self) -> Result<(), verdict::Refusal> {
        if self.key.is_empty() || self.key.len() > job::MAX_KEY_BYTES {
            return Err(input::bad_request(format!(
                "the key must have 1 to {} bytes",
                job::MAX_KEY_BYTES
            )));
        }
        Ok(())
    }

    fn fetch(&self, wait: u64) -> wire::Call {
        wire::Call::Fetch { account: self.account.clone(), key: self.key.clone(), wait }
    }
}

/// `PUT`: submits a request, and waits for its end if the query says so.
pub async fn submit(
    state: &state::State,
    target: Target,
    mut request: http::Request,
    hop: &trace::Hop,
) -> http::Response {
    let query = match check_request(state, &target, &request) {
        Ok(query) => query,
        Err(refusal) => return reply::refused(&refusal),
    };
    let parsed = input::json(&mut request, input::MAX_REQUEST_BYTES, state.body_timeout()).await;
    let body: submission::Submission = match parsed {
        Ok(body) => body,
        Err(refusal) => return reply::refused(&qualify_refusal(refusal, query)),
    };
    let started = tokio::time::Instant::now();
    let response = match body.into_spec(state, &target) {
        Ok(spec) => admit_and_send(state, &target, spec, query, hop).await,
        Err(refusal) => reply::refused(&qualify_refusal(refusal, query)),
    };
    names::observe(names::REQUEST_SECONDS, started.elapsed());
    response
}

/// Counts a finished request by its outcome: `done`, or the verdict of its refusal.
fn count_outcome(outcome: &str) {
    metrics::counter!(names::REQUESTS, "outcome" => outcome.to_owned()).increment(1);
}

/// Counts a refusal by control and returns the response for it.
fn refused(refusal: &common::Refusal) -> http::Response {
    count_outcome(&view::Refusal::from(refusal).verdict);
    reply::refused_by_control(refusal)
}

/// Checks the token, the key and the query of a request.
fn check_request(
    state: &state::State,
    target: &Target,
    request: &http::Request,
) -> Result<Query, verdict::Refusal> {
    state.authorize_account(request, &target.account)?;
    target.check()?;
    input::query(request)
}

/// Turns a `not-run` refusal by this entry into `may-have-run` if the caller reports an
/// unanswered earlier send.
fn qualify_refusal(refusal: verdict::Refusal, query: Query) -> verdict::Refusal {
    if query.resend && refusal.verdict == verdict::Verdict::NotRun {
        let detail = format!("{}; an earlier send is unanswered", refusal.detail);
        return verdict::Refusal::may_have_run(refusal.reason, detail);
    }
    refusal
}

/// Sends a valid submission to control if the account's limits admit it.
async fn admit_and_send(
    state: &state::State,
    target: &Target,
    spec: job::Spec,
    query: Query,
    hop: &trace::Hop,
) -> http::Response {
    let slot = match AdmissionSlot::acquire(state, &spec) {
        Ok(slot) => slot,
        Err(refused) => {
            return refuse_over_limit(state, target, &spec.service, refused, query, hop).await;
        }
    };
    let response = send(state, target, spec, query, hop).await;
    drop(slot);
    response
}

/// Refuses a submission that exceeds its account's limits, unless control knows its key: then an
/// earlier send was accepted, and the response is that job's state. The refusal is `not-run` only
/// if control confirms that the key is unknown.
async fn refuse_over_limit(
    state: &state::State,
    target: &Target,
    service: &str,
    refused: limit::Refusal,
    query: Query,
    hop: &trace::Hop,
) -> http::Response {
    let reply = state.link.call(&hop.context().into(), target.fetch(0), state.call_timeout()).await;
    let refusal = match reply {
        Ok(wire::Reply::Job(job)) if matches_target(&job, target) => return accepted(&job),
        Ok(wire::Reply::Refused(reply)) if is_unknown(&reply) => {
            qualify_refusal(refused.refusal, query)
        }
        Ok(_) | Err(_) => {
            let limit::Refusal { refusal, .. } = &refused;
            let detail = format!("{}; whether the key is known was not learnt", refusal.detail);
            verdict::Refusal::may_have_run(refusal.reason, detail)
        }
    };
    state.count_refusal(service, &refusal);
    let mut response = reply::refused(&refusal);
    reply::retry_after(&mut response, refused.retry_after);
    response
}

/// Whether control refused a call because the request is unknown.
fn is_unknown(refusal: &common::Refusal) -> bool {
    let refusal = verdict::Refusal::try_from(refusal.clone());
    refusal.is_ok_and(|refusal| refusal.reason == verdict::Reason::Unknown)
}

/// A submission's slot among those that the account may have in flight at this entry; released
/// when dropped.
struct AdmissionSlot<'a> {
    state: &'a state::State,
    account: String,
}

impl<'a> AdmissionSlot<'a> {
    fn acquire(state: &'a state::State, spec: &job::Spec) -> Result<Self, limit::Refusal> {
        let account = spec.account.clone();
        let Some(config) = state.link.config() else { return Ok(Self { state, account }) };
        let kind = config.kind(&spec.service, &spec.kind);
        let class = kind.map_or(account::Class::Deferred, |kind| kind.class);
        if let Some(known) = config.accounts.get(&account) {
            state.admission.borrow_mut().admit(state.tick(), known, class, 1)?;
        }
        Ok(Self { state, account })
    }
}

impl Drop for AdmissionSlot<'_> {
    fn drop(&mut self) {
        self.state.admission.borrow_mut().finish(&self.account);
    }
}

/// Sends an admitted submission to control.
async fn send(
    state: &state::State,
    target: &Target,
    spec: job::Spec,
    query: Query,
    hop: &trace::Hop,
) -> http::Response {
    let service = spec.service.clone();
    let call = wire::Call::Submit(common::Spec::from(spec));
    let job = match state.link.call(&hop.context().into(), call, state.call_timeout()).await {
        Ok(wire::Reply::Job(job)) if matches_target(&job, target) => job,
        Ok(wire::Reply::Refused(refusal)) => return refused(&refusal),
        Ok(_) => return state::unexpected_reply("submit"),
        Err(unanswered) => {
            let refusal = qualify_refusal(unanswered.refusal(), query);
            state.count_refusal(&service, &refusal);
            return reply::refused(&refusal);
        }
    };
    if query.wait == 0 || job.end.is_some() {
        return accepted(&job);
    }
    match wait(state, target, query.wait, hop).await {
        WaitOutcome::Job(later) => accepted(&later),
        WaitOutcome::Stopping => stopping(&format!("accepted as job {}", job.job)),
        // The request is accepted even if the wait failed; the caller may wait again.
        WaitOutcome::Failed(_) => accepted(&job),
    }
}

fn accepted(job: &wire::Job) -> http::Response {
    let ended = job.end.is_some();
    let status = if ended { StatusCode::OK } else { StatusCode::ACCEPTED };
    reply::json(status, &view::Job::from(job))
}

fn stopping(what: &str) -> http::Response {
    let detail = format!("{what}; wait again with the same key");
    reply::refused(&verdict::Refusal::may_have_run(verdict::Reason::Stopping, detail))
}

/// The outcome of a wait for a request's end.
enum WaitOutcome {
    Job(wire::Job),
    Stopping,
    Failed(http::Response),
}

/// Waits up to `wait` milliseconds for a request's end, at most as long as the entry's settings
/// permit.
async fn wait(state: &state::State, target: &Target, wait: u64, hop: &trace::Hop) -> WaitOutcome {
    let wait = wait.min(state.limits.wait_ms);
    let timeout = state.call_timeout() + time::Duration::from_millis(wait);
    let call = state.ask(hop.context(), target.fetch(wait), timeout);
    let stopped = async {
        match wait {
            // A call that does not wait ends soon, so a stopping entry lets it finish.
            0 => std::future::pending().await,
            _ => state.stopped().await,
        }
    };
    let reply = tokio::select! {
        biased;
        reply = call => reply,
        () = stopped => return WaitOutcome::Stopping,
    };
    match reply {
        Ok(wire::Reply::Job(job)) if matches_target(&job, target) => WaitOutcome::Job(job),
        Ok(_) => WaitOutcome::Failed(state::unexpected_reply("fetch")),
        Err(response) => WaitOutcome::Failed(response),
    }
}

/// Whether a job is the one that the caller asks for.
fn matches_target(job: &wire::Job, target: &Target) -> bool {
    job.account == target.account && job.key == target.key
}

/// `GET`: returns the state of a request.
pub async fn fetch(
    state: &state::State,
    target: Target,
    request: http::Request,
    hop: &trace::Hop,
) -> http::Response {
    let query = match check_request(state, &target, &request) {
        Ok(query) => query,
        Err(refusal) => return reply::refused(&refusal),
    };
    match wait(state, &target, query.wait, hop).await {
        WaitOutcome::Job(job) => reply::json(StatusCode::OK, &view::Job::from(&job)),
        WaitOutcome::Stopping => stopping("the entry stops"),
        WaitOutcome::Failed(response) => response,
    }
}

/// `GET .../answer`: returns the complete answer of a request.
pub async fn answer(
    state: &rc::Rc<state::State>,
    target: Target,
    request: http::Request,
    hop: &trace::Hop,
) -> http::Response {
    let query = match check_request(state, &target, &request) {
        Ok(query) => query,
        Err(refusal) => return reply::refused(&refusal),
    };
    let job = match wait(state, &target, query.wait, hop).await {
        WaitOutcome::Job(job) => job,
        WaitOutcome::Stopping => return stopping("the entry stops"),
        WaitOutcome::Failed(response) => return response,
    };
    match &job.end {
        Some(common::End::Done(meta)) => {
            count_outcome("done");
            answer::respond(state, &target, &job, meta, hop)
        }
        Some(common::End::Refused(refusal)) => refused(refusal),
        None => pending(&job),
    }
}

/// The response while a request has no answer yet. Its status is an error, so that no client takes
/// the body for the answer.
fn pending(job: &wire::Job) -> http::Response {
    let mut response = reply::json(StatusCode::CONFLICT, &view::Job::from(job));
    reply::retry_after(&mut response, core_time::Millis::from_secs(1));
    response
}

/// `DELETE`: cancels a request.
pub async fn cancel(
    state: &state::State,
    target: Target,
    request: http::Request,
    hop: &trace::Hop,
) -> http::Response {
    if let Err(refusal) = check_request(state, &target, &request) {
        return reply::refused(&refusal);
    }
    cancel_target(state, target, hop).await
}

/// Cancels a request on behalf of its caller or of an operator.
pub async fn cancel_target(
    state: &state::State,
    target: Target,
    hop: &trace::Hop,
) -> http::Response {
    let call = wire::Call::Cancel { account: target.account.clone(), key: target.key.clone() };
    match state.ask(hop.context(), call, state.call_timeout()).await {
        Ok(wire::Reply::Job(job)) => reply::json(StatusCode::OK, &view::Job::from(&job)),
        Ok(_) => state::unexpected_reply("cancel"),
        Err(response) => response,
    }
}
