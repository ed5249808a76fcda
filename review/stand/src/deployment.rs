//! A small deployment of the project's own processes on loopback addresses.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;
use crate::record::Record;

const PROGRAM: &str = "target/release/hemlockcleat-platform";

/// The option of `prctl` that names the signal which a process gets when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;

/// The ids of all processes that run, to be ended whatever happens.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for id in RUNNING.lock().unwrap_or_else(|error| error.into_inner()).drain(..) {
        signal(&[id], Signal::Kill);
    }
}

/// The signals that scenarios send.
#[derive(Clone, Copy)]
pub enum Signal {
    Kill = 9,
    Continue = 18,
    Stop = 19,
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize) -> i32;
}

/// Sends a signal to processes that this program has started.
pub fn signal(ids: &[u32], signal: Signal) {
    for id in ids.iter().filter(|id| **id > 1) {
        // SAFETY: the call takes two numbers and touches no memory.
        unsafe { kill(*id as i32, signal as i32) };
    }
}

/// A machine with one process of a role.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Mutex<Option<Child>>,
}

pub struct Deployment {
    pub folder: PathBuf,
    pub record: Arc<Record>,
    net: u8,
    /// The first of the ports; each machine has an address of its own.
    port: u16,
    pub controls: Vec<Node>,
    pub entries: Vec<Node>,
    pub agents: Vec<Node>,
}

impl Deployment {
    /// Starts 3 control replicas, some entries and some agents.
    pub fn start(record: Arc<Record>, entries: u8, agents: u8) -> Result<Self, String> {
        let id = std::process::id();
        let net = (id % 200 + 20) as u8;
        let port = (0..200)
            .map(|step| 20_000 + (id as u16 % 977) * 7 + step * 31)
            .find(|port| {
                let ip = Ipv4Addr::new(127, 77, net, 1);
                (0..12).all(|more| TcpListener::bind((ip, port + more)).is_ok())
            })
            .ok_or("no free ports")?;
        let folder = std::env::temp_dir().join(format!("hemlockcleat-review-{id}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let node = |kind: &'static str, first: u8| {
            move |index: u8| Node {
                name: format!("{kind}-{}", index + 1),
                ip: Ipv4Addr::new(127, 77, net, first + index),
                child: Mutex::default(),
            }
        };
        let deployment = Self {
            folder,
            record,
            net,
            port,
            controls: (0..3).map(node("control", 1)).collect(),
            entries: (0..entries).map(node("entry", 21)).collect(),
            agents: (0..agents).map(node("agent", 41)).collect(),
        };
        for node in &deployment.controls {
            deployment.spawn(node, "control", true)?;
        }
        for node in &deployment.entries {
            deployment.spawn(node, "entry", true)?;
        }
        for node in &deployment.agents {
            deployment.spawn(node, "agent", true)?;
        }
        Ok(deployment)
    }

    /// Starts a machine's process again; a control process has its disk.
    pub fn restart(&self, node: &Node) -> Result<(), String> {
        end(node);
        let role = node.name.split('-').next().unwrap_or_default();
        self.spawn(node, role, false)
    }

    /// Starts a control process again, which has its disk.
    pub fn restart_control(&self, index: usize) -> Result<(), String> {
        end(&self.controls[index]);
        self.spawn(&self.controls[index], "control", false)
    }

    /// Starts an agent again.
    pub fn restart_agent(&self, index: usize) -> Result<(), String> {
        end(&self.agents[index]);
        self.spawn(&self.agents[index], "agent", false)
    }

    pub fn kill_control(&self, index: usize) {
        end(&self.controls[index]);
    }

    /// Returns the control process that was the last to log that it leads.
    pub fn leader(&self) -> Option<usize> {
        let last = |index: usize| {
            let file = self.folder.join(format!("{}.log", self.controls[index].name));
            let text = fs::read_to_string(file).ok()?;
            let line = text.lines().rfind(|line| line.contains("E201 leading"))?;
            let entry: Value = serde_json::from_str(line).ok()?;
            Some((entry["at"].as_str()?.to_owned(), index))
        };
        (0..3).filter_map(last).max().map(|(_, index)| index)
    }

    /// Returns the id of a machine's process; 0 if there is none.
    pub fn pid(node: &Node) -> u32 {
        node.child.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    pub fn control_addr(&self, index: usize) -> SocketAddr {
        self.addr(self.controls[index].ip, 0)
    }

    pub fn entry_addr(&self, index: usize) -> SocketAddr {
        self.addr(self.entries[index].ip, 1)
    }

    pub fn ready_addr(&self, index: usize) -> SocketAddr {
        self.addr(self.entries[index].ip, 2)
    }

    pub fn agent_addr(&self, index: usize) -> SocketAddr {
        self.addr(self.agents[index].ip, 0)
    }

    /// Returns the address of the worker beside an agent.
    pub fn worker_addr(&self, index: usize) -> SocketAddr {
        self.addr(self.agents[index].ip, 3)
    }

    fn addr(&self, ip: Ipv4Addr, offset: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(ip), self.port + offset)
    }

    fn spawn(&self, node: &Node, role: &str, bootstrap: bool) -> Result<(), String> {
        let seeds: Vec<String> =
            (1..=3).map(|last| format!("127.77.{}.{last}:{}", self.net, self.port)).collect();
        let at = |offset: u16| format!("{}:{}", node.ip, self.port + offset);
        let listen: Value = match role {
            "entry" => json!({"frontend": at(1), "readiness": at(2)}),
            _ => json!({"control": at(0)}),
        };
        let data = self.folder.join(&node.name);
        let settings = json!({
            "nodeName": node.name, "role": role, "ip": node.ip.to_string(), "zone": "north",
            "region": "here", "zones": {"north": "here"}, "listenAddrs": listen,
            "internalPortRange": [self.port + 4, self.port + 9], "seeds": seeds,
            "bootstrap": bootstrap, "lossCounts": role == "control",
            "dataDir": (role == "control").then(|| data.display().to_string()),
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "heartbeatIntervalMs": 1500, "commandMode": "rpc", "config_mode": "highest",
            "bounds": {
                "contactMs": 3000, "ackTimeoutMs": 4000, "drainTimeoutMs": 2000,
                "gracePeriodS": 6, "configApplyMs": 2000, "maxHoldMs": 10_000,
                "stopTimeoutMs": 400, "gangTimeoutMs": 3000, "cancel_ms": 3000,
                "visible_ms": 3000, "finish_s": 14, "revokeMs": 5000, "reclaimMs": 2900
            },
        });
        let file = self.folder.join(format!("{}.json", node.name));
        fs::write(&file, settings.to_string()).map_err(|error| error.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", node.name)))
            .map_err(|error| error.to_string())?;
        let metrics = (self.port + 10).to_string();
        let mut command = Command::new(PROGRAM);
        // SAFETY: the call takes two numbers and is allowed between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, Signal::Kill as usize);
                Ok(())
            });
        }
        let child = command
            .args(["--metrics", &metrics, role])
            .env("HEMLOCKCLEAT_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        RUNNING.lock().unwrap().push(child.id());
        *node.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Sends a configuration to any control machine until one acknowledges it; returns whether one
    /// did before the timeout.
    pub fn configure(&self, config: &Value, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        let body = config.to_string();
        let mut index = 0;
        let mut back_off = 50;
        while Instant::now() < until {
            let addr = self.control_addr(index % 3);
            index += 1;
            let answer = http::call(addr, "PUT", "/-/config", &[], &body, Duration::from_secs(1));
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            if status > 0 {
                self.record.line(format!(
                    "operator PUT version {} to {addr}: {status}",
                    config["version"]
                ));
            }
            if status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(back_off));
            back_off = (back_off * 2).min(1000);
        }
        false
    }

    /// Waits until every entry reports that it is ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        (0..self.entries.len()).all(|index| {
            while Instant::now() < until {
                let addr = self.ready_addr(index);
                let timeout = Duration::from_millis(500);
                let answer = http::call(addr, "GET", "/-/readyz", &[], "", timeout);
                if answer.is_some_and(|answer| answer.status == 200) {
                    return true;
                }
                thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }

    /// Ends all processes and removes the temporary folder.
    pub fn stop(self) {}
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.controls.iter().chain(&self.entries).chain(&self.agents).for_each(end);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn end(node: &Node) {
    if let Some(mut child) = node.child.lock().unwrap().take() {
        let _ = child.kill();
        let _ = child.wait();
        RUNNING.lock().unwrap().retain(|id| *id != child.id());
    }
}

/// The key of the only tenant.
pub const KEY: &str = "3hh2b9wu3fexd9dnn2ct";

/// Returns a configuration with these queues, given by prefix and rank, and one tenant.
pub fn config(version: u64, queues: &[(&str, u32)], keys: &[&str]) -> Value {
    let tenant = json!({"name": "tenant", "apiKeys": keys, "priority": 1,
        "guaranteedGpus": {"gpus": 8}});
    config_with(version, queues, json!([tenant]))
}

/// Returns a configuration with these queues, given by prefix and rank, and these tenants.
pub fn config_with(version: u64, queues: &[(&str, u32)], tenants: Value) -> Value {
    let routes: Vec<Value> = queues
        .iter()
        .map(|(prefix, priority)| {
            json!({
                "name": format!("r{}", prefix.replace('/', "-")), "host": "jobs.example",
                "pathPrefix": prefix, "type": "non_idempotent", "timeoutMs": 3000,
                "targetLatencyMs": 1000, "priority": priority, "backend": "pool", "attempts": 4,
                "stretch": 3.0, "public": false
            })
        })
        .collect();
    json!({
        "version": version, "routes": routes,
        "services": [{"name": "pool", "healthCheckPath": "/healthz", "maxConnections": 64,
            "protocol": "h1", "tls": false, "enforcesCapacity": true, "standby": false}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": tenants
    })
}

/// Sends a client's call to an entry.
pub fn client(entry: SocketAddr, method: &str, path: &str, body: &str) -> Option<http::Response> {
    client_with(KEY, entry, method, path, body)
}

/// Sends the call of a client that has this key.
pub fn client_with(
    key: &str,
    entry: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<http::Response> {
    let token = format!("Token {key}");
    let headers =
        [("Host", "jobs.example"), ("Authorization", token.as_str()), ("X-Deadline-Ms", "3000")];
    http::call(entry, method, path, &headers, body, Duration::from_millis(3000))
}
