//! A worker that follows the platform's pages ("Running tasks", "Service discovery").
//!
//! A task's spec is `work MS`, optionally followed by `end HOW`, `cpu N` and `gpus N`: it works for so long and then ends,
//! `done` unless another way is given. `work 0` goes on until it is stopped.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http;
use crate::record::Record;

const MAX_HOLD_MS: u64 = 10_000;
const STOP_MS: u64 = 100;
/// The most ends in one list ("500 at a time").
const MAX_LISTED_ENDS: usize = 500;
const GPUS: u64 = 8;
pub const BEAT_MS: u64 = 1500;

#[derive(Clone, Debug)]
struct Run {
    task: String,
    run: u64,
    began: u64,
    /// The time of its own end; none if it goes on until it is stopped.
    ends: Option<u64>,
    how: String,
    stops: Option<u64>,
    cpu: u64,
    gpus: u64,
}

/// What clients, workers and the platform can see of a run.
#[derive(Clone, Debug)]
pub struct Seen {
    pub task: String,
    pub run: u64,
    /// Times of the record, in milliseconds.
    pub started: u64,
    pub ended: Option<u64>,
    pub how: String,
    /// When `lastSeen` reached the end.
    pub noted: Option<u64>,
    /// Whether the lease lapsed between the end and that.
    pub lapsed_between: bool,
    number: u64,
}

#[derive(Default)]
struct State {
    running: Vec<Run>,
    finished: VecDeque<(u64, String, u64, String)>,
    last_number: u64,
    /// The highest run of each task that was stopped or ended here.
    highest: BTreeMap<String, u64>,
    fence: u64,
    deadline: u64,
    lapsed: bool,
    seen: Vec<Seen>,
}

pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    pub agent: SocketAddr,
    pub pool: String,
    pub rack: String,
    pub cpu: u64,
    /// The start of its life: by its steady clock, and as a Unix time in milliseconds.
    life: Mutex<(Instant, u64)>,
    /// Whether its process is gone.
    down: AtomicBool,
    sequence: Mutex<u64>,
    pub draining: AtomicBool,
    /// Whether heartbeats are sent by the worker's own loop.
    pub beats: AtomicBool,
    state: Mutex<State>,
    ended: Condvar,
    record: Arc<Record>,
}

impl Worker {
    pub fn start(
        id: &str,
        addr: SocketAddr,
        agent: SocketAddr,
        pool: &str,
        rack: &str,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            addr,
            agent,
            pool: pool.to_owned(),
            rack: rack.to_owned(),
            cpu: 32_000,
            life: Mutex::new((Instant::now(), born)),
            down: AtomicBool::new(false),
            sequence: Mutex::new(0),
            draining: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            state: Mutex::default(),
            ended: Condvar::new(),
            record,
        });
        let served = worker.clone();
        http::serve(addr, Arc::new(move |method, path, body| served.handle(method, path, body)))?;
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(Duration::from_millis(5));
            }
        });
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                if beating.beats.load(Ordering::SeqCst) && !beating.down.load(Ordering::SeqCst) {
                    beating.beat();
                }
                thread::sleep(Duration::from_millis(BEAT_MS));
            }
        });
        Ok(worker)
    }

    fn now(&self) -> u64 {
        self.life.lock().unwrap().0.elapsed().as_millis() as u64
    }

    pub fn born(&self) -> u64 {
        self.life.lock().unwrap().1
    }

    /// Ends the process: what runs is gone, and calls break off.
    pub fn crash(&self) {
        self.down.store(true, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        let at = self.record.now();
        for seen in state.seen.iter_mut().filter(|seen| seen.ended.is_none()) {
            (seen.ended, seen.how) = (Some(at), "crashed".to_owned());
        }
        let seen = std::mem::take(&mut state.seen);
        *state = State { seen, ..State::default() };
        self.record.line(format!("{} crashes", self.id));
    }

    /// Starts the process again under its id, with this start; it knows nothing of before.
    pub fn start_again(&self, born: u64) {
        *self.life.lock().unwrap() = (Instant::now(), born);
        *self.sequence.lock().unwrap() = 0;
        self.draining.store(false, Ordering::SeqCst);
        self.down.store(false, Ordering::SeqCst);
        self.record.line(format!("{} starts again, born {born}", self.id));
    }

    /// Returns path and body of the next heartbeat.
    pub fn next_beat(&self) -> (String, String) {
        let mut sequence = self.sequence.lock().unwrap();
        *sequence += 1;
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let mut beat = json!({
            "backend": self.pool, "address": self.addr.to_string(), "zone": "north",
            "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 131_072, "gpus": GPUS},
            "labels": ["a", self.rack], "clockMs": self.now(), "sequence": *sequence,
            "born": self.born(),
        });
        if state == "draining" {
            beat["remainingMs"] = 2000.into();
        }
        (format!("/-/instances/{}", self.id), beat.to_string())
    }

    /// Sends a heartbeat; returns whether it was acknowledged within a second.
    pub fn beat(&self) -> bool {
        let (path, body) = self.next_beat();
        let timeout = Duration::from_secs(1);
        http::call(self.agent, "PUT", &path, &[], &body, timeout)
            .is_some_and(|answer| (200..300).contains(&answer.status))
    }

    /// Returns all runs that this worker has started.
    pub fn seen(&self) -> Vec<Seen> {
        self.state.lock().unwrap().seen.clone()
    }

    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }

    fn tick(&self) {
        if self.down.load(Ordering::SeqCst) {
            return;
        }
        let mut state = self.state.lock().unwrap();
        let now = self.now();
        if now > state.deadline && !state.lapsed {
            state.lapsed = true;
            let open: Vec<u64> = state.finished.iter().map(|end| end.0).collect();
            for seen in &mut state.seen {
                seen.lapsed_between |= seen.ended.is_some() && open.contains(&seen.number);
            }
            let lapsing: Vec<Run> = std::mem::take(&mut state.running);
            for run in lapsing {
                self.end(&mut state, &run, "lapsed");
            }
        }
        let (ending, going): (Vec<Run>, Vec<Run>) =
            std::mem::take(&mut state.running).into_iter().partition(|run| {
                run.ends.is_some_and(|at| at <= now) || run.stops.is_some_and(|at| at <= now)
            });
        state.running = going;
        for run in ending {
            let own = run.ends.is_some_and(|at| at <= now);
            let how = if own { run.how.clone() } else { "stopped".to_owned() };
            self.end(&mut state, &run, &how);
        }
    }

    fn end(&self, state: &mut State, run: &Run, how: &str) {
        state.last_number += 1;
        let number = state.last_number;
        state.finished.push_back((number, run.task.clone(), run.run, how.to_owned()));
        let highest = state.highest.entry(run.task.clone()).or_default();
        *highest = run.run.max(*highest);
        let at = self.record.now();
        let seen = state.seen.iter_mut().find(|seen| seen.task == run.task && seen.run == run.run);
        if let Some(seen) = seen {
            (seen.ended, seen.how, seen.number) = (Some(at), how.to_owned(), number);
        }
        self.record.line(format!("{} end {} run {} {how}", self.id, run.task, run.run));
        self.ended.notify_all();
    }

    fn handle(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        if method == "GET" {
            return (200, "{}".to_owned());
        }
        if self.down.load(Ordering::SeqCst) {
            // The connection is closed without an answer.
            return (0, String::new());
        }
        let body: Value = serde_json::from_str(body).unwrap_or_default();
        match path {
            "/-/run-start" => self.run_start(&body),
            "/-/run-stop" => self.run_stop(&body),
            "/-/hold" => self.hold(&body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (409, json!({"clockMs": self.now(), "born": self.born(), "reason": reason}).to_string())
    }

    fn accept(&self) -> (u16, String) {
        (200, json!({"clockMs": self.now(), "born": self.born()}).to_string())
    }

    /// Checks the fencing token of a call.
    fn fenced(state: &mut State, body: &Value) -> bool {
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < state.fence {
            return true;
        }
        state.fence = token;
        false
    }

    fn extend(&self, state: &mut State, body: &Value) {
        let Some(deadline) = body["deadlineMs"].as_u64() else { return };
        let now = self.now();
        let deadline = deadline.min(now + MAX_HOLD_MS);
        if deadline > now {
            state.lapsed = false;
        }
        state.deadline = state.deadline.max(deadline);
    }

    fn run_start(&self, body: &Value) -> (u16, String) {
        self.tick();
        let mut state = self.state.lock().unwrap();
        let now = self.now();
        if Self::fenced(&mut state, body) {
            return self.refuse("fence");
        }
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return (400, "{}".to_owned());
        };
        if body["deadlineMs"].as_u64().unwrap_or(0) <= now {
            return self.refuse("late");
        }
        self.extend(&mut state, body);
        if state.running.iter().any(|known| known.task == task && known.run == run) {
            return self.accept();
        }
        let other = state.running.iter().any(|known| known.task == task);
        if other || state.highest.get(task).is_some_and(|highest| run <= *highest) {
            self.record.line(format!("{} refuses {task} run {run}: old", self.id));
            return self.refuse("old");
        }
        let spec = body["spec"].as_str().unwrap_or("");
        let words: Vec<&str> = spec.split_whitespace().collect();
        let after = |word: &str| {
            let at = words.iter().position(|known| *known == word)?;
            words.get(at + 1).copied()
        };
        let mut work = after("work").and_then(|ms| ms.parse::<u64>().ok()).unwrap_or(0);
        let index: u64 = task.rsplit('.').next().and_then(|i| i.parse().ok()).unwrap_or(0);
        let spread = after("spread").and_then(|ms| ms.parse::<u64>().ok()).unwrap_or(0);
        if spread > 0 {
            work += index * 7919 % spread;
        }
        let cpu = after("cpu").and_then(|cpu| cpu.parse::<u64>().ok()).unwrap_or(0);
        let used: u64 = state.running.iter().map(|run| run.cpu).sum();
        let gpus = after("gpus").and_then(|gpus| gpus.parse::<u64>().ok()).unwrap_or(0);
        let used_gpus: u64 = state.running.iter().map(|run| run.gpus).sum();
        if used + cpu > self.cpu || used_gpus + gpus > GPUS {
            return self.refuse("room");
        }
        state.running.push(Run {
            task: task.to_owned(),
            run,
            began: now,
            ends: (work > 0).then_some(now + work),
            how: after("end").unwrap_or("done").to_owned(),
            stops: None,
            cpu,
            gpus,
        });
        state.seen.push(Seen {
            task: task.to_owned(),
            run,
            started: self.record.now(),
            ended: None,
            how: String::new(),
            noted: None,
            lapsed_between: false,
            number: 0,
        });
        self.record.line(format!("{} start {task} run {run}", self.id));
        self.accept()
    }

    fn run_stop(&self, body: &Value) -> (u16, String) {
        self.tick();
        let mut state = self.state.lock().unwrap();
        let now = self.now();
        if Self::fenced(&mut state, body) {
            return self.refuse("fence");
        }
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return (400, "{}".to_owned());
        };
        self.record.line(format!("{} stop {task} run {run}", self.id));
        let known = state.running.iter_mut().find(|known| known.task == task && known.run == run);
        match known {
            Some(known) => {
                known.stops.get_or_insert(now + STOP_MS);
            }
            None => {
                let highest = state.highest.entry(task.to_owned()).or_default();
                *highest = run.max(*highest);
            }
        }
        self.accept()
    }

    fn hold(&self, body: &Value) -> (u16, String) {
        self.tick();
        let mut state = self.state.lock().unwrap();
        if Self::fenced(&mut state, body) {
            return self.refuse("fence");
        }
        self.extend(&mut state, body);
        let last_seen = body["lastSeen"].as_u64().unwrap_or(0);
        let at = self.record.now();
        while state.finished.front().is_some_and(|end| end.0 <= last_seen) {
            let Some((number, ..)) = state.finished.pop_front() else { break };
            if let Some(seen) = state.seen.iter_mut().find(|seen| seen.number == number) {
                seen.noted = Some(at);
            }
        }
        let wait = body["waitMs"].as_u64().unwrap_or(0).min(2000);
        if wait > 0 && state.finished.is_empty() {
            let wait = Duration::from_millis(wait);
            let empty = |state: &mut State| state.finished.is_empty();
            state = self.ended.wait_timeout_while(state, wait, empty).unwrap().0;
        }
        let now = self.now();
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|run| {
                let whole = run.ends.map_or(0, |at| at - run.began);
                let percent = if whole == 0 { 100 } else { (now - run.began) * 100 / whole };
                json!([run.task, run.run, "", percent.min(100), run.cpu])
            })
            .collect();
        let finished: Vec<Value> = state
            .finished
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        if let (Some(first), true) = (state.finished.front(), state.finished.len() > 1) {
            self.record.line(format!(
                "{} lists {} ends from number {} on, lastSeen {last_seen}",
                self.id,
                finished.len(),
                first.0
            ));
        }
        let lists = json!({
            "clockMs": now, "born": self.born(), "running": running, "finished": finished,
        });
        (200, lists.to_string())
    }
}
