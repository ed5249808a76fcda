//! Tests of the leader's sessions with agents beside workers of workflows, over sockets.

use std::cell;
use std::rc;
use std::time;

use futures_util::future;
use hemlockcleat::control::dispatch_loop;
use hemlockcleat::control::ledger_machine;
use hemlockcleat::control::machine;
use hemlockcleat::control::machine::Machine as _;
use hemlockcleat::control::proposer;
use hemlockcleat::control::runner_session;
use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::ids;
use hemlockcleat::net::stream;
use hemlockcleat::wire::codec;
use hemlockcleat::wire::runner;

use crate::support;
use crate::support::flow;

/// Limit of each wait for a message or the end of a stream.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// An in-memory log whose only replica is always the leader and commits at once.
struct Log {
    machine: cell::RefCell<ledger_machine::LedgerMachine>,
    index: cell::Cell<u64>,
}

type LogFuture<T> = future::LocalBoxFuture<'static, Result<T, machine::ProposeError>>;

impl machine::Log for Log {
    fn propose(&self, entry: Vec<u8>) -> LogFuture<Vec<u8>> {
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
        Box::pin(runner_session::serve(self.0.clone(), 0, incoming))
    }
}

type Agent = (stream::Sender<runner::ClientMessage>, stream::Receiver<runner::ServerMessage>);

async fn receive(agent: &mut Agent) -> Option<runner::ServerMessage> {
    tokio::time::timeout(TIMEOUT, agent.1.receive()).await.expect("a message, or the end")
}

fn report(sequence: u64) -> runner::ClientMessage {
    runner::ClientMessage::Report(order::Report {
        sequence,
        worker: Some(flow::worker(1, 1)),
        departed: None,
        drain_left: None,
        fresh: true,
        running: Vec::new(),
        finished: Vec::new(),
    })
}

/// A late report of an earlier session must not be answered on the current one, where its sequence
/// number belongs to another report: the lease would be counted from that one.
#[test]
fn report_of_an_earlier_session_is_not_answered_in_the_present_one() {
    support::run(async {
        let shared = ledger_machine::Shared::new();
        let mut machine = ledger_machine::LedgerMachine::new(shared.clone());
        machine.role_changed(machine::Role::Leader(ids::Term(1)));
        let machine = cell::RefCell::new(machine);
        let log = rc::Rc::new(Log { machine, index: cell::Cell::new(0) });
        let proposer =
            proposer::Proposer { replica: ids::ReplicaKey(1), voters: None, log, shared };
        let dispatch_loop = dispatch_loop::DispatchLoop::start(proposer.clone());
        let addr = "127.0.0.1:0".parse().expect("an address");
        let server = stream::Server::bind(addr, 4, rc::Rc::new(SessionHandler(proposer)))
            .await
            .expect("a server");
        let mut agents = Vec::new();
        let mut connections = Vec::new();
        for _ in 0..2 {
            let (sender, receiver, connection) = stream::connect::<
                runner::ClientMessage,
                runner::ServerMessage,
            >(server.addr(), "/runner")
            .await
            .expect("up");
            sender
                .send(&runner::ClientMessage::Hello {
                    version: codec::PROTOCOL_VERSION,
                    cell: 0,
                    host: 1,
                })
                .await;
            let mut agent = (sender, receiver);
            let welcome = receive(&mut agent).await;
            assert!(matches!(welcome, Some(runner::ServerMessage::Welcome { term: 1, .. })));
            agents.push(agent);
            connections.push(connection);
        }
        agents[0].0.send(&report(7)).await;
        assert_eq!(receive(&mut agents[0]).await, None, "the earlier session ends");
        agents[1].0.send(&report(1)).await;
        let reply = receive(&mut agents[1]).await;
        let Some(runner::ServerMessage::Order(order::Order::Grant { sequence, .. })) = reply else {
            panic!("not a grant: {reply:?}");
        };
        assert_eq!(sequence, 1, "a grant of the same number would count from another report");
        drop(connections);
        dispatch_loop.stop().await;
        server.stop().await;
    });
}
