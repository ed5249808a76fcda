//! A small deployment of real daemons on loopback, each replica behind a relay.

use std::net;
use std::path;
use std::time;

use hemlockcleat::standin;
use hemlockcleat::standin::options;
use hemlockcleat::standin::record;
use serde_json::json;
use sha2::Digest as _;

use crate::support::deployment::client;
use crate::support::deployment::daemon;
use crate::support::deployment::relay;

/// The operators' token.
const OPERATOR: &str = "operator";

/// The client account of every request, and its token.
pub const ACCOUNT: &str = "tenant";

/// The service of every request.
pub const SERVICE: &str = "orders";

/// The kind of work that may be repeated.
pub const REPEATABLE: &str = "assessment";

/// The kind of work that may not be repeated.
pub const ONCE: &str = "dispatch-confirmation";

/// Both kinds of work.
pub const KINDS: [&str; 2] = [REPEATABLE, ONCE];

/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 3;

/// Timeout of every condition that a test waits for.
pub const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Interval at which a condition is polled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Timeout of the planned stop of a daemon.
pub const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// A daemon, with the settings to restart it.
pub struct Node {
    settings: serde_json::Value,
    name: String,
    program: daemon::Program,
    /// Address that the daemon listens on.
    pub addr: net::SocketAddr,
    /// The process while it runs.
    pub daemon: Option<daemon::Daemon>,
}

impl Node {
    fn new(
        program: daemon::Program,
        name: String,
        addr: net::SocketAddr,
        settings: serde_json::Value,
    ) -> Self {
        Self { settings, name, program, addr, daemon: None }
    }

    /// Starts or restarts the daemon.
    pub fn start(&mut self, folder: &path::Path) {
        self.daemon = Some(daemon::Daemon::start(self.program, &self.name, folder, &self.settings));
    }

    /// Kills the daemon.
    pub fn kill(&mut self) {
        self.daemon.take().expect("the daemon runs").kill();
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.daemon.as_ref().expect("the daemon runs").id()
    }

    /// Sends a signal to the daemon.
    pub fn signal(&self, signal: &str) {
        self.daemon.as_ref().expect("the daemon runs").signal(signal);
    }

    /// Stops the daemon as planned; returns whether it exited with success in time.
    pub async fn stop(&mut self) -> bool {
        self.daemon.take().expect("the daemon runs").stop(STOP_TIMEOUT).await
    }
}

/// Number of daemons in a cluster.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of entries.
    pub entries: usize,
    /// Number of workers, each an agent with a stand-in backend server.
    pub workers: usize,
}

/// Three control replicas, entries, and workers with their agents and stand-ins.
pub struct Cluster {
    /// The replicas; replica N is at N - 1.
    pub controls: Vec<Node>,
    /// The relays in front of the replicas.
    pub relays: Vec<relay::Relay>,
    /// The entries.
    pub entries: Vec<Node>,
    /// The agents.
    pub agents: Vec<Node>,
    /// The agents' backend servers.
    pub standins: Vec<standin::Standin>,
    killed_runs: Vec<record::Run>,
    operator: client::Client,
    /// Dropped last, because dropping a daemon reads its log here.
    folder: tempfile::TempDir,
}

impl Cluster {
    /// Starts all daemons, applies the first ticket and waits until every worker is alive.
    pub async fn start(size: Size) -> Self {
        let mut cluster = Self {
            folder: tempfile::tempdir().expect("a folder"),
            controls: Vec::new(),
            relays: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            standins: Vec::new(),
            killed_runs: Vec::new(),
            operator: client::Client::new(OPERATOR),
        };
        cluster.add_controls().await;
        for index in 0..size.entries {
            cluster.add_entry(index);
        }
        for index in 0..size.workers {
            cluster.add_worker(index).await;
        }
        cluster.wait_ready().await;
        cluster
    }

    /// Returns the folder of settings, logs and data.
    pub fn folder(&self) -> &path::Path {
        self.folder.path()
    }

    async fn add_controls(&mut self) {
        let listens = [daemon::free_addr(), daemon::free_addr(), daemon::free_addr()];
        for listen in listens {
            self.relays.push(relay::Relay::start(listen).await);
        }
        let peers = self.peers();
        for (index, listen) in listens.into_iter().enumerate() {
            let node = self.control(index as u64 + 1, listen, self.relays[index].addr(), &peers);
            self.controls.push(node);
        }
        for index in 0..self.controls.len() {
            self.start_control(index);
        }
    }

    /// Returns the first members of the group in the format of the settings.
    pub fn peers(&self) -> serde_json::Value {
        let peer = |(index, relay): (usize, &relay::Relay)| json!({"replica": index + 1, "addr": relay.addr()});
        self.relays.iter().enumerate().map(peer).collect()
    }

    /// Creates a control replica without starting it.
    pub fn control(
        &self,
        replica: u64,
        listen: net::SocketAddr,
        advertise: net::SocketAddr,
        peers: &serde_json::Value,
    ) -> Node {
        let http = daemon::free_addr();
        let settings = json!({
            "replica": replica,
            "data_center": format!("center-{replica}"),
            "data_folder": self.data_folder(replica),
            "listen": listen,
            "advertise": advertise,
            "http": http,
            "peers": peers,
            "telemetry": telemetry(),
        });
        Node::new(daemon::Program::Control, format!("control-{replica}"), http, settings)
    }

    /// Returns the data folder of a replica.
    pub fn data_folder(&self, replica: u64) -> path::PathBuf {
        self.folder().join(format!("data-{replica}"))
    }

    /// Starts or restarts a control replica.
    pub fn start_control(&mut self, index: usize) {
        self.controls[index].start(self.folder.path());
    }

    fn control_addrs(&self) -> Vec<net::SocketAddr> {
        self.relays.iter().map(relay::Relay::addr).collect()
    }

    fn add_entry(&mut self, index: usize) {
        let listen = daemon::free_addr();
        let settings = json!({
            "name": format!("entry-{index}"),
            "data_center": "center-1",
            "listen": listen,
            "control": self.control_addrs(),
            "operators": [digest(OPERATOR)],
            "telemetry": telemetry(),
        });
        let name = format!("entry-{index}");
        self.entries.push(Node::new(daemon::Program::Entry, name, listen, settings));
        self.start_entry(index);
    }

    /// Starts or restarts an entry.
    pub fn start_entry(&mut self, index: usize) {
        self.entries[index].start(self.folder.path());
    }

    /// Adds a worker: its agent and its backend server.
    pub async fn add_worker(&mut self, index: usize) {
        let listen = daemon::free_addr();
        let settings = json!({
            "listen": listen,
            "control": self.control_addrs(),
            "telemetry": telemetry(),
        });
        let name = format!("agent-{index}");
        self.agents.push(Node::new(daemon::Program::Agent, name, listen, settings));
        self.start_agent(index);
        let standin = self.standin(index).await;
        self.standins.push(standin);
    }

    async fn standin(&self, index: usize) -> standin::Standin {
        let rack = format!("rack-{}", index / WORKERS_PER_RACK);
        let agent = self.agents[index].addr;
        let mut options = options::Options::new(agent, &format!("worker-{index}"), &rack);
        options.announcement.services = vec![SERVICE.to_owned()];
        standin::Standin::start(options).await.expect("a stand-in")
    }

    /// Returns the number of running tasks.
    pub fn running_tasks(&self) -> usize {
        self.record().iter().filter(|run| run.end.is_none()).count()
    }

    /// Kills a backend server and starts a new one. The runs of the killed one stay in the record.
    pub async fn replace_standin(&mut self, index: usize) {
        self.standins[index].die();
        let fresh = self.standin(index).await;
        let killed = std::mem::replace(&mut self.standins[index], fresh);
        self.killed_runs.extend(killed.record());
        killed.stop().await;
    }

    /// Returns all runs of the backend servers.
    pub fn record(&self) -> Vec<record::Run> {
        let present = self.standins.iter().flat_map(standin::Standin::record);
        self.killed_runs.iter().cloned().chain(present).collect()
    }

    /// Starts or restarts an agent.
    pub fn start_agent(&mut self, index: usize) {
        self.agents[index].start(self.folder.path());
    }

    async fn wait_ready(&mut self) {
        let workers = self.agents.len();
        self.wait_until("every worker is in use", async || {
            self.alive_workers().await == Some(workers)
        })
        .await;
        self.wait_until("the first ticket applies", async || {
            self.ticket(0, &first_ticket()).await.is_some_and(|response| response.status == 200)
        })
        .await;
        for entry in 0..self.entries.len() {
            self.wait_until("the first ticket is in force at the entry", async || {
                let status = self.get(entry, "/v1/status").await;
                status.is_some_and(|status| status["entry_revision"] == status["revision"])
            })
            .await;
        }
    }

    /// Returns the number of workers whose agents hold a lease, read through entry 0; `None` if the
    /// read fails.
    pub async fn alive_workers(&self) -> Option<usize> {
        let answer = self.get(0, "/v1/workers").await?;
        let workers = answer["workers"].as_array()?;
        Some(workers.iter().filter(|worker| worker["alive"] == true).count())
    }

    /// Reads a path through an entry as the operator; returns `None` if the entry refuses it.
    pub async fn get(&self, entry: usize, path: &str) -> Option<serde_json::Value> {
        let response = self.operator.get(self.entries[entry].addr, path).await?;
        (response.status == 200).then(|| response.json())
    }

    /// Applies a ticket through an entry.
    pub async fn ticket(
        &self,
        entry: usize,
        ticket: &serde_json::Value,
    ) -> Option<client::Response> {
        self.operator.post(self.entries[entry].addr, "/v1/tickets", ticket).await
    }

    /// Returns the index of the leader, read through the last entry; `None` if the read fails.
    pub async fn current_leader(&self) -> Option<usize> {
        let status = self.get(self.entries.len() - 1, "/v1/status").await?;
        Some(status["leader"].as_u64()? as usize - 1)
    }

    /// Waits for a leader and returns its index.
    pub async fn leader(&self) -> usize {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(leader) = self.current_leader().await {
                return leader;
            }
            assert!(tokio::time::Instant::now() < deadline, "no leader in time");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether the last role change in the log of a replica is that it became the leader.
    pub fn logged_leading(&self, index: usize) -> bool {
        let log = self.controls[index].daemon.as_ref().expect("the daemon runs").log();
        let last = log.lines().rev().find(|line| line.contains("E201") || line.contains("E202"));
        last.is_some_and(|line| line.contains("E201"))
    }

    /// Returns whether a replica with an empty data folder has been logged as unknown to the group:
    /// by a peer that refused it, or by the replica itself if it is the one that bootstraps.
    pub fn logged_unknown(&self, index: usize) -> bool {
        self.controls.iter().enumerate().any(|(other, control)| {
            let event = if other == index { "E313" } else { "E315" };
            control.daemon.as_ref().is_some_and(|daemon| daemon.log().contains(event))
        })
    }

    /// Replaces a lost replica by a new one, by ticket, and waits until the new one is a voter.
    pub async fn replace_control(&mut self, lost: usize, replica: u64) {
        let listen = daemon::free_addr();
        let relay = relay::Relay::start(listen).await;
        let node = self.control(replica, listen, relay.addr(), &self.peers());
        self.controls.push(node);
        self.relays.push(relay);
        self.start_control(self.controls.len() - 1);
        let members = self.relays.iter().enumerate().filter(|(index, _)| *index != lost);
        let members: serde_json::Map<_, _> =
            members.map(|(index, relay)| ((index + 1).to_string(), json!(relay.addr()))).collect();
        let ticket = json!({"number": 1000 + replica, "replicas": members});
        self.wait_until("the ticket is accepted", async || {
            self.ticket(0, &ticket).await.is_some_and(|response| response.status == 200)
        })
        .await;
        self.wait_until("the new replica is a voter", async || {
            let Some(status) = self.get(0, "/v1/status").await else { return false };
            let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
            let is_voter = |number: u64| {
                replicas.iter().any(|one| one["replica"] == number && one["voter"] == true)
            };
            is_voter(replica) && !is_voter(lost as u64 + 1)
        })
        .await;
    }

    /// Returns a client of the account that sends all requests.
    pub fn caller(&self) -> Caller {
        let entries = self.entries.iter().map(|entry| entry.addr).collect();
        Caller { client: client::Client::new(ACCOUNT), entries }
    }

    /// Silently drops all data between a replica and its peers. Entries and agents still reach it.
    pub async fn isolate(&self, index: usize) {
        let rule = relay::Rule::BLACKHOLE;
        for other in (0..self.relays.len()).filter(|other| *other != index) {
            self.relays[index].set_rule(self.controls[other].id(), rule).await;
            self.relays[other].set_rule(self.controls[index].id(), rule).await;
        }
    }

    /// Removes all rules of the relays.
    pub fn heal(&self) {
        self.relays.iter().for_each(relay::Relay::heal);
    }

    /// Waits until a condition holds; panics with `what` on timeout.
    pub async fn wait_until(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while !condition().await {
            assert!(tokio::time::Instant::now() < deadline, "not in time: {what}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// A caller, which sends requests to the entries.
#[derive(Clone)]
pub struct Caller {
    client: client::Client,
    /// The entries.
    pub entries: Vec<net::SocketAddr>,
}

impl Caller {
    /// Sends a request, and lets the entry wait for its end for `wait`.
    pub async fn submit(
        &self,
        entry: usize,
        key: &str,
        request: &serde_json::Value,
        wait: time::Duration,
    ) -> Option<client::Response> {
        let path = format!("{}?wait={}", request_path(key), wait.as_millis());
        self.client.put(self.entries[entry], &path, request).await
    }

    /// Resends a request whose earlier send may be unanswered.
    pub async fn resubmit(
        &self,
        entry: usize,
        key: &str,
        request: &serde_json::Value,
        wait: time::Duration,
    ) -> Option<client::Response> {
        let path = format!("{}?resend=true&wait={}", request_path(key), wait.as_millis());
        self.client.put(self.entries[entry], &path, request).await
    }

    /// Fetches the answer of a request.
    pub async fn answer(&self, entry: usize, key: &str) -> Option<client::Response> {
        let path = format!("{}/answer", request_path(key));
        self.client.get(self.entries[entry], &path).await
    }

    /// Cancels a request.
    pub async fn cancel(&self, entry: usize, key: &str) -> Option<client::Response> {
        let addr = self.entries[entry];
        self.client.send(awc::http::Method::DELETE, addr, &request_path(key), None).await
    }
}

fn request_path(key: &str) -> String {
    format!("/v1/accounts/{ACCOUNT}/requests/{key}")
}

fn telemetry() -> serde_json::Value {
    json!({"log": {"level": "info", "format": "plain"}, "spans": false})
}

/// Returns the SHA-256 digest of a token, in hexadecimal.
pub fn digest(token: &str) -> String {
    sha2::Sha256::digest(token).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the ticket that creates the account and the service.
fn first_ticket() -> serde_json::Value {
    json!({
        "number": 1,
        "accounts": {ACCOUNT: account(100)},
        "services": {SERVICE: {"kinds": {
            REPEATABLE: {
                "class": "scheduled", "repeatable": true,
                "answer_limit": 4_194_304, "deadline_ms": 60_000,
            },
            ONCE: {
                "class": "urgent", "repeatable": false,
                "answer_limit": 4_194_304, "deadline_ms": 60_000,
            },
        }}},
    })
}

/// Returns a client account in the format of tickets.
pub fn account(queue_limit: u32) -> serde_json::Value {
    json!({
        "guarantees": [], "weight": 1, "queue_limit": queue_limit, "tokens": [digest(ACCOUNT)],
    })
}
