//! The control replica: I/O and timers for consensus, ledger, planner and dispatcher.
//!
//! [`replica`] maintains the replicated log and drives [`ledger_machine::LedgerMachine`]. While the
//! replica is the leader, [`leader::LeaderState`] has the state that only a leader needs, and
//! [`leader_loop`] performs its effects; [`dispatch_loop`] does so for workflows.
//! [`entry_session`], [`agent_session`], [`gate_session`] and [`runner_session`] serve the streams
//! of entries, agents, gates and agents beside workers of workflows.

use std::cell;
use std::rc;

use futures_util::future;
use quick_error::quick_error;

use crate::core::ids;
use crate::core::limit;
use crate::net::http;
use crate::net::seeds;
use crate::net::stream;
use crate::settings;
use crate::telemetry::event;

pub mod agent_messages;
pub mod agent_session;
pub mod calls;
pub mod clock;
pub mod dispatch_loop;
pub mod entry_session;
pub mod gate_session;
mod gauges;
pub mod health;
pub mod hello;
pub mod leader;
pub mod leader_loop;
pub mod ledger_machine;
pub mod machine;
pub mod proposer;
pub mod redirector;
pub mod replica;
pub mod report;
pub mod runner_session;
pub mod supervisor;
pub mod workflows;

/// Limit of concurrent connections of peers, entries and agents.
const MAX_CONNECTIONS: usize = 8192;

/// Time that requests for metrics and health have to finish at a planned stop.
const HTTP_GRACE: std::time::Duration = std::time::Duration::from_secs(1);

quick_error! {
    /// Reason why a control replica couldn't start.
    #[derive(Debug)]
    pub enum Error {
        /// A port can't be opened.
        Listen(addr: std::net::SocketAddr, source: stream::Error) {
            display("can't listen on {}: {}", addr, source)
            source(source)
        }
        /// The replicated log can't start.
        Replica(source: replica::Error) {
            display("the replicated log can't start: {}", source)
            source(source)
            from()
        }
    }
}

/// A running control replica.
pub struct Control {
    server: stream::Server,
    replica: rc::Rc<replica::Replica>,
    leader_loop: leader_loop::LeaderLoop,
    dispatch_loop: dispatch_loop::DispatchLoop,
    http: http::Server,
}

impl Control {
    /// Opens the data folder and the ports, and joins the replica's group.
    pub async fn start(settings: settings::control::Settings) -> Result<Self, Error> {
        let seeds = seeds::Seeds::from(settings.seeds.clone());
        Self::start_with(settings, seeds).await
    }

    /// Like [`Control::start`], with seeds that may change while the replica runs.
    pub async fn start_with(
        settings: settings::control::Settings,
        seeds: seeds::Seeds,
    ) -> Result<Self, Error> {
        let memory = limit::Memory::of_host(settings.memory_mb);
        let shared = ledger_machine::Shared::with_limits(settings.lease_limits(), memory);
        let machine = ledger_machine::LedgerMachine::new(shared.clone());
        let machine = rc::Rc::new(cell::RefCell::new(machine));
        let replica = replica::Replica::start(&settings, seeds, machine).await?;
        let proposer = proposer::Proposer {
            replica: ids::ReplicaKey(settings.replica),
            voters: settings.voters,
            log: replica.clone(),
            shared,
        };
        let router = Router {
            proposer: proposer.clone(),
            replica: replica.clone(),
            cell: ids::CellKey(settings.cell),
            key: ids::ReplicaKey(settings.replica),
        };
        let health = health::Health { shared: proposer.shared.clone() };
        let (server, http) = match listen(&settings, router, health).await {
            Ok(servers) => servers,
            Err(error) => {
                // A replica left running would keep the data folder locked for the next attempt.
                replica.stop().await;
                return Err(error);
            }
        };
        event::general::STARTED.log(format_args!(
            "role=control replica={} addr={}",
            settings.replica,
            server.addr()
        ));
        let dispatch_loop = dispatch_loop::DispatchLoop::start(proposer.clone());
        let leader_loop = leader_loop::LeaderLoop::start(proposer);
        Ok(Self { server, replica, leader_loop, dispatch_loop, http })
    }

    /// Returns the address on which streams are accepted.
    pub fn addr(&self) -> std::net::SocketAddr {
        self.server.addr()
    }

    /// Returns the address of metrics and health.
    pub fn http_addr(&self) -> std::net::SocketAddr {
        self.http.addr()
    }

    /// Whether this replica is the leader and holds the leader lease.
    pub fn leads(&self) -> bool {
        use machine::Log as _;
        self.replica.leads()
    }

    /// Resolves with the cause once the replica can't continue, such as a full disk or a failed sync.
    /// Stop it then: its state in memory may not be durable.
    pub async fn failed(&self) -> String {
        self.replica.failed().await
    }

    /// Transfers leadership, closes the sessions and waits for all tasks to end.
    pub async fn stop(self) {
        event::general::STOPPING.log(format_args!("role=control"));
        use machine::Log as _;
        self.replica.transfer_leadership().await;
        self.leader_loop.stop().await;
        self.dispatch_loop.stop().await;
        self.server.stop().await;
        self.replica.stop().await;
        self.http.stop(HTTP_GRACE).await;
        event::general::STOPPED.log(format_args!("role=control"));
    }
}

/// Opens the ports for streams and HTTP, or neither.
async fn listen(
    settings: &settings::control::Settings,
    router: Router,
    health: health::Health,
) -> Result<(stream::Server, http::Server), Error> {
    let server = stream::Server::bind(settings.listen, MAX_CONNECTIONS, rc::Rc::new(router))
        .await
        .map_err(|source| Error::Listen(settings.listen, source))?;
    match http::Server::bind(settings.http, http::Limits::default(), rc::Rc::new(health)).await {
        Ok(http) => Ok((server, http)),
        Err(source) => {
            server.stop().await;
            Err(Error::Listen(settings.http, source.into()))
        }
    }
}

/// Routes each stream to the session type of its path.
struct Router {
    proposer: proposer::Proposer,
    replica: rc::Rc<replica::Replica>,
    cell: ids::CellKey,
    key: ids::ReplicaKey,
}

impl stream::Handler for Router {
    fn handle(&self, incoming: stream::Incoming) -> future::LocalBoxFuture<'static, ()> {
        let proposer = self.proposer.clone();
        match incoming.path.as_str() {
            "/peer" => self.replica.handle_peer(incoming),
            "/agent" => Box::pin(agent_session::serve(proposer, self.cell, incoming)),
            "/entry" => Box::pin(entry_session::serve(proposer, self.cell, self.key, incoming)),
            "/runner" => Box::pin(runner_session::serve(proposer, self.cell.0, incoming)),
            "/gate" => Box::pin(gate_session::serve(proposer, self.cell.0, incoming)),
            _ => Box::pin(future::ready(())),
        }
    }
}
