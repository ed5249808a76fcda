//! A small deployment: the project's own processes on loopback addresses, with the commands and
//! the settings of the deploy file.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;
use crate::record;

const PROGRAM: &str = "target/release/hemlockcleat-platform";
const FRONTEND: u16 = 8521;
const READINESS: u16 = 8523;
const CONTROL: u16 = 8526;
const APP: u16 = 8529;
pub const HOST: &str = "queues.example";
pub const KEY: &str = "key-of-tenant-one";
pub const KEY_TWO: &str = "key-of-tenant-two";

/// A process of the system.
pub struct Process {
    role: &'static str,
    machine: u8,
    child: Option<Child>,
}

/// The deployment.
pub struct Site {
    folder: PathBuf,
    net: (u8, u8),
    pub processes: Vec<Process>,
    next_entry: usize,
    version: u64,
    /// The guaranteed GPUs of the two tenants in the next configuration.
    pub guarantees: (u32, u32),
}

impl Site {
    /// Starts three machines with a control replica and an entry, one with an entry alone, and
    /// `agents` with an agent.
    pub fn start(folder: &Path, agents: u8) -> Self {
        let net = free_net();
        let mut site = Self {
            folder: folder.to_owned(),
            net,
            processes: Vec::new(),
            next_entry: 0,
            version: 0,
            guarantees: (8, 0),
        };
        for machine in 1..=3 {
            site.launch("control", machine, true);
            site.launch("entry", machine, true);
        }
        site.launch("entry", 4, true);
        for number in 0..agents {
            site.launch("agent", 11 + number, true);
        }
        site
    }

    fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, machine)
    }

    fn addr(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(machine), port))
    }

    /// The control address of an agent, by its number from 0, and the address of its worker.
    pub fn side(&self, number: u8) -> (SocketAddr, SocketAddr) {
        (self.addr(11 + number, CONTROL), self.addr(11 + number, APP))
    }

    fn settings(&self, role: &str, machine: u8, bootstrap: bool) -> Value {
        let is_side = role == "agent";
        let mut listen = json!({});
        if role == "entry" {
            listen["frontend"] = self.addr(machine, FRONTEND).to_string().into();
            listen["readiness"] = self.addr(machine, READINESS).to_string().into();
        } else {
            listen["control"] = self.addr(machine, CONTROL).to_string().into();
        }
        let seeds: Vec<_> = (1..=3).map(|seed| self.addr(seed, CONTROL).to_string()).collect();
        let data = self.folder.join(format!("data-{machine}"));
        let zone = format!("zone-{}", (machine - 1) % 3 + 1);
        let mut settings = json!({
            "nodeName": format!("{role}-{machine}"), "role": role,
            "machineClass": if is_side { "side" } else { "edge" },
            "serves": [if is_side { "side" } else if role == "entry" { "edge" } else { "control_plane" }],
            "ip": self.ip(machine).to_string(), "zone": zone, "region": "region-1",
            "zones": { "zone-1": "region-1", "zone-2": "region-1", "zone-3": "region-1" },
            "listenAddrs": listen, "internalPortRange": [7000, 7015], "seeds": seeds,
            "bootstrap": bootstrap, "lossCounts": !is_side && machine <= 3,
            "dataDir": if role == "control" { json!(data) } else { Value::Null },
            "discovery": "local", "entrypoint": "vip", "heartbeatIntervalMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants", "advice", "upkeep", "sharing"],
            "faultTolerance": { "machines": 1, "zones": 0, "regions": 0 },
            "bounds": {
                "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000,
                "catchUpS": 4, "drainTimeoutMs": 2000, "gracePeriodS": 6, "lossSlackMs": 200,
                "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
                "strictRevocation": true, "revokeMs": 5000, "recoveryS": 12, "maxHoldMs": 10000,
                "stopTimeoutMs": 400, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
                "early_ms": 250, "finish_s": 14, "status_s": 120, "remotePenalty": 3,
                "checkpointIntervalS": 0.5, "restoreMs": 600, "noticeMs": 4500, "migrateS": 1.5,
                "maintenanceS": 2, "enforceFencing": false, "leaseMs": 3000, "thawSlackMs": 300,
                "paceMs": 100, "interferenceMs": 4000, "reclaimMs": 2900
            },
            "config_mode": "highest", "commandMode": "rpc",
        });
        if is_side {
            settings["app"] = self.addr(machine, APP).to_string().into();
        }
        settings
    }

    /// Starts a process with the command of the deploy file.
    pub fn launch(&mut self, role: &'static str, machine: u8, bootstrap: bool) {
        let name = format!("{role}-{machine}");
        let file = self.folder.join(format!("{name}.json"));
        let settings = self.settings(role, machine, bootstrap).to_string();
        fs::write(&file, settings).expect("settings can be written");
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let port = if role == "control" { "7102" } else { "7101" };
        let child = Command::new(PROGRAM)
            .args(["--metrics", port, role])
            .env("HEMLOCKCLEAT_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file is built");
        record::line(format!("{name} is started"));
        let pids = File::options().create(true).append(true).open(self.folder.join("pids"));
        let _ = pids.and_then(|mut file| writeln!(file, "{}", child.id()));
        self.processes.retain(|known| (known.role, known.machine) != (role, machine));
        self.processes.push(Process { role, machine, child: Some(child) });
    }

    /// Sends a signal to a process.
    pub fn signal(&mut self, role: &str, machine: u8, signal: &str) {
        let known =
            self.processes.iter_mut().find(|known| (known.role, known.machine) == (role, machine));
        let Some(child) = known.and_then(|known| known.child.as_mut()) else { return };
        record::line(format!("{role}-{machine} gets SIG{signal}"));
        let _ = Command::new("kill").args([format!("-{signal}"), child.id().to_string()]).status();
        if signal == "KILL" {
            let _ = child.wait();
        }
    }

    /// The processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for known in &mut self.processes {
            if let Some(Ok(Some(status))) = known.child.as_mut().map(Child::try_wait) {
                ended.push(format!("{}-{} {status}", known.role, known.machine));
            }
        }
        ended
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&mut self, routes: Value, limit: Duration) -> bool {
        let config = self.configuration(routes).to_string();
        let end = Instant::now() + limit;
        let mut machine = 1;
        let mut back_off = Duration::from_millis(100);
        while Instant::now() < end {
            if self.put_config(machine, config.as_bytes()) == Some(200) {
                return true;
            }
            machine = machine % 3 + 1;
            std::thread::sleep(back_off);
            back_off *= 2;
        }
        false
    }

    /// Sends a configuration to one machine once. Returns the status of the answer.
    pub fn put_config(&mut self, machine: u8, config: &[u8]) -> Option<u16> {
        let addr = self.addr(machine, CONTROL);
        let sent = http::call(addr, "PUT", "/-/config", &[], config, Duration::from_secs(1));
        let status = sent.ok().map(|(status, _)| status);
        record::line(format!("PUT /-/config at control-{machine}: {status:?}"));
        status
    }

    /// Reads the configuration at one machine.
    pub fn read_config(&self, machine: u8) -> Option<(u16, Vec<u8>)> {
        let addr = self.addr(machine, CONTROL);
        let sent = http::call(addr, "GET", "/-/config", &[], b"", Duration::from_secs(1));
        sent.ok().map(|(status, message)| (status, message.body))
    }

    /// The next configuration, with these routes.
    pub fn configuration(&mut self, routes: Value) -> Value {
        self.version += 3;
        let mut backends: Vec<String> = routes
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|route| route["backend"].as_str().map(str::to_owned))
            .collect();
        backends.sort();
        backends.dedup();
        let services: Vec<_> = backends
            .iter()
            .map(|name| {
                json!({ "name": name, "healthCheckPath": "/healthz", "maxConnections": 64,
                    "protocol": "h1", "tls": false, "enforcesCapacity": true, "standby": false })
            })
            .collect();
        json!({
            "version": self.version, "routes": routes, "services": services,
            "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
            "tenants": [
                { "name": "one", "apiKeys": [KEY], "priority": 1, "guaranteedGpus": { "gpus": self.guarantees.0 } },
                { "name": "two", "apiKeys": [KEY_TWO], "priority": 1, "guaranteedGpus": { "gpus": self.guarantees.1 } },
            ],
        })
    }

    /// Makes a client's call, at one entry after the other until one gives a clear answer.
    pub fn call(&mut self, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
        self.call_as(KEY, method, path, body)
    }

    /// Makes a client's call at one entry, once. Returns the status of the answer.
    pub fn call_once(
        &self,
        machine: u8,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<u16> {
        let token = format!("Token {KEY}");
        let headers =
            [("Host", HOST), ("Authorization", token.as_str()), ("X-Deadline-Ms", "3000")];
        let addr = self.addr(machine, FRONTEND);
        let answer = http::call(addr, method, path, &headers, body.as_bytes(), limit);
        let status = answer.ok().map(|(status, _)| status);
        let text = status.map_or("no answer".to_owned(), |status| status.to_string());
        record::line(format!("{method} {path} at entry-{machine}: {text}"));
        status
    }

    /// Like [`Site::call`], with another key.
    pub fn call_as(
        &mut self,
        key: &str,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, Value)> {
        for _ in 0..5 {
            let machine = (self.next_entry % 3) as u8 + 1;
            self.next_entry += 1;
            let token = format!("Token {key}");
            let headers =
                [("Host", HOST), ("Authorization", token.as_str()), ("X-Deadline-Ms", "3000")];
            let addr = self.addr(machine, FRONTEND);
            let answer =
                http::call(addr, method, path, &headers, body.as_bytes(), Duration::from_secs(3));
            match answer {
                Ok((status, message)) if ![502, 503, 504].contains(&status) => {
                    let text = String::from_utf8_lossy(&message.body).into_owned();
                    record::line(format!("{method} {path} at entry-{machine}: {status} {text}"));
                    return Some((status, message.json()));
                }
                Ok((status, _)) => {
                    record::line(format!("{method} {path} at entry-{machine}: {status}"));
                }
                Err(error) => record::line(format!("{method} {path} at entry-{machine}: {error}")),
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        None
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for known in &mut self.processes {
            if let Some(mut child) = known.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Chooses a part of the loopback range on which the ports are free.
fn free_net() -> (u8, u8) {
    let seed = std::process::id();
    for step in 0..200 {
        let net = (70 + ((seed + step) % 50) as u8, ((seed / 50 + step * 7) % 250 + 1) as u8);
        let ip = |machine: u8| Ipv4Addr::new(127, net.0, net.1, machine);
        let ports = [7000, 7101, 7102, FRONTEND, READINESS, CONTROL, APP];
        let free =
            |machine: u8| ports.iter().all(|port| TcpListener::bind((ip(machine), *port)).is_ok());
        if (1..=4).chain(11..=18).all(free) {
            return net;
        }
    }
    panic!("no free addresses");
}
