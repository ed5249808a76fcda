//! A stand-in for a worker (PROTOCOL, "Running tasks" and "Service discovery").
//!
//! A machine lives on; `crash` and `start` end and begin lives of its worker. Each life has a clock,
//! counts and a `born` of its own.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http;
use crate::record::Record;

/// The longest time for which a lease lasts (`maxHoldMs` of the settings).
pub const MAX_HOLD_MS: u64 = 10_000;
const BEAT_MS: u64 = 1500;
const STOP_MS: u64 = 100;

/// What a task needs and does, by the identifier of its job and the number of its step.
#[derive(Clone, Debug)]
pub struct Shape {
    pub cpu: u64,
    pub mem: u64,
    pub gpus: u64,
    /// How long it works; none if it lasts.
    pub work: Option<Duration>,
    /// How it ends when its work is over.
    pub end: &'static str,
}

#[derive(Clone, Default)]
pub struct Shapes(Arc<Mutex<BTreeMap<(String, u32), Shape>>>);

impl Shapes {
    pub fn set(&self, id: &str, step: u32, shape: Shape) {
        self.0.lock().unwrap().insert((id.to_owned(), step), shape);
    }

    fn of(&self, task: &str) -> Option<Shape> {
        let mut parts = task.split('.');
        let id = parts.next()?.to_owned();
        let step = parts.nth(1)?.parse().ok()?;
        self.0.lock().unwrap().get(&(id, step)).cloned()
    }
}

/// A run as the worker has seen it, for the judge.
#[derive(Clone, Debug)]
pub struct Seen {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub from: Instant,
    pub to: Option<Instant>,
    pub how: &'static str,
    /// When `lastSeen` reached its end.
    pub noted: Option<Instant>,
}

#[derive(Clone, Default)]
pub struct History(pub Arc<Mutex<Vec<Seen>>>);

struct Running {
    from: Instant,
    shape: Shape,
    stop_at: Option<Instant>,
    /// The index in the history.
    seen: usize,
}

struct Life {
    born: u64,
    clock: Instant,
    fence: u64,
    /// On this life's clock.
    deadline: u64,
    running: BTreeMap<(String, u64), Running>,
    /// The highest run that has ended or was stopped, by task.
    highest: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str, usize)>,
    ends: u64,
    sequence: u64,
    draining: bool,
}

pub struct Machine {
    pub name: String,
    pub addr: SocketAddr,
    agent: SocketAddr,
    pool: String,
    labels: Vec<String>,
    capacity: (u64, u64, u64),
    shapes: Shapes,
    history: History,
    record: Record,
    life: Mutex<Option<Life>>,
    /// Ends the threads of a life.
    alive: Mutex<Arc<AtomicBool>>,
    connections: Mutex<Vec<TcpStream>>,
}

pub struct Spec {
    pub name: String,
    pub addr: SocketAddr,
    pub agent: SocketAddr,
    pub pool: String,
    pub labels: Vec<String>,
    pub capacity: (u64, u64, u64),
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Machine {
    pub fn new(spec: Spec, shapes: Shapes, history: History, record: Record) -> Arc<Self> {
        Arc::new(Self {
            name: spec.name,
            addr: spec.addr,
            agent: spec.agent,
            pool: spec.pool,
            labels: spec.labels,
            capacity: spec.capacity,
            shapes,
            history,
            record,
            life: Mutex::new(None),
            alive: Mutex::default(),
            connections: Mutex::default(),
        })
    }

    /// Begins a life. `clock_step_ms` is by how much the machine's time of day is off.
    pub fn start(self: &Arc<Self>, clock_step_ms: i64) {
        let born = (wall_ms() as i64 + clock_step_ms) as u64;
        let life = Life {
            born,
            clock: Instant::now(),
            fence: 0,
            deadline: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
            sequence: 0,
            draining: false,
        };
        *self.life.lock().unwrap() = Some(life);
        let alive = Arc::new(AtomicBool::new(true));
        *self.alive.lock().unwrap() = alive.clone();
        let listener = TcpListener::bind(self.addr).expect("the worker's port is free");
        listener.set_nonblocking(true).unwrap();
        self.record.line(format!("worker {} starts, born {born}", self.name));
        let (machine, on) = (self.clone(), alive.clone());
        thread::spawn(move || machine.accept(listener, on));
        let (machine, on) = (self.clone(), alive.clone());
        thread::spawn(move || machine.beat(on));
        let machine = self.clone();
        thread::spawn(move || {
            while alive.load(Ordering::SeqCst) {
                machine.step();
                thread::sleep(Duration::from_millis(5));
            }
        });
    }

    /// Ends the life at once, as a crash does.
    pub fn crash(&self) {
        self.alive.lock().unwrap().store(false, Ordering::SeqCst);
        if let Some(life) = self.life.lock().unwrap().take() {
            let mut history = self.history.0.lock().unwrap();
            for (_, run) in life.running {
                history[run.seen].to = Some(Instant::now());
                history[run.seen].how = "gone with its worker";
            }
        }
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // The accept loop closes the listener within a few milliseconds.
        thread::sleep(Duration::from_millis(40));
        self.record.line(format!("worker {} is gone", self.name));
    }

    /// Has the worker report that it drains from now on. Returns whether that was acknowledged.
    pub fn drain(&self) -> bool {
        if let Some(life) = self.life.lock().unwrap().as_mut() {
            life.draining = true;
        }
        let acknowledged = self.send_beat();
        self.record.line(format!("worker {} drains, acknowledged {acknowledged}", self.name));
        acknowledged
    }

    /// The next heartbeat, which the caller sends later, as one that is held up on its way.
    pub fn next_beat(&self) -> Option<String> {
        let mut life = self.life.lock().unwrap();
        let life = life.as_mut()?;
        life.sequence += 1;
        let mut body = json!({
            "backend": self.pool, "address": self.addr.to_string(), "zone": "zone-1",
            "version": "v1", "slots": 64,
            "state": if life.draining { "draining" } else { "ready" },
            "coldRemainingMs": 0,
            "capacity": { "cpu": self.capacity.0, "memMb": self.capacity.1, "gpus": self.capacity.2 },
            "labels": self.labels, "clockMs": life.clock.elapsed().as_millis() as u64,
            "sequence": life.sequence, "born": life.born,
        });
        if life.draining {
            body["remainingMs"] = 2000.into();
        }
        Some(body.to_string())
    }

    /// Delivers a heartbeat. Returns whether it was acknowledged.
    pub fn deliver(&self, beat: &str) -> bool {
        let path = format!("/-/instances/{}", self.name);
        let headers = [("Content-Type", "application/json")];
        let reply = http::call(self.agent, "PUT", &path, &headers, beat, Duration::from_secs(1));
        matches!(reply, Ok((200..300, _)))
    }

    /// Delivers the notice that the worker leaves.
    pub fn deliver_leave(&self) {
        let path = format!("/-/instances/{}", self.name);
        let reply = http::call(self.agent, "DELETE", &path, &[], "", Duration::from_secs(1));
        let status = reply.map(|(status, _)| status);
        self.record.line(format!("DELETE of worker {} arrives, answered {status:?}", self.name));
    }

    fn send_beat(&self) -> bool {
        self.next_beat().is_some_and(|beat| self.deliver(&beat))
    }

    fn beat(&self, alive: Arc<AtomicBool>) {
        while alive.load(Ordering::SeqCst) {
            let wait = if self.send_beat() { BEAT_MS } else { 200 };
            let until = Instant::now() + Duration::from_millis(wait);
            while Instant::now() < until && alive.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    fn accept(self: Arc<Self>, listener: TcpListener, alive: Arc<AtomicBool>) {
        while alive.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    let _ = stream.set_nodelay(true);
                    self.connections.lock().unwrap().push(stream.try_clone().unwrap());
                    let (machine, alive) = (self.clone(), alive.clone());
                    thread::spawn(move || machine.serve(stream, alive));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream, alive: Arc<AtomicBool>) {
        let mut reader = http::Reader::default();
        while let Some(request) = reader.request(&mut stream) {
            if !alive.load(Ordering::SeqCst) {
                return;
            }
            let (status, body) = self.answer(&request, &alive);
            if !alive.load(Ordering::SeqCst) {
                return;
            }
            if stream.write_all(http::response(status, &body.to_string()).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Request, alive: &AtomicBool) -> (u16, Value) {
        if request.header("x-target-instance").is_some_and(|name| name != self.name) {
            return (421, json!({ "reason": "instance" }));
        }
        let body: Value = serde_json::from_str(&request.body).unwrap_or_default();
        let number = |name: &str| body[name].as_f64().map(|number| number as u64);
        let (task, run) =
            (body["task"].as_str().unwrap_or("").to_owned(), number("run").unwrap_or(0));
        {
            let mut life = self.life.lock().unwrap();
            let Some(life) = life.as_mut() else { return (503, json!({})) };
            let clock = life.clock.elapsed().as_millis() as u64;
            let refused = |reason: &str| {
                (409, json!({ "clockMs": clock, "reason": reason, "born": life.born }))
            };
            let token = number("fencingToken").unwrap_or(0);
            if token < life.fence {
                return refused("fence");
            }
            life.fence = token;
            if let Some(deadline) = number("deadlineMs") {
                life.deadline = life.deadline.max(deadline.min(clock + MAX_HOLD_MS));
            }
            let fine = (200, json!({ "clockMs": clock, "born": life.born }));
            match request.path.as_str() {
                "/-/run-start" => {
                    let Some(shape) = self.shapes.of(&task) else { return (400, json!({})) };
                    if life.running.contains_key(&(task.clone(), run)) {
                        return fine;
                    }
                    if life.highest.get(&task).is_some_and(|highest| run <= *highest) {
                        return refused("old");
                    }
                    if life.deadline <= clock {
                        return refused("late");
                    }
                    let used = life.running.values().fold((0, 0, 0), |sum, run| {
                        let shape = &run.shape;
                        (sum.0 + shape.cpu, sum.1 + shape.mem, sum.2 + shape.gpus)
                    });
                    let fits = used.0 + shape.cpu <= self.capacity.0
                        && used.1 + shape.mem <= self.capacity.1
                        && used.2 + shape.gpus <= self.capacity.2;
                    if !fits {
                        return refused("room");
                    }
                    self.record.line(format!("worker {} starts {task} run {run}", self.name));
                    let seen = {
                        let mut history = self.history.0.lock().unwrap();
                        history.push(Seen {
                            task: task.clone(),
                            run,
                            worker: self.name.clone(),
                            from: Instant::now(),
                            to: None,
                            how: "",
                            noted: None,
                        });
                        history.len() - 1
                    };
                    let running = Running { from: Instant::now(), shape, stop_at: None, seen };
                    life.running.insert((task, run), running);
                    return fine;
                }
                "/-/run-stop" => {
                    match life.running.get_mut(&(task.clone(), run)) {
                        Some(running) => {
                            let at = Instant::now() + Duration::from_millis(STOP_MS);
                            running.stop_at = running.stop_at.or(Some(at));
                        }
                        None => {
                            let highest = life.highest.entry(task).or_default();
                            *highest = run.max(*highest);
                        }
                    }
                    return fine;
                }
                "/-/hold" => {
                    let noted = number("lastSeen").unwrap_or(0);
                    let mut history = self.history.0.lock().unwrap();
                    life.finished.retain(|(end, _, _, _, seen)| {
                        if *end <= noted {
                            history[*seen].noted = Some(Instant::now());
                        }
                        *end > noted
                    });
                }
                _ => return (404, json!({})),
            }
        }
        // The answer to a hold waits for an end.
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(2000));
        let ends = self.life.lock().unwrap().as_ref().map_or(0, |life| life.ends);
        loop {
            if let Some(life) = self.life.lock().unwrap().as_ref() {
                if life.ends != ends || Instant::now() >= until {
                    return (200, lists(life));
                }
            }
            if !alive.load(Ordering::SeqCst) {
                return (503, json!({}));
            }
            thread::sleep(Duration::from_millis(3));
        }
    }

    /// Ends the runs whose time has come.
    fn step(&self) {
        let mut life = self.life.lock().unwrap();
        let Some(life) = life.as_mut() else { return };
        let now = Instant::now();
        let lapsed = life.clock.elapsed().as_millis() as u64 >= life.deadline;
        let mut ended = Vec::new();
        for (key, run) in &life.running {
            let over = run.shape.work.is_some_and(|work| run.from + work <= now);
            let how = match () {
                () if lapsed => "lapsed",
                () if run.stop_at.is_some_and(|at| at <= now) => "stopped",
                () if over => run.shape.end,
                () => continue,
            };
            ended.push((key.clone(), how));
        }
        for (key, how) in ended {
            let run = life.running.remove(&key).unwrap();
            life.ends += 1;
            self.record.line(format!("worker {} ends {} run {}: {how}", self.name, key.0, key.1));
            let highest = life.highest.entry(key.0.clone()).or_default();
            *highest = key.1.max(*highest);
            life.finished.push((life.ends, key.0, key.1, how, run.seen));
            let mut history = self.history.0.lock().unwrap();
            history[run.seen].to = Some(now);
            history[run.seen].how = how;
        }
    }
}

fn lists(life: &Life) -> Value {
    let running = life.running.iter().map(|((task, run), state)| {
        let worked = state.from.elapsed().as_secs_f64();
        let percent =
            state.shape.work.map_or(100.0, |work| (worked / work.as_secs_f64() * 100.0).min(99.0));
        json!([task, run, "", percent as u64, state.shape.cpu])
    });
    let finished = life.finished.iter().take(500);
    let finished = finished.map(|(number, task, run, how, _)| json!([number, task, run, how, ""]));
    json!({
        "clockMs": life.clock.elapsed().as_millis() as u64,
        "born": life.born,
        "running": running.collect::<Vec<_>>(),
        "finished": finished.collect::<Vec<_>>(),
    })
}
