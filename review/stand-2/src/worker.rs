//! A sound worker, as the pages describe it: it starts, runs and stops tasks under its deadline,
//! lists its runs and their ends, checks fencing tokens and room, and sends heartbeats.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http;
use crate::record;

/// `maxHoldMs` of the deployment.
const MAX_HOLD_MS: u64 = 10_000;

/// `heartbeatIntervalMs` of the deployment.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// How long a heartbeat may take to be acknowledged.
const ACK_LIMIT: Duration = Duration::from_secs(1);

/// How long a task that lasts takes to begin its work.
const STARTUP_MS: u64 = 300;

/// A run in progress.
#[derive(Clone)]
struct Run {
    run: u32,
    began: u64,
    /// Its work in ms; none for a task that lasts.
    work: Option<u64>,
    need: [u64; 3],
}

/// One run as the checks see it, on the clock of the record.
#[derive(Clone, Debug)]
pub struct Seen {
    pub worker: String,
    pub task: String,
    pub run: u32,
    pub began: u64,
    pub ended: Option<(u64, String)>,
}

#[derive(Default)]
struct State {
    dead: bool,
    fence: u64,
    deadline: u64,
    running: BTreeMap<String, Run>,
    /// The ends that are not acknowledged: number, task, run, how.
    finished: Vec<(u64, String, u32, String)>,
    last_end: u64,
    /// The highest run of each task that was stopped or ended here.
    over: BTreeMap<String, u32>,
    seen: Vec<Seen>,
    sequence: u64,
}

/// A worker. Clones are the same worker.
#[derive(Clone)]
pub struct Worker(Arc<Inner>);

struct Inner {
    id: String,
    backend: String,
    addr: SocketAddr,
    /// The control address on its machine.
    agent: SocketAddr,
    zone: String,
    rack: String,
    kind: String,
    capacity: [u64; 3],
    start: Instant,
    born: u64,
    state: Mutex<State>,
    changed: Condvar,
}

impl Worker {
    /// Starts a worker with its labels: its kind and its rack.
    pub fn start(
        id: &str,
        backend: &str,
        addr: SocketAddr,
        agent: SocketAddr,
        (kind, rack): (&str, &str),
    ) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let listener = TcpListener::bind(addr).expect("the worker's address is free");
        let worker = Self(Arc::new(Inner {
            id: id.to_owned(),
            backend: backend.to_owned(),
            addr,
            agent,
            zone: "zone-1".to_owned(),
            rack: rack.to_owned(),
            kind: kind.to_owned(),
            capacity: [32_000, 131_072, 8],
            start: Instant::now(),
            born,
            state: Mutex::default(),
            changed: Condvar::new(),
        }));
        let (serving, ticking, beating) = (worker.clone(), worker.clone(), worker.clone());
        thread::spawn(move || serving.accept(listener));
        thread::spawn(move || ticking.tick());
        thread::spawn(move || beating.beat());
        worker
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    fn clock(&self) -> u64 {
        self.0.start.elapsed().as_millis() as u64 + 5000
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.state.lock().unwrap()
    }

    /// All runs of this worker so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.lock().seen.clone()
    }

    /// The worker crashes: it runs nothing and says nothing any more.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.dead = true;
        let now = record::now();
        for seen in state.seen.iter_mut().filter(|seen| seen.ended.is_none()) {
            seen.ended = Some((now, "crash".to_owned()));
        }
        state.running.clear();
        drop(state);
        self.0.changed.notify_all();
        record::line(format!("{} crashes", self.0.id));
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect_timeout(&self.0.addr, Duration::from_millis(200));
    }

    /// Ends the run in progress of a task, as the task does by itself.
    pub fn end_task(&self, task: &str, how: &str) -> bool {
        let mut state = self.lock();
        if !state.running.contains_key(task) {
            return false;
        }
        self.finish(&mut state, task, how);
        drop(state);
        self.0.changed.notify_all();
        true
    }

    fn finish(&self, state: &mut State, task: &str, how: &str) {
        let Some(run) = state.running.remove(task) else { return };
        state.last_end += 1;
        let number = state.last_end;
        state.finished.push((number, task.to_owned(), run.run, how.to_owned()));
        let over = state.over.entry(task.to_owned()).or_default();
        *over = run.run.max(*over);
        let same = |seen: &&mut Seen| seen.task == task && seen.run == run.run;
        if let Some(seen) = state.seen.iter_mut().rev().find(same) {
            seen.ended = Some((record::now(), how.to_owned()));
        }
        record::line(format!("{} lists the end of {task} run {}: {how}", self.0.id, run.run));
    }

    /// Ends what is due: tasks that have done their work, and everything once the lease is over.
    fn advance(&self, state: &mut State) {
        let clock = self.clock();
        if clock >= state.deadline {
            let tasks: Vec<_> = state.running.keys().cloned().collect();
            for task in tasks {
                self.finish(state, &task, "lapsed");
            }
        }
        let due = |run: &Run| run.work.is_some_and(|work| clock >= run.began + work);
        let due: Vec<_> = state
            .running
            .iter()
            .filter(|(_, run)| due(run))
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            self.finish(state, &task, "done");
        }
    }

    fn tick(&self) {
        loop {
            thread::sleep(Duration::from_millis(20));
            let mut state = self.lock();
            if state.dead {
                return;
            }
            let before = state.last_end;
            self.advance(&mut state);
            if state.last_end != before {
                self.0.changed.notify_all();
            }
        }
    }

    fn accept(&self, listener: TcpListener) {
        for stream in listener.incoming() {
            if self.lock().dead {
                return;
            }
            let Ok(stream) = stream else { continue };
            let worker = self.clone();
            thread::spawn(move || worker.serve(stream));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(request) = http::read_message(&mut stream, &mut rest) {
            let (status, body) = self.answer(&request);
            if self.lock().dead || http::respond(&mut stream, status, &body.to_string()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> (u16, Value) {
        if request.header("x-target-instance").is_some_and(|id| id != self.0.id) {
            return (421, json!({}));
        }
        let body = request.json();
        let mut state = self.lock();
        if state.dead {
            // A worker that has crashed carries nothing out; `serve` sends no answer.
            return (503, json!({}));
        }
        self.advance(&mut state);
        let (status, mut answer) = match request.word(1) {
            "/-/run-start" => self.run_start(&mut state, &body),
            "/-/run-stop" => self.run_stop(&mut state, &body),
            "/-/hold" => return self.hold(state, &body),
            "/healthz" => (200, json!({})),
            _ => (404, json!({})),
        };
        answer["clockMs"] = self.clock().into();
        answer["born"] = self.0.born.into();
        (status, answer)
    }

    /// Checks and keeps the fencing token.
    fn fence(state: &mut State, body: &Value) -> bool {
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        let valid = token >= state.fence;
        state.fence = state.fence.max(token);
        valid
    }

    fn extend(&self, state: &mut State, body: &Value) {
        if let Some(deadline) = body["deadlineMs"].as_u64() {
            state.deadline = state.deadline.max(deadline.min(self.clock() + MAX_HOLD_MS));
        }
    }

    fn run_start(&self, state: &mut State, body: &Value) -> (u16, Value) {
        let refuse = |reason: &str| (409, json!({ "reason": reason }));
        if !Self::fence(state, body) {
            return refuse("fence");
        }
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let run = body["run"].as_u64().unwrap_or(0) as u32;
        if body["deadlineMs"].as_u64().unwrap_or(0) <= self.clock() {
            return refuse("late");
        }
        self.extend(state, body);
        if state.running.get(&task).is_some_and(|known| known.run == run) {
            return (200, json!({}));
        }
        if state.over.get(&task).is_some_and(|over| run <= *over) {
            return refuse("old");
        }
        let spec: Value =
            serde_json::from_str(body["spec"].as_str().unwrap_or("")).unwrap_or_default();
        let step = task.split('.').nth(2).and_then(|step| step.parse::<usize>().ok()).unwrap_or(0);
        let spec = &spec[step];
        let amount = |name: &str| spec[name].as_u64().unwrap_or(0);
        let need = [amount("cpu"), amount("memMb"), amount("gpus")];
        let used = |at: usize| state.running.values().map(|run| run.need[at]).sum::<u64>();
        if (0..3).any(|at| used(at) + need[at] > self.0.capacity[at]) {
            record::line(format!("{} refuses {task} run {run}: room", self.0.id));
            return refuse("room");
        }
        let work = spec["workMs"].as_u64();
        let began = self.clock();
        state.running.insert(task.clone(), Run { run, began, work, need });
        record::line(format!("{} starts {task} run {run}", self.0.id));
        let (worker, began) = (self.0.id.clone(), record::now());
        state.seen.push(Seen { worker, task, run, began, ended: None });
        (200, json!({}))
    }

    fn run_stop(&self, state: &mut State, body: &Value) -> (u16, Value) {
        if !Self::fence(state, body) {
            return (409, json!({ "reason": "fence" }));
        }
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let run = body["run"].as_u64().unwrap_or(0) as u32;
        let over = state.over.entry(task.clone()).or_default();
        *over = run.max(*over);
        record::line(format!("{} is told to stop {task} run {run}", self.0.id));
        if state.running.get(&task).is_some_and(|known| known.run == run) {
            self.finish(state, &task, "stopped");
            self.0.changed.notify_all();
        }
        (200, json!({}))
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Value) -> (u16, Value) {
        if !Self::fence(&mut state, body) {
            return (
                409,
                json!({ "reason": "fence", "clockMs": self.clock(), "born": self.0.born }),
            );
        }
        self.extend(&mut state, body);
        let last_seen = body["lastSeen"].as_u64().unwrap_or(0);
        state.finished.retain(|(number, ..)| *number > last_seen);
        let until =
            Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2000));
        let before = state.last_end;
        while state.last_end == before && !state.dead {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.0.changed.wait_timeout(state, left).unwrap().0;
        }
        let clock = self.clock();
        let percent = |run: &Run| match run.work {
            Some(work) => ((clock - run.began) * 100 / work.max(1)).min(99),
            None if clock - run.began < STARTUP_MS => 0,
            None => 100,
        };
        let running: Vec<_> = state
            .running
            .iter()
            .map(|(task, run)| json!([task, run.run, "", percent(run), run.need[0]]))
            .collect();
        let finished: Vec<_> = state
            .finished
            .iter()
            .take(500)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let lists = json!({
            "clockMs": clock, "born": self.0.born, "running": running, "finished": finished,
        });
        (200, lists)
    }

    /// The next heartbeat, with the next sequence number.
    fn heartbeat(&self) -> (u64, Vec<u8>) {
        let mut state = self.lock();
        state.sequence += 1;
        let [cpu, memory, gpus] = self.0.capacity;
        let body = json!({
            "backend": self.0.backend, "address": self.0.addr.to_string(), "zone": self.0.zone,
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "capacity": { "cpu": cpu, "memMb": memory, "gpus": gpus },
            "labels": [self.0.kind, self.0.rack], "clockMs": self.clock(), "born": self.0.born,
            "sequence": state.sequence,
        });
        let path = format!("/-/instances/{}", self.0.id);
        (state.sequence, http::request("PUT", &path, &[], body.to_string().as_bytes()))
    }

    /// Sends a heartbeat to the agent on its machine and returns whether it was acknowledged.
    fn send(&self, bytes: &[u8]) -> bool {
        let sent = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.0.agent, ACK_LIMIT)?;
            stream.set_read_timeout(Some(ACK_LIMIT))?;
            stream.write_all(bytes)?;
            let answer = http::read_message(&mut stream, &mut Vec::new())?;
            Ok(answer.word(1).parse().unwrap_or(0))
        };
        sent().is_ok_and(|status| status == 200)
    }

    fn beat(&self) {
        while !self.lock().dead {
            let (sequence, bytes) = self.heartbeat();
            let acknowledged = self.send(&bytes);
            if sequence <= 2 {
                record::line(format!(
                    "{} heartbeat {sequence}: acknowledged {acknowledged}",
                    self.0.id
                ));
            }
            thread::sleep(HEARTBEAT);
        }
    }
}
