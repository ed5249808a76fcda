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

/// The kind of work that may not.
pub const ONCE: &str = "dispatch-confirmation";

/// Both kinds of work.
pub const KINDS: [&str; 2] = [REPEATABLE, ONCE];

/// Workers to a rack.
const RACK: usize = 3;

/// How long anything may take that a test waits for.
pub const PATIENCE: time::Duration = time::Duration::from_secs(30);

/// The pause between two looks at a condition.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// How long a daemon may take for its planned stop.
pub const STOP_BOUND: time::Duration = time::Duration::from_secs(20);

/// A daemon with the settings to start it again.
pub struct Node {
    settings: serde_json::Value,
    name: String,
    program: daemon::Program,
    /// Where it listens.
    pub addr: net::SocketAddr,
    /// Its process, while it runs.
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

    /// Starts it, for the first time or again.
    pub fn start(&mut self, folder: &path::Path) {
        self.daemon = Some(daemon::Daemon::start(self.program, &self.name, folder, &self.settings));
    }

    /// Kills it.
    pub fn kill(&mut self) {
        self.daemon.take().expect("it runs").kill();
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.daemon.as_ref().expect("it runs").id()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: &str) {
        self.daemon.as_ref().expect("it runs").signal(signal);
    }

    /// The planned stop: true if it ended by itself in time.
    pub async fn stop(&mut self) -> bool {
        self.daemon.take().expect("it runs").stop(STOP_BOUND).await
    }
}

/// What a cluster is made of.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Workers, each an agent with a stand-in backend server.
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
    /// The backend servers beside them.
    pub standins: Vec<standin::Standin>,
    fallen: Vec<record::Run>,
    operator: client::Client,
    /// Dropped last: a daemon that is ended shows its log.
    folder: tempfile::TempDir,
}

impl Cluster {
    /// Starts everything, applies the first ticket and waits until every worker is in use.
    pub async fn start(size: Size) -> Self {
        let mut cluster = Self {
            folder: tempfile::tempdir().expect("a folder"),
            controls: Vec::new(),
            relays: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            standins: Vec::new(),
            fallen: Vec::new(),
            operator: client::Client::new(OPERATOR),
        };
        cluster.add_controls().await;
        for index in 0..size.entries {
            cluster.add_entry(index);
        }
        for index in 0..size.workers {
            cluster.add_worker(index).await;
        }
        cluster.settle().await;
        cluster
    }

    /// The folder of settings, logs and data.
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

    /// The founding members as settings name them.
    pub fn peers(&self) -> serde_json::Value {
        let peer = |(index, relay): (usize, &relay::Relay)| json!({"replica": index + 1, "addr": relay.addr()});
        self.relays.iter().enumerate().map(peer).collect()
    }

    /// A control replica that has not been started.
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

    /// The data folder of a replica.
    pub fn data_folder(&self, replica: u64) -> path::PathBuf {
        self.folder().join(format!("data-{replica}"))
    }

    /// Starts a control replica, for the first time or again.
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

    /// Starts an entry, for the first time or again.
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
        let rack = format!("rack-{}", index / RACK);
        let agent = self.agents[index].addr;
        let mut options = options::Options::new(agent, &format!("worker-{index}"), &rack);
        options.announcement.services = vec![SERVICE.to_owned()];
        standin::Standin::start(options).await.expect("a stand-in")
    }

    /// Tasks that run now.
    pub fn running(&self) -> usize {
        self.record().iter().filter(|run| run.end.is_none()).count()
    }

    /// Kills a backend server and starts it anew. What it ran stays on record.
    pub async fn replace_standin(&mut self, index: usize) {
        self.standins[index].die();
        let fresh = self.standin(index).await;
        let fallen = std::mem::replace(&mut self.standins[index], fresh);
        self.fallen.extend(fallen.record());
        fallen.stop().await;
    }

    /// Everything that the backend servers really ran.
    pub fn record(&self) -> Vec<record::Run> {
        let present = self.standins.iter().flat_map(standin::Standin::record);
        self.fallen.iter().cloned().chain(present).collect()
    }

    /// Starts an agent, for the first time or again.
    pub fn start_agent(&mut self, index: usize) {
        self.agents[index].start(self.folder.path());
    }

    async fn settle(&mut self) {
        let workers = self.agents.len();
        self.until("every worker is in use", async || self.alive().await == Some(workers)).await;
        self.until("the first ticket applies", async || {
            self.ticket(0, &first_ticket()).await.is_some_and(|response| response.status == 200)
        })
        .await;
        for entry in 0..self.entries.len() {
            self.until("the first ticket is in force at the entry", async || {
                let status = self.operate(entry, "/v1/status").await;
                status.is_some_and(|status| status["entry_revision"] == status["revision"])
            })
            .await;
        }
    }

    /// Workers whose agents hold a lease, as entry 0 tells; none if it can't.
    pub async fn alive(&self) -> Option<usize> {
        let answer = self.operate(0, "/v1/workers").await?;
        let workers = answer["workers"].as_array()?;
        Some(workers.iter().filter(|worker| worker["alive"] == true).count())
    }

    /// What an operator reads through an entry; none if it is refused.
    pub async fn operate(&self, entry: usize, path: &str) -> Option<serde_json::Value> {
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

    /// The index of the leading replica; none if none answers through entry 1.
    pub async fn leader_now(&self) -> Option<usize> {
        let status = self.operate(self.entries.len() - 1, "/v1/status").await?;
        Some(status["leader"].as_u64()? as usize - 1)
    }

    /// The index of the leading replica, once there is one that answers.
    pub async fn leader(&self) -> usize {
        let deadline = tokio::time::Instant::now() + PATIENCE;
        loop {
            if let Some(leader) = self.leader_now().await {
                return leader;
            }
            assert!(tokio::time::Instant::now() < deadline, "no leader in time");
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Whether the last change of role that a replica has logged is that it leads.
    pub fn led_last(&self, index: usize) -> bool {
        let log = self.controls[index].daemon.as_ref().expect("it runs").log();
        let last = log.lines().rev().find(|line| line.contains("E201") || line.contains("E202"));
        last.is_some_and(|line| line.contains("E201"))
    }

    /// Whether a replica with an empty data folder is known to be a stranger: its peers have
    /// refused it, or, if it is the founder, it has logged that their group does not know it.
    pub fn stranger(&self, index: usize) -> bool {
        self.controls.iter().enumerate().any(|(other, control)| {
            let event = if other == index { "E313" } else { "E315" };
            control.daemon.as_ref().is_some_and(|daemon| daemon.log().contains(event))
        })
    }

    /// Replaces a lost replica by a new one, by ticket, and waits until it votes.
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
        self.until("the ticket is accepted", async || {
            self.ticket(0, &ticket).await.is_some_and(|response| response.status == 200)
        })
        .await;
        self.until("the new replica votes", async || {
            let Some(status) = self.operate(0, "/v1/status").await else { return false };
            let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
            let votes = |number: u64| {
                replicas.iter().any(|one| one["replica"] == number && one["voter"] == true)
            };
            votes(replica) && !votes(lost as u64 + 1)
        })
        .await;
    }

    /// The caller of every request.
    pub fn caller(&self) -> Caller {
        let entries = self.entries.iter().map(|entry| entry.addr).collect();
        Caller { client: client::Client::new(ACCOUNT), entries }
    }

    /// Silently cuts a replica off from its peers, both ways. Callers still reach it.
    pub async fn isolate(&self, index: usize) {
        let rule = relay::Rule::BLACKHOLE;
        for other in (0..self.relays.len()).filter(|other| *other != index) {
            self.relays[index].set(self.controls[other].id(), rule).await;
            self.relays[other].set(self.controls[index].id(), rule).await;
        }
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        self.relays.iter().for_each(relay::Relay::heal);
    }

    /// Waits until a condition holds.
    pub async fn until(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let deadline = tokio::time::Instant::now() + PATIENCE;
        while !condition().await {
            assert!(tokio::time::Instant::now() < deadline, "not in time: {what}");
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// A caller, who knows the entries and nothing else.
#[derive(Clone)]
pub struct Caller {
    client: client::Client,
    /// The entries.
    pub entries: Vec<net::SocketAddr>,
}

impl Caller {
    /// Sends a caller's request, and waits for its end for so long.
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

    /// Sends a request again whose earlier send may be unanswered.
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

    /// A request's answer.
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

/// The SHA-256 digest of a token, in hexadecimal.
pub fn digest(token: &str) -> String {
    sha2::Sha256::digest(token).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The ticket that creates the account and the service.
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

/// A client account as tickets hold it.
pub fn account(queue_limit: u32) -> serde_json::Value {
    json!({
        "guarantees": [], "weight": 1, "queue_limit": queue_limit, "tokens": [digest(ACCOUNT)],
    })
}
