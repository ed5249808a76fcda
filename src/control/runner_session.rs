//! The session of the agent beside a worker of workflows with the leader.

use std::net;

use crate::control::hello;
use crate::control::machine;
use crate::control::proposer;
use crate::net::stream;
use crate::telemetry::event;
use crate::wire::runner;

/// Time without a message after which the session ends; an agent reports every second.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Serves one agent's stream until it ends or this replica loses leadership.
pub async fn serve(proposer: proposer::Proposer, cell: u16, incoming: stream::Incoming) {
    let peer = incoming.peer;
    let (sender, mut receiver) = incoming.split::<runner::ClientMessage, runner::ServerMessage>();
    let Some(runner::ClientMessage::Hello { version, cell: agent_cell, host }) =
        receiver.receive().await
    else {
        return;
    };
    if !hello::is_compatible(peer, version, agent_cell, cell) {
        return;
    }
    let mut role = proposer.shared.role.subscribe();
    let current = role.borrow_and_update().clone();
    let replicas = proposer.log.replicas();
    let machine::Role::Leader(term) = current else {
        sender.send(&runner::ServerMessage::NotLeader(leader_addr(&current), replicas)).await;
        return;
    };
    sender.send(&runner::ServerMessage::Welcome { term: term.0, replicas }).await;
    let session = open(&proposer, host, &sender);
    event::control::AGENT_CONNECTED
        .log(format_args!("host={} session={session}", net::Ipv4Addr::from(host)));
    loop {
        tokio::select! {
            message = tokio::time::timeout(IDLE_TIMEOUT, receiver.receive()) => match message {
                Ok(Some(message)) if is_current(&proposer, host, session) => {
                    handle_message(&proposer, host, message);
                }
                // Messages of an earlier session may arrive late. Their replies would go to the
                // current session, where the same sequence numbers belong to other reports.
                Ok(_) | Err(_) => break,
            },
            // Each term has sessions of its own, so that its orders carry its own fencing token.
            _ = role.changed() => break,
        }
    }
    close(&proposer, host, session);
    event::control::AGENT_DISCONNECTED
        .log(format_args!("host={} session={session}", net::Ipv4Addr::from(host)));
}

fn handle_message(proposer: &proposer::Proposer, host: u32, message: runner::ClientMessage) {
    if !proposer.log.leads() {
        return;
    }
    proposer.shared.with_dispatch(|dispatch, registry, now| match message {
        runner::ClientMessage::Hello { .. } => {}
        runner::ClientMessage::Report(report) => dispatch.report(registry, host, report, now),
        runner::ClientMessage::Closed { incarnation, task, run } => {
            dispatch.closed(registry, host, incarnation, &task, run, now);
        }
    });
}

fn open(
    proposer: &proposer::Proposer,
    host: u32,
    sender: &stream::Sender<runner::ServerMessage>,
) -> u64 {
    let session = proposer.shared.next_session();
    proposer.shared.runners.borrow_mut().insert(host, (session, sender.clone()));
    proposer.shared.with_dispatch(|dispatch, _, now| dispatch.connected(host, now));
    session
}

/// Whether this is the latest session of the host's agent.
fn is_current(proposer: &proposer::Proposer, host: u32, session: u64) -> bool {
    let runners = proposer.shared.runners.borrow();
    runners.get(&host).is_some_and(|(current, _)| *current == session)
}

fn close(proposer: &proposer::Proposer, host: u32, session: u64) {
    if is_current(proposer, host, session) {
        proposer.shared.runners.borrow_mut().remove(&host);
        proposer.shared.with_dispatch(|dispatch, _, _| dispatch.disconnected(host));
    }
}

/// Returns the leader's address, if this replica is a follower and knows it.
pub(super) fn leader_addr(role: &machine::Role) -> Option<String> {
    match role {
        machine::Role::Leader(_) => None,
        machine::Role::Follower { leader } => leader.clone().map(|(_, addr)| addr),
    }
}
