//! The agent's daemon as a process of its own: killed, frozen, stopped as planned, and measured.

use std::net;
use std::time;

use hemlockcleat::core::lease;
use hemlockcleat::core::ledger::job;
use hemlockcleat::standin;
use hemlockcleat::standin::options;
use hemlockcleat::standin::record;
use hemlockcleat::wire::agent;
use hemlockcleat::wire::common;

use crate::support;
use crate::support::agent_bed;
use crate::support::agent_control;
use crate::support::agents;
use crate::support::daemon;
use crate::support::relay;

/// A run time that no test waits for.
const LONG: u64 = 600_000;

/// The most memory an agent may hold, in KiB.
const MEMORY: u64 = 64 * 1024;

/// The most bytes an agent may exchange with control in a second, in both directions.
const TRAFFIC: u64 = 8 * 1024;

struct Bed {
    control: agent_control::Control,
    daemon: daemon::Daemon,
    standin: standin::Standin,
}

async fn start_daemon(listen: net::SocketAddr, control: net::SocketAddr) -> daemon::Daemon {
    let settings = serde_json::json!({
        "listen": listen.to_string(),
        "control": [control.to_string()],
        "drain_secs": 10,
    });
    daemon::Daemon::start(env!("CARGO_BIN_EXE_hemlockcleat-agent"), &settings).await
}

impl Bed {
    async fn start(switches: options::Switches, control: Option<net::SocketAddr>) -> Self {
        let fake = agent_control::Control::start().await;
        Self::start_with(fake, switches, control).await
    }

    async fn start_with(
        control: agent_control::Control,
        switches: options::Switches,
        reach: Option<net::SocketAddr>,
    ) -> Self {
        let reach = reach.unwrap_or(control.addr());
        let daemon = start_daemon(agent_bed::any_port(), reach).await;
        let mut options = options::Options::new(daemon.addr(), "w1", "r1");
        options.switches = switches;
        let standin = standin::Standin::start(options).await.expect("a stand-in");
        control.leased().await;
        Self { control, daemon, standin }
    }

    /// Runs two tasks that end only when they are stopped.
    async fn begin(&self) {
        let attempt = agent_bed::attempt(1);
        self.control.send(agent::ServerMessage::Prepare(agent_bed::prepare(1, 2, LONG))).await;
        assert!(self.control.prepared(&attempt).await);
        self.control.send(agent::ServerMessage::Start { attempt: attempt.clone(), epoch: 1 }).await;
        self.control.started(&attempt).await;
    }

    /// Waits until no task runs any more.
    async fn quiet(&self, limit: time::Duration) {
        let since = time::Instant::now();
        while agent_bed::ends(&self.standin).iter().any(Option::is_none) {
            assert!(since.elapsed() < limit, "tasks run on");
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }

    async fn stop(self) {
        drop(self.daemon);
        self.standin.stop().await;
        self.control.stop().await;
    }
}

#[test]
fn daemon_frozen_runs_nothing_past_its_lease() {
    support::run(async {
        let bed = Bed::start(options::Switches::default(), None).await;
        bed.begin().await;
        // Prepared before the freeze, and its start waits in the socket during it.
        let second = common::AttemptKey { job: 8, number: 1 };
        bed.control.send(agent::ServerMessage::Prepare(agents::prepare(second.clone(), 1))).await;
        assert!(bed.control.prepared(&second).await);
        bed.daemon.freeze();
        bed.control.send(agent::ServerMessage::Start { attempt: second.clone(), epoch: 1 }).await;
        bed.quiet(lease::DURATION.to_duration()).await;
        assert_eq!(agent_bed::ends(&bed.standin), [Some(record::End::LeaseEnded); 2]);
        tokio::time::sleep(lease::DURATION.to_duration()).await;
        bed.daemon.thaw();
        assert_eq!(bed.control.ended(&second).await, agent::TaskResult::NotStarted);
        let first = bed.control.ended(&agent_bed::attempt(1)).await;
        assert!(matches!(first, agent::TaskResult::Unknown(_)), "{first:?}");
        assert_eq!(bed.standin.record().len(), 2);
        bed.stop().await;
    });
}

#[test]
fn daemon_killed_and_restarted_clears_tasks() {
    support::run(async {
        let mut bed = Bed::start(options::Switches::default(), None).await;
        bed.begin().await;
        let addr = bed.daemon.addr();
        bed.control.with(|inner| {
            inner.said.clear();
            inner.epoch = 2;
        });
        bed.daemon.kill();
        bed.daemon = start_daemon(addr, bed.control.addr()).await;
        bed.control.announced(false).await;
        assert_eq!(agent_bed::ends(&bed.standin), [Some(record::End::Stopped); 2]);
        bed.stop().await;
    });
}

#[test]
fn daemon_terminated_hands_over_and_ends() {
    support::run(async {
        let mut bed = Bed::start(options::Switches::default(), None).await;
        let attempt = agent_bed::attempt(1);
        bed.control.send(agent::ServerMessage::Prepare(agent_bed::prepare(1, 2, 1500))).await;
        assert!(bed.control.prepared(&attempt).await);
        bed.control.send(agent::ServerMessage::Start { attempt: attempt.clone(), epoch: 1 }).await;
        bed.control.started(&attempt).await;
        bed.control.with(|inner| inner.forgets = true);
        bed.daemon.terminate();
        bed.control.announced(true).await;
        let result = bed.control.ended(&attempt).await;
        agent_bed::answer(&bed.control, &result);
        assert!(bed.daemon.ended().await.success());
        for event in ["100", "101", "102"] {
            assert!(bed.daemon.log().contains(event), "{}", bed.daemon.log());
        }
        bed.stop().await;
    });
}

#[test]
fn daemon_refuses_settings() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("settings.json");
    std::fs::write(&file, r#"{"listen":"127.0.0.1:0","control":[]}"#).expect("settings");
    let program = env!("CARGO_BIN_EXE_hemlockcleat-agent");
    let output = std::process::Command::new(program).arg(&file).output().expect("a process");
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains("control: must name a control replica"), "{said}");
}

#[test]
fn daemon_stays_within_memory() {
    support::run(async {
        let switches = options::Switches {
            answer_bytes: job::MAX_ANSWER_BYTES as usize,
            ..options::Switches::default()
        };
        let bed = Bed::start(switches, None).await;
        let attempts: Vec<_> = (1..=8).map(|job| common::AttemptKey { job, number: 1 }).collect();
        for attempt in &attempts {
            let payload = vec![b' '; job::MAX_PAYLOAD_BYTES];
            let prepare = agent::Prepare { payload, ..agents::prepare(attempt.clone(), 1) };
            bed.control.send(agent::ServerMessage::Prepare(prepare)).await;
            assert!(bed.control.prepared(attempt).await);
        }
        for attempt in &attempts {
            bed.control
                .send(agent::ServerMessage::Start { attempt: attempt.clone(), epoch: 1 })
                .await;
        }
        // Answers are forgotten one by one; the others wait at the backend server.
        bed.control.with(|inner| inner.forgets = true);
        for attempt in &attempts {
            let result = bed.control.ended(attempt).await;
            assert!(matches!(result, agent::TaskResult::Done(Some(_))), "{result:?}");
        }
        let memory = bed.daemon.memory();
        println!("memory of an agent that handed over 8 answers of 8 MiB: {memory} KiB");
        assert!(memory < MEMORY, "{memory} KiB");
        bed.stop().await;
    });
}

#[test]
fn daemon_stays_within_traffic() {
    support::run(async {
        const SPAN: u64 = 8;
        let control = agent_control::Control::start().await;
        let relay = relay::Relay::start(control.addr()).await;
        let switches = options::Switches::default();
        let bed = Bed::start_with(control, switches, Some(relay.addr())).await;
        let attempt = agent_bed::attempt(1);
        bed.control.send(agent::ServerMessage::Prepare(agent_bed::prepare(1, 8, LONG))).await;
        assert!(bed.control.prepared(&attempt).await);
        bed.control.send(agent::ServerMessage::Start { attempt: attempt.clone(), epoch: 1 }).await;
        bed.control.started(&attempt).await;
        let (bytes, processor) = (relay.bytes(), bed.daemon.processor());
        tokio::time::sleep(time::Duration::from_secs(SPAN)).await;
        let bytes = (relay.bytes() - bytes) / SPAN;
        let processor = (bed.daemon.processor() - processor) / SPAN as f64 * 100.0;
        println!("an agent with 8 running tasks: {bytes} bytes/s, {processor:.2} % of a core");
        assert!(bytes < TRAFFIC, "{bytes} bytes/s");
        relay.stop().await;
        bed.stop().await;
    });
}
