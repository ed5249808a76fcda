//! The agent between a fake control replica and a stand-in backend server, over real sockets.

use std::net;

use hemlockcleat::agent::Agent;
use hemlockcleat::core::ledger::job;
use hemlockcleat::settings;
use hemlockcleat::standin;
use hemlockcleat::standin::options;
use hemlockcleat::standin::record;
use hemlockcleat::wire::agent;
use hemlockcleat::wire::common;
use sha2::Digest as _;

use crate::support;
use crate::support::control;

pub struct Bed {
    pub control: control::Control,
    pub agent: Agent,
    pub standin: standin::Standin,
}

fn attempt(number: u32) -> common::Attempt {
    common::Attempt { job: 7, number }
}

fn prepare(number: u32, tasks: u32) -> agent::Prepare {
    agent::Prepare {
        attempt: attempt(number),
        epoch: 1,
        service: "booking".to_owned(),
        kind: "round-rebuild".to_owned(),
        key: "evening".to_owned(),
        first: 0,
        tasks,
        gang: tasks,
        accelerators: 1,
        answer_limit: job::MAX_ANSWER,
        payload: b"joondalup".to_vec(),
        trace: common::Trace::default(),
    }
}

async fn start_agent(control: net::SocketAddr) -> Agent {
    let settings = settings::agent::Settings {
        cell: 0,
        listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
        control: vec![control],
        drain_secs: 10,
        telemetry: settings::telemetry::Telemetry::default(),
    };
    Agent::start(settings).await.expect("an agent")
}

impl Bed {
    /// A registered worker that holds its lease.
    async fn start(switches: options::Switches) -> Self {
        let control = control::Control::start().await;
        let agent = start_agent(control.addr()).await;
        let mut options = options::Options::new(agent.addr(), "w1", "r1");
        options.switches = switches;
        let standin = standin::Standin::start(options).await.expect("a stand-in");
        let bed = Self { control, agent, standin };
        bed.leased().await;
        bed
    }

    /// Waits until the lease is held: the second heartbeat follows its grant.
    async fn leased(&self) {
        let second = |up: &agent::Up| match up {
            agent::Up::Heartbeat { sequence, .. } if *sequence >= 2 => Some(()),
            _ => None,
        };
        self.control.wait("a second heartbeat", second).await;
    }

    async fn prepared(&self, prepare: agent::Prepare) -> bool {
        let wanted = prepare.attempt.clone();
        self.control.send(agent::Down::Prepare(prepare)).await;
        self.control
            .wait("prepared", |up| match up {
                agent::Up::Prepared { attempt, ok, .. } if *attempt == wanted => Some(*ok),
                _ => None,
            })
            .await
    }

    async fn run(&self, number: u32, tasks: u32) -> agent::TaskResult {
        assert!(self.prepared(prepare(number, tasks)).await);
        self.control.send(agent::Down::Start { attempt: attempt(number), epoch: 1 }).await;
        self.ended(number).await
    }

    async fn ended(&self, number: u32) -> agent::TaskResult {
        self.control
            .wait("ended", |up| match up {
                agent::Up::Ended { attempt: ended, result } if *ended == attempt(number) => {
                    Some(result.clone())
                }
                _ => None,
            })
            .await
    }

    /// The answer as its chunks give it.
    fn answer(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.control.with(|inner| {
            for up in &inner.said {
                if let agent::Up::Chunk { offset, bytes: chunk, .. } = up {
                    assert!(chunk.len() <= job::CHUNK);
                    bytes.truncate(*offset as usize);
                    bytes.extend_from_slice(chunk);
                }
            }
        });
        bytes
    }

    async fn stop(self) {
        self.agent.abort().await;
        self.standin.stop().await;
        self.control.stop().await;
    }
}

fn ends(standin: &standin::Standin) -> Vec<Option<record::End>> {
    standin.record().iter().map(|run| run.end).collect()
}

#[test]
fn agent_runs_a_gang_and_gives_its_answer() {
    support::run(async {
        let bed = Bed::start(options::Switches::default()).await;
        let result = bed.run(1, 4).await;
        let answer = bed.answer();
        let agent::TaskResult::Done(Some(meta)) = result else { panic!("{result:?}") };
        assert_eq!(meta.length, answer.len() as u64);
        assert_eq!(meta.sha256, <[u8; 32]>::from(sha2::Sha256::digest(&answer)));
        let text = String::from_utf8(answer).expect("text");
        assert!(text.contains(r#""attempt":"7.1""#) && text.contains("joondalup"), "{text}");
        assert_eq!(ends(&bed.standin), [Some(record::End::Done); 4]);
        bed.stop().await;
    });
}
