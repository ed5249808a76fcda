//! The tasks of a stand-in: pretended work that takes its time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time;

use bytes::Bytes;
use sha2::Digest as _;

use crate::agent::contract;
use crate::control::clock;
use crate::standin::options;
use crate::standin::record;

/// How long a checkpoint takes.
const CHECKPOINT: time::Duration = time::Duration::from_millis(10);

/// One task.
struct Task {
    status: contract::Status,
    /// Its line in the record.
    line: usize,
    /// The work left when its speed was last set.
    left: time::Duration,
    /// When its speed was last set.
    since: time::Instant,
    /// Its speed in percent.
    percent: u32,
    /// When its checkpoint is done.
    checkpoint: Option<time::Instant>,
    answer: Bytes,
    fails: bool,
}

impl Task {
    fn running(&self) -> bool {
        self.status.state == contract::State::Running
    }

    /// When it will have done its work.
    fn due(&self) -> time::Instant {
        self.since + self.left * 100 / self.percent.max(1)
    }

    fn next(&self) -> time::Instant {
        self.checkpoint.map_or(self.due(), |checkpoint| checkpoint.min(self.due()))
    }
}

/// All tasks, the lease under which they run, and the record of what ran.
pub struct Tasks {
    options: options::Options,
    /// How the stand-in behaves.
    pub switches: options::Switches,
    tasks: BTreeMap<contract::TaskKey, Task>,
    /// Tasks that were stopped before their start came.
    tombs: BTreeSet<contract::TaskKey>,
    fence: u64,
    lease: time::Instant,
    starts: u32,
    runs: Vec<record::Run>,
}

impl Tasks {
    /// No tasks yet, and no lease.
    pub fn new(options: options::Options) -> Self {
        Self {
            switches: options.switches.clone(),
            options,
            tasks: BTreeMap::new(),
            tombs: BTreeSet::new(),
            fence: 0,
            lease: time::Instant::now(),
            starts: 0,
            runs: Vec::new(),
        }
    }

    /// What ran so far.
    pub fn record(&self) -> Vec<record::Run> {
        self.runs.clone()
    }

    /// What is in use.
    pub fn usage(&self) -> contract::Usage {
        let running = || self.tasks.iter().filter(|(_, task)| task.running());
        let accelerators = running().map(|(_, task)| self.runs[task.line].accelerators).sum();
        let tasks = running().count() as u32;
        contract::Usage { tasks, connections: tasks, accelerators }
    }

    /// Takes the answer to an announcement that was sent at `sent`.
    pub fn renew(&mut self, sent: time::Instant, lease: contract::Lease) {
        self.fence = lease.fence;
        self.lease = self.lease.max(sent + time::Duration::from_millis(lease.lease_ms));
    }

    /// Starts a task, unless it is known.
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
        self.starts += 1;
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
            line: self.runs.len() - 1,
            left: self.run_time(payload),
            since: now,
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
        if self.tombs.contains(&key) {
            return refuse(contract::Refusal::Stopped, "stopped before it came");
        }
        if self.switches.refuses {
            return refuse(contract::Refusal::Refused, "told to refuse");
        }
        if now >= self.lease || start.fence != self.fence {
            return refuse(contract::Refusal::NoLease, "no such lease at the moment");
        }
        let (usage, limits) = (self.usage(), &self.options.announcement);
        let accelerators = usage.accelerators + start.accelerators;
        if usage.tasks >= limits.slots || accelerators > limits.accelerators {
            return refuse(contract::Refusal::Refused, "no room");
        }
        Ok(())
    }

    /// How long a task works: as the payload says (`{"run_ms": N}`), or as the options do.
    fn run_time(&self, payload: &[u8]) -> time::Duration {
        let switches = &self.switches;
        if switches.fails {
            return time::Duration::ZERO;
        }
        let payload: Option<serde_json::Value> = serde_json::from_slice(payload).ok();
        let named = payload.as_ref().and_then(|payload| payload.get("run_ms")?.as_u64());
        let run_time = named.map_or(self.options.run_time, time::Duration::from_millis);
        let every = switches.straggler_every;
        let straggles = every > 0 && self.starts.is_multiple_of(every);
        let factor = if straggles { switches.straggler_factor.max(1) } else { 1 };
        run_time * switches.slow.max(1) * factor
    }

    /// The answer: names what ran, and echoes the payload.
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

    /// Whether the stand-in is to die now.
    pub fn dies(&mut self) -> bool {
        match self.switches.dies_at {
            0 => false,
            1 => true,
            _ => {
                self.switches.dies_at -= 1;
                false
            }
        }
    }

    /// Where a task stands.
    pub fn status(&self, key: contract::TaskKey) -> Option<contract::Status> {
        self.tasks.get(&key).map(|task| task.status.clone())
    }

    /// The answer of a task that is done.
    pub fn find_answer(&self, key: contract::TaskKey) -> Option<Bytes> {
        let task = self.tasks.get(&key)?;
        (task.status.state == contract::State::Done).then(|| task.answer.clone())
    }

    /// Any other task, for crossed answers.
    pub fn other(&self, key: contract::TaskKey) -> Option<contract::TaskKey> {
        self.tasks.keys().find(|other| **other != key).copied()
    }

    /// Every task that is known.
    pub fn list(&self) -> contract::List {
        contract::List { tasks: self.tasks.keys().map(|key| key.to_string()).collect() }
    }

    /// Stops a task; one that is not known will never start.
    pub fn stop(&mut self, key: contract::TaskKey) {
        if self.tasks.contains_key(&key) {
            self.end(key, record::End::Stopped);
        } else {
            self.tombs.insert(key);
        }
    }

    /// Has a task checkpoint, after which it stops.
    pub fn checkpoint(&mut self, now: time::Instant, key: contract::TaskKey) {
        if let Some(task) = self.tasks.get_mut(&key) {
            task.checkpoint.get_or_insert(now + CHECKPOINT);
        }
    }

    /// Holds a task to a share of its speed.
    pub fn throttle(&mut self, now: time::Instant, key: contract::TaskKey, percent: u32) {
        let Some(task) = self.tasks.get_mut(&key) else { return };
        let worked = (now - task.since) * task.percent / 100;
        task.left = task.left.saturating_sub(worked);
        task.since = now;
        task.percent = percent.clamp(1, 100);
    }

    /// Forgets a task that has ended.
    pub fn delete(&mut self, key: contract::TaskKey) {
        if self.tasks.get(&key).is_some_and(|task| !task.running()) {
            self.tasks.remove(&key);
        }
    }

    /// Ends what is due at `now` and returns when to look again.
    pub fn advance(&mut self, now: time::Instant) -> Option<time::Instant> {
        if now >= self.lease && !self.switches.ignores_lease {
            self.end_all(record::End::LeaseEnded);
        }
        let running = || self.tasks.iter().filter(|(_, task)| task.running());
        let due: Vec<_> = running().filter(|(_, t)| t.next() <= now).map(|(key, _)| *key).collect();
        for key in due {
            let task = &self.tasks[&key];
            let end = match (task.due() <= now, task.fails) {
                (false, _) => record::End::Checkpointed,
                (true, true) => record::End::Failed,
                (true, false) => record::End::Done,
            };
            self.end(key, end);
        }
        let running = self.tasks.values().filter(|task| task.running());
        let next = running.map(Task::next).min()?;
        Some(if self.switches.ignores_lease { next } else { next.min(self.lease) })
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
        if !task.running() {
            return;
        }
        let run = &mut self.runs[task.line];
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
