//! One member of a gang: the tasks of one attempt on this worker.

use std::rc;

use crate::agent::contract;
use crate::agent::state::step;
use crate::agent::state::task;
use crate::core::ids;
use crate::core::time;
use crate::wire::agent;

/// Interval at which an order to stop is repeated until the task has ended.
const STOP_RESEND: time::Millis = time::Millis(500);

/// Delay before the report of an end is first repeated; doubles with each repetition.
const REPORT_RESEND: time::Millis = time::Millis::from_secs(3);

/// The report of an end up to which the delay doubles; later reports keep the delay.
const LAST_DOUBLED_REPORT: u32 = 5;

/// How long a running task may be unreachable before its attempt is stopped.
const UNREACHABLE_TIMEOUT: time::Millis = time::Millis::from_secs(5);

/// Delay before the status of an unreachable task is requested again.
const UNREACHABLE_RETRY_DELAY: time::Millis = time::Millis(200);

/// How long after the end of the backend server's lease, and after the order to stop, its tasks are
/// presumed to have stopped.
const STOP_MARGIN: time::Millis = time::Millis(500);

/// The tasks of one attempt on this worker.
pub struct Member {
    attempt: ids::AttemptKey,
    prepare: rc::Rc<agent::Prepare>,
    phase: task::Phase,
    tasks: Vec<task::Stage>,
    halt: Option<task::Halt>,
    /// Why the result of a task can't be determined; `None` while it can.
    unknown_reason: Option<String>,
    /// When the preparation was last requested, or the end last reported.
    last_activity: time::Tick,
    /// The number of reports of the end.
    reports: u32,
}

type Out = Vec<step::Output>;

impl Member {
    /// Creates a member in the phase [`task::Phase::Prepared`].
    pub fn new(now: time::Tick, prepare: agent::Prepare) -> Self {
        Self {
            attempt: prepare.attempt.clone().into(),
            prepare: rc::Rc::new(prepare),
            phase: task::Phase::Prepared,
            tasks: Vec::new(),
            halt: None,
            unknown_reason: None,
            last_activity: now,
            reports: 0,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> &task::Phase {
        &self.phase
    }

    /// The preparation.
    pub fn prepare(&self) -> &agent::Prepare {
        &self.prepare
    }

    /// Whether the tasks use capacity of the worker, or have it reserved.
    pub fn occupies_capacity(&self) -> bool {
        matches!(self.phase, task::Phase::Prepared | task::Phase::Active)
    }

    /// Whether the tasks may be running at the backend server.
    pub fn active(&self) -> bool {
        self.phase == task::Phase::Active
    }

    /// Whether a stop has been unconfirmed for at least `limit`.
    pub fn is_stop_overdue(&self, now: time::Tick, limit: time::Millis) -> bool {
        let is_overdue = |halt: &task::Halt| now >= halt.deadline + limit;
        self.active() && self.halt.as_ref().is_some_and(is_overdue)
    }

    /// When the preparation was last requested, or the end last reported.
    pub fn last_activity(&self) -> time::Tick {
        self.last_activity
    }

    /// When the end has to be reported again, after a delay that doubles with each report.
    pub fn next_report(&self) -> time::Tick {
        let doublings = self.reports.clamp(1, LAST_DOUBLED_REPORT) - 1;
        self.last_activity + time::Millis(REPORT_RESEND.0 << doublings)
    }

    /// Records that the preparation was requested again, or that the answer was sent.
    pub fn touch(&mut self, now: time::Tick) {
        self.last_activity = now;
    }

    /// The keys of the tasks in ascending order.
    pub fn keys(&self) -> impl Iterator<Item = contract::TaskKey> + use<> {
        let attempt = self.attempt;
        let range = self.prepare.first_task..self.prepare.first_task + self.prepare.tasks;
        range.map(move |index| contract::TaskKey { attempt, index })
    }

    /// Orders the start of all tasks under this lease.
    pub fn start(&mut self, lease: step::Lease, out: &mut Out) {
        self.phase = task::Phase::Active;
        for task in self.keys() {
            self.tasks.push(task::Stage::Starting);
            out.push(step::Output::Start { task, prepare: self.prepare.clone(), lease });
        }
    }

    /// Whether the backend server has accepted all tasks.
    pub fn started(&self) -> bool {
        let is_accepted = |task: &task::Stage| {
            matches!(task, task::Stage::Running { .. } | task::Stage::Ended(_))
        };
        match self.phase {
            task::Phase::Active => {
                self.unknown_reason.is_none() && self.tasks.iter().all(is_accepted)
            }
            task::Phase::Fetching => true,
            task::Phase::Prepared | task::Phase::Ended(_) => false,
        }
    }

    fn task(&mut self, index: u32) -> Option<&mut task::Stage> {
        let index = index.checked_sub(self.prepare.first_task)?;
        self.tasks.get_mut(index as usize)
    }

    fn key(&self, index: u32) -> contract::TaskKey {
        contract::TaskKey { attempt: self.attempt, index }
    }

    /// Handles the outcome of the order to start a task.
    pub fn start_finished(
        &mut self,
        now: time::Tick,
        index: u32,
        outcome: task::StartOutcome,
        out: &mut Out,
    ) {
        let key = self.key(index);
        let was_halted = self.halt.is_some();
        let Some(task) = self.task(index) else { return };
        if *task != task::Stage::Starting {
            return;
        }
        match outcome {
            task::StartOutcome::Accepted => {
                *task = task::Stage::Running { unreachable_since: None, confirmed: true }
            }
            task::StartOutcome::Refused(detail) => {
                *task = task::Stage::Refused(detail);
                self.halt(now, task::Cause::Broken, time::Millis(0), out);
            }
            task::StartOutcome::Unknown(detail) => {
                *task = task::Stage::Running { unreachable_since: None, confirmed: false };
                self.mark_unknown(detail);
                self.halt(now, task::Cause::Broken, time::Millis(0), out);
            }
        }
        if self.task(index).is_some_and(|task| task.is_running()) {
            out.push(step::Output::Watch { task: key, delay: time::Millis(0) });
        }
        if !was_halted && self.started() {
            out.push(step::Output::Send(agent::ClientMessage::Started {
                attempt: self.attempt.into(),
            }));
        }
        self.finish_if_ended(now, out);
    }

    /// Handles the status of a task from a status request.
    pub fn watched(
        &mut self,
        now: time::Tick,
        index: u32,
        status: task::TaskStatus,
        out: &mut Out,
    ) {
        let key = self.key(index);
        let Some(task) = self.task(index) else { return };
        let task::Stage::Running { unreachable_since, confirmed } = task else { return };
        match status {
            task::TaskStatus::Running => {
                *unreachable_since = None;
                out.push(step::Output::Watch { task: key, delay: time::Millis(0) });
            }
            task::TaskStatus::Unreachable(detail) => {
                let since = *unreachable_since.get_or_insert(now);
                out.push(step::Output::Watch { task: key, delay: UNREACHABLE_RETRY_DELAY });
                if now - since >= UNREACHABLE_TIMEOUT {
                    self.mark_unknown(detail);
                    self.halt(now, task::Cause::Broken, time::Millis(0), out);
                }
            }
            task::TaskStatus::Ended(task::TaskEnd::Gone(_)) if !*confirmed => {
                out.push(step::Output::Watch { task: key, delay: UNREACHABLE_RETRY_DELAY });
            }
            task::TaskStatus::Ended(end) => self.task_ended(now, index, end, out),
        }
    }

    /// Handles the status of a task from an order to stop it.
    pub fn stopped(
        &mut self,
        now: time::Tick,
        index: u32,
        status: task::TaskStatus,
        out: &mut Out,
    ) {
        let running = self.task(index).is_some_and(|task| task.is_running());
        if let task::TaskStatus::Ended(end) = status
            && running
        {
            self.task_ended(now, index, end, out);
        }
    }

    fn task_ended(&mut self, now: time::Tick, index: u32, end: task::TaskEnd, out: &mut Out) {
        let cause = end.halt_cause();
        if let Some(task) = self.task(index) {
            *task = task::Stage::Ended(end);
        }
        if let Some(cause) = cause {
            self.halt(now, cause, time::Millis(0), out);
        }
        self.finish_if_ended(now, out);
    }

    fn mark_unknown(&mut self, detail: String) {
        self.unknown_reason.get_or_insert(detail);
    }

    /// Stops the remaining tasks after a grace period for checkpoints. Of several calls, the first
    /// cause and the earliest deadline apply.
    pub fn halt(
        &mut self,
        now: time::Tick,
        cause: task::Cause,
        grace: time::Millis,
        out: &mut Out,
    ) {
        let deadline = now + grace;
        match &mut self.halt {
            Some(halt) => halt.deadline = halt.deadline.min(deadline),
            None => {
                self.halt = Some(task::Halt { cause, since: now, deadline, last_sent: None });
                if grace > time::Millis(0) {
                    self.checkpoint(grace, out);
                }
            }
        }
        match self.phase {
            task::Phase::Prepared => self.end(now, agent::TaskResult::NotStarted, out),
            task::Phase::Active | task::Phase::Fetching => self.send_stops(now, out),
            task::Phase::Ended(_) => {}
        }
    }

    fn checkpoint(&self, grace: time::Millis, out: &mut Out) {
        for (task, key) in self.tasks.iter().zip(self.keys()) {
            if task.is_running() {
                out.push(step::Output::Checkpoint { task: key, grace });
            }
        }
    }

    /// Limits the running tasks to a percentage of their full speed.
    pub fn throttle(&self, percent: u32, out: &mut Out) {
        for (task, key) in self.tasks.iter().zip(self.keys()) {
            if task.is_running() {
                out.push(step::Output::Throttle { task: key, percent });
            }
        }
    }

    /// Orders the tasks to stop once the grace period is over, and again every [`STOP_RESEND`].
    pub fn send_stops(&mut self, now: time::Tick, out: &mut Out) {
        let Some(halt) = &mut self.halt else { return };
        if now < halt.deadline {
            return;
        }
        if self.phase == task::Phase::Fetching {
            // The tasks have ended already; only an ordered stop discards the answer.
            if halt.cause == task::Cause::Ordered {
                self.end(now, agent::TaskResult::Stopped, out);
            }
            return;
        }
        let resend = halt.last_sent.is_none_or(|sent| now - sent >= STOP_RESEND);
        if !resend {
            return;
        }
        halt.last_sent = Some(now);
        for (task, key) in self.tasks.iter().zip(self.keys()) {
            if task.may_run() {
                out.push(step::Output::Stop { task: key });
            }
        }
    }

    /// Presumes that tasks with an unconfirmed stop have ended, once the backend server must have
    /// stopped them because its lease ended, at `granted_until` at the latest. Returns whether it
    /// did.
    pub fn presume_stopped(
        &mut self,
        now: time::Tick,
        granted_until: time::Tick,
        out: &mut Out,
    ) -> bool {
        let Some(halt) = &self.halt else { return false };
        let expired = now >= granted_until + STOP_MARGIN && now >= halt.since + STOP_MARGIN;
        if !expired || !self.active() {
            return false;
        }
        let detail = "the backend server did not confirm the stop before its lease ended";
        for task in &mut self.tasks {
            if task.may_run() {
                *task = task::Stage::Ended(task::TaskEnd::Gone(detail.to_owned()));
            }
        }
        self.finish_if_ended(now, out);
        true
    }

    /// Ends the attempt, or fetches its answer, once every task has ended.
    fn finish_if_ended(&mut self, now: time::Tick, out: &mut Out) {
        let may_run = |task: &task::Stage| task.may_run();
        if !self.active() || self.tasks.iter().any(may_run) {
            return;
        }
        let result = self.result();
        let agent::TaskResult::Done(Some(meta)) = &result else {
            self.end(now, result, out);
            return;
        };
        self.phase = task::Phase::Fetching;
        out.push(step::Output::Fetch {
            task: self.key(0),
            meta: meta.clone(),
            limit: self.prepare.answer_limit,
        });
        self.send_stops(now, out);
    }

    /// The combined result of the tasks.
    fn result(&self) -> agent::TaskResult {
        let is_refused = |task: &task::Stage| matches!(task, task::Stage::Refused(_));
        if self.tasks.iter().all(is_refused) && self.unknown_reason.is_none() {
            return agent::TaskResult::NotStarted;
        }
        if self.tasks.iter().all(|task| matches!(task, task::Stage::Ended(task::TaskEnd::Done(_))))
        {
            return self.done_result();
        }
        if let Some(detail) = self.unknown_reason.clone().or_else(|| self.find_gone()) {
            return agent::TaskResult::Unknown(detail);
        }
        match self.halt.as_ref().map(|halt| &halt.cause) {
            Some(task::Cause::Ordered) => agent::TaskResult::Stopped,
            Some(task::Cause::Lost(detail)) => agent::TaskResult::Unknown(detail.clone()),
            Some(task::Cause::Broken) | None => agent::TaskResult::Failed(self.find_failure()),
        }
    }

    fn done_result(&self) -> agent::TaskResult {
        match self.tasks.first() {
            Some(task::Stage::Ended(task::TaskEnd::Done(meta))) if self.prepare.first_task == 0 => {
                agent::TaskResult::Done(Some(meta.clone()))
            }
            _ => agent::TaskResult::Done(None),
        }
    }

    fn find_gone(&self) -> Option<String> {
        self.tasks.iter().find_map(|task| match task {
            task::Stage::Ended(task::TaskEnd::Gone(detail)) => Some(detail.clone()),
            _ => None,
        })
    }

    fn find_failure(&self) -> String {
        let found = self.tasks.iter().find_map(|task| match task {
            task::Stage::Ended(task::TaskEnd::Failed(detail)) | task::Stage::Refused(detail) => {
                Some(detail.clone())
            }
            _ => None,
        });
        found.unwrap_or_else(|| "the backend server stopped the task".to_owned())
    }

    /// Handles the outcome of fetching the answer.
    pub fn fetched(&mut self, now: time::Tick, outcome: task::FetchOutcome, out: &mut Out) {
        if self.phase != task::Phase::Fetching {
            return;
        }
        let result = match outcome {
            task::FetchOutcome::Complete(meta) => agent::TaskResult::Done(Some(meta)),
            task::FetchOutcome::Invalid(detail) => agent::TaskResult::Failed(detail),
            task::FetchOutcome::Lost(detail) => agent::TaskResult::Unknown(detail),
        };
        self.end(now, result, out);
    }

    fn end(&mut self, now: time::Tick, result: agent::TaskResult, out: &mut Out) {
        out.push(step::Output::AttemptEnded { attempt: self.attempt, label: label(&result) });
        self.phase = task::Phase::Ended(result);
        self.report(now, out);
    }

    /// Reports the end to the leader, after the answer's bytes if the attempt has an answer.
    pub fn report(&mut self, now: time::Tick, out: &mut Out) {
        let task::Phase::Ended(result) = &self.phase else { return };
        self.last_activity = now;
        self.reports += 1;
        let attempt = self.attempt;
        out.push(match result {
            agent::TaskResult::Done(Some(meta)) => {
                step::Output::Deliver { attempt, meta: meta.clone() }
            }
            result => step::Output::Send(agent::ClientMessage::Ended {
                attempt: attempt.into(),
                result: result.clone(),
            }),
        });
    }
}

/// The label of a result in logs and metrics.
fn label(result: &agent::TaskResult) -> &'static str {
    match result {
        agent::TaskResult::Done(_) => "done",
        agent::TaskResult::Failed(_) => "failed",
        agent::TaskResult::Stopped => "stopped",
        agent::TaskResult::NotStarted => "not-started",
        agent::TaskResult::Unknown(_) => "unknown",
    }
}
