//! Tests of the agent's daemon as a process: killed, suspended, terminated, and within its limits
//! of memory and traffic.

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

/// A run time that outlasts every test, in milliseconds.
const LONG_RUN_MS: u64 = 600_000;

/// Memory limit of an agent.
const MAX_MEMORY_KIB: u64 = 64 * 1024;

/// Traffic limit between an agent and control, in both directions together.
const MAX_BYTES_PER_SECOND: u64 = 8 * 1024;

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
        control_addr: Option<net::SocketAddr>,
    ) -> Self {
        let control_addr = control_addr.unwrap_or(control.addr());
        let daemon = start_daemon(agent_bed::any_port(), control_addr).await;
        let mut options = options::Options::new(daemon.addr(), "w1", "r1");
        options.switches = switches;
        let standin = standin::Standin::start(options).await.expect("a stand-in");
        control.leased().await;
        Self { control, daemon, standin }
    }

    /// Starts two tasks that end only when they are stopped.
    async fn begin(&self) {
        let attempt = agent_bed::attempt(1);
        self.control
            .send(agent::ServerMessage::Prepare(agent_bed::prepare(1, 2, LONG_RUN_MS)))
            .await;
        assert!(self.control.prepared(&attempt).await);
        self.control.send(agent::ServerMessage::Start { attempt: attempt.clone(), epoch: 1 }).await;
        self.control.started(&attempt).await;
    }

    /// Waits until all tasks have ended.
    async fn wait_until_idle(&self, limit: time::Duration) {
        let since = time::Instant::now();
        while agent_bed::ends(&self.standin).iter().any(Option::is_none) {
            assert!(since.elapsed() < limit, "tasks are still running");
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
fn daemon_suspended_runs_nothing_after_its_lease() {
    support::run(async {
        let bed = Bed::start(options::Switches::default(), None).await;
        bed.begin().await;
        // The attempt is prepared before the process is suspended; its start waits in the socket.
        let second = common::AttemptKey { job: 8, number: 1 };
        bed.control.send(agent::ServerMessage::Prepare(agents::prepare(second.clone(), 1))).await;
        assert!(bed.control.prepared(&second).await);
        bed.daemon.suspend();
        bed.control.send(agent::ServerMessage::Start { attempt: second.clone(), epoch: 1 }).await;
        bed.wait_until_idle(lease::DURATION.to_duration()).await;
        assert_eq!(agent_bed::ends(&bed.standin), [Some(record::End::LeaseEnded); 2]);
        tokio::time::sleep(lease::DURATION.to_duration()).await;
        bed.daemon.resume();
        assert_eq!(bed.control.ended(&second).await, agent::TaskResult::NotStarted);
        let first = bed.control.ended(&agent_bed::attempt(1)).await;
        assert!(matches!(first, agent::TaskResult::Unknown(_)), "{first:?}");
        assert_eq!(bed.standin.record().len(), 2);
        bed.stop().await;
    });
}

#[test]
fn daemon_killed_and_restarted_stops_tasks() {
    support::run(async {
        let mut bed = Bed::start(options::Switches::default(), None).await;
        bed.begin().await;
        let addr = bed.daemon.addr();
        bed.control.with(|inner| {
            inner.received.clear();
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
fn daemon_terminated_delivers_answers_and_exits() {
    support::run(async {
        let mut bed = Bed::start(options::Switches::default(), None).await;
        let attempt = agent_bed::attempt(1);
        bed.control.send(agent::ServerMessage::Prepare(agent_bed::prepare(1, 2, 1500))).await;
        assert!(bed.control.prepared(&attempt).await);
        bed.control.send(agent::ServerMessage::Start { attempt: attempt.clone(), epoch: 1 }).await;
        bed.control.started(&attempt).await;
        bed.control.with(|inner| inner.stores_ends = true);
        bed.daemon.terminate();
        bed.control.announced(true).await;
        let result = bed.control.ended(&attempt).await;
        agent_bed::answer(&bed.control, &result);
        assert!(bed.daemon.wait().await.success());
        for event in ["100", "101", "102"] {
            assert!(bed.daemon.log().contains(event), "{}", bed.daemon.log());
        }
        bed.stop().await;
    });
}

#[test]
fn daemon_refuses_settings() {
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("settings.json");
    std::fs::write(&file, r#"{"listen":"127.0.0.1:0","control":[]}"#).expect("settings");
    let program = env!("CARGO_BIN_EXE_hemlockcleat-agent");
    let output = std::process::Command::new(program).arg(&file).output().expect("a process");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("control: must name a control replica"), "{stderr}");
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
        // Answers are dropped as their ends are stored; further ones wait at the backend server.
        bed.control.with(|inner| inner.stores_ends = true);
        for attempt in &attempts {
            let result = bed.control.ended(attempt).await;
            assert!(matches!(result, agent::TaskResult::Done(Some(_))), "{result:?}");
        }
        let memory = bed.daemon.peak_memory();
        println!("memory of an agent that handed over 8 answers of 8 MiB: {memory} KiB");
        assert!(memory < MAX_MEMORY_KIB, "{memory} KiB");
        bed.stop().await;
    });
}

#[test]
fn daemon_stays_within_traffic() {
    support::run(async {
        const MEASURED_SECONDS: u64 = 8;
        let control = agent_control::Control::start().await;
        let relay = relay::Relay::start(control.addr()).await;
        let switches = options::Switches::default();
        let bed = Bed::start_with(control, switches, Some(relay.addr())).await;
        let attempt = agent_bed::attempt(1);
        bed.control
            .send(agent::ServerMessage::Prepare(agent_bed::prepare(1, 8, LONG_RUN_MS)))
            .await;
        assert!(bed.control.prepared(&attempt).await);
        bed.control.send(agent::ServerMessage::Start { attempt: attempt.clone(), epoch: 1 }).await;
        bed.control.started(&attempt).await;
        let (bytes, processor) = (relay.bytes(), bed.daemon.cpu_seconds());
        tokio::time::sleep(time::Duration::from_secs(MEASURED_SECONDS)).await;
        let bytes = (relay.bytes() - bytes) / MEASURED_SECONDS;
        let processor = (bed.daemon.cpu_seconds() - processor) / MEASURED_SECONDS as f64 * 100.0;
        println!("an agent with 8 running tasks: {bytes} bytes/s, {processor:.2} % of a core");
        assert!(bytes < MAX_BYTES_PER_SECOND, "{bytes} bytes/s");
        relay.stop().await;
        bed.stop().await;
    });
}
