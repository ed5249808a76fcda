//! A worker of workflows in memory, as backend servers behave, with a checker over all of them.
//!
//! It holds what runs under a lease on its own clock, numbers its ends, refuses fences that are too
//! low and what does not fit, and can lose answers and carry orders out late.

use std::cell;
use std::collections::BTreeMap;
use std::rc;
use std::time;

use futures_util::future;
use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::workflow::model;
use hemlockcleat::runner::backend;
use hemlockcleat::runner::backend::Unanswered;

/// How long an order is held back that is carried out late.
const LATE: time::Duration = time::Duration::from_millis(900);

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
}

impl Checker {
    fn started(&self, host: u32, task: &model::TaskName) {
        self.starts.set(self.starts.get() + 1);
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

struct Run {
    number: u32,
    ends: time::Instant,
    room: u32,
}

/// The state of one worker.
pub struct Worker {
    pub host: u32,
    pub born: u64,
    checker: rc::Rc<Checker>,
    started: time::Instant,
    /// How long each task takes.
    work: time::Duration,
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
    orders: cell::Cell<u32>,
}

impl Worker {
    pub fn new(
        host: u32,
        born: u64,
        work: time::Duration,
        checker: rc::Rc<Checker>,
    ) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            host,
            born,
            checker,
            started: time::Instant::now(),
            work,
            runs: cell::RefCell::default(),
            past: cell::RefCell::default(),
            finished: cell::RefCell::default(),
            numbers: cell::Cell::new(0),
            fence: cell::Cell::new(0),
            until: cell::Cell::new(0),
            late_every: cell::Cell::new(0),
            mute: cell::Cell::new(false),
            lost_stops: cell::Cell::new(0),
            orders: cell::Cell::new(0),
        })
    }

    /// The highest fence that it was shown.
    pub fn fence(&self) -> u64 {
        self.fence.get()
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Ends what is done, or whose lease has run out.
    fn advance(&self) {
        let now = time::Instant::now();
        let lapsed = self.clock() > self.until.get();
        let over = |run: &Run| lapsed || run.ends <= now;
        let ended: Vec<_> = self.runs.borrow_mut().extract_if(.., |_, run| over(run)).collect();
        for (task, run) in ended {
            let how = if run.ends <= now { model::How::Done } else { model::How::Lapsed };
            self.end(task, run.number, how);
        }
    }

    fn end(&self, task: model::TaskName, run: u32, how: model::How) {
        self.checker.ended(&task);
        let past = &mut *self.past.borrow_mut();
        let highest = past.entry(task.clone()).or_default();
        *highest = run.max(*highest);
        self.numbers.set(self.numbers.get() + 1);
        let number = self.numbers.get();
        let ended = order::Finished { number, task, run, how, saved: String::new() };
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

    fn launch(&self, launch: &backend::Launch) -> backend::Launched {
        self.advance();
        let refused = |reason: &str| backend::Launched::Refused(reason.to_owned());
        if self.is_fenced(launch.fence) {
            return refused("fence");
        }
        if launch.until < self.clock() {
            return refused("late");
        }
        self.until.set(self.until.get().max(launch.until));
        let running = self.runs.borrow().get(&launch.task).map(|run| run.number);
        if running == Some(launch.run) {
            return backend::Launched::Running;
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
        let run = Run { number: launch.run, ends: time::Instant::now() + self.work, room: 1 };
        self.runs.borrow_mut().insert(launch.task.clone(), run);
        backend::Launched::Running
    }

    fn halt(&self, task: &model::TaskName, run: u32) {
        self.advance();
        let removed = {
            let mut runs = self.runs.borrow_mut();
            let here = runs.get(task).is_some_and(|known| known.number <= run);
            here.then(|| runs.remove(task)).flatten()
        };
        match removed {
            Some(known) => self.end(task.clone(), known.number, model::How::Stopped),
            None => {
                let past = &mut *self.past.borrow_mut();
                let highest = past.entry(task.clone()).or_default();
                *highest = run.max(*highest);
            }
        }
    }

    fn forget(&self, seen: u64) {
        self.finished.borrow_mut().retain(|ended| {
            if ended.number <= seen && ended.how == model::How::Done {
                self.checker.done.borrow_mut().insert(ended.task.clone(), ended.run);
            }
            ended.number > seen
        });
    }

    fn listing(&self) -> backend::Listing {
        self.advance();
        let runs = self.runs.borrow();
        let running = runs.iter().map(|(task, run)| order::Running {
            task: task.clone(),
            run: run.number,
            saved: String::new(),
            percent: 50,
        });
        backend::Listing {
            clock: self.clock(),
            born: Some(self.born),
            running: running.collect(),
            finished: self.finished.borrow().clone(),
        }
    }
}

/// The way to call a worker.
pub struct Calls(pub rc::Rc<Worker>);

impl backend::Backend for Calls {
    fn look(
        &self,
        look: backend::Look,
    ) -> future::LocalBoxFuture<'static, Result<backend::Listing, Unanswered>> {
        let worker = self.0.clone();
        Box::pin(async move {
            if worker.is_fenced(look.fence) {
                return Err(Unanswered("fence".to_owned()));
            }
            worker.until.set(worker.until.get().max(look.until.unwrap_or(0)));
            worker.forget(look.seen);
            let give_up = time::Instant::now() + time::Duration::from_millis(look.wait);
            while time::Instant::now() < give_up && worker.listing().finished.is_empty() {
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
            Ok(worker.listing())
        })
    }

    fn start(
        &self,
        launch: backend::Launch,
    ) -> future::LocalBoxFuture<'static, Result<backend::Launched, Unanswered>> {
        let worker = self.0.clone();
        Box::pin(async move {
            if worker.mute.get() {
                return Err(Unanswered("lost".to_owned()));
            }
            if !worker.loses() {
                return Ok(worker.launch(&launch));
            }
            actix_rt::spawn(async move {
                tokio::time::sleep(LATE).await;
                worker.launch(&launch);
            });
            Err(Unanswered("lost".to_owned()))
        })
    }

    fn stop(
        &self,
        task: model::TaskName,
        run: u32,
        fence: u64,
    ) -> future::LocalBoxFuture<'static, Result<(), Unanswered>> {
        let worker = self.0.clone();
        Box::pin(async move {
            if worker.mute.get() {
                worker.lost_stops.set(worker.lost_stops.get() + 1);
                return Err(Unanswered("lost".to_owned()));
            }
            if worker.is_fenced(fence) {
                return Err(Unanswered("fence".to_owned()));
            }
            worker.halt(&task, run);
            Ok(())
        })
    }
}
