//! The leader's session with an agent, over sockets, with a log that loses proposals.

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

/// How long a test waits for anything.
const PATIENCE: time::Duration = time::Duration::from_secs(10);

/// A log of one replica in memory that always leads, and fails proposals on demand.
struct Log {
    machine: cell::RefCell<ledger_machine::LedgerMachine>,
    index: cell::Cell<u64>,
    fails: cell::Cell<bool>,
}

type Reply<T> = future::LocalBoxFuture<'static, Result<T, machine::ProposeError>>;

impl machine::Log for Log {
    fn propose(&self, entry: Vec<u8>) -> Reply<Vec<u8>> {
        if self.fails.get() {
            return Box::pin(future::ready(Err(machine::ProposeError::Unknown)));
        }
        self.index.set(self.index.get() + 1);
        let index = ids::LogIndex(self.index.get());
        Box::pin(future::ready(Ok(self.machine.borrow_mut().apply(index, &entry))))
    }

    fn barrier(&self) -> Reply<()> {
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

    fn reconfigure(&self, _: Vec<(ids::ReplicaKey, String)>) -> Reply<()> {
        Box::pin(future::ready(Ok(())))
    }

    fn transfer_leadership(&self) -> future::LocalBoxFuture<'static, ()> {
        Box::pin(future::ready(()))
    }
}

struct Sessions(proposer::Proposer);

impl stream::Handler for Sessions {
    fn handle(&self, incoming: stream::Incoming) -> future::LocalBoxFuture<'static, ()> {
        Box::pin(agent_session::serve(self.0.clone(), ids::CellKey(0), incoming))
    }
}

async fn leader() -> (rc::Rc<Log>, stream::Server) {
    let shared = ledger_machine::Shared::new();
    let mut machine = ledger_machine::LedgerMachine::new(shared.clone());
    machine.role_changed(machine::Role::Leader(ids::Term(1)));
    let log = rc::Rc::new(Log {
        machine: cell::RefCell::new(machine),
        index: cell::Cell::new(0),
        fails: cell::Cell::new(false),
    });
    let proposer =
        proposer::Proposer { replica: ids::ReplicaKey(1), voters: None, log: log.clone(), shared };
    let addr = "127.0.0.1:0".parse().expect("an address");
    let server =
        stream::Server::bind(addr, 4, rc::Rc::new(Sessions(proposer))).await.expect("a server");
    (log, server)
}

fn hello(version: u16, cell: u16) -> agent::ClientMessage {
    agent::ClientMessage::Hello { version, cell, incarnation: 7, revision: 0 }
}

/// Whether the leader ends the session within the patience, whatever it says before.
async fn ends(receiver: &mut stream::Receiver<agent::ServerMessage>) -> bool {
    let ended = async { while receiver.receive().await.is_some() {} };
    tokio::time::timeout(PATIENCE, ended).await.is_ok()
}

#[test]
fn chunk_not_stored_ends_the_session() {
    support::run(async {
        let (log, server) = leader().await;
        let (sender, mut receiver, connection) =
            stream::connect::<agent::ClientMessage, agent::ServerMessage>(server.addr(), "/agent")
                .await
                .expect("up");
        sender.send(&hello(codec::PROTOCOL_VERSION, 0)).await;
        assert!(matches!(
            receiver.receive().await,
            Some(agent::ServerMessage::Welcome { replica: 1 })
        ));
        log.fails.set(true);
        let attempt = common::AttemptKey { job: 1, number: 1 };
        sender.send(&agent::ClientMessage::Chunk { attempt, offset: 0, bytes: vec![1] }).await;
        assert!(ends(&mut receiver).await, "the agent is to send the answer from its start again");
        drop(connection);
        server.stop().await;
    });
}

#[rstest::rstest]
#[case::version(hello(codec::PROTOCOL_VERSION + 1, 0))]
#[case::cell(hello(codec::PROTOCOL_VERSION, 9))]
#[case::no_hello(agent::ClientMessage::Started { attempt: common::AttemptKey { job: 1, number: 1 } })]
fn foreign_agent_is_turned_away(#[case] first: agent::ClientMessage) {
    support::run(async {
        let (_, server) = leader().await;
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
