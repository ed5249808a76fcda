//! The session of a gate with a replica: calls on workflows.
//!
//! Only the leader answers, from its ledger and while it holds the leader lease, so that no reply is
//! stale: queues and credentials are those of the newest configuration.

use futures_util::future;
use futures_util::stream as futures_stream;
use futures_util::stream::StreamExt as _;

use crate::control::hello;
use crate::control::machine;
use crate::control::proposer;
use crate::control::runner_session;
use crate::core::ledger::command;
use crate::core::ledger::outcome;
use crate::core::workflow;
use crate::net::stream;
use crate::telemetry::event;
use crate::wire::gate;

/// Limit of concurrent calls of one gate; further calls wait in its stream.
const MAX_CONCURRENT_CALLS: usize = 1024;

/// Time without a message after which the session ends; a gate pings every second.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

type Pending = futures_stream::FuturesUnordered<future::LocalBoxFuture<'static, ()>>;

/// Serves one gate's stream until it ends or this replica loses leadership.
pub async fn serve(proposer: proposer::Proposer, cell: u16, incoming: stream::Incoming) {
    let peer = incoming.peer;
    let (sender, mut receiver) = incoming.split::<gate::ClientMessage, gate::ServerMessage>();
    let Some(gate::ClientMessage::Hello { version, cell: gate_cell }) = receiver.receive().await
    else {
        return;
    };
    if !hello::is_compatible(peer, version, gate_cell, cell) {
        return;
    }
    let mut role = proposer.shared.role.subscribe();
    let current = role.borrow_and_update().clone();
    let replicas = proposer.log.replicas();
    let machine::Role::Leader(_) = current else {
        let leader = runner_session::leader_addr(&current);
        sender.send(&gate::ServerMessage::NotLeader(leader, replicas)).await;
        return;
    };
    sender.send(&gate::ServerMessage::Welcome(replicas)).await;
    let mut pending = Pending::new();
    loop {
        tokio::select! {
            message = tokio::time::timeout(IDLE_TIMEOUT, receiver.receive()),
                if pending.len() < MAX_CONCURRENT_CALLS => match message {
                Ok(Some(gate::ClientMessage::Call { id, body })) => {
                    pending.push(Box::pin(answer(proposer.clone(), sender.clone(), id, body)));
                }
                Ok(Some(gate::ClientMessage::Ping)) => {
                    if proposer.log.leads() {
                        sender.try_send(&gate::ServerMessage::Alive);
                    }
                }
                Ok(Some(gate::ClientMessage::Hello { .. })) => {}
                Ok(None) | Err(_) => break,
            },
            Some(()) = pending.next(), if !pending.is_empty() => {}
            _ = role.changed() => break,
        }
    }
    // Calls that arrived while this replica was the leader are still answered.
    while pending.next().await.is_some() {}
}

async fn answer(
    proposer: proposer::Proposer,
    sender: stream::Sender<gate::ServerMessage>,
    id: u64,
    call: gate::Call,
) {
    let body = match call {
        gate::Call::Submit(address, workflow) => submit(&proposer, address, workflow).await,
        gate::Call::Show(address) => show(&proposer, &address),
        gate::Call::Cancel(address) => cancel(&proposer, &address).await,
        gate::Call::Configure(directory) => configure(&proposer, directory).await,
        gate::Call::Configuration => configuration(&proposer),
    };
    sender.send(&gate::ServerMessage::Reply { id, body }).await;
}

/// The queue or job that an address refers to.
struct Target {
    queue: workflow::directory::Queue,
    /// The caller's identifier of the job; empty for the queue itself.
    id: String,
    /// The client account; empty if the queue is public and the credential is missing or unknown.
    account: String,
}

/// Resolves an address by the newest configuration.
fn resolve(proposer: &proposer::Proposer, address: &gate::Target) -> Result<Target, gate::Reply> {
    if !proposer.log.leads() {
        return Err(gate::Reply::Undecided(false));
    }
    let ledger = proposer.shared.ledger.borrow();
    let Some(directory) = &ledger.workflows.directory else {
        return Err(gate::Reply::NoConfiguration);
    };
    let Some(resolved) = directory.resolve(&address.host, &address.path) else {
        return Err(gate::Reply::NoQueue);
    };
    let account = address.credential.as_ref().and_then(|key| directory.account_of(key));
    let account = match account {
        Some(account) => account.name.clone(),
        None if resolved.queue.public => String::new(),
        None => return Err(gate::Reply::NoCredential),
    };
    let queue = resolved.queue.clone();
    Ok(Target { queue, id: resolved.rest.to_owned(), account })
}

async fn submit(
    proposer: &proposer::Proposer,
    address: gate::Target,
    mut workflow: workflow::model::Workflow,
) -> gate::Reply {
    let target = match validate(proposer, &address, &workflow) {
        Ok(target) => target,
        Err(reply) => return log_refusal(proposer, &address, reply),
    };
    workflow.normalize();
    let submission = workflow::command::Submission {
        queue: target.queue.address(),
        id: target.id,
        account: target.account,
        pool: target.queue.pool,
        priority: target.queue.priority,
        attempts: target.queue.attempts,
        workflow,
    };
    let _reserved = match proposer.shared.reserve_memory(&submission) {
        Ok(reserved) => reserved,
        Err(wait) => {
            let reply = gate::Reply::Full(wait.0.div_ceil(1000));
            return log_refusal(proposer, &address, reply);
        }
    };
    let description = describe(&submission);
    match propose(proposer, workflow::command::Command::Submit(submission)).await {
        Ok(workflow::command::Outcome::Accepted(job)) => {
            event::control::JOB_ACCEPTED.log(format_args!("job={job} {description}"));
            gate::Reply::Accepted
        }
        Ok(_) => gate::Reply::Undecided(true),
        Err(reply) => reply,
    }
}

fn validate(
    proposer: &proposer::Proposer,
    address: &gate::Target,
    workflow: &workflow::model::Workflow,
) -> Result<Target, gate::Reply> {
    let target = resolve(proposer, address)?;
    if target.id.is_empty() || target.id.contains(['/', '.']) {
        return Err(gate::Reply::NoQueue);
    }
    if target.id.len() > workflow::model::MAX_ID_BYTES {
        let limit = workflow::model::MAX_ID_BYTES;
        return Err(gate::Reply::Invalid(format!("the identifier is longer than {limit} bytes")));
    }
    workflow.validation_error().map_or(Ok(target), |error| Err(gate::Reply::Invalid(error)))
}

/// Logs a refusal with the version of the configuration that it is based on.
fn log_refusal(
    proposer: &proposer::Proposer,
    address: &gate::Target,
    reply: gate::Reply,
) -> gate::Reply {
    let why = match &reply {
        gate::Reply::NoQueue
        | gate::Reply::NoCredential
        | gate::Reply::NoConfiguration
        | gate::Reply::Full(_) => reply.label(),
        gate::Reply::Invalid(error) => error,
        // This replica isn't the leader, and the job wasn't refused.
        _ => return reply,
    };
    let ledger = proposer.shared.ledger.borrow();
    let version = ledger.workflows.directory.as_ref().map_or(0, |directory| directory.version);
    event::control::JOB_REFUSED.log(format_args!(
        "host={} path={} config={version} why={why}",
        address.host, address.path
    ));
    reply
}

/// Describes a submission for the log.
fn describe(submission: &workflow::command::Submission) -> String {
    let steps = submission.workflow.steps.iter().map(describe_step);
    let schedule = submission.workflow.schedule.as_ref();
    format!(
        "id={} queue={} account={} priority={} steps={} times={}",
        submission.id,
        submission.queue,
        submission.account,
        submission.priority,
        steps.collect::<Vec<_>>().join(","),
        schedule.map_or(1, |schedule| schedule.count)
    )
}

fn describe_step(step: &workflow::model::Step) -> String {
    let kind = if step.gang { "gang" } else { "tasks" };
    let (count, cpu) = (step.count, step.cpu);
    let (accelerators, estimate) = (step.accelerators, step.estimate);
    let mut text = format!("{kind}:{count}x{accelerators}a{cpu}c~{estimate}ms");
    let constraints = [("on", &step.constraint), ("near", &step.affinity)];
    for (word, value) in constraints {
        if let Some(value) = value {
            text += &format!("/{word}:{value}");
        }
    }
    let flags = [
        ("rack", step.one_rack),
        ("saves", step.checkpoints),
        ("lasts", step.long_running),
        ("fills", step.best_effort),
        ("copies", step.speculative),
        ("spread", step.worker_limit > 0),
    ];
    for (word, _) in flags.iter().filter(|(_, set)| *set) {
        text += &format!("/{word}");
    }
    text
}

fn show(proposer: &proposer::Proposer, address: &gate::Target) -> gate::Reply {
    let target = match resolve(proposer, address) {
        Ok(target) => target,
        Err(reply) => return reply,
    };
    let registry = &proposer.shared.ledger.borrow().workflows;
    let queue = target.queue.address();
    if target.id.is_empty() {
        let now = proposer.shared.clock.tick();
        return match proposer.shared.dispatch.borrow_mut().as_mut() {
            Some(dispatch) => gate::Reply::Pending(dispatch.pending(registry, &queue, now)),
            None => gate::Reply::Undecided(false),
        };
    }
    match registry.find(&queue, &target.id) {
        Some(key) => gate::Reply::Job(registry.jobs[&key].phase),
        None => gate::Reply::NoJob,
    }
}

async fn cancel(proposer: &proposer::Proposer, address: &gate::Target) -> gate::Reply {
    let target = match resolve(proposer, address) {
        Ok(target) => target,
        Err(reply) => return reply,
    };
    if target.id.len() > workflow::model::MAX_ID_BYTES {
        return gate::Reply::NoJob;
    }
    let id = target.id.clone();
    let command = workflow::command::Command::Cancel(target.queue.address(), target.id);
    match propose(proposer, command).await {
        Ok(outcome) => {
            let known = outcome == workflow::command::Outcome::Applied;
            event::control::JOB_CANCELLED.log(format_args!("id={id} known={known}"));
            if known { gate::Reply::Cancelled } else { gate::Reply::NoJob }
        }
        Err(reply) => reply,
    }
}

async fn configure(
    proposer: &proposer::Proposer,
    directory: workflow::directory::Directory,
) -> gate::Reply {
    let version = directory.version;
    let command = workflow::command::Command::Configure(directory);
    match propose(proposer, command).await {
        Ok(workflow::command::Outcome::Applied) => {
            event::control::CONFIGURED.log(format_args!("version={version}"));
            gate::Reply::Configured
        }
        Ok(workflow::command::Outcome::Invalid(error)) => gate::Reply::Invalid(error),
        Ok(_) => gate::Reply::Undecided(true),
        Err(reply) => reply,
    }
}

fn configuration(proposer: &proposer::Proposer) -> gate::Reply {
    if !proposer.log.leads() {
        return gate::Reply::Undecided(false);
    }
    match &proposer.shared.ledger.borrow().workflows.directory {
        Some(directory) => gate::Reply::Configuration(directory.document.clone()),
        None => gate::Reply::NoConfiguration,
    }
}

async fn propose(
    proposer: &proposer::Proposer,
    command: workflow::command::Command,
) -> Result<workflow::command::Outcome, gate::Reply> {
    match proposer.propose(command::Command::Workflow(command)).await {
        Ok(outcome::Outcome::Workflow(outcome)) => Ok(outcome),
        Ok(_) | Err(machine::ProposeError::Unknown) => Err(gate::Reply::Undecided(true)),
        Err(machine::ProposeError::NotLeader | machine::ProposeError::Busy) => {
            Err(gate::Reply::Undecided(false))
        }
    }
}
