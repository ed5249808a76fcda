//! A small deployment: the project's own programs as processes of their own, on addresses of the
//! loopback range, with the commands of the deploy file.

use std::collections::BTreeSet;
use std::fs;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;
use crate::record::Record;
use crate::worker::{History, Machine, Shapes, Spec};

pub const HOST: &str = "nony24.example";
pub const POOL: &str = "huvo11a";
/// `memoryMb` of the machines that serve control.
const CONTROL_MEMORY_MB: u64 = 260;
const PROGRAM: &str = "target/release/hemlockcleat-platform";

/// A process of the system, which the platform starts again when it ends.
pub struct Node {
    pub name: String,
    role: &'static str,
    ip: Ipv4Addr,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
}

/// A process that ends the system's processes if this one ends without doing so, as by a signal.
pub struct Guard(Mutex<ChildStdin>);

impl Guard {
    fn start() -> Self {
        let program = std::env::current_exe().expect("the program's own path");
        let child = Command::new(program).arg("guard").stdin(Stdio::piped()).spawn();
        let mut child = child.expect("the guard starts");
        Self(Mutex::new(child.stdin.take().expect("the guard's input")))
    }

    fn tell(&self, sign: char, pid: u32) {
        let _ = writeln!(self.0.lock().unwrap(), "{sign}{pid}");
    }
}

/// Reads which processes begin (`+PID`) and end (`-PID`), and ends those that are left once the input
/// has ended.
pub fn guard() {
    let mut pids = BTreeSet::new();
    for line in std::io::stdin().lines().map_while(Result::ok) {
        match line.split_at_checked(1) {
            Some(("+", pid)) => pids.insert(pid.to_owned()),
            Some((_, pid)) => pids.remove(pid),
            None => false,
        };
    }
    for pid in pids {
        let _ = Command::new("sh").args(["-c", &format!("kill -9 {pid}")]).status();
    }
}

pub struct System {
    guard: Guard,
    pub record: Record,
    pub shapes: Shapes,
    pub history: History,
    pub controls: Vec<Arc<Node>>,
    pub entries: Vec<Arc<Node>>,
    pub agents: Vec<Arc<Node>>,
    pub machines: Vec<Arc<Machine>>,
    base: (u8, u8),
    folder: PathBuf,
}

impl System {
    /// Lays out a deployment: three machines with a disk, each with control and entry, and one side
    /// machine for each worker.
    pub fn start(record: Record, workers: &[(&str, &str, (u64, u64, u64))]) -> Self {
        let base = free_base();
        let folder = std::env::temp_dir().join(format!("stand-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut system = Self {
            guard: Guard::start(),
            record,
            shapes: Shapes::default(),
            history: History::default(),
            controls: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            machines: Vec::new(),
            base,
            folder,
        };
        for number in 1..=3 {
            let ip = system.ip(number);
            let control = system.node("control", number, ip);
            let entry = system.node("entry", number, ip);
            system.controls.push(control);
            system.entries.push(entry);
        }
        for number in 0..workers.len() {
            let ip = system.ip(11 + number as u8);
            let agent = system.node("agent", 11 + number as u8, ip);
            system.agents.push(agent);
        }
        for node in system.controls.iter().chain(&system.entries).chain(&system.agents) {
            system.spawn(node, true);
        }
        for (number, (name, rack, capacity)) in workers.iter().enumerate() {
            let ip = system.ip(11 + number as u8);
            let spec = Spec {
                name: (*name).to_owned(),
                addr: SocketAddr::from((ip, 8529)),
                agent: SocketAddr::from((ip, 8526)),
                pool: POOL.to_owned(),
                labels: vec!["a".to_owned(), (*rack).to_owned()],
                capacity: *capacity,
            };
            let (shapes, history) = (system.shapes.clone(), system.history.clone());
            system.machines.push(Machine::new(spec, shapes, history, system.record.clone()));
        }
        system
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.base.0, self.base.1, last)
    }

    fn node(&self, role: &'static str, number: u8, ip: Ipv4Addr) -> Arc<Node> {
        let name = format!("{role}-{number}");
        let folder = self.folder.join(&name);
        Arc::new(Node { name, role, ip, folder, child: Mutex::new(None) })
    }

    fn settings(&self, node: &Node, bootstrap: bool) -> Value {
        let seeds: Vec<_> = (1..=3).map(|number| format!("{}:8526", self.ip(number))).collect();
        let ip = node.ip.to_string();
        let at = |port: u16| format!("{ip}:{port}");
        let listen = match node.role {
            "entry" => json!({ "frontend": at(8521), "readiness": at(8523) }),
            _ => json!({ "control": at(8526) }),
        };
        let disk = node.role == "control";
        let memory = if node.role == "agent" { 128 } else { CONTROL_MEMORY_MB };
        json!({
            "nodeName": node.name, "role": node.role,
            "machineClass": if node.role == "agent" { "side" } else { "edge" },
            "ip": ip, "zone": "zone-1", "region": "region-1", "zones": { "zone-1": "region-1" },
            "listenAddrs": listen, "internalPortRange": [7000, 7015], "seeds": seeds,
            "bootstrap": bootstrap, "lossCounts": node.role != "agent",
            "limits": { "cpuShare": 0.5, "cores": 1, "memoryMb": memory, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 128 },
            "dataDir": disk.then(|| node.folder.join("data")),
            "discovery": "local", "entrypoint": "vip", "heartbeatIntervalMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants", "advice", "upkeep", "sharing"],
            "faultTolerance": { "machines": 1, "zones": 0, "regions": 0 },
            "bounds": {
                "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4,
                "drainTimeoutMs": 2000, "gracePeriodS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
                "rollbackSlackMs": 250, "maxSkewMs": 5000, "strictRevocation": true, "revokeMs": 5000,
                "recoveryS": 12, "maxHoldMs": 10000, "stopTimeoutMs": 400, "gangTimeoutMs": 3000,
                "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
                "remotePenalty": 3, "checkpointIntervalS": 0.5, "restoreMs": 600, "noticeMs": 4500,
                "migrateS": 1.5, "maintenanceS": 2, "enforceFencing": false, "leaseMs": 3000,
                "thawSlackMs": 300, "paceMs": 100, "interferenceMs": 4000, "reclaimMs": 2900
            },
            "config_mode": "highest", "commandMode": "rpc",
            "app": (node.role == "agent").then(|| at(8529)), "backend": POOL,
        })
    }

    pub fn spawn(&self, node: &Node, bootstrap: bool) {
        fs::create_dir_all(node.folder.join("data")).expect("a data folder");
        let file = node.folder.join("settings.json");
        fs::write(&file, self.settings(node, bootstrap).to_string()).expect("settings");
        let log = fs::File::options().create(true).append(true).open(node.folder.join("log"));
        let log = log.expect("a log");
        let metrics = if node.role == "control" { "7102" } else { "7101" };
        let child = Command::new(PROGRAM)
            .args(["--metrics", metrics, node.role])
            .env("HEMLOCKCLEAT_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.guard.tell('+', child.id());
                *node.child.lock().unwrap() = Some(child);
            }
            Err(error) => {
                self.record.line(format!("{PROGRAM} can't start: {error}"));
                self.stop();
                std::process::exit(2);
            }
        }
    }

    /// Waits until every entry is ready, and puts the configuration. None if that fails.
    pub fn prepare(&self, configuration: &Value) -> Option<()> {
        let until = Instant::now() + Duration::from_secs(20);
        let body = configuration.to_string();
        loop {
            let reply = self.operator("PUT", &body);
            if matches!(reply, Ok((200, _))) {
                self.record.line(format!("configuration acknowledged: {body}"));
                break;
            }
            if Instant::now() > until {
                self.record.line(format!("configuration not acknowledged: {reply:?}"));
                return None;
            }
            thread::sleep(Duration::from_millis(200));
        }
        while Instant::now() < until {
            let ready = self.entries.iter().all(|entry| {
                let addr = SocketAddr::from((entry.ip, 8523));
                let wait = Duration::from_secs(1);
                matches!(http::call(addr, "GET", "/-/readyz", &[], "", wait), Ok((200, _)))
            });
            if ready {
                return Some(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    pub fn operator(&self, method: &str, body: &str) -> Result<(u16, String), String> {
        let addr = SocketAddr::from((self.controls[0].ip, 8526));
        let headers = [("Content-Type", "application/json")];
        http::call(addr, method, "/-/config", &headers, body, Duration::from_secs(2))
    }

    /// One call of a client at an entry, with the deadline of the deployment's requests.
    pub fn client(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Result<(u16, String), String> {
        let addr = SocketAddr::from((self.entries[entry % self.entries.len()].ip, 8521));
        let key = format!("Token {key}");
        let headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("Authorization", key.as_str()),
            ("X-Deadline-Ms", "3000"),
        ];
        http::call(addr, method, path, &headers, body, Duration::from_secs(3))
    }

    /// Submits a job as clients do: it is sent again, at another entry, after no clear answer.
    pub fn submit(&self, prefix: &str, id: &str, key: &str, job: &Value) -> bool {
        for attempt in 0..5 {
            let reply =
                self.client(attempt, "POST", &format!("{prefix}{id}"), key, &job.to_string());
            let short = reply.as_ref().map(|(status, _)| *status);
            self.record.line(format!("POST {prefix}{id} -> {short:?}"));
            match reply {
                Ok((200..300, _)) => return true,
                Ok((400..500, _)) => return false,
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        false
    }

    /// The state that is shown of a job; none without a 200.
    pub fn state(&self, entry: usize, prefix: &str, id: &str, key: &str) -> Option<String> {
        let reply = self.client(entry, "GET", &format!("{prefix}{id}"), key, "");
        let text = match reply {
            Ok((200, body)) => {
                let body: Value = serde_json::from_str(&body).unwrap_or_default();
                body["state"].as_str().map(str::to_owned)
            }
            other => {
                self.record.line(format!("GET {prefix}{id} -> {other:?}"));
                None
            }
        };
        if let Some(state) = &text {
            self.record.line(format!("GET {prefix}{id} -> {state}"));
        }
        text
    }

    /// Does what the platform does until `over`: a control process that uses more memory than its
    /// settings allow is killed, and started again after a short delay. Returns how often.
    pub fn guard_memory(&self, node: &Node, over: &AtomicBool) -> usize {
        let mut kills = 0;
        while !over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
            let memory = node.memory().filter(|memory| *memory > CONTROL_MEMORY_MB);
            let Some(memory) = memory else { continue };
            kills += 1;
            self.record.line(format!("{} uses {memory} MB: killed and started again", node.name));
            self.kill(node);
            thread::sleep(Duration::from_millis(1000));
            self.spawn(node, false);
        }
        kills
    }

    /// Records the memory of the control processes.
    pub fn record_memory(&self) {
        let each = self.controls.iter().map(|node| format!("{} {:?} MB", node.name, node.memory()));
        self.record.line(each.collect::<Vec<_>>().join(", "));
    }

    fn kill(&self, node: &Node) {
        if let Some(mut child) = node.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.guard.tell('-', child.id());
        }
    }

    /// Ends all processes and removes the temporary folder.
    pub fn stop(&self) {
        for machine in &self.machines {
            machine.crash();
        }
        for node in self.controls.iter().chain(&self.entries).chain(&self.agents) {
            self.kill(node);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Node {
    /// The memory that the process holds for itself, in MB.
    fn memory(&self) -> Option<u64> {
        let pid = self.child.lock().unwrap().as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.trim().split(' ').next()?.parse::<u64>().ok().map(|kb| kb / 1024)
    }
}

/// A part of the loopback range in which the ports are free.
fn free_base() -> (u8, u8) {
    let seed = std::process::id();
    for attempt in 0..200 {
        let number = seed.wrapping_mul(2_654_435_761).wrapping_add(attempt * 7919);
        let base = (64 + (number >> 8) as u8 % 128, number as u8);
        let free = (1..=21).all(|last| {
            let ip = Ipv4Addr::new(127, base.0, base.1, last);
            [7000, 7101, 7102, 8521, 8523, 8526, 8529]
                .into_iter()
                .all(|port| TcpListener::bind(SocketAddr::from((ip, port))).is_ok())
        });
        if free {
            return base;
        }
    }
    eprintln!("no free addresses");
    std::process::exit(2);
}
