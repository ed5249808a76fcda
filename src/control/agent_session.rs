//! The session of one agent with the leader.

use std::rc;

use crate::control::agent_messages;
use crate::control::hello;
use crate::control::ledger_machine;
use crate::control::machine;
use crate::control::proposer;
use crate::core::gang::step;
use crate::core::ids;
use crate::core::lease;
use crate::core::ledger::command;
use crate::core::ledger::job;
use crate::core::ledger::outcome;
use crate::net::stream;
use crate::telemetry::event;
use crate::wire::agent;
use crate::wire::common;

/// Serves one agent's stream until it ends or this replica loses leadership.
pub async fn serve(proposer: proposer::Proposer, cell: ids::CellKey, incoming: stream::Incoming) {
    let peer = incoming.peer;
    let (sender, mut receiver) = incoming.split::<agent::ClientMessage, agent::ServerMessage>();
    let Some(agent::ClientMessage::Hello { version, cell: agent_cell, incarnation, revision }) =
        receiver.receive().await
    else {
        return;
    };
    if !hello::is_compatible(peer, version, agent_cell, cell.0) {
        return;
    }
    let mut agent_revision = ids::Revision(revision);
    let mut role = proposer.shared.role.subscribe();
    if let machine::Role::Follower { leader } = role.borrow_and_update().clone() {
        redirect(&sender, leader).await;
        return;
    }
    sender.send(&agent::ServerMessage::Welcome { replica: proposer.replica.0 }).await;
    let shared = proposer.shared.clone();
    let mut revision = shared.revision.subscribe();
    let mut session = Session { proposer, sender, incarnation, announcement: None, worker: None };
    session.send_config(&mut agent_revision).await;
    loop {
        tokio::select! {
            message = receiver.receive() => match message {
                Some(message) => {
                    if !session.handle_message(message).await {
                        break;
                    }
                }
                None => break,
            },
            Ok(()) = revision.changed() => session.send_config(&mut agent_revision).await,
            changed = role.changed() => {
                let role = role.borrow_and_update().clone();
                if let machine::Role::Follower { leader } = role {
                    redirect(&session.sender, leader).await;
                    break;
                }
                // This replica leads a new term: its leader state is new and has no sessions yet.
                if changed.is_err() || !session.register_again().await {
                    break;
                }
            }
        }
    }
    session.close(&shared);
}

async fn redirect(
    sender: &stream::Sender<agent::ServerMessage>,
    leader: Option<(ids::ReplicaKey, String)>,
) {
    let leader = leader.map(|(_, addr)| addr);
    sender.send(&agent::ServerMessage::NotLeader { leader }).await;
}

/// The worker of a session once it is registered.
#[derive(Clone, Copy)]
struct Registered {
    key: ids::WorkerKey,
    session: u64,
}

struct Session {
    proposer: proposer::Proposer,
    sender: stream::Sender<agent::ServerMessage>,
    incarnation: u64,
    announcement: Option<(job::WorkerSpec, bool)>,
    worker: Option<Registered>,
}

impl Session {
    /// Handles one message and returns whether the session goes on.
    async fn handle_message(&mut self, message: agent::ClientMessage) -> bool {
        match message {
            agent::ClientMessage::Hello { .. } => {}
            agent::ClientMessage::Announce { spec, leaving } => {
                if let Ok(spec) = job::WorkerSpec::try_from(spec) {
                    self.announcement = Some((spec, leaving));
                    self.register().await;
                }
            }
            agent::ClientMessage::Heartbeat { sequence, epoch, revision, attempts, .. } => {
                self.heartbeat(sequence, ids::Epoch(epoch), ids::Revision(revision)).await;
                for attempt in attempts {
                    self.gang_input(|worker| step::Input::Reported {
                        attempt: attempt.into(),
                        worker,
                    });
                }
            }
            agent::ClientMessage::Prepared { attempt, ok, .. } => {
                self.gang_input(|worker| step::Input::Prepared {
                    attempt: attempt.into(),
                    worker,
                    ok,
                });
            }
            agent::ClientMessage::Started { attempt } => {
                self.gang_input(|worker| step::Input::Started { attempt: attempt.into(), worker });
            }
            agent::ClientMessage::Chunk { attempt, offset, bytes } => {
                let chunk = command::Command::Chunk { attempt: attempt.into(), offset, bytes };
                // After a failed proposal a chunk may be missing, and the answer must not be
                // completed on this session: the agent resends it from its start on the next one.
                return self.proposer.propose_with_retry(chunk).await.is_ok();
            }
            agent::ClientMessage::Ended { attempt, result } => {
                let result = agent_messages::member_result(result);
                self.gang_input(|worker| step::Input::Ended {
                    attempt: attempt.into(),
                    worker,
                    result,
                });
            }
        }
        true
    }

    /// Sends the configuration, if it is newer than the agent's, without the accounts, which agents
    /// don't need.
    async fn send_config(&self, agent_revision: &mut ids::Revision) {
        let ledger = &self.proposer.shared.ledger;
        if ledger.borrow().config.revision <= *agent_revision {
            return;
        }
        let mut config = ledger.borrow().config.clone();
        config.accounts.clear();
        *agent_revision = config.revision;
        self.sender.send(&agent::ServerMessage::Config(common::Config::from(config))).await;
    }

    fn gang_input(&self, input: impl FnOnce(ids::WorkerKey) -> step::Input) {
        let Some(worker) = self.worker else { return };
        self.proposer
            .shared
            .with_leader(|leader, ledger, now| leader.gang_input(ledger, input(worker.key), now));
    }

    /// Commits the announcement, unless the ledger has it already, and opens the session.
    async fn register(&mut self) {
        let Some((spec, leaving)) = self.announcement.clone() else { return };
        let known = self.known_worker(&spec, leaving);
        let registered = match known {
            Some(known) => Some(known),
            None => self.propose_worker(spec, leaving).await,
        };
        let Some((key, epoch)) = registered else { return };
        let sender = self.sender.clone();
        let session = self.proposer.shared.with_leader(|leader, ledger, now| {
            leader.open_session(ledger, key, epoch, sender, now)
        });
        let Some(session) = session else { return };
        self.worker = Some(Registered { key, session });
        event::control::WORKER_REGISTERED.log(format_args!("worker={key} epoch={epoch}"));
        let registered = agent::ServerMessage::Registered { worker: key.0, epoch: epoch.0 };
        self.sender.send(&registered).await;
    }

    fn known_worker(
        &self,
        spec: &job::WorkerSpec,
        leaving: bool,
    ) -> Option<(ids::WorkerKey, ids::Epoch)> {
        let ledger = self.proposer.shared.ledger.borrow();
        let (key, worker) = ledger.workers.find(&spec.name)?;
        let unchanged = worker.present
            && worker.incarnation == self.incarnation
            && worker.leaving == leaving
            && worker.spec == *spec;
        unchanged.then_some((key, worker.epoch))
    }

    async fn propose_worker(
        &self,
        spec: job::WorkerSpec,
        leaving: bool,
    ) -> Option<(ids::WorkerKey, ids::Epoch)> {
        let incarnation = self.incarnation;
        let command = command::Command::Announce { spec, incarnation, leaving };
        match self.proposer.propose_with_retry(command).await {
            Ok(outcome::Outcome::Worker(key, epoch)) => Some((key, epoch)),
            _ => None,
        }
    }

    async fn heartbeat(&mut self, sequence: u64, epoch: ids::Epoch, revision: ids::Revision) {
        let Some(worker) = self.worker else { return };
        if !self.proposer.log.leads() {
            return;
        }
        let reply = self
            .proposer
            .shared
            .with_leader(|leader, _, now| leader.heartbeat(worker.key, epoch, revision, now));
        let message = match reply {
            Some(lease::Reply::Grant { epoch, duration }) => {
                agent::ServerMessage::Lease { sequence, epoch: epoch.0, duration: duration.0 }
            }
            Some(lease::Reply::Fenced) => agent::ServerMessage::Fenced { epoch: epoch.0 },
            None => return,
        };
        self.sender.send(&message).await;
    }

    async fn register_again(&mut self) -> bool {
        self.register().await;
        !self.sender.is_closed()
    }

    fn close(&self, shared: &rc::Rc<ledger_machine::Shared>) {
        let Some(worker) = self.worker else { return };
        shared.with_leader(|leader, ledger, now| {
            leader.close_session(ledger, worker.key, worker.session, now);
        });
    }
}
