//! A simulated worker that behaves as backend servers do, with a checker over all workers.
//!
//! Its runs last at most as long as its lease, which is on its own clock. It numbers the ends of its
//! runs, refuses stale fencing tokens and tasks that do not fit, and can drop answers and carry out
//! orders late. It may restart under its name; the new incarnation has no state of the earlier one,
//! and carries out orders that were sent to that one.

use std::cell;
use std::collections::BTreeMap;
use std::rc;
use std::time;

use futures_util::future;
use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::workflow::model;
use hemlockcleat::runner::backend;
use hemlockcleat::runner::backend::CallError;
use hemlockcleat::runner::backend::PollError;

/// How long a run goes on after it was ordered to stop.
const STOP_DELAY: time::Duration = time::Duration::from_millis(100);

/// The delay of an order that is carried out late.
const LATE_DELAY: time::Duration = time::Duration::from_millis(900);

/// The delay of a stop at a worker that stops late.
const SLOW_STOP_DELAY: time::Duration = time::Duration::from_millis(400);

/// A time that no worker's clock reaches and that a JSON number can express.
const FAR_CLOCK_MS: u64 = (1 << 53) - 1;

/// Checks that no task runs twice at a time, or again after it is done.
#[derive(Default)]
pub struct Checker {
    /// The host on which each task runs.
    running: cell::RefCell<BTreeMap<model::TaskName, u32>>,
    /// Tasks that are done and whose ends were acknowledged.
    done: cell::RefCell<BTreeMap<model::TaskName, u32>>,
    /// Violations of the rules, which must not occur.
    pub violations: cell::RefCell<Vec<String>>,
    /// The total number of starts.
    pub starts: cell::Cell<usize>,
    workers: cell::RefCell<BTreeMap<u32, rc::Weak<Worker>>>,
}

impl Checker {
    fn started(&self, host: u32, task: &model::TaskName) {
        self.starts.set(self.starts.get() + 1);
        // A run that has ended on another worker is recorded only when that worker advances.
        let other = self.running.borrow().get(task).copied();
        let other = other.and_then(|other| self.workers.borrow().get(&other)?.upgrade());
        if let Some(other) = other {
            other.advance();
        }
        if let Some(other) = self.running.borrow_mut().insert(task.clone(), host) {
            self.violations.borrow_mut().push(format!("{task} runs at {other} and {host}"));
        }
        if self.done.borrow().contains_key(task) {
            self.violations.borrow_mut().push(format!("{task} started after it was done"));
        }
    }

    fn ended(&self, task: &model::TaskName) {
        self.running.borrow_mut().remove(task);
    }
}

/// The number of runs that a worker has room for unless told otherwise.
const ROOM: u32 = 8;

/// The longest lease that a worker accepts, in milliseconds.
pub const MAX_LEASE_MS: u64 = 4000;

/// A call that gets no answer and is carried out later.
enum Deferred {
    Poll(backend::Poll),
    Start(backend::Launch),
}

struct Run {
    number: u32,
    ends: time::Instant,
    slots: u32,
    /// Whether the run was ordered to stop.
    stopping: bool,
}

/// A simulated worker.
pub struct Worker {
    pub host: u32,
    incarnation_start: cell::Cell<u64>,
    checker: rc::Rc<Checker>,
    clock_start: cell::Cell<time::Instant>,
    /// How long each run takes.
    pub run_time: cell::Cell<time::Duration>,
    /// How many runs it has room for.
    pub room: cell::Cell<u32>,
    runs: cell::RefCell<BTreeMap<model::TaskName, Run>>,
    /// The highest run number of each task that has ended on this worker.
    last_ended: cell::RefCell<BTreeMap<model::TaskName, u32>>,
    finished: cell::RefCell<Vec<order::Finished>>,
    last_number: cell::Cell<u64>,
    fence: cell::Cell<u64>,
    lease_end: cell::Cell<u64>,
    /// One order in this many gets no answer and is carried out late; 0 for none.
    pub late_every: cell::Cell<u32>,
    /// Whether starts and stops are dropped without an answer.
    pub drops_orders: cell::Cell<bool>,
    /// The number of stops that were dropped.
    pub lost_stops: cell::Cell<u32>,
    /// Whether starts are carried out without an answer.
    pub drops_start_replies: cell::Cell<bool>,
    /// Whether runs go on for a while after their stop was answered.
    pub stops_late: cell::Cell<bool>,
    /// Whether its lists have a row that can't be attributed to a run.
    pub unreadable_row: cell::Cell<bool>,
    /// Whether none of the rows of its running tasks can be attributed to a run.
    pub hides_runs: cell::Cell<bool>,
    /// Whether the next listing carries a clock that is far ahead.
    pub clock_jumps: cell::Cell<bool>,
    orders: cell::Cell<u32>,
    /// Whether polls and starts get no answer and are deferred until [`Worker::execute_deferred`].
    pub defers: cell::Cell<bool>,
    deferred: cell::RefCell<Vec<Deferred>>,
}

impl Worker {
    pub fn new(
        host: u32,
        incarnation_start: u64,
        run_time: time::Duration,
        checker: rc::Rc<Checker>,
    ) -> rc::Rc<Self> {
        let worker = rc::Rc::new(Self {
            host,
            incarnation_start: cell::Cell::new(incarnation_start),
            checker: checker.clone(),
            clock_start: cell::Cell::new(time::Instant::now()),
            run_time: cell::Cell::new(run_time),
            room: cell::Cell::new(ROOM),
            runs: cell::RefCell::default(),
            last_ended: cell::RefCell::default(),
            finished: cell::RefCell::default(),
            last_number: cell::Cell::new(0),
            fence: cell::Cell::new(0),
            lease_end: cell::Cell::new(0),
            late_every: cell::Cell::new(0),
            drops_orders: cell::Cell::new(false),
            lost_stops: cell::Cell::new(0),
            drops_start_replies: cell::Cell::new(false),
            stops_late: cell::Cell::new(false),
            unreadable_row: cell::Cell::new(false),
            hides_runs: cell::Cell::new(false),
            clock_jumps: cell::Cell::new(false),
            orders: cell::Cell::new(0),
            defers: cell::Cell::new(false),
            deferred: cell::RefCell::default(),
        });
        checker.workers.borrow_mut().insert(host, rc::Rc::downgrade(&worker));
        worker
    }

    /// Returns the start of the current incarnation.
    pub fn incarnation_start(&self) -> u64 {
        self.incarnation_start.get()
    }

    /// Returns whether a run is in progress.
    pub fn is_busy(&self) -> bool {
        self.advance();
        !self.runs.borrow().is_empty()
    }

    /// Returns the number of ends that are not acknowledged yet.
    pub fn pending_ends(&self) -> usize {
        self.advance();
        self.finished.borrow().len()
    }

    /// Lets all runs end as done.
    pub fn complete_runs(&self) {
        let now = time::Instant::now();
        self.runs.borrow_mut().values_mut().for_each(|run| run.ends = now);
        self.advance();
    }

    /// Returns whether one of the unacknowledged ends is that of a stopped run.
    pub fn has_stopped(&self) -> bool {
        self.advance();
        self.finished.borrow().iter().any(|end| end.reason == model::EndReason::Stopped)
    }

    /// Returns the number of deferred starts.
    pub fn deferred_starts(&self) -> usize {
        self.deferred
            .borrow()
            .iter()
            .filter(|deferred| matches!(deferred, Deferred::Start(_)))
            .count()
    }

    /// Returns the number of deferred polls that extend the lease.
    pub fn deferred_polls(&self) -> usize {
        let has_lease =
            |call: &&Deferred| matches!(call, Deferred::Poll(poll) if poll.deadline.is_some());
        self.deferred.borrow().iter().filter(has_lease).count()
    }

    /// Carries out the deferred calls.
    pub fn execute_deferred(&self) {
        for deferred in self.deferred.take() {
            match deferred {
                Deferred::Poll(poll) => {
                    let _ = self.renew(&poll);
                }
                Deferred::Start(launch) => {
                    self.launch(&launch);
                }
            }
        }
    }

    /// Crashes and restarts under its name, as another incarnation without any state.
    pub fn restart(&self, incarnation_start: u64) {
        self.crash();
        self.incarnation_start.set(incarnation_start);
        self.clock_start.set(time::Instant::now());
        self.last_ended.borrow_mut().clear();
        self.last_number.set(0);
        self.fence.set(0);
        self.lease_end.set(0);
    }

    /// Returns the highest fencing token that it has received.
    pub fn fence(&self) -> u64 {
        self.fence.get()
    }

    fn clock(&self) -> u64 {
        self.clock_start.get().elapsed().as_millis() as u64
    }

    fn extend(&self, lease_end: u64) {
        let lease_end = lease_end.min(self.clock() + MAX_LEASE_MS);
        self.lease_end.set(self.lease_end.get().max(lease_end));
    }

    fn renew(&self, poll: &backend::Poll) -> Result<(), PollError> {
        self.advance();
        if self.is_fenced(poll.fence) {
            return Err(PollError::Unanswered("fence".to_owned()));
        }
        self.extend(poll.deadline.unwrap_or(0));
        self.acknowledge(poll.acknowledged);
        Ok(())
    }

    /// Ends the runs that are done or whose lease has expired.
    fn advance(&self) {
        let now = time::Instant::now();
        let lapsed = self.clock() > self.lease_end.get();
        let has_ended = |run: &Run| lapsed || run.ends <= now;
        let ended: Vec<_> =
            self.runs.borrow_mut().extract_if(.., |_, run| has_ended(run)).collect();
        for (task, run) in ended {
            let reason = match (run.ends <= now, run.stopping) {
                (false, _) => model::EndReason::Lapsed,
                (true, true) => model::EndReason::Stopped,
                (true, false) => model::EndReason::Done,
            };
            self.end_run(task, run.number, reason);
        }
    }

    fn end_run(&self, task: model::TaskName, run: u32, reason: model::EndReason) {
        self.checker.ended(&task);
        let last_ended = &mut *self.last_ended.borrow_mut();
        let highest = last_ended.entry(task.clone()).or_default();
        *highest = run.max(*highest);
        self.last_number.set(self.last_number.get() + 1);
        let number = self.last_number.get();
        let ended = order::Finished { number, task, run, reason, checkpoint: String::new() };
        self.finished.borrow_mut().push(ended);
    }

    /// Ends the process: all runs end, and their ends are never reported.
    pub fn crash(&self) {
        let runs = self.runs.take();
        for task in runs.keys() {
            self.checker.ended(task);
        }
        self.finished.borrow_mut().clear();
        self.fence.set(u64::MAX);
    }

    fn is_fenced(&self, fence: u64) -> bool {
        let low = fence < self.fence.get();
        self.fence.set(self.fence.get().max(fence));
        low
    }

    /// Returns whether this order gets no answer and is carried out late.
    fn delays_order(&self) -> bool {
        self.orders.set(self.orders.get() + 1);
        let every = self.late_every.get();
        every > 0 && self.orders.get().is_multiple_of(every)
    }

    fn launch(&self, launch: &backend::Launch) -> backend::LaunchReply {
        self.advance();
        let refused = |reason: &str| backend::LaunchReply::Refused(reason.to_owned());
        if self.is_fenced(launch.fence) {
            return refused("fence");
        }
        if launch.deadline < self.clock() {
            return refused("late");
        }
        self.extend(launch.deadline);
        let running = self.runs.borrow().get(&launch.task).map(|run| run.number);
        if running == Some(launch.run) {
            return backend::LaunchReply::Running;
        }
        let last_ended = self.last_ended.borrow().get(&launch.task).copied().unwrap_or(0);
        if running.is_some() || launch.run <= last_ended {
            return refused("old");
        }
        let used_slots: u32 = self.runs.borrow().values().map(|run| run.slots).sum();
        if used_slots + 1 > self.room.get() {
            return refused("room");
        }
        self.checker.started(self.host, &launch.task);
        let ends = time::Instant::now() + self.run_time.get();
        let run = Run { number: launch.run, ends, slots: 1, stopping: false };
        self.runs.borrow_mut().insert(launch.task.clone(), run);
        backend::LaunchReply::Running
    }

    fn stop_run(&self, task: &model::TaskName, run: u32) {
        self.advance();
        let soon = time::Instant::now() + STOP_DELAY;
        match self.runs.borrow_mut().get_mut(task) {
            Some(known) if known.number <= run => {
                known.stopping |= known.ends > soon;
                known.ends = known.ends.min(soon);
            }
            _ => {
                let last_ended = &mut *self.last_ended.borrow_mut();
                let highest = last_ended.entry(task.clone()).or_default();
                *highest = run.max(*highest);
            }
        }
    }

    fn acknowledge(&self, number: u64) {
        self.finished.borrow_mut().retain(|ended| {
            if ended.number <= number && ended.reason == model::EndReason::Done {
                self.checker.done.borrow_mut().insert(ended.task.clone(), ended.run);
            }
            ended.number > number
        });
    }

    fn listing(&self) -> backend::Listing {
        self.advance();
        let runs = self.runs.borrow();
        let ends = self.finished.borrow();
        let shown = runs.iter().filter(|_| !self.hides_runs.get());
        let running = shown.map(|(task, run)| order::Running {
            task: task.clone(),
            run: run.number,
            checkpoint: String::new(),
            percent: 50,
        });
        backend::Listing {
            clock: if self.clock_jumps.take() { FAR_CLOCK_MS } else { self.clock() },
            started: Some(self.incarnation_start.get()),
            running: running.collect(),
            finished: ends.iter().take(order::MAX_LISTED_ENDS).cloned().collect(),
            partial: self.unreadable_row.get() || self.hides_runs.get(),
        }
    }
}

/// The client for a worker.
pub struct Client(pub rc::Rc<Worker>);

impl backend::Backend for Client {
    fn poll(
        &self,
        poll: backend::Poll,
    ) -> future::LocalBoxFuture<'static, Result<backend::Listing, PollError>> {
        let worker = self.0.clone();
        Box::pin(async move {
            if worker.defers.get() {
                worker.deferred.borrow_mut().push(Deferred::Poll(poll));
                return Err(PollError::Unanswered("lost".to_owned()));
            }
            worker.renew(&poll)?;
            let give_up = time::Instant::now() + time::Duration::from_millis(poll.wait);
            let no_ends = || {
                worker.advance();
                worker.finished.borrow().is_empty()
            };
            while time::Instant::now() < give_up && no_ends() {
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
            Ok(worker.listing())
        })
    }

    fn start(
        &self,
        launch: backend::Launch,
    ) -> future::LocalBoxFuture<'static, Result<backend::LaunchReply, CallError>> {
        let worker = self.0.clone();
        Box::pin(async move {
            if worker.drops_orders.get() {
                return Err(CallError("lost".to_owned()));
            }
            if worker.drops_start_replies.get() {
                worker.launch(&launch);
                return Err(CallError("lost".to_owned()));
            }
            if worker.defers.get() {
                worker.deferred.borrow_mut().push(Deferred::Start(launch));
                return Err(CallError("lost".to_owned()));
            }
            if !worker.delays_order() {
                return Ok(worker.launch(&launch));
            }
            actix_rt::spawn(async move {
                tokio::time::sleep(LATE_DELAY).await;
                worker.launch(&launch);
            });
            Err(CallError("lost".to_owned()))
        })
    }

    fn stop(
        &self,
        task: model::TaskName,
        run: u32,
        fence: u64,
    ) -> future::LocalBoxFuture<'static, Result<(), CallError>> {
        let worker = self.0.clone();
        Box::pin(async move {
            if worker.drops_orders.get() || worker.defers.get() {
                worker.lost_stops.set(worker.lost_stops.get() + 1);
                return Err(CallError("lost".to_owned()));
            }
            if worker.is_fenced(fence) {
                return Err(CallError("fence".to_owned()));
            }
            if worker.stops_late.get() {
                actix_rt::spawn(async move {
                    tokio::time::sleep(SLOW_STOP_DELAY).await;
                    worker.stop_run(&task, run);
                });
            } else {
                worker.stop_run(&task, run);
            }
            Ok(())
        })
    }
}
