//! The tasks of a stand-in, whose work is simulated by its run time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time;

use bytes::Bytes;
use sha2::Digest as _;

use crate::agent::contract;
use crate::control::clock;
use crate::standin::options;
use crate::standin::record;

/// Duration of a checkpoint.
const CHECKPOINT_TIME: time::Duration = time::Duration::from_millis(10);

/// A task that was started.
struct Task {
    status: contract::Status,
    /// Index of its run in the record.
    run_index: usize,
    /// Remaining run time at full speed when the speed was last set.
    remaining: time::Duration,
    /// When its speed was last set.
    speed_set: time::Instant,
    /// Its speed in percent.
    percent: u32,
    /// When its checkpoint completes; none unless one was ordered.
    checkpoint: Option<time::Instant>,
    answer: Bytes,
    fails: bool,
}

impl Task {
    fn is_running(&self) -> bool {
        self.status.state == contract::State::Running
    }

    /// When it completes its work at its current speed.
    fn due(&self) -> time::Instant {
        self.speed_set + self.remaining * 100 / self.percent.max(1)
    }

    fn next_end(&self) -> time::Instant {
        self.checkpoint.map_or(self.due(), |checkpoint| checkpoint.min(self.due()))
    }
}

/// All tasks, the lease under which they run, and the record of what ran.
pub struct Tasks {
    options: options::Options,
    /// The current switches.
    pub switches: options::Switches,
    tasks: BTreeMap<contract::TaskKey, Task>,
    /// Tasks that were stopped before their start arrived.
    tombstones: BTreeSet<contract::TaskKey>,
    fence: u64,
    lease_end: time::Instant,
    start_count: u32,
    runs: Vec<record::Run>,
}

impl Tasks {
    /// Creates a state without tasks and without a lease.
    pub fn new(options: options::Options) -> Self {
        Self {
            switches: options.switches.clone(),
            options,
            tasks: BTreeMap::new(),
            tombstones: BTreeSet::new(),
            fence: 0,
            lease_end: time::Instant::now(),
            start_count: 0,
            runs: Vec::new(),
        }
    }

    /// Record of all runs so far.
    pub fn record(&self) -> Vec<record::Run> {
        self.runs.clone()
    }

    /// The capacity that running tasks use.
    pub fn usage(&self) -> contract::Usage {
        let running = || self.tasks.iter().filter(|(_, task)| task.is_running());
        let accelerators = running().map(|(_, task)| self.runs[task.run_index].accelerators).sum();
        let tasks = running().count() as u32;
        contract::Usage { tasks, connections: tasks, accelerators }
    }

    /// Takes over the lease from the reply to an announcement. The lease counts from `sent`, the
    /// time at which the announcement was sent.
    pub fn renew(&mut self, sent: time::Instant, lease: contract::Lease) {
        self.fence = lease.fence;
        self.lease_end = self.lease_end.max(sent + time::Duration::from_millis(lease.lease_ms));
    }

    /// Starts a task; if it was started before, returns its status instead.
    pub fn start(
        &mut self,
        now: time::Instant,
        key: contract::TaskKey,
        start: &contract::Start,
        payload: &[u8],
    ) -> Result<contract::Status, contract::Refused> {
        if let Some(task) = self.tasks.get(&key) {
            return Ok(task.status.clone());
        }
        self.check_start(now, key, start)?;
        self.start_count += 1;
        let status = contract::Status {
            task: key.to_string(),
            state: contract::State::Running,
            detail: String::new(),
            length: 0,
            sha256: String::new(),
        };
        self.runs.push(record::Run {
            task: key.to_string(),
            worker: self.options.announcement.name.clone(),
            service: start.service.clone(),
            kind: start.kind.clone(),
            key: start.key.clone(),
            gang: start.gang,
            accelerators: start.accelerators,
            started: clock::wall().0,
            ended: None,
            end: None,
        });
        let task = Task {
            status: status.clone(),
            run_index: self.runs.len() - 1,
            remaining: self.run_time(payload),
            speed_set: now,
            percent: 100,
            checkpoint: None,
            answer: self.answer(key, start, payload),
            fails: self.switches.fails,
        };
        self.tasks.insert(key, task);
        Ok(status)
    }

    fn check_start(
        &self,
        now: time::Instant,
        key: contract::TaskKey,
        start: &contract::Start,
    ) -> Result<(), contract::Refused> {
        let refuse =
            |error, detail: &str| Err(contract::Refused { error, detail: detail.to_owned() });
        if self.tombstones.contains(&key) {
            return refuse(contract::Refusal::Stopped, "stopped before it came");
        }
        if self.switches.refuses {
            return refuse(contract::Refusal::Refused, "told to refuse");
        }
        if now >= self.lease_end || start.fence != self.fence {
            return refuse(contract::Refusal::NoLease, "no such lease at the moment");
        }
        let (usage, limits) = (self.usage(), &self.options.announcement);
        let accelerators = usage.accelerators + start.accelerators;
        if usage.tasks >= limits.slots || accelerators > limits.accelerators {
            return refuse(contract::Refusal::Refused, "no room");
        }
        Ok(())
    }

    /// The run time of a task: as in the payload (`{"run_ms": N}`) or else the options, multiplied
    /// by the factors of the switches.
    fn run_time(&self, payload: &[u8]) -> time::Duration {
        let switches = &self.switches;
        if switches.fails {
            return time::Duration::ZERO;
        }
        let payload: Option<serde_json::Value> = serde_json::from_slice(payload).ok();
        let requested = payload.as_ref().and_then(|payload| payload.get("run_ms")?.as_u64());
        let run_time = requested.map_or(self.options.run_time, time::Duration::from_millis);
        let every = switches.straggler_every;
        let is_straggler = every > 0 && self.start_count.is_multiple_of(every);
        let factor = if is_straggler { switches.straggler_factor.max(1) } else { 1 };
        run_time * switches.slow.max(1) * factor
    }

    /// Builds the answer, which identifies the attempt and echoes the payload.
    fn answer(&self, key: contract::TaskKey, start: &contract::Start, payload: &[u8]) -> Bytes {
        let answer = serde_json::json!({
            "key": start.key,
            "attempt": key.attempt.to_string(),
            "gang": start.gang,
            "payload": String::from_utf8_lossy(payload),
        });
        let mut text = answer.to_string().into_bytes();
        text.resize(text.len().max(self.switches.answer_bytes), b' ');
        text.into()
    }

    /// Whether the stand-in is to crash at the current start; counts the switch down otherwise.
    pub fn is_crash_due(&mut self) -> bool {
        match self.switches.dies_at {
            0 => false,
            1 => true,
            _ => {
                self.switches.dies_at -= 1;
                false
            }
        }
    }

    /// The status of a task; none if it is unknown.
    pub fn status(&self, key: contract::TaskKey) -> Option<contract::Status> {
        self.tasks.get(&key).map(|task| task.status.clone())
    }

    /// The answer of a completed task.
    pub fn find_answer(&self, key: contract::TaskKey) -> Option<Bytes> {
        let task = self.tasks.get(&key)?;
        (task.status.state == contract::State::Done).then(|| task.answer.clone())
    }

    /// Any task other than the given one, for responses that name the wrong task.
    pub fn other_key(&self, key: contract::TaskKey) -> Option<contract::TaskKey> {
        self.tasks.keys().find(|other| **other != key).copied()
    }

    /// Lists all tasks that have not been deleted.
    pub fn list(&self) -> contract::List {
        contract::List { tasks: self.tasks.keys().map(|key| key.to_string()).collect() }
    }

    /// Stops a task. An unknown task gets a tombstone, so that a later start is refused.
    pub fn stop(&mut self, key: contract::TaskKey) {
        if self.tasks.contains_key(&key) {
            self.end(key, record::End::Stopped);
        } else {
            self.tombstones.insert(key);
        }
    }

    /// Orders a task to write a checkpoint and then stop.
    pub fn checkpoint(&mut self, now: time::Instant, key: contract::TaskKey) {
        if let Some(task) = self.tasks.get_mut(&key) {
            task.checkpoint.get_or_insert(now + CHECKPOINT_TIME);
        }
    }

    /// Sets a task's speed, in percent of full speed.
    pub fn throttle(&mut self, now: time::Instant, key: contract::TaskKey, percent: u32) {
        let Some(task) = self.tasks.get_mut(&key) else { return };
        let worked = (now - task.speed_set) * task.percent / 100;
        task.remaining = task.remaining.saturating_sub(worked);
        task.speed_set = now;
        task.percent = percent.clamp(1, 100);
    }

    /// Deletes a task that has ended; a running task stays.
    pub fn delete(&mut self, key: contract::TaskKey) {
        if self.tasks.get(&key).is_some_and(|task| !task.is_running()) {
            self.tasks.remove(&key);
        }
    }

    /// Ends the tasks that are due at `now`, and returns when to call it again; none if no task
    /// runs.
    pub fn advance(&mut self, now: time::Instant) -> Option<time::Instant> {
        if now >= self.lease_end && !self.switches.ignores_lease {
            self.end_all(record::End::LeaseEnded);
        }
        let running = || self.tasks.iter().filter(|(_, task)| task.is_running());
        let due: Vec<_> =
            running().filter(|(_, t)| t.next_end() <= now).map(|(key, _)| *key).collect();
        for key in due {
            let task = &self.tasks[&key];
            let end = match (task.due() <= now, task.fails) {
                (false, _) => record::End::Checkpointed,
                (true, true) => record::End::Failed,
                (true, false) => record::End::Done,
            };
            self.end(key, end);
        }
        let running = self.tasks.values().filter(|task| task.is_running());
        let next = running.map(Task::next_end).min()?;
        Some(if self.switches.ignores_lease { next } else { next.min(self.lease_end) })
    }

    /// Ends every running task.
    pub fn end_all(&mut self, end: record::End) {
        let keys: Vec<_> = self.tasks.keys().copied().collect();
        for key in keys {
            self.end(key, end);
        }
    }

    fn end(&mut self, key: contract::TaskKey, end: record::End) {
        let Some(task) = self.tasks.get_mut(&key) else { return };
        if !task.is_running() {
            return;
        }
        let run = &mut self.runs[task.run_index];
        run.ended = Some(clock::wall().0);
        run.end = Some(end);
        task.status.state = match end {
            record::End::Done => contract::State::Done,
            record::End::Failed => contract::State::Failed,
            _ => contract::State::Stopped,
        };
        match end {
            record::End::Done => {
                task.status.length = task.answer.len() as u64;
                task.status.sha256 = contract::hex(&sha2::Sha256::digest(&task.answer));
            }
            record::End::Failed => task.status.detail = "told to fail".to_owned(),
            _ => {}
        }
    }
}
