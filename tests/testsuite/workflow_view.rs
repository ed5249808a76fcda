//! The operators' view of workflows, built from the registry and requested in a session of an entry.

use std::time;

use hemlockcleat::control::workflows;
use hemlockcleat::core::workflow::model;
use hemlockcleat::net::stream;
use hemlockcleat::wire::codec;
use hemlockcleat::wire::common;
use hemlockcleat::wire::entry as wire;

use crate::support;
use crate::support::flow;
use crate::workflow::Site;

/// The time within which a reply must arrive, also on a busy machine.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

#[test]
fn list_shows_active_jobs_first() {
    let mut world = flow::World::with_workers(1);
    let done = world.submit(1, "aa", vec![flow::step(1, 8)]);
    world.tick(1);
    let (host, task, run) = world.take_starts()[0].clone();
    let ended = flow::finished(1, &task, run, model::EndReason::Done);
    world.report(flow::worker(host, 1), &[], &[ended]);
    let first = world.submit(1, "bb", vec![flow::step(1, 8)]);
    let last = world.submit(1, "cc", vec![flow::step(1, 8)]);
    let list = |account: &str, limit| {
        let found = workflows::list(&world.registry, account, limit);
        found.iter().map(|workflow| workflow.number).collect::<Vec<_>>()
    };
    assert_eq!(list("", 10), [last.0, first.0, done.0]);
    assert_eq!(list("couriers", 2), [last.0, first.0]);
    assert!(list("nobody", 10).is_empty());
}

#[test]
fn show_counts_tasks_by_step() {
    let mut world = flow::World::with_workers(1);
    let after = model::Step { after: vec![0], ..flow::step(2, 1) };
    let key = world.submit(1, "aa", vec![flow::step(3, 4), after]);
    world.tick(1);
    let starts = world.take_starts();
    assert_eq!(starts.len(), 2, "the worker has capacity for two tasks of the first step");
    let (host, task, run) = starts[0].clone();
    let failed = flow::finished(1, &task, run, model::EndReason::Failed);
    world.report(flow::worker(host, 1), &[], &[failed]);
    let (workflow, tasks) = workflows::show(&world.registry, key).expect("a known job");
    let first = &workflow.steps[0];
    assert_eq!((first.waiting, first.placed, first.done, first.failures), (2, 1, 0, 1));
    assert_eq!(workflow.steps[1].waiting, 2);
    assert_eq!(workflow.phase, 1);
    assert_eq!(tasks.len(), 5);
    assert_eq!(tasks[0].incarnation, Some((0, 1)), "tasks with a run come first");
    assert!(tasks[1..].iter().all(|task| task.incarnation.is_none()));
}

#[test]
fn show_is_bounded() {
    let mut world = flow::World::with_workers(1);
    let key = world.submit(1, "aa", vec![flow::step(1500, 1)]);
    let (workflow, tasks) = workflows::show(&world.registry, key).expect("a known job");
    assert_eq!(workflow.steps[0].waiting, 1500);
    assert_eq!(tasks.len(), 1000);
}

struct Entry {
    sender: stream::Sender<wire::ClientMessage>,
    receiver: stream::Receiver<wire::ServerMessage>,
    last: u64,
}

impl Entry {
    async fn call(&mut self, body: wire::Call) -> wire::Reply {
        self.last += 1;
        let id = self.last;
        let trace = common::TraceContext::default();
        self.sender.send(&wire::ClientMessage::Call { id, trace, body }).await;
        let reply = async {
            loop {
                match self.receiver.receive().await.expect("an open session") {
                    wire::ServerMessage::Reply { id: call, body } if call == id => return body,
                    _ => {}
                }
            }
        };
        tokio::time::timeout(REPLY_TIMEOUT, reply).await.expect("a reply in time")
    }
}

#[test]
fn workflow_is_shown_and_cancelled_through_an_entry() {
    support::run(async {
        let site = Site::start(1, 1).await;
        site.configure().await;
        // The worker doesn't have the accelerators for all tasks at once, so the job stays active.
        site.submit(1, "aa", flow::step(3, 8)).await;
        let (sender, receiver, connection) = stream::connect::<
            wire::ClientMessage,
            wire::ServerMessage,
        >(site.control_addr(0), "/entry")
        .await
        .expect("a session");
        let hello = wire::ClientMessage::Hello {
            version: codec::PROTOCOL_VERSION,
            cell: 0,
            entry: 1,
            revision: 0,
        };
        sender.send(&hello).await;
        let mut entry = Entry { sender, receiver, last: 0 };
        let list = wire::Call::Workflows { account: String::new(), limit: 10 };
        let wire::Reply::Workflows(found) = entry.call(list).await else {
            panic!("the entry must get a list")
        };
        assert_eq!((found.len(), found[0].id.as_str()), (1, "aa"));
        let number = found[0].number;
        let cancel = wire::Call::WorkflowCancel(number);
        let wire::Reply::Workflow(cancelled, _) = entry.call(cancel).await else {
            panic!("the workflow must be cancelled")
        };
        assert_eq!(cancelled.phase, 4);
        for call in [wire::Call::WorkflowShow(number + 1), wire::Call::WorkflowCancel(number + 1)] {
            assert!(matches!(entry.call(call).await, wire::Reply::Refused(_)));
        }
        drop(entry);
        connection.closed().await;
        site.stop().await;
    });
}
