//! One member of a gang: the tasks of one attempt on this worker.

use std::rc;

use crate::agent::contract;
use crate::agent::state::step;
use crate::agent::state::task;
use crate::core::ids;
use crate::core::time;
use crate::wire::agent;

/// How long after an order to stop it is given again to a task that has not ended.
const STOP_RESEND: time::Millis = time::Millis(500);

/// How long after an end was told it is told again, at first.
const REPORT_RESEND: time::Millis = time::Millis::from_secs(3);

/// How often that span doubles at most.
const REPORT_DOUBLINGS: u32 = 5;

/// How long a running task may be out of reach before the agent gives its attempt up.
const UNREACHABLE_LIMIT: time::Millis = time::Millis::from_secs(5);

/// How long the agent waits before it asks again after a task that was out of reach.
const UNREACHABLE_PAUSE: time::Millis = time::Millis(200);

/// How long after the backend server's own lease its tasks are taken as gone.
const BACKEND_MARGIN: time::Millis = time::Millis(500);

/// The tasks of one attempt on this worker.
pub struct Member {
    attempt: ids::AttemptKey,
    prepare: rc::Rc<agent::Prepare>,
    phase: task::Phase,
    tasks: Vec<task::Stage>,
    halt: Option<task::Halt>,
    /// Why nobody can tell what became of a task.
    doubt: Option<String>,
    /// When the preparation, or the end, was last told.
    told: time::Tick,
    /// How often the end was told.
    reports: u32,
}

type Out = Vec<step::Output>;

impl Member {
    /// Keeps room for the tasks.
    pub fn new(now: time::Tick, prepare: agent::Prepare) -> Self {
        Self {
            attempt: prepare.attempt.clone().into(),
            prepare: rc::Rc::new(prepare),
            phase: task::Phase::Prepared,
            tasks: Vec::new(),
            halt: None,
            doubt: None,
            told: now,
            reports: 0,
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> &task::Phase {
        &self.phase
    }

    /// The preparation.
    pub fn prepare(&self) -> &agent::Prepare {
        &self.prepare
    }

    /// Whether its tasks take up room, now or as promised.
    pub fn occupies(&self) -> bool {
        matches!(self.phase, task::Phase::Prepared | task::Phase::Active)
    }

    /// Whether its tasks may be running at the backend server.
    pub fn active(&self) -> bool {
        self.phase == task::Phase::Active
    }

    /// Whether a stop has gone unconfirmed for longer than `limit`.
    pub fn overdue(&self, now: time::Tick, limit: time::Millis) -> bool {
        let late = |halt: &task::Halt| now >= halt.until + limit;
        self.active() && self.halt.as_ref().is_some_and(late)
    }

    /// When the preparation was last asked for.
    pub fn told(&self) -> time::Tick {
        self.told
    }

    /// When the end is to be told again: after a span that doubles each time.
    pub fn due(&self) -> time::Tick {
        let doublings = self.reports.clamp(1, REPORT_DOUBLINGS) - 1;
        self.told + time::Millis(REPORT_RESEND.0 << doublings)
    }

    /// Notes that the preparation was asked for again, or that the answer was sent.
    pub fn touch(&mut self, now: time::Tick) {
        self.told = now;
    }

    /// Its tasks, in order.
    pub fn keys(&self) -> impl Iterator<Item = contract::TaskKey> + use<> {
        let attempt = self.attempt;
        let range = self.prepare.first_task..self.prepare.first_task + self.prepare.tasks;
        range.map(move |index| contract::TaskKey { attempt, index })
    }

    /// Orders the start of all tasks under this lease.
    pub fn begin(&mut self, lease: step::Lease, out: &mut Out) {
        self.phase = task::Phase::Active;
        for task in self.keys() {
            self.tasks.push(task::Stage::Beginning);
            out.push(step::Output::Start { task, prepare: self.prepare.clone(), lease });
        }
    }

    /// Whether all tasks were taken by the backend server.
    pub fn started(&self) -> bool {
        let taken = |task: &task::Stage| {
            matches!(task, task::Stage::Running { .. } | task::Stage::Ended(_))
        };
        match self.phase {
            task::Phase::Active => self.doubt.is_none() && self.tasks.iter().all(taken),
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

    /// Takes what became of the order to start a task.
    pub fn begun(&mut self, now: time::Tick, index: u32, begun: task::StartOutcome, out: &mut Out) {
        let key = self.key(index);
        let halted = self.halt.is_some();
        let Some(task) = self.task(index) else { return };
        if *task != task::Stage::Beginning {
            return;
        }
        match begun {
            task::StartOutcome::Accepted => {
                *task = task::Stage::Running { silent: None, sure: true }
            }
            task::StartOutcome::Refused(detail) => {
                *task = task::Stage::Refused(detail);
                self.halt(now, task::Cause::Broken, time::Millis(0), out);
            }
            task::StartOutcome::Unknown(detail) => {
                *task = task::Stage::Running { silent: None, sure: false };
                self.doubt(detail);
                self.halt(now, task::Cause::Broken, time::Millis(0), out);
            }
        }
        if self.task(index).is_some_and(|task| task.is_running()) {
            out.push(step::Output::Watch { task: key, pause: time::Millis(0) });
        }
        if !halted && self.started() {
            out.push(step::Output::Send(agent::ClientMessage::Started {
                attempt: self.attempt.into(),
            }));
        }
        self.settle(now, out);
    }

    /// Takes what the backend server says of a task.
    pub fn watched(&mut self, now: time::Tick, index: u32, seen: task::TaskStatus, out: &mut Out) {
        let key = self.key(index);
        let Some(task) = self.task(index) else { return };
        let task::Stage::Running { silent, sure } = task else { return };
        match seen {
            task::TaskStatus::Running => {
                *silent = None;
                out.push(step::Output::Watch { task: key, pause: time::Millis(0) });
            }
            task::TaskStatus::Unreachable(detail) => {
                let since = *silent.get_or_insert(now);
                out.push(step::Output::Watch { task: key, pause: UNREACHABLE_PAUSE });
                if now - since >= UNREACHABLE_LIMIT {
                    self.doubt(detail);
                    self.halt(now, task::Cause::Broken, time::Millis(0), out);
                }
            }
            task::TaskStatus::Ended(task::TaskEnd::Gone(_)) if !*sure => {
                out.push(step::Output::Watch { task: key, pause: UNREACHABLE_PAUSE });
            }
            task::TaskStatus::Ended(end) => self.task_ended(now, index, end, out),
        }
    }

    /// Takes the backend server's answer to the order to stop a task.
    pub fn stopped(&mut self, now: time::Tick, index: u32, seen: task::TaskStatus, out: &mut Out) {
        let running = self.task(index).is_some_and(|task| task.is_running());
        if let task::TaskStatus::Ended(end) = seen
            && running
        {
            self.task_ended(now, index, end, out);
        }
    }

    fn task_ended(&mut self, now: time::Tick, index: u32, end: task::TaskEnd, out: &mut Out) {
        let cause = end.cause();
        if let Some(task) = self.task(index) {
            *task = task::Stage::Ended(end);
        }
        if let Some(cause) = cause {
            self.halt(now, cause, time::Millis(0), out);
        }
        self.settle(now, out);
    }

    fn doubt(&mut self, detail: String) {
        self.doubt.get_or_insert(detail);
    }

    /// Stops what is left, after `grace` to checkpoint. The first cause stays; a shorter grace wins.
    pub fn halt(
        &mut self,
        now: time::Tick,
        cause: task::Cause,
        grace: time::Millis,
        out: &mut Out,
    ) {
        let until = now + grace;
        match &mut self.halt {
            Some(halt) => halt.until = halt.until.min(until),
            None => {
                self.halt = Some(task::Halt { cause, since: now, until, posted: None });
                if grace > time::Millis(0) {
                    self.checkpoint(grace, out);
                }
            }
        }
        match self.phase {
            task::Phase::Prepared => self.end(now, agent::TaskResult::NotStarted, out),
            task::Phase::Active | task::Phase::Fetching => self.press(now, out),
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

    /// Holds the running tasks to a share of their speed.
    pub fn throttle(&self, percent: u32, out: &mut Out) {
        for (task, key) in self.tasks.iter().zip(self.keys()) {
            if task.is_running() {
                out.push(step::Output::Throttle { task: key, percent });
            }
        }
    }

    /// Gives the order to stop, again and again, once the time to checkpoint is over.
    pub fn press(&mut self, now: time::Tick, out: &mut Out) {
        let Some(halt) = &mut self.halt else { return };
        if now < halt.until {
            return;
        }
        if self.phase == task::Phase::Fetching {
            // The tasks have ended already; an order gives up the answer, nothing else does.
            if halt.cause == task::Cause::Ordered {
                self.end(now, agent::TaskResult::Stopped, out);
            }
            return;
        }
        let again = halt.posted.is_none_or(|posted| now - posted >= STOP_RESEND);
        if !again {
            return;
        }
        halt.posted = Some(now);
        for (task, key) in self.tasks.iter().zip(self.keys()) {
            if task.is_open() {
                out.push(step::Output::Stop { task: key });
            }
        }
    }

    /// Takes tasks whose stop nobody confirmed as gone, once the backend server's own lease, which
    /// it holds until `granted` at the latest, has made it stop them. Returns whether it did.
    pub fn abandon(&mut self, now: time::Tick, granted: time::Tick, out: &mut Out) -> bool {
        let Some(halt) = &self.halt else { return false };
        let over = now >= granted + BACKEND_MARGIN && now >= halt.since + BACKEND_MARGIN;
        if !over || !self.active() {
            return false;
        }
        let detail = "the backend server did not confirm the stop before its lease ended";
        for task in &mut self.tasks {
            if task.is_open() {
                *task = task::Stage::Ended(task::TaskEnd::Gone(detail.to_owned()));
            }
        }
        self.settle(now, out);
        true
    }

    /// Goes on once every task has ended.
    fn settle(&mut self, now: time::Tick, out: &mut Out) {
        let open = |task: &task::Stage| task.is_open();
        if !self.active() || self.tasks.iter().any(open) {
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
        self.press(now, out);
    }

    /// How the tasks ended, taken together.
    fn result(&self) -> agent::TaskResult {
        let refused = |task: &task::Stage| matches!(task, task::Stage::Refused(_));
        if self.tasks.iter().all(refused) && self.doubt.is_none() {
            return agent::TaskResult::NotStarted;
        }
        if self.tasks.iter().all(|task| matches!(task, task::Stage::Ended(task::TaskEnd::Done(_))))
        {
            return self.well();
        }
        if let Some(detail) = self.doubt.clone().or_else(|| self.find_gone()) {
            return agent::TaskResult::Unknown(detail);
        }
        match self.halt.as_ref().map(|halt| &halt.cause) {
            Some(task::Cause::Ordered) => agent::TaskResult::Stopped,
            Some(task::Cause::Lost(detail)) => agent::TaskResult::Unknown(detail.clone()),
            Some(task::Cause::Broken) | None => agent::TaskResult::Failed(self.find_failure()),
        }
    }

    fn well(&self) -> agent::TaskResult {
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

    /// Takes the outcome of fetching the answer.
    pub fn fetched(&mut self, now: time::Tick, fetched: task::FetchOutcome, out: &mut Out) {
        if self.phase != task::Phase::Fetching {
            return;
        }
        let result = match fetched {
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

    /// Tells how it ended, the answer's bytes first.
    pub fn report(&mut self, now: time::Tick, out: &mut Out) {
        let task::Phase::Ended(result) = &self.phase else { return };
        self.told = now;
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

/// A result in a word, for logs and metrics.
fn label(result: &agent::TaskResult) -> &'static str {
    match result {
        agent::TaskResult::Done(_) => "done",
        agent::TaskResult::Failed(_) => "failed",
        agent::TaskResult::Stopped => "stopped",
        agent::TaskResult::NotStarted => "not-started",
        agent::TaskResult::Unknown(_) => "unknown",
    }
}
