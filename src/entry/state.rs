//! What the handlers of one entry share.

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

/// What the handlers share.
pub struct State {
    /// Bounds.
    pub limits: entry::Limits,
    /// The operators' token digests.
    pub operators: Vec<[u8; 32]>,
    /// The link to control.
    pub link: rc::Rc<link::Link>,
    /// The last good copy of the status page's hours.
    pub hours: cell::RefCell<hours::Cache>,
    /// Which submissions go on to control.
    pub admission: cell::RefCell<limit::Admission>,
    /// When the entry started.
    pub started: time::Instant,
    /// Look-ups of other hours that readers may have open at once.
    pub lookups: tokio::sync::Semaphore,
    /// Whether the balancer should send callers here.
    pub ready: cell::Cell<bool>,
    /// Whether waits shall end because the entry stops.
    pub stopping: watch::Sender<bool>,
}

impl State {
    /// How long a call may take in all.
    pub fn call_timeout(&self) -> time::Duration {
        time::Duration::from_millis(self.limits.patience_ms)
    }

    /// How long a client may take to send a body.
    pub fn body_timeout(&self) -> time::Duration {
        time::Duration::from_millis(self.limits.body_ms)
    }

    /// The time on this process's monotonic clock.
    pub fn tick(&self) -> Tick {
        Tick(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// The configuration in force here.
    pub fn config(&self) -> Result<rc::Rc<account::Config>, verdict::Refusal> {
        self.link.config().ok_or_else(|| {
            let detail = "no configuration has arrived from control yet";
            verdict::Refusal::not_run(verdict::Reason::NoControl, detail)
        })
    }

    /// Refuses a request whose token does not prove the account.
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

    /// Refuses a request whose token is no operator's.
    pub fn authorize_operator(&self, request: &http::Request) -> Result<(), verdict::Refusal> {
        let token = access::token_digest(request.headers());
        let authorized =
            token.is_some_and(|token| access::is_operator_token(&self.operators, &token));
        authorized.then_some(()).ok_or_else(|| forbidden("operator"))
    }

    /// Counts a refusal of a request to a service that control will not hear of.
    pub fn count_refusal(&self, service: &str, refusal: &verdict::Refusal) {
        metrics::counter!(names::REFUSALS, "reason" => refusal.reason.number().to_string())
            .increment(1);
        let config = self.link.config();
        let known = config.is_some_and(|config| config.services.contains_key(service));
        if known && refusal.verdict == verdict::Verdict::NotRun {
            self.link.refusals().count(service, now());
        }
    }

    /// Calls control once and turns failures into responses.
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

    /// Resolves once the entry stops.
    pub async fn stopped(&self) {
        let mut stopping = self.stopping.subscribe();
        // The sender lives as long as `self`, so this can't fail.
        let _ = stopping.wait_for(|stopping| *stopping).await;
    }
}

fn forbidden(role: &str) -> verdict::Refusal {
    event::entry::ACCESS_REFUSED.log(format_args!("proof={role}"));
    verdict::Refusal::not_run(verdict::Reason::Forbidden, "send a bearer token that does")
}

/// The response to a reply of another kind than the call asks for.
pub fn unexpected_reply(call: &str) -> http::Response {
    event::entry::CONTROL_REPLY.log(format_args!("call={call}"));
    let detail = "control's reply does not fit the call";
    reply::refused(&verdict::Refusal::may_have_run(verdict::Reason::NoControl, detail))
}

/// Civil time now.
pub fn now() -> Wall {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    Wall(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
