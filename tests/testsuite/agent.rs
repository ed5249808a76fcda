//! Tests of the agent between a fake control replica and a stand-in backend server over real
//! sockets: start, stop and end of gangs, leader changes, planned stops and crashes of the agent.

use std::time;

use hemlockcleat::core::lease;
use hemlockcleat::standin;
use hemlockcleat::standin::options;
use hemlockcleat::standin::record;
use hemlockcleat::wire::agent;
use rstest::rstest;

use crate::support;
use crate::support::agent_bed;
use crate::support::agent_bed::Bed;
use crate::support::agent_control;
use crate::support::http_client;
use crate::support::relay;

/// A run time that outlasts every test, in milliseconds.
const LONG_RUN_MS: u64 = 600_000;

#[test]
fn agent_runs_a_gang_and_delivers_its_answer() {
    support::run(async {
        let bed = Bed::start(options::Switches::default()).await;
        let result = bed.run(1, 4).await;
        let text = agent_bed::answer(&bed.control, &result);
        assert!(text.contains(r#""attempt":"7.1""#) && text.contains(r#""gang":4"#), "{text}");
        assert_eq!(agent_bed::ends(&bed.standin), [Some(record::End::Done); 4]);
        // Once the end is stored, the tasks are deleted at the backend server.
        bed.control.send(agent::ServerMessage::EndStored { attempt: agent_bed::attempt(1) }).await;
        bed.standin.drained().await;
        bed.stop().await;
    });
}

#[test]
fn agent_stop_checkpoints_and_throttle_slows() {
    support::run(async {
        let bed = Bed::start(options::Switches::default()).await;
        bed.begin(agent_bed::prepare(1, 1, LONG_RUN_MS)).await;
        bed.control.started(&agent_bed::attempt(1)).await;
        let attempt = agent_bed::attempt(1);
        bed.control
            .send(agent::ServerMessage::Throttle { attempt: attempt.clone(), percent: 10 })
            .await;
        bed.control
            .send(agent::ServerMessage::Stop { attempt: attempt.clone(), grace: 5000 })
            .await;
        assert_eq!(bed.control.ended(&attempt).await, agent::TaskResult::Stopped);
        assert_eq!(agent_bed::ends(&bed.standin), [Some(record::End::Checkpointed)]);
        bed.stop().await;
    });
}

#[test]
fn agent_announces_leaving_and_return() {
    support::run(async {
        let bed = Bed::start(options::Switches::default()).await;
        bed.begin(agent_bed::prepare(1, 1, 1500)).await;
        let requested = time::Instant::now();
        bed.standin.leave(true);
        bed.control.announced(true).await;
        assert!(requested.elapsed() < time::Duration::from_secs(1));
        bed.control.send(agent::ServerMessage::Prepare(agent_bed::prepare(2, 1, 1))).await;
        assert!(!bed.control.prepared(&agent_bed::attempt(2)).await);
        // The running task is not stopped.
        agent_bed::answer(&bed.control, &bed.control.ended(&agent_bed::attempt(1)).await);
        bed.control.with(|inner| inner.received.clear());
        bed.standin.leave(false);
        bed.control.announced(false).await;
        bed.stop().await;
    });
}

#[test]
fn agent_planned_stop_delivers_answers() {
    support::run(async {
        let bed = Bed::start(options::Switches::default()).await;
        bed.begin(agent_bed::prepare(1, 2, 1000)).await;
        bed.control.started(&agent_bed::attempt(1)).await;
        bed.control.with(|inner| inner.stores_ends = true);
        bed.agent.stop().await;
        // The agent sent all messages before it ended.
        bed.control.announced(true).await;
        agent_bed::answer(&bed.control, &bed.control.ended(&agent_bed::attempt(1)).await);
        bed.standin.stop().await;
        bed.control.stop().await;
    });
}

#[test]
fn agent_follows_the_leader() {
    support::run(async {
        let bed = Bed::start(options::Switches::default()).await;
        bed.begin(agent_bed::prepare(1, 1, 1500)).await;
        bed.control.started(&agent_bed::attempt(1)).await;
        let next = agent_control::Control::start().await;
        bed.control.with(|inner| inner.redirect = Some(next.addr().to_string()));
        bed.control.send(agent::ServerMessage::NotLeader { leader: None }).await;
        let result = next.ended(&agent_bed::attempt(1)).await;
        agent_bed::answer(&next, &result);
        assert_eq!(agent_bed::ends(&bed.standin), [Some(record::End::Done)]);
        // Until the end is stored, it is reported to each further leader.
        let last = agent_control::Control::start().await;
        next.with(|inner| inner.redirect = Some(last.addr().to_string()));
        next.send(agent::ServerMessage::NotLeader { leader: Some(last.addr().to_string()) }).await;
        assert_eq!(last.ended(&agent_bed::attempt(1)).await, result);
        agent_bed::answer(&last, &result);
        next.stop().await;
        last.stop().await;
        bed.stop().await;
    });
}

#[test]
fn agent_finds_the_next_leader_before_its_lease_ends() {
    support::run(async {
        let first = agent_control::Control::start().await;
        let second = agent_control::Control::start().await;
        let relay = relay::Relay::start(first.addr()).await;
        // The second replica still redirects to the first one for a while after the partition.
        second.with(|inner| inner.redirect = Some(relay.addr().to_string()));
        let control = vec![relay.addr(), second.addr()];
        let agent = agent_bed::start_agent(agent_bed::any_port(), control).await;
        let options = options::Options::new(agent.addr(), "w1", "r1");
        let standin = standin::Standin::start(options).await.expect("a stand-in server");
        first.leased().await;
        let bed = Bed { control: first, agent, standin };
        bed.begin(agent_bed::prepare(1, 2, 6000)).await;
        bed.control.started(&agent_bed::attempt(1)).await;
        relay.blackhole();
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        second.with(|inner| inner.redirect = None);
        let result = second.ended(&agent_bed::attempt(1)).await;
        agent_bed::answer(&second, &result);
        assert_eq!(agent_bed::ends(&bed.standin), [Some(record::End::Done); 2]);
        relay.stop().await;
        second.stop().await;
        bed.stop().await;
    });
}

#[test]
fn agent_planned_stop_without_tasks_announces_leaving() {
    support::run(async {
        let bed = Bed::start(options::Switches::default()).await;
        bed.agent.stop().await;
        bed.control.announced(true).await;
        bed.standin.stop().await;
        bed.control.stop().await;
    });
}

#[test]
fn agent_lease_end_stops_tasks_before_control_expires_it() {
    support::run(async {
        let bed = Bed::start(options::Switches::default()).await;
        bed.begin(agent_bed::prepare(1, 2, LONG_RUN_MS)).await;
        bed.control.started(&agent_bed::attempt(1)).await;
        bed.control.with(|inner| inner.grants_leases = false);
        let since = time::Instant::now();
        let result = bed.control.ended(&agent_bed::attempt(1)).await;
        assert!(matches!(result, agent::TaskResult::Unknown(_)), "{result:?}");
        assert!(since.elapsed() < (lease::DURATION + lease::CLOCK_DRIFT_MARGIN).to_duration());
        assert!(agent_bed::ends(&bed.standin).iter().all(Option::is_some));
        bed.stop().await;
    });
}

#[test]
fn agent_killed_leaves_no_task_after_its_lease() {
    support::run(async {
        let bed = Bed::start(options::Switches::default()).await;
        bed.begin(agent_bed::prepare(1, 2, LONG_RUN_MS)).await;
        bed.control.started(&agent_bed::attempt(1)).await;
        let since = time::Instant::now();
        bed.agent.abort().await;
        while agent_bed::ends(&bed.standin).iter().any(Option::is_none) {
            assert!(since.elapsed() < lease::DURATION.to_duration());
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        assert_eq!(agent_bed::ends(&bed.standin), [Some(record::End::LeaseEnded); 2]);
        bed.standin.stop().await;
        bed.control.stop().await;
    });
}

#[test]
fn agent_restarted_stops_tasks_before_it_announces() {
    support::run(async {
        let bed = Bed::start(options::Switches::default()).await;
        bed.begin(agent_bed::prepare(1, 2, LONG_RUN_MS)).await;
        bed.control.started(&agent_bed::attempt(1)).await;
        let addr = bed.agent.addr();
        bed.agent.abort().await;
        bed.control.with(|inner| {
            inner.received.clear();
            inner.epoch = 2;
        });
        let agent = agent_bed::start_agent(addr, vec![bed.control.addr()]).await;
        bed.control.announced(false).await;
        assert_eq!(agent_bed::ends(&bed.standin), [Some(record::End::Stopped); 2]);
        // The new agent process does not know the result of the attempt.
        bed.control.leased().await;
        let attempt = agent_bed::attempt(1);
        bed.control.send(agent::ServerMessage::Start { attempt: attempt.clone(), epoch: 1 }).await;
        let result = bed.control.ended(&attempt).await;
        assert!(matches!(result, agent::TaskResult::Unknown(_)), "{result:?}");
        assert_eq!(bed.standin.record().len(), 2);
        agent.abort().await;
        bed.standin.stop().await;
        bed.control.stop().await;
    });
}

#[rstest]
#[case::truncated(r#"{"name":"w1""#, 400)]
#[case::wrong_type(r#"{"name":7}"#, 400)]
#[case::missing_field(r#"{"name":"w1"}"#, 400)]
#[case::unknown_field(r#"{"colour":"red"}"#, 400)]
#[case::not_json("hello", 400)]
fn agent_refuses_announcement(#[case] body: &str, #[case] status: u16) {
    support::run(async {
        let bed = Bed::start(options::Switches::default()).await;
        let reply = http_client::send(bed.agent.addr(), "PUT", "/v1/announce", "", body).await;
        assert_eq!(reply.status, status);
        assert!(reply.json()["error"].is_string());
        bed.stop().await;
    });
}

#[rstest]
#[case::no_slots("slots", "0", "slots: must be 1 to 65536")]
#[case::too_many("connections", "70000", "connections: must be 1 to 65536")]
#[case::negative("accelerators", "-1", "invalid value")]
#[case::no_service("services", "[]", "services: must name 1 to 64 services")]
#[case::bad_name("rack", "\"<b>\"", "rack: must be 1 to 128 of")]
#[case::bad_url("url", "\"ftp://x\"", "url: must be http://HOST:PORT")]
#[case::other_worker("name", "\"w2\"", "this agent serves worker w1")]
fn agent_refuses_value(#[case] field: &str, #[case] value: &str, #[case] error: &str) {
    support::run(async {
        let bed = Bed::start(options::Switches::default()).await;
        let announcement = support::agents::announcement();
        let mut body = serde_json::to_value(announcement).expect("JSON");
        body[field] = serde_json::from_str(value).expect("JSON");
        let body = body.to_string();
        let reply = http_client::send(bed.agent.addr(), "PUT", "/v1/announce", "", &body).await;
        let message = reply.json()["error"].as_str().expect("an error").to_owned();
        assert!(message.contains(error), "{message}");
        bed.stop().await;
    });
}

#[test]
fn agent_shows_health() {
    support::run(async {
        let bed = Bed::start(options::Switches::default()).await;
        let addr = bed.agent.addr();
        let get = async |path| http_client::send(addr, "GET", path, "", "").await.status;
        assert_eq!(get("/healthz").await, 200);
        assert_eq!(get("/readyz").await, 200);
        assert_eq!(get("/metrics").await, 200);
        assert_eq!(get("/nothing").await, 404);
        assert_eq!(http_client::send(addr, "POST", "/readyz", "", "").await.status, 405);
        bed.stop().await;
    });
}
