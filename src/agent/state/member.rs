//! One member of a gang: the tasks of one attempt on this worker.

use std::rc;

use crate::agent::contract;
use crate::agent::state::Output;
use crate::core::ids;
use crate::core::time;
use crate::macros;
use crate::wire::agent;
use crate::wire::common;

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

macros::plain! {
    /// What became of the order to start one task.
    pub enum Begun {
        /// The backend server runs it.
        Accepted,
        /// It was not started, and this order will not start it.
        Refused(String),
        /// The order may or may not have arrived.
        Unknown(String),
    }

    /// What the backend server says of one task.
    pub enum Seen {
        /// It runs.
        Running,
        /// It has ended.
        Ended(TaskEnd),
        /// The backend server did not answer, or answered about another task.
        Unreachable(String),
    }

    /// How one task ended.
    pub enum TaskEnd {
        /// Well, with this answer.
        Done(common::AnswerMeta),
        /// Badly.
        Failed(String),
        /// It was stopped.
        Stopped,
        /// The backend server knows nothing of it, or must have stopped it under its lease.
        Gone(String),
    }

    /// Why a member's tasks are stopped.
    pub enum Cause {
        /// Control ordered it, or the agent's planned stop did.
        Ordered,
        /// The lease ended or the backend server is out of reach.
        Lost(String),
        /// A task failed or was refused, so that the others are of no use.
        Broken,
    }

    /// Where one task stands.
    enum Task {
        /// The order to start it is under way.
        Beginning,
        /// The backend server has taken it, or may have.
        Running {
            /// Since when it has been out of reach.
            silent: Option<time::Tick>,
        },
        /// It was not started, and never will be.
        Refused(String),
        /// It has ended.
        Ended(TaskEnd),
    }

    /// Where a member stands.
    pub enum Phase {
        /// Its tasks have their room; nothing is started.
        Prepared,
        /// Its tasks are starting, running or stopping.
        Active,
        /// All tasks ended well; the answer is being fetched.
        Fetching,
        /// Nothing of it runs here any more.
        Ended(agent::TaskResult),
    }

    /// An order to stop that is being carried out.
    struct Halt {
        cause: Cause,
        since: time::Tick,
        /// When the time to checkpoint is over.
        until: time::Tick,
        /// When the order was last given to the backend server.
        posted: Option<time::Tick>,
    }
}

impl TaskEnd {
    /// Why the other tasks here are stopped after this end; none if they may go on.
    fn cause(&self) -> Option<Cause> {
        match self {
            TaskEnd::Done(_) => None,
            TaskEnd::Failed(_) => Some(Cause::Broken),
            TaskEnd::Stopped => {
                let detail = "the backend server stopped the task without an order";
                Some(Cause::Lost(detail.to_owned()))
            }
            TaskEnd::Gone(detail) => Some(Cause::Lost(detail.clone())),
        }
    }
}

/// The tasks of one attempt on this worker.
pub struct Member {
    attempt: ids::AttemptKey,
    prepare: rc::Rc<agent::Prepare>,
    phase: Phase,
    tasks: Vec<Task>,
    halt: Option<Halt>,
    /// Why nobody can tell what became of a task.
    doubt: Option<String>,
    /// When the preparation, or the end, was last told.
    told: time::Tick,
    /// How often the end was told.
    reports: u32,
}

type Out = Vec<Output>;

impl Member {
    /// Keeps room for the tasks.
    pub fn new(now: time::Tick, prepare: agent::Prepare) -> Self {
        Self {
            attempt: prepare.attempt.clone().into(),
            prepare: rc::Rc::new(prepare),
            phase: Phase::Prepared,
            tasks: Vec::new(),
            halt: None,
            doubt: None,
            told: now,
            reports: 0,
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// The preparation.
    pub fn prepare(&self) -> &agent::Prepare {
        &self.prepare
    }

    /// Whether its tasks take up room, now or as promised.
    pub fn occupies(&self) -> bool {
        matches!(self.phase, Phase::Prepared | Phase::Active)
    }

    /// Whether its tasks may be running at the backend server.
    pub fn active(&self) -> bool {
        self.phase == Phase::Active
    }

    /// Whether a stop has gone unconfirmed for longer than `limit`.
    pub fn overdue(&self, now: time::Tick, limit: time::Millis) -> bool {
        let late = |halt: &Halt| now >= halt.until + limit;
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
        let range = self.prepare.first..self.prepare.first + self.prepare.tasks;
        range.map(move |index| contract::TaskKey { attempt, index })
    }

    /// Orders the start of all tasks, none of them later than `until`.
    pub fn begin(&mut self, until: time::Tick, out: &mut Out) {
        self.phase = Phase::Active;
        for task in self.keys() {
            self.tasks.push(Task::Beginning);
            out.push(Output::Begin { task, prepare: self.prepare.clone(), until });
        }
    }

    /// Whether all tasks were taken by the backend server.
    pub fn started(&self) -> bool {
        let taken = |task: &Task| matches!(task, Task::Running { .. } | Task::Ended(_));
        match self.phase {
            Phase::Active => self.doubt.is_none() && self.tasks.iter().all(taken),
            Phase::Fetching => true,
            Phase::Prepared | Phase::Ended(_) => false,
        }
    }

    fn task(&mut self, index: u32) -> Option<&mut Task> {
        let index = index.checked_sub(self.prepare.first)?;
        self.tasks.get_mut(index as usize)
    }

    fn key(&self, index: u32) -> contract::TaskKey {
        contract::TaskKey { attempt: self.attempt, index }
    }

    /// Takes what became of the order to start a task.
    pub fn begun(&mut self, now: time::Tick, index: u32, begun: Begun, out: &mut Out) {
        let key = self.key(index);
        let halted = self.halt.is_some();
        let Some(task) = self.task(index) else { return };
        if *task != Task::Beginning {
            return;
        }
        match begun {
            Begun::Accepted => *task = Task::Running { silent: None },
            Begun::Refused(detail) => {
                *task = Task::Refused(detail);
                self.halt(now, Cause::Broken, time::Millis(0), out);
            }
            Begun::Unknown(detail) => {
                *task = Task::Running { silent: None };
                self.doubt(detail);
                self.halt(now, Cause::Broken, time::Millis(0), out);
            }
        }
        if matches!(self.task(index), Some(Task::Running { .. })) {
            out.push(Output::Watch { task: key, pause: time::Millis(0) });
        }
        if !halted && self.started() {
            out.push(Output::Send(agent::Up::Started { attempt: self.attempt.into() }));
        }
        self.settle(now, out);
    }

    /// Takes what the backend server says of a task.
    pub fn watched(&mut self, now: time::Tick, index: u32, seen: Seen, out: &mut Out) {
        let key = self.key(index);
        let Some(task) = self.task(index) else { return };
        let Task::Running { silent } = task else { return };
        match seen {
            Seen::Running => {
                *silent = None;
                out.push(Output::Watch { task: key, pause: time::Millis(0) });
            }
            Seen::Unreachable(detail) => {
                let since = *silent.get_or_insert(now);
                out.push(Output::Watch { task: key, pause: UNREACHABLE_PAUSE });
                if now - since >= UNREACHABLE_LIMIT {
                    self.doubt(detail);
                    self.halt(now, Cause::Broken, time::Millis(0), out);
                }
            }
            Seen::Ended(end) => {
                let cause = end.cause();
                *task = Task::Ended(end);
                if let Some(cause) = cause {
                    self.halt(now, cause, time::Millis(0), out);
                }
                self.settle(now, out);
            }
        }
    }

    fn doubt(&mut self, detail: String) {
        self.doubt.get_or_insert(detail);
    }

    /// Stops what is left, after `grace` to checkpoint. The first cause stays; a shorter grace wins.
    pub fn halt(&mut self, now: time::Tick, cause: Cause, grace: time::Millis, out: &mut Out) {
        let until = now + grace;
        match &mut self.halt {
            Some(halt) => halt.until = halt.until.min(until),
            None => {
                self.halt = Some(Halt { cause, since: now, until, posted: None });
                if grace > time::Millis(0) {
                    self.checkpoint(grace, out);
                }
            }
        }
        match self.phase {
            Phase::Prepared => self.end(now, agent::TaskResult::NotStarted, out),
            Phase::Active | Phase::Fetching => self.press(now, out),
            Phase::Ended(_) => {}
        }
    }

    fn checkpoint(&self, grace: time::Millis, out: &mut Out) {
        for (task, key) in self.tasks.iter().zip(self.keys()) {
            if matches!(task, Task::Running { .. }) {
                out.push(Output::Checkpoint { task: key, grace });
            }
        }
    }

    /// Holds the running tasks to a share of their speed.
    pub fn throttle(&self, percent: u32, out: &mut Out) {
        for (task, key) in self.tasks.iter().zip(self.keys()) {
            if matches!(task, Task::Running { .. }) {
                out.push(Output::Throttle { task: key, percent });
            }
        }
    }

    /// Gives the order to stop, again and again, once the time to checkpoint is over.
    pub fn press(&mut self, now: time::Tick, out: &mut Out) {
        let Some(halt) = &mut self.halt else { return };
        if now < halt.until {
            return;
        }
        if self.phase == Phase::Fetching {
            // The tasks have ended already; an order gives up the answer, nothing else does.
            if halt.cause == Cause::Ordered {
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
            if matches!(task, Task::Beginning | Task::Running { .. }) {
                out.push(Output::Stop { task: key });
            }
        }
    }

    /// Takes tasks whose stop nobody confirmed as gone, once the backend server's own lease, which
    /// it holds until `granted` at the latest, has made it stop them.
    pub fn abandon(&mut self, now: time::Tick, granted: time::Tick, out: &mut Out) {
        let Some(halt) = &self.halt else { return };
        let over = now >= granted + BACKEND_MARGIN && now >= halt.since + BACKEND_MARGIN;
        if !over || !self.active() {
            return;
        }
        let detail = "the backend server did not confirm the stop before its lease ended";
        for task in &mut self.tasks {
            if matches!(task, Task::Beginning | Task::Running { .. }) {
                *task = Task::Ended(TaskEnd::Gone(detail.to_owned()));
            }
        }
        self.settle(now, out);
    }

    /// Goes on once every task has ended.
    fn settle(&mut self, now: time::Tick, out: &mut Out) {
        let open = |task: &Task| matches!(task, Task::Beginning | Task::Running { .. });
        if !self.active() || self.tasks.iter().any(open) {
            return;
        }
        let result = self.result();
        let agent::TaskResult::Done(Some(meta)) = &result else {
            self.end(now, result, out);
            return;
        };
        self.phase = Phase::Fetching;
        out.push(Output::Fetch {
            task: self.key(0),
            meta: meta.clone(),
            limit: self.prepare.answer_limit,
        });
        self.press(now, out);
    }

    /// How the tasks ended, taken together.
    fn result(&self) -> agent::TaskResult {
        let refused = |task: &Task| matches!(task, Task::Refused(_));
        if self.tasks.iter().all(refused) && self.doubt.is_none() {
            return agent::TaskResult::NotStarted;
        }
        if self.tasks.iter().all(|task| matches!(task, Task::Ended(TaskEnd::Done(_)))) {
            return self.well();
        }
        if let Some(detail) = self.doubt.clone().or_else(|| self.find_gone()) {
            return agent::TaskResult::Unknown(detail);
        }
        match self.halt.as_ref().map(|halt| &halt.cause) {
            Some(Cause::Ordered) => agent::TaskResult::Stopped,
            Some(Cause::Lost(detail)) => agent::TaskResult::Unknown(detail.clone()),
            Some(Cause::Broken) | None => agent::TaskResult::Failed(self.find_failure()),
        }
    }

    fn well(&self) -> agent::TaskResult {
        match self.tasks.first() {
            Some(Task::Ended(TaskEnd::Done(meta))) if self.prepare.first == 0 => {
                agent::TaskResult::Done(Some(meta.clone()))
            }
            _ => agent::TaskResult::Done(None),
        }
    }

    fn find_gone(&self) -> Option<String> {
        self.tasks.iter().find_map(|task| match task {
            Task::Ended(TaskEnd::Gone(detail)) => Some(detail.clone()),
            _ => None,
        })
    }

    fn find_failure(&self) -> String {
        let found = self.tasks.iter().find_map(|task| match task {
            Task::Ended(TaskEnd::Failed(detail)) | Task::Refused(detail) => Some(detail.clone()),
            _ => None,
        });
        found.unwrap_or_else(|| "the backend server stopped the task".to_owned())
    }

    /// Takes the outcome of fetching the answer.
    pub fn fetched(&mut self, now: time::Tick, fetched: Fetched, out: &mut Out) {
        if self.phase != Phase::Fetching {
            return;
        }
        let result = match fetched {
            Fetched::Whole(meta) => agent::TaskResult::Done(Some(meta)),
            Fetched::Bad(detail) => agent::TaskResult::Failed(detail),
            Fetched::Lost(detail) => agent::TaskResult::Unknown(detail),
        };
        self.end(now, result, out);
    }

    fn end(&mut self, now: time::Tick, result: agent::TaskResult, out: &mut Out) {
        self.phase = Phase::Ended(result);
        self.report(now, out);
    }

    /// Tells how it ended, the answer's bytes first.
    pub fn report(&mut self, now: time::Tick, out: &mut Out) {
        let Phase::Ended(result) = &self.phase else { return };
        self.told = now;
        self.reports += 1;
        let attempt = self.attempt;
        out.push(match result {
            agent::TaskResult::Done(Some(meta)) => Output::Deliver { attempt, meta: meta.clone() },
            result => {
                Output::Send(agent::Up::Ended { attempt: attempt.into(), result: result.clone() })
            }
        });
    }
}

macros::plain! {
    /// What became of fetching an answer.
    pub enum Fetched {
        /// It is here, its length and checksum match.
        Whole(common::AnswerMeta),
        /// The backend server does not give the answer that it promised.
        Bad(String),
        /// The backend server can't be reached, or has lost the answer.
        Lost(String),
    }
}
