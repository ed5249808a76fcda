//! A worker of workflows in memory, as backend servers behave, with a checker over all of them.
//!
//! It holds what runs under a lease on its own clock, numbers its ends, refuses fences that are too
//! low and what does not fit, and can lose answers and carry orders out late. It may start again
//! under its name: it then knows nothing of before, and takes what was sent to its earlier incarnation.

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
const STOP: time::Duration = time::Duration::from_millis(100);

/// How long an order is held back that is carried out late.
const LATE: time::Duration = time::Duration::from_millis(900);

/// How long a stop takes that takes its time.
const STOPPING: time::Duration = time::Duration::from_millis(400);

/// A clock that no worker has, and that can be told.
const FAR: u64 = (1 << 53) - 1;

/// What all workers have seen of a task.
#[derive(Default)]
pub struct Checker {
    /// Where each task runs now.
    running: cell::RefCell<BTreeMap<model::TaskName, u32>>,
    /// Tasks whose end was forgotten as done.
    done: cell::RefCell<BTreeMap<model::TaskName, u32>>,
    /// What was seen that must never happen.
    pub broken: cell::RefCell<Vec<String>>,
    /// Starts in all.
    pub starts: cell::Cell<usize>,
    workers: cell::RefCell<BTreeMap<u32, rc::Weak<Worker>>>,
}

impl Checker {
    fn started(&self, host: u32, task: &model::TaskName) {
        self.starts.set(self.starts.get() + 1);
        // What has ended elsewhere by itself counts as ended.
        let other = self.running.borrow().get(task).copied();
        let other = other.and_then(|other| self.workers.borrow().get(&other)?.upgrade());
        if let Some(other) = other {
            other.advance();
        }
        if let Some(other) = self.running.borrow_mut().insert(task.clone(), host) {
            self.broken.borrow_mut().push(format!("{task} runs at {other} and {host}"));
        }
        if self.done.borrow().contains_key(task) {
            self.broken.borrow_mut().push(format!("{task} started after it was done"));
        }
    }

    fn ended(&self, task: &model::TaskName) {
        self.running.borrow_mut().remove(task);
    }
}

/// The longest time for which a worker lets itself be held, in milliseconds.
pub const MAX_HOLD: u64 = 4000;

/// A call whose answer got lost, to be carried out later.
enum Kept {
    Poll(backend::Poll),
    Start(backend::Launch),
}

struct Run {
    number: u32,
    ends: time::Instant,
    room: u32,
    /// Whether it was ordered to stop.
    stopping: bool,
}

/// The state of one worker.
pub struct Worker {
    pub host: u32,
    born: cell::Cell<u64>,
    checker: rc::Rc<Checker>,
    started: cell::Cell<time::Instant>,
    /// How long each task takes.
    pub work: cell::Cell<time::Duration>,
    runs: cell::RefCell<BTreeMap<model::TaskName, Run>>,
    /// The highest run of each task that has ended here.
    past: cell::RefCell<BTreeMap<model::TaskName, u32>>,
    finished: cell::RefCell<Vec<order::Finished>>,
    numbers: cell::Cell<u64>,
    fence: cell::Cell<u64>,
    until: cell::Cell<u64>,
    /// Every so many orders, one gets no answer and is carried out late; 0 for none.
    pub late_every: cell::Cell<u32>,
    /// Whether starts and stops get lost, with their answers.
    pub mute: cell::Cell<bool>,
    /// Stops that got lost.
    pub lost_stops: cell::Cell<u32>,
    /// Whether starts are carried out and get no answer.
    pub unheard: cell::Cell<bool>,
    /// Whether runs go on for a while after their stop was answered.
    pub lingers: cell::Cell<bool>,
    /// Whether its lists have a row that names no run.
    pub odd: cell::Cell<bool>,
    /// Whether that is so of all rows of what runs.
    pub hides: cell::Cell<bool>,
    /// Whether the next list comes with a clock that is far ahead.
    pub leaps: cell::Cell<bool>,
    orders: cell::Cell<u32>,
    /// Whether looks and starts get no answer and are kept for [`Worker::carry_out`].
    pub keeps: cell::Cell<bool>,
    kept: cell::RefCell<Vec<Kept>>,
}

impl Worker {
    pub fn new(
        host: u32,
        born: u64,
        work: time::Duration,
        checker: rc::Rc<Checker>,
    ) -> rc::Rc<Self> {
        let worker = rc::Rc::new(Self {
            host,
            born: cell::Cell::new(born),
            checker: checker.clone(),
            started: cell::Cell::new(time::Instant::now()),
            work: cell::Cell::new(work),
            runs: cell::RefCell::default(),
            past: cell::RefCell::default(),
            finished: cell::RefCell::default(),
            numbers: cell::Cell::new(0),
            fence: cell::Cell::new(0),
            until: cell::Cell::new(0),
            late_every: cell::Cell::new(0),
            mute: cell::Cell::new(false),
            lost_stops: cell::Cell::new(0),
            unheard: cell::Cell::new(false),
            lingers: cell::Cell::new(false),
            odd: cell::Cell::new(false),
            hides: cell::Cell::new(false),
            leaps: cell::Cell::new(false),
            orders: cell::Cell::new(0),
            keeps: cell::Cell::new(false),
            kept: cell::RefCell::default(),
        });
        checker.workers.borrow_mut().insert(host, rc::Rc::downgrade(&worker));
        worker
    }

    /// When its present incarnation began.
    pub fn born(&self) -> u64 {
        self.born.get()
    }

    /// Whether anything runs there.
    pub fn is_busy(&self) -> bool {
        self.advance();
        !self.runs.borrow().is_empty()
    }

    /// How many ends wait to be taken note of.
    pub fn ends(&self) -> usize {
        self.advance();
        self.finished.borrow().len()
    }

    /// Whether one of the ends that wait is that of a run that was stopped.
    pub fn has_stopped(&self) -> bool {
        self.advance();
        self.finished.borrow().iter().any(|end| end.reason == model::EndReason::Stopped)
    }

    /// Starts that are kept to be carried out later.
    pub fn kept_starts(&self) -> usize {
        self.kept.borrow().iter().filter(|kept| matches!(kept, Kept::Start(_))).count()
    }

    /// Looks with a lease that are kept to be carried out later.
    pub fn kept_holds(&self) -> usize {
        let holds = |kept: &&Kept| matches!(kept, Kept::Poll(poll) if poll.deadline.is_some());
        self.kept.borrow().iter().filter(holds).count()
    }

    /// Carries out what was kept, late.
    pub fn carry_out(&self) {
        for kept in self.kept.take() {
            match kept {
                Kept::Poll(poll) => {
                    let _ = self.hold(&poll);
                }
                Kept::Start(launch) => {
                    self.launch(&launch);
                }
            }
        }
    }

    /// Crashes and starts again under its name, as another incarnation with empty hands.
    pub fn restart(&self, born: u64) {
        self.crash();
        self.born.set(born);
        self.started.set(time::Instant::now());
        self.past.borrow_mut().clear();
        self.numbers.set(0);
        self.fence.set(0);
        self.until.set(0);
    }

    /// The highest fence that it was shown.
    pub fn fence(&self) -> u64 {
        self.fence.get()
    }

    fn clock(&self) -> u64 {
        self.started.get().elapsed().as_millis() as u64
    }

    fn extend(&self, until: u64) {
        let until = until.min(self.clock() + MAX_HOLD);
        self.until.set(self.until.get().max(until));
    }

    fn hold(&self, poll: &backend::Poll) -> Result<(), PollError> {
        self.advance();
        if self.is_fenced(poll.fence) {
            return Err(PollError::Unanswered("fence".to_owned()));
        }
        self.extend(poll.deadline.unwrap_or(0));
        self.forget(poll.acknowledged);
        Ok(())
    }

    /// Ends what is done, or whose lease has run out.
    fn advance(&self) {
        let now = time::Instant::now();
        let lapsed = self.clock() > self.until.get();
        let over = |run: &Run| lapsed || run.ends <= now;
        let ended: Vec<_> = self.runs.borrow_mut().extract_if(.., |_, run| over(run)).collect();
        for (task, run) in ended {
            let reason = match (run.ends <= now, run.stopping) {
                (false, _) => model::EndReason::Lapsed,
                (true, true) => model::EndReason::Stopped,
                (true, false) => model::EndReason::Done,
            };
            self.end(task, run.number, reason);
        }
    }

    fn end(&self, task: model::TaskName, run: u32, reason: model::EndReason) {
        self.checker.ended(&task);
        let past = &mut *self.past.borrow_mut();
        let highest = past.entry(task.clone()).or_default();
        *highest = run.max(*highest);
        self.numbers.set(self.numbers.get() + 1);
        let number = self.numbers.get();
        let ended = order::Finished { number, task, run, reason, checkpoint: String::new() };
        self.finished.borrow_mut().push(ended);
    }

    /// Its process ends: nothing goes on, and nobody hears of the ends.
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

    /// Whether this order loses its answer.
    fn loses(&self) -> bool {
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
        let past = self.past.borrow().get(&launch.task).copied().unwrap_or(0);
        if running.is_some() || launch.run <= past {
            return refused("old");
        }
        let taken: u32 = self.runs.borrow().values().map(|run| run.room).sum();
        if taken + 1 > 8 {
            return refused("room");
        }
        self.checker.started(self.host, &launch.task);
        let ends = time::Instant::now() + self.work.get();
        let run = Run { number: launch.run, ends, room: 1, stopping: false };
        self.runs.borrow_mut().insert(launch.task.clone(), run);
        backend::LaunchReply::Running
    }

    fn halt(&self, task: &model::TaskName, run: u32) {
        self.advance();
        let soon = time::Instant::now() + STOP;
        match self.runs.borrow_mut().get_mut(task) {
            Some(known) if known.number <= run => {
                known.stopping |= known.ends > soon;
                known.ends = known.ends.min(soon);
            }
            _ => {
                let past = &mut *self.past.borrow_mut();
                let highest = past.entry(task.clone()).or_default();
                *highest = run.max(*highest);
            }
        }
    }

    fn forget(&self, seen: u64) {
        self.finished.borrow_mut().retain(|ended| {
            if ended.number <= seen && ended.reason == model::EndReason::Done {
                self.checker.done.borrow_mut().insert(ended.task.clone(), ended.run);
            }
            ended.number > seen
        });
    }

    fn listing(&self) -> backend::Listing {
        self.advance();
        let runs = self.runs.borrow();
        let shown = runs.iter().filter(|_| !self.hides.get());
        let running = shown.map(|(task, run)| order::Running {
            task: task.clone(),
            run: run.number,
            checkpoint: String::new(),
            percent: 50,
        });
        backend::Listing {
            clock: if self.leaps.take() { FAR } else { self.clock() },
            started: Some(self.born.get()),
            running: running.collect(),
            finished: self.finished.borrow().clone(),
            partial: self.odd.get() || self.hides.get(),
        }
    }
}

/// The way to call a worker.
pub struct Calls(pub rc::Rc<Worker>);

impl backend::Backend for Calls {
    fn poll(
        &self,
        poll: backend::Poll,
    ) -> future::LocalBoxFuture<'static, Result<backend::Listing, PollError>> {
        let worker = self.0.clone();
        Box::pin(async move {
            if worker.keeps.get() {
                worker.kept.borrow_mut().push(Kept::Poll(poll));
                return Err(PollError::Unanswered("lost".to_owned()));
            }
            worker.hold(&poll)?;
            let give_up = time::Instant::now() + time::Duration::from_millis(poll.wait);
            let quiet = || {
                worker.advance();
                worker.finished.borrow().is_empty()
            };
            while time::Instant::now() < give_up && quiet() {
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
            if worker.mute.get() {
                return Err(CallError("lost".to_owned()));
            }
            if worker.unheard.get() {
                worker.launch(&launch);
                return Err(CallError("lost".to_owned()));
            }
            if worker.keeps.get() {
                worker.kept.borrow_mut().push(Kept::Start(launch));
                return Err(CallError("lost".to_owned()));
            }
            if !worker.loses() {
                return Ok(worker.launch(&launch));
            }
            actix_rt::spawn(async move {
                tokio::time::sleep(LATE).await;
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
            if worker.mute.get() || worker.keeps.get() {
                worker.lost_stops.set(worker.lost_stops.get() + 1);
                return Err(CallError("lost".to_owned()));
            }
            if worker.is_fenced(fence) {
                return Err(CallError("fence".to_owned()));
            }
            if worker.lingers.get() {
                actix_rt::spawn(async move {
                    tokio::time::sleep(STOPPING).await;
                    worker.halt(&task, run);
                });
            } else {
                worker.halt(&task, run);
            }
            Ok(())
        })
    }
}
