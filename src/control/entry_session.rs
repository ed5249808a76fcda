//! The session of one entry with a replica: calls, the configuration and counts of refusals.

use std::collections::BTreeMap;

use futures_util::future;
use futures_util::stream as futures_stream;
use futures_util::stream::StreamExt as _;

use crate::control::calls;
use crate::control::hello;
use crate::control::machine;
use crate::control::proposer;
use crate::core::ids;
use crate::core::ledger::command;
use crate::core::time;
use crate::net::stream;
use crate::wire::common;
use crate::wire::entry;

/// Limit of concurrent calls of one entry; further calls are refused.
const MAX_CONCURRENT_CALLS: usize = 16 * 1024;

/// Serves one entry's stream until it ends.
pub async fn serve(
    proposer: proposer::Proposer,
    cell: ids::CellKey,
    replica: ids::ReplicaKey,
    incoming: stream::Incoming,
) {
    let peer = incoming.peer;
    let (sender, mut receiver) = incoming.split::<entry::ClientMessage, entry::ServerMessage>();
    let Some(entry::ClientMessage::Hello { version, cell: entry_cell, entry, revision }) =
        receiver.receive().await
    else {
        return;
    };
    if !hello::is_compatible(peer, version, entry_cell, cell.0) {
        return;
    }
    sender.send(&entry::ServerMessage::Welcome { replica: replica.0 }).await;
    let session = Session { proposer, sender, entry };
    session.run(receiver, ids::Revision(revision)).await;
}

struct Session {
    proposer: proposer::Proposer,
    sender: stream::Sender<entry::ServerMessage>,
    entry: u64,
}

type Pending = futures_stream::FuturesUnordered<future::LocalBoxFuture<'static, u64>>;

impl Session {
    async fn run(
        self,
        mut receiver: stream::Receiver<entry::ClientMessage>,
        mut entry_revision: ids::Revision,
    ) {
        let mut role = self.proposer.shared.role.subscribe();
        let mut revision = self.proposer.shared.revision.subscribe();
        let mut pending = Pending::new();
        let mut handles = BTreeMap::new();
        self.send_role(&role.borrow_and_update().clone()).await;
        self.send_config(&mut entry_revision).await;
        loop {
            tokio::select! {
                message = receiver.receive() => match message {
                    Some(message) => self.handle_message(message, &mut pending, &mut handles).await,
                    None => return,
                },
                Some(id) = pending.next(), if !pending.is_empty() => {
                    handles.remove(&id);
                }
                changed = revision.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.send_config(&mut entry_revision).await;
                }
                changed = role.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let role = role.borrow_and_update().clone();
                    self.send_role(&role).await;
                }
            }
        }
    }

    async fn send_role(&self, role: &machine::Role) {
        if let machine::Role::Follower { leader } = role {
            let leader = leader.clone().map(|(_, addr)| addr);
            self.sender.send(&entry::ServerMessage::NotLeader { leader }).await;
        }
    }

    async fn send_config(&self, entry_revision: &mut ids::Revision) {
        let config = self.proposer.shared.ledger.borrow().config.clone();
        if config.revision > *entry_revision {
            *entry_revision = config.revision;
            self.sender.send(&entry::ServerMessage::Config(common::Config::from(config))).await;
        }
    }

    async fn handle_message(
        &self,
        message: entry::ClientMessage,
        pending: &mut Pending,
        handles: &mut BTreeMap<u64, future::AbortHandle>,
    ) {
        match message {
            entry::ClientMessage::Hello { .. } => {}
            entry::ClientMessage::Call { id, trace, body } => {
                if handles.len() >= MAX_CONCURRENT_CALLS {
                    let body = calls::overloaded();
                    self.sender.send(&entry::ServerMessage::Reply { id, body }).await;
                    return;
                }
                let call = calls::Call {
                    proposer: self.proposer.clone(),
                    sender: self.sender.clone(),
                    id,
                };
                let (run, handle) = future::abortable(call.run(trace, body));
                handles.insert(id, handle);
                pending.push(Box::pin(async move {
                    let _ = run.await;
                    id
                }));
            }
            entry::ClientMessage::CancelCall { id } => {
                if let Some(handle) = handles.remove(&id) {
                    handle.abort();
                }
            }
            entry::ClientMessage::Refusals { sequence, counts } => {
                let stored = self.store_refusals(sequence, counts);
                let sender = self.sender.clone();
                pending.push(Box::pin(async move {
                    if stored.await {
                        sender.send(&entry::ServerMessage::RefusalsStored { sequence }).await;
                    }
                    0
                }));
            }
        }
    }

    fn store_refusals(
        &self,
        sequence: u64,
        counts: Vec<(String, u64, u64)>,
    ) -> impl Future<Output = bool> + use<> {
        let counts = counts.into_iter().map(|(service, hour, count)| command::RefusalCount {
            service,
            hour: time::Wall(hour).start_of_hour(),
            count,
        });
        let command =
            command::Command::Refusals { entry: self.entry, sequence, counts: counts.collect() };
        let proposer = self.proposer.clone();
        async move { proposer.propose(command).await.is_ok() }
    }
}
