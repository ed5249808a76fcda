//! Tests of the leader's sessions with agents over sockets, with a log that can fail proposals.

use std::cell;
use std::rc;
use std::time;

use futures_util::future;
use hemlockcleat::control::agent_session;
use hemlockcleat::control::ledger_machine;
use hemlockcleat::control::machine;
use hemlockcleat::control::machine::Machine as _;
use hemlockcleat::control::proposer;
use hemlockcleat::core::ids;
use hemlockcleat::net::stream;
use hemlockcleat::wire::agent;
use hemlockcleat::wire::codec;
use hemlockcleat::wire::common;

use crate::support;

/// Limit of each wait for a message or the end of a stream.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// An in-memory log whose only replica is always the leader, and which failing proposals on demand.
struct Log {
    machine: cell::RefCell<ledger_machine::LedgerMachine>,
    index: cell::Cell<u64>,
    failing: cell::Cell<bool>,
}

type LogFuture<T> = future::LocalBoxFuture<'static, Result<T, machine::ProposeError>>;

impl machine::Log for Log {
    fn propose(&self, entry: Vec<u8>) -> LogFuture<Vec<u8>> {
        if self.failing.get() {
            return Box::pin(future::ready(Err(machine::ProposeError::Unknown)));
        }
        self.index.set(self.index.get() + 1);
        let index = ids::LogIndex(self.index.get());
        Box::pin(future::ready(Ok(self.machine.borrow_mut().apply(index, &entry))))
    }

    fn barrier(&self) -> LogFuture<()> {
        Box::pin(future::ready(Ok(())))
    }

    fn leads(&self) -> bool {
        true
    }

    fn view(&self) -> machine::GroupView {
        machine::GroupView {
            role: machine::Role::Leader(ids::Term(1)),
            term: ids::Term(1),
            committed: ids::LogIndex(self.index.get()),
            peers: Vec::new(),
            candidates: Vec::new(),
        }
    }

    fn replicas(&self) -> Vec<String> {
        Vec::new()
    }

    fn reconfigure(&self, _: Vec<(ids::ReplicaKey, String)>) -> LogFuture<()> {
        Box::pin(future::ready(Ok(())))
    }

    fn transfer_leadership(&self) -> future::LocalBoxFuture<'static, ()> {
        Box::pin(future::ready(()))
    }
}

struct SessionHandler(proposer::Proposer);

impl stream::Handler for SessionHandler {
    fn handle(&self, incoming: stream::Incoming) -> future::LocalBoxFuture<'static, ()> {
        Box::pin(agent_session::serve(self.0.clone(), ids::CellKey(0), incoming))
    }
}

async fn start_leader() -> (rc::Rc<Log>, stream::Server) {
    let shared = ledger_machine::Shared::new();
    let mut machine = ledger_machine::LedgerMachine::new(shared.clone());
    machine.role_changed(machine::Role::Leader(ids::Term(1)));
    let log = rc::Rc::new(Log {
        machine: cell::RefCell::new(machine),
        index: cell::Cell::new(0),
        failing: cell::Cell::new(false),
    });
    let proposer =
        proposer::Proposer { replica: ids::ReplicaKey(1), voters: None, log: log.clone(), shared };
    let addr = "127.0.0.1:0".parse().expect("an address");
    let server = stream::Server::bind(addr, 4, rc::Rc::new(SessionHandler(proposer)))
        .await
        .expect("a server");
    (log, server)
}

fn hello(version: u16, cell: u16) -> agent::ClientMessage {
    agent::ClientMessage::Hello { version, cell, incarnation: 7, revision: 0 }
}

/// Whether the leader ends the session within the timeout, ignoring messages before the end.
async fn session_ends(receiver: &mut stream::Receiver<agent::ServerMessage>) -> bool {
    let ended = async { while receiver.receive().await.is_some() {} };
    tokio::time::timeout(TIMEOUT, ended).await.is_ok()
}

/// A chunk whose proposal failing may be missing from the answer. The session has to end, so that the
/// agent resends the whole answer on the next one.
#[test]
fn chunk_not_stored_ends_the_session() {
    support::run(async {
        let (log, server) = start_leader().await;
        let (sender, mut receiver, connection) =
            stream::connect::<agent::ClientMessage, agent::ServerMessage>(server.addr(), "/agent")
                .await
                .expect("up");
        sender.send(&hello(codec::PROTOCOL_VERSION, 0)).await;
        assert!(matches!(
            receiver.receive().await,
            Some(agent::ServerMessage::Welcome { replica: 1 })
        ));
        log.failing.set(true);
        let attempt = common::AttemptKey { job: 1, number: 1 };
        sender.send(&agent::ClientMessage::Chunk { attempt, offset: 0, bytes: vec![1] }).await;
        assert!(
            session_ends(&mut receiver).await,
            "the agent has to resend the answer from its start"
        );
        drop(connection);
        server.stop().await;
    });
}

#[rstest::rstest]
#[case::version(hello(codec::PROTOCOL_VERSION + 1, 0))]
#[case::cell(hello(codec::PROTOCOL_VERSION, 9))]
#[case::no_hello(agent::ClientMessage::Started { attempt: common::AttemptKey { job: 1, number: 1 } })]
fn incompatible_agent_is_rejected(#[case] first: agent::ClientMessage) {
    support::run(async {
        let (_, server) = start_leader().await;
        let (sender, mut receiver, connection) =
            stream::connect::<agent::ClientMessage, agent::ServerMessage>(server.addr(), "/agent")
                .await
                .expect("up");
        sender.send(&first).await;
        assert_eq!(receiver.receive().await, None);
        drop(connection);
        server.stop().await;
    });
}
