//! A test bed of an agent, a fake control replica and a stand-in backend server over real sockets.

use std::net;

use hemlockcleat::agent;
use hemlockcleat::core::ledger::job;
use hemlockcleat::settings;
use hemlockcleat::standin;
use hemlockcleat::standin::options;
use hemlockcleat::standin::record;
use hemlockcleat::wire;
use hemlockcleat::wire::common;
use sha2::Digest as _;

use crate::support::agent_control;
use crate::support::agents;

pub struct Bed {
    pub control: agent_control::Control,
    pub agent: agent::Agent,
    pub standin: standin::Standin,
}

pub fn attempt(number: u32) -> common::AttemptKey {
    common::AttemptKey { job: 7, number }
}

/// A preparation of tasks that run for `run_ms`.
pub fn prepare(number: u32, tasks: u32, run_ms: u64) -> wire::agent::Prepare {
    let payload = format!(r#"{{"run_ms":{run_ms}}}"#).into_bytes();
    wire::agent::Prepare { payload, ..agents::prepare(attempt(number), tasks) }
}

/// Starts an agent that connects to control replicas at these addresses.
pub async fn start_agent(listen: net::SocketAddr, control: Vec<net::SocketAddr>) -> agent::Agent {
    let settings = settings::agent::Settings {
        cell: 0,
        listen,
        control,
        drain_secs: 10,
        telemetry: settings::telemetry::Telemetry::default(),
    };
    agent::Agent::start(settings).await.expect("an agent")
}

pub fn any_port() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Bed {
    /// Starts a test bed with a registered worker that holds its lease.
    pub async fn start(switches: options::Switches) -> Self {
        let control = agent_control::Control::start().await;
        let agent = start_agent(any_port(), vec![control.addr()]).await;
        let mut options = options::Options::new(agent.addr(), "w1", "r1");
        options.switches = switches;
        let standin = standin::Standin::start(options).await.expect("a stand-in server");
        let bed = Self { control, agent, standin };
        bed.control.leased().await;
        bed
    }

    /// Prepares and starts an attempt.
    pub async fn begin(&self, prepare: wire::agent::Prepare) {
        let attempt = prepare.attempt.clone();
        let epoch = prepare.epoch;
        self.control.send(wire::agent::ServerMessage::Prepare(prepare)).await;
        assert!(self.control.prepared(&attempt).await);
        self.control.send(wire::agent::ServerMessage::Start { attempt, epoch }).await;
    }

    /// Runs an attempt of short tasks to its end.
    pub async fn run(&self, number: u32, tasks: u32) -> wire::agent::TaskResult {
        self.begin(prepare(number, tasks, 20)).await;
        self.control.ended(&attempt(number)).await
    }

    pub async fn stop(self) {
        self.agent.abort().await;
        self.standin.stop().await;
        self.control.stop().await;
    }
}

/// The ends of the tasks at the backend server, in the order of their starts.
pub fn ends(standin: &standin::Standin) -> Vec<Option<record::End>> {
    standin.record().iter().map(|run| run.end).collect()
}

/// Assembles the answer of an attempt from its chunks and checks it against the reported length and
/// checksum.
pub fn answer(control: &agent_control::Control, result: &wire::agent::TaskResult) -> String {
    let wire::agent::TaskResult::Done(Some(meta)) = result else { panic!("{result:?}") };
    let mut answer = Vec::new();
    control.with(|inner| {
        for message in &inner.received {
            if let wire::agent::ClientMessage::Chunk { offset, bytes, .. } = message {
                assert!(bytes.len() <= job::CHUNK_BYTES);
                answer.truncate(*offset as usize);
                assert_eq!(answer.len() as u64, *offset);
                answer.extend_from_slice(bytes);
            }
        }
    });
    assert_eq!(meta.length, answer.len() as u64);
    assert_eq!(meta.sha256, <[u8; 32]>::from(sha2::Sha256::digest(&answer)));
    String::from_utf8(answer).expect("text")
}
