//! Backend servers of workflows after the users' protocol, with a checker over all of them. Time
//! comes in with each call; nothing here waits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::workflow::model;
use hemlockcleat::runner::backend;

/// How long a member waits for the rest of its gang, in milliseconds.
const GANG_WAIT: u64 = 3000;

/// What a step's tasks do.
#[derive(Clone, Copy)]
pub struct Work {
    /// How many members work together; 0 for tasks that work alone.
    pub gang: u32,
    /// How long they take, in milliseconds.
    pub millis: u64,
    /// Whether a first run fails.
    pub fails: bool,
}

/// A call to a worker.
#[derive(Clone)]
pub enum Call {
    Start { task: model::TaskName, run: u32, until: u64, fence: u64 },
    Stop { task: model::TaskName, run: u32, fence: u64 },
    Look { until: Option<u64>, seen: u64, fence: u64 },
}

/// What a worker answers.
pub enum Answer {
    Done,
    Refused,
    Lists(backend::Listing),
}

struct Run {
    number: u32,
    since: u64,
    millis: u64,
    ends: Option<u64>,
}

impl Run {
    fn percent(&self, now: u64) -> u32 {
        let left = self.ends.map_or(self.millis, |ends| ends.saturating_sub(now));
        (100 - left * 100 / self.millis) as u32
    }
}

struct End {
    entry: order::Finished,
    at: u64,
    /// Whether the lease has run out since.
    lapsed: bool,
}

struct Worker {
    incarnation: model::Incarnation,
    /// Thousandths of true time at which its clock runs.
    rate: u64,
    began: u64,
    until: u64,
    fence: u64,
    runs: BTreeMap<model::TaskName, Run>,
    past: BTreeMap<model::TaskName, u32>,
    ends: Vec<End>,
    numbers: u64,
}

impl Worker {
    fn new(incarnation: model::Incarnation, rate: u64, began: u64) -> Self {
        Self {
            incarnation,
            rate,
            began,
            until: 0,
            fence: 0,
            runs: BTreeMap::new(),
            past: BTreeMap::new(),
            ends: Vec::new(),
            numbers: 0,
        }
    }

    fn clock(&self, now: u64) -> u64 {
        (now - self.began) * self.rate / 1000
    }

    fn end(&mut self, task: &model::TaskName, run: u32, reason: model::EndReason, at: u64) {
        self.runs.remove(task);
        self.bar(task, run);
        self.numbers += 1;
        let (number, task, checkpoint) = (self.numbers, task.clone(), String::new());
        let entry = order::Finished { number, task, run, reason, checkpoint };
        self.ends.push(End { entry, at, lapsed: false });
    }

    /// Lets no run up to this one start here any more.
    fn bar(&mut self, task: &model::TaskName, run: u32) {
        let past = self.past.entry(task.clone()).or_default();
        *past = run.max(*past);
    }

    fn lists(&self, now: u64) -> backend::Listing {
        let running = self.runs.iter().map(|(task, run)| order::Running {
            task: task.clone(),
            run: run.number,
            checkpoint: String::new(),
            percent: run.percent(now),
        });
        backend::Listing {
            clock: self.clock(now),
            born: Some(self.incarnation.started),
            running: running.collect(),
            finished: self.ends.iter().take(500).map(|end| end.entry.clone()).collect(),
            partial: false,
        }
    }
}

/// All workers, one a host.
#[derive(Default)]
pub struct Floor {
    workers: Vec<Worker>,
    /// What the steps of each job do.
    pub works: BTreeMap<(String, u32), Work>,
    /// Whether a worker comes back under the name that it had, so that late calls reach it.
    pub same_name: bool,
    /// What was seen that must never happen.
    pub broken: Vec<String>,
    /// Runs that have started.
    pub starts: usize,
    /// Runs whose lease has run out.
    pub lapses: usize,
    /// When each task was last started.
    started: BTreeMap<model::TaskName, u64>,
    /// Tasks whose end was taken note of.
    noted: BTreeSet<model::TaskName>,
}

impl Floor {
    /// Adds a worker whose clock runs at so many thousandths of true time.
    pub fn add(&mut self, rate: u64, now: u64) {
        let host = self.workers.len() as u32;
        self.workers.push(Worker::new(model::Incarnation { host, started: now + 1 }, rate, now));
    }

    pub fn incarnation(&self, host: usize) -> model::Incarnation {
        self.workers[host].incarnation
    }

    /// A worker's process ends; another begins.
    pub fn rebirth(&mut self, host: usize, now: u64) {
        let (incarnation, rate) = (self.workers[host].incarnation, self.workers[host].rate);
        let runs: Vec<_> =
            self.workers[host].runs.iter().map(|(t, r)| (t.clone(), r.number)).collect();
        let born = (now + 1).max(incarnation.started + 1);
        self.workers[host] =
            Worker::new(model::Incarnation { started: born, ..incarnation }, rate, now);
        for (task, run) in runs {
            self.break_gang(&task, run, now);
        }
    }

    /// Ends what is done, has waited too long, or has lost its lease.
    pub fn advance(&mut self, now: u64) {
        for host in 0..self.workers.len() {
            self.lapse(host, now);
        }
        let mut present: BTreeMap<(String, u32, u32, u32), u32> = BTreeMap::new();
        for (task, run) in self.workers.iter().flat_map(|worker| &worker.runs) {
            *present.entry(gang_of(task, run.number)).or_default() += 1;
        }
        let mut ended = Vec::new();
        for (host, worker) in self.workers.iter_mut().enumerate() {
            for (task, run) in &mut worker.runs {
                let work = self.works[&(task.id.clone(), task.step)];
                let whole = present[&gang_of(task, run.number)] >= work.gang;
                let ends = whole.then(|| *run.ends.get_or_insert(now + work.millis));
                let reason = match ends {
                    Some(ends) if ends > now => continue,
                    Some(_) if work.fails && run.number == 1 => model::EndReason::Failed,
                    Some(_) => model::EndReason::Done,
                    None if run.since + GANG_WAIT <= now => model::EndReason::Alone,
                    None => continue,
                };
                ended.push((host, task.clone(), run.number, reason));
            }
        }
        for (host, task, run, reason) in ended {
            let runs = &self.workers[host].runs;
            if runs.get(&task).is_some_and(|known| known.number == run) {
                self.workers[host].end(&task, run, reason, now);
                if reason != model::EndReason::Done {
                    self.break_gang(&task, run, now);
                }
            }
        }
    }

    fn lapse(&mut self, host: usize, now: u64) {
        let worker = &mut self.workers[host];
        if worker.clock(now) < worker.until {
            return;
        }
        worker.ends.iter_mut().for_each(|end| end.lapsed = true);
        let runs: Vec<_> = worker.runs.iter().map(|(t, run)| (t.clone(), run.number)).collect();
        self.lapses += runs.len();
        for (task, run) in runs {
            self.workers[host].end(&task, run, model::EndReason::Lapsed, now);
            self.break_gang(&task, run, now);
        }
    }

    /// What is left of a gang ends with a member.
    fn break_gang(&mut self, task: &model::TaskName, run: u32, now: u64) {
        if self.works[&(task.id.clone(), task.step)].gang == 0 {
            return;
        }
        let gang = gang_of(task, run);
        for worker in &mut self.workers {
            let rest = worker.runs.iter().filter(|(task, run)| gang_of(task, run.number) == gang);
            let rest: Vec<_> = rest.map(|(task, _)| task.clone()).collect();
            for task in rest {
                worker.end(&task, run, model::EndReason::Broken, now);
            }
        }
    }

    /// Carries out a call that was meant for this incarnation.
    pub fn call(&mut self, incarnation: model::Incarnation, call: &Call, now: u64) -> Answer {
        let host = incarnation.host as usize;
        self.lapse(host, now);
        let worker = &mut self.workers[host];
        let (Call::Start { fence, .. } | Call::Stop { fence, .. } | Call::Look { fence, .. }) =
            call;
        if (worker.incarnation != incarnation && !self.same_name) || *fence < worker.fence {
            return Answer::Refused;
        }
        worker.fence = *fence;
        match call {
            Call::Start { task, run, until, .. } => self.start(host, task, *run, *until, now),
            Call::Stop { task, run, .. } => {
                let here = worker.runs.get(task).map(|known| known.number);
                worker.bar(task, *run);
                if let Some(here) = here.filter(|here| here <= run) {
                    worker.end(task, here, model::EndReason::Stopped, now);
                    self.break_gang(task, here, now);
                }
                Answer::Done
            }
            Call::Look { until, seen, .. } => {
                worker.until = worker.until.max(until.unwrap_or(0));
                let lists = |worker: &Worker| Answer::Lists(worker.lists(now));
                let noted = worker.ends.extract_if(.., |end| end.entry.number <= *seen);
                let noted: Vec<_> = noted.collect();
                let answer = lists(worker);
                noted.iter().for_each(|end| self.note(end));
                answer
            }
        }
    }

    fn start(
        &mut self,
        host: usize,
        task: &model::TaskName,
        run: u32,
        until: u64,
        now: u64,
    ) -> Answer {
        let worker = &mut self.workers[host];
        if until <= worker.clock(now) {
            return Answer::Refused;
        }
        worker.until = worker.until.max(until);
        match worker.runs.get(task) {
            Some(known) if known.number == run => return Answer::Done,
            Some(_) => return Answer::Refused,
            None => {}
        }
        if run <= worker.past.get(task).copied().unwrap_or(0) || worker.runs.len() >= 8 {
            return Answer::Refused;
        }
        let millis = self.works[&(task.id.clone(), task.step)].millis;
        worker.runs.insert(task.clone(), Run { number: run, since: now, millis, ends: None });
        self.starts += 1;
        self.started.insert(task.clone(), now);
        let twice = self.workers.iter().filter(|worker| worker.runs.contains_key(task)).count() > 1;
        if twice {
            self.broken.push(format!("at {now}: {task} run {run} on {host} beside another run"));
        }
        if self.noted.contains(task) {
            self.broken.push(format!("at {now}: {task} run {run} on {host} after it was done"));
        }
        Answer::Done
    }

    /// The end of a run was taken note of.
    fn note(&mut self, end: &End) {
        let task = &end.entry.task;
        if end.entry.reason != model::EndReason::Done || end.lapsed {
            return;
        }
        self.noted.insert(task.clone());
        if self.started[task] > end.at {
            self.broken.push(format!("{task} was started after its end at {}", end.at));
        }
    }
}

/// The gang that a member belongs to, and its run.
fn gang_of(task: &model::TaskName, run: u32) -> (String, u32, u32, u32) {
    (task.id.clone(), task.occurrence, task.step, run)
}
