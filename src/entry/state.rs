//! The state that all handlers of an entry share.

use std::cell;
use std::rc;
use std::time;

use actix_http::HttpMessage as _;
use tokio::sync::watch;

use crate::core::account;
use crate::core::limit;
use crate::core::time::Tick;
use crate::core::time::Wall;
use crate::core::verdict;
use crate::entry::access;
use crate::entry::hours;
use crate::entry::link;
use crate::entry::reply;
use crate::net::http;
use crate::settings::entry;
use crate::telemetry::event;
use crate::telemetry::metrics as names;
use crate::telemetry::trace;
use crate::wire::entry as wire;

/// The state that all handlers of an entry share.
pub struct State {
    /// The limits from the settings.
    pub limits: entry::Limits,
    /// The SHA-256 digests of the operators' tokens.
    pub operators: Vec<[u8; 32]>,
    /// The link to control.
    pub link: rc::Rc<link::Link>,
    /// The last received copy of the status page's hours.
    pub hours: cell::RefCell<hours::Cache>,
    /// The limits on submissions per account.
    pub admission: cell::RefCell<limit::Admission>,
    /// When the entry started.
    pub started: time::Instant,
    /// Permits for concurrent look-ups of hours outside the cached span.
    pub lookups: tokio::sync::Semaphore,
    /// Whether load balancers should send callers to this entry.
    pub ready: cell::Cell<bool>,
    /// Whether the entry is stopping, which ends all waits.
    pub stopping: watch::Sender<bool>,
}

impl State {
    /// The timeout of a call to control, with retries.
    pub fn call_timeout(&self) -> time::Duration {
        time::Duration::from_millis(self.limits.patience_ms)
    }

    /// How long a client may take to send a request body.
    pub fn body_timeout(&self) -> time::Duration {
        time::Duration::from_millis(self.limits.body_ms)
    }

    /// The time since the entry started, by the monotonic clock.
    pub fn tick(&self) -> Tick {
        Tick(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// The newest configuration from control, or a refusal if none was received yet.
    pub fn config(&self) -> Result<rc::Rc<account::Config>, verdict::Refusal> {
        self.link.config().ok_or_else(|| {
            let detail = "no configuration has arrived from control yet";
            verdict::Refusal::not_run(verdict::Reason::NoControl, detail)
        })
    }

    /// Refuses a request whose token is not one of the account's.
    pub fn authorize_account(
        &self,
        request: &http::Request,
        account: &str,
    ) -> Result<(), verdict::Refusal> {
        let config = self.config()?;
        let token = access::token_digest(request.headers());
        let authorized =
            token.is_some_and(|token| access::is_account_token(&config, account, &token));
        authorized.then_some(()).ok_or_else(|| forbidden("account"))
    }

    /// Refuses a request whose token is not an operator's.
    pub fn authorize_operator(&self, request: &http::Request) -> Result<(), verdict::Refusal> {
        let token = access::token_digest(request.headers());
        let authorized =
            token.is_some_and(|token| access::is_operator_token(&self.operators, &token));
        authorized.then_some(()).ok_or_else(|| forbidden("operator"))
    }

    /// Counts a refusal that control does not know of. A `not-run` refusal for a known service is
    /// also counted for the report to control.
    pub fn count_refusal(&self, service: &str, refusal: &verdict::Refusal) {
        metrics::counter!(names::REFUSALS, "reason" => refusal.reason.number().to_string())
            .increment(1);
        let config = self.link.config();
        let known = config.is_some_and(|config| config.services.contains_key(service));
        if known && refusal.verdict == verdict::Verdict::NotRun {
            self.link.refusals().count(service, now());
        }
    }

    /// Calls control and turns refusals and failures into responses.
    pub async fn ask(
        &self,
        trace: trace::Context,
        call: wire::Call,
        timeout: time::Duration,
    ) -> Result<wire::Reply, http::Response> {
        let reply = self.link.call(&trace.into(), call, timeout).await;
        match reply {
            Ok(wire::Reply::Refused(refusal)) => Err(reply::refused_by_control(&refusal)),
            Ok(reply) => Ok(reply),
            Err(unanswered) => Err(reply::refused(&unanswered.refusal())),
        }
    }

    /// Resolves once the entry is stopping.
    pub async fn stopped(&self) {
        let mut stopping = self.stopping.subscribe();
        // The sender lives as long as `self`, so waiting can't fail.
        let _ = stopping.wait_for(|stopping| *stopping).await;
    }
}

fn forbidden(role: &str) -> verdict::Refusal {
    event::entry::ACCESS_REFUSED.log(format_args!("proof={role}"));
    verdict::Refusal::not_run(verdict::Reason::Forbidden, "send a bearer token that does")
}

/// The response when control's reply is of a kind that does not match the call.
pub fn unexpected_reply(call: &str) -> http::Response {
    event::entry::REPLY_MISMATCH.log(format_args!("call={call}"));
    let detail = "control's reply does not fit the call";
    reply::refused(&verdict::Refusal::may_have_run(verdict::Reason::NoControl, detail))
}

/// The current wall-clock time.
pub fn now() -> Wall {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    Wall(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
