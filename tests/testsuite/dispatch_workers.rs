//! Simulated backend servers of workflows that follow the users' protocol, with a checker over all
//! of them. The time is an argument of each call.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::workflow::model;
use hemlockcleat::runner::backend;

/// The time for which a gang member waits for the other members, in milliseconds.
const GANG_WAIT_MS: u64 = 3000;

/// The behaviour of a step's tasks.
#[derive(Clone, Copy)]
pub struct Behaviour {
    /// The number of members in a gang; 0 for tasks that run independently.
    pub gang: u32,
    /// The run time in milliseconds.
    pub millis: u64,
    /// Whether the first run of each task fails.
    pub fails: bool,
}

/// A call to a worker.
#[derive(Clone)]
pub enum Call {
    Start { task: model::TaskName, run: u32, until: u64, fence: u64 },
    Stop { task: model::TaskName, run: u32, fence: u64 },
    List { until: Option<u64>, seen: u64, fence: u64 },
}

/// A worker's answer to a call.
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
    /// Whether the lease has expired since the end.
    lease_expired: bool,
}

struct Worker {
    incarnation: model::Incarnation,
    /// The rate of the worker's clock, in thousandths of the true rate.
    rate: u64,
    began: u64,
    until: u64,
    fence: u64,
    runs: BTreeMap<model::TaskName, Run>,
    blocked: BTreeMap<model::TaskName, u32>,
    ends: Vec<End>,
    last_number: u64,
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
            blocked: BTreeMap::new(),
            ends: Vec::new(),
            last_number: 0,
        }
    }

    fn clock(&self, now: u64) -> u64 {
        (now - self.began) * self.rate / 1000
    }

    fn end(&mut self, task: &model::TaskName, run: u32, reason: model::EndReason, at: u64) {
        self.runs.remove(task);
        self.block(task, run);
        self.last_number += 1;
        let (number, task, checkpoint) = (self.last_number, task.clone(), String::new());
        let entry = order::Finished { number, task, run, reason, checkpoint };
        self.ends.push(End { entry, at, lease_expired: false });
    }

    /// Prevents runs up to this one from starting on the worker.
    fn block(&mut self, task: &model::TaskName, run: u32) {
        let blocked = self.blocked.entry(task.clone()).or_default();
        *blocked = run.max(*blocked);
    }

    fn lists(&self, now: u64) -> backend::Listing {
        let running = self.runs.iter().map(|(task, run)| order::Running {
            task: task.clone(),
            run: run.number,
            checkpoint: String::new(),
            percent: run.percent(now),
        });
        let ends = self.ends.iter().take(order::MAX_LISTED_ENDS);
        backend::Listing {
            clock: self.clock(now),
            started: Some(self.incarnation.started),
            running: running.collect(),
            finished: ends.map(|end| end.entry.clone()).collect(),
            partial: false,
        }
    }
}

/// All simulated workers, one for each host.
#[derive(Default)]
pub struct Workers {
    workers: Vec<Worker>,
    /// The behaviour of each job's steps.
    pub behaviours: BTreeMap<(String, u32), Behaviour>,
    /// Whether a worker restarts under the same name, so that late calls to the previous
    /// incarnation reach it.
    pub same_name: bool,
    /// Violations of the guarantees on tasks.
    pub violations: Vec<String>,
    /// The number of started runs.
    pub starts: usize,
    /// The number of runs whose lease expired.
    pub expired_runs: usize,
    /// The time of each task's last start.
    started: BTreeMap<model::TaskName, u64>,
    /// The tasks whose successful end was acknowledged.
    acknowledged: BTreeSet<model::TaskName>,
}

impl Workers {
    /// Adds a worker whose clock runs at `rate` thousandths of the true rate.
    pub fn add(&mut self, rate: u64, now: u64) {
        let host = self.workers.len() as u32;
        self.workers.push(Worker::new(model::Incarnation { host, started: now + 1 }, rate, now));
    }

    pub fn incarnation(&self, host: usize) -> model::Incarnation {
        self.workers[host].incarnation
    }

    /// Ends a worker's process and starts the next one.
    pub fn restart(&mut self, host: usize, now: u64) {
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

    /// Ends runs that are complete, have waited too long for their gang or have lost their lease.
    pub fn advance(&mut self, now: u64) {
        for host in 0..self.workers.len() {
            self.expire_lease(host, now);
        }
        let mut active: BTreeMap<(String, u32, u32, u32), u32> = BTreeMap::new();
        for (task, run) in self.workers.iter().flat_map(|worker| &worker.runs) {
            *active.entry(gang_of(task, run.number)).or_default() += 1;
        }
        let mut ended = Vec::new();
        for (host, worker) in self.workers.iter_mut().enumerate() {
            for (task, run) in &mut worker.runs {
                let behaviour = self.behaviours[&(task.id.clone(), task.step)];
                let complete = active[&gang_of(task, run.number)] >= behaviour.gang;
                let ends = complete.then(|| *run.ends.get_or_insert(now + behaviour.millis));
                let reason = match ends {
                    Some(ends) if ends > now => continue,
                    Some(_) if behaviour.fails && run.number == 1 => model::EndReason::Failed,
                    Some(_) => model::EndReason::Done,
                    None if run.since + GANG_WAIT_MS <= now => model::EndReason::Alone,
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

    fn expire_lease(&mut self, host: usize, now: u64) {
        let worker = &mut self.workers[host];
        if worker.clock(now) < worker.until {
            return;
        }
        worker.ends.iter_mut().for_each(|end| end.lease_expired = true);
        let runs: Vec<_> = worker.runs.iter().map(|(t, run)| (t.clone(), run.number)).collect();
        self.expired_runs += runs.len();
        for (task, run) in runs {
            self.workers[host].end(&task, run, model::EndReason::Lapsed, now);
            self.break_gang(&task, run, now);
        }
    }

    /// Ends the remaining members of a gang after one of them has ended.
    fn break_gang(&mut self, task: &model::TaskName, run: u32, now: u64) {
        if self.behaviours[&(task.id.clone(), task.step)].gang == 0 {
            return;
        }
        let gang = gang_of(task, run);
        for worker in &mut self.workers {
            let remaining =
                worker.runs.iter().filter(|(task, run)| gang_of(task, run.number) == gang);
            let remaining: Vec<_> = remaining.map(|(task, _)| task.clone()).collect();
            for task in remaining {
                worker.end(&task, run, model::EndReason::Broken, now);
            }
        }
    }

    /// Carries out a call that is addressed to an incarnation.
    pub fn call(&mut self, incarnation: model::Incarnation, call: &Call, now: u64) -> Answer {
        let host = incarnation.host as usize;
        self.expire_lease(host, now);
        let worker = &mut self.workers[host];
        let (Call::Start { fence, .. } | Call::Stop { fence, .. } | Call::List { fence, .. }) =
            call;
        if (worker.incarnation != incarnation && !self.same_name) || *fence < worker.fence {
            return Answer::Refused;
        }
        worker.fence = *fence;
        match call {
            Call::Start { task, run, until, .. } => self.start(host, task, *run, *until, now),
            Call::Stop { task, run, .. } => {
                let active_run = worker.runs.get(task).map(|known| known.number);
                worker.block(task, *run);
                if let Some(active_run) = active_run.filter(|active_run| active_run <= run) {
                    worker.end(task, active_run, model::EndReason::Stopped, now);
                    self.break_gang(task, active_run, now);
                }
                Answer::Done
            }
            Call::List { until, seen, .. } => {
                worker.until = worker.until.max(until.unwrap_or(0));
                let lists = |worker: &Worker| Answer::Lists(worker.lists(now));
                let acknowledged = worker.ends.extract_if(.., |end| end.entry.number <= *seen);
                let acknowledged: Vec<_> = acknowledged.collect();
                let answer = lists(worker);
                acknowledged.iter().for_each(|end| self.acknowledge(end));
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
        if run <= worker.blocked.get(task).copied().unwrap_or(0) || worker.runs.len() >= 8 {
            return Answer::Refused;
        }
        let millis = self.behaviours[&(task.id.clone(), task.step)].millis;
        worker.runs.insert(task.clone(), Run { number: run, since: now, millis, ends: None });
        self.starts += 1;
        self.started.insert(task.clone(), now);
        let is_duplicate =
            self.workers.iter().filter(|worker| worker.runs.contains_key(task)).count() > 1;
        if is_duplicate {
            self.violations
                .push(format!("at {now}: {task} run {run} on {host} beside another run"));
        }
        if self.acknowledged.contains(task) {
            self.violations.push(format!("at {now}: {task} run {run} on {host} after it was done"));
        }
        Answer::Done
    }

    /// Records the acknowledgement of an end.
    fn acknowledge(&mut self, end: &End) {
        let task = &end.entry.task;
        if end.entry.reason != model::EndReason::Done || end.lease_expired {
            return;
        }
        self.acknowledged.insert(task.clone());
        if self.started[task] > end.at {
            self.violations.push(format!("{task} was started after its end at {}", end.at));
        }
    }
}

/// Returns the gang of a member: job, occurrence, step and run.
fn gang_of(task: &model::TaskName, run: u32) -> (String, u32, u32, u32) {
    (task.id.clone(), task.occurrence, task.step, run)
}
