//! The control replica: sockets, files and timers round the consensus, the ledger and the planner.
//!
//! [`replica`] keeps the replicated log and drives [`ledger_machine::LedgerMachine`]. While the
//! replica leads, [`leader::LeaderState`] holds what only a leader has; [`leader_loop`] carries out its
//! effects. [`entry_session`] and [`agent_session`] serve the streams of entries and agents.

use std::cell;
use std::rc;

use futures_util::future;
use quick_error::quick_error;

use crate::core::ids;
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

/// Connections at once: peers, entries and agents.
const MAX_CONNECTIONS: usize = 8192;

/// How long requests for metrics and health may take to end at a planned stop.
const HTTP_GRACE: std::time::Duration = std::time::Duration::from_secs(1);

quick_error! {
    /// Why a control replica could not start.
    #[derive(Debug)]
    pub enum Error {
        /// The port can't be opened.
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
    /// Opens the data folder and the port, and takes part in its group.
    pub async fn start(settings: settings::control::Settings) -> Result<Self, Error> {
        let seeds = seeds::Seeds::from(settings.seeds.clone());
        Self::start_with(settings, seeds).await
    }

    /// Like [`Control::start`], with seeds that may be exchanged while it runs.
    pub async fn start_with(
        settings: settings::control::Settings,
        seeds: seeds::Seeds,
    ) -> Result<Self, Error> {
        let shared = ledger_machine::Shared::with_lease_limits(settings.lease_limits());
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
                // What is left running would hold the folder against the next try.
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

    /// The address it listens on.
    pub fn addr(&self) -> std::net::SocketAddr {
        self.server.addr()
    }

    /// The address of its metrics and health.
    pub fn http_addr(&self) -> std::net::SocketAddr {
        self.http.addr()
    }

    /// Whether this replica leads at this moment.
    pub fn leads(&self) -> bool {
        use machine::Log as _;
        self.replica.leads()
    }

    /// Resolves with the cause once the replica can't go on, such as a full disk or a failed sync.
    /// It is to be stopped then: nothing it holds can be trusted to be durable.
    pub async fn failed(&self) -> String {
        self.replica.failed().await
    }

    /// The planned stop: hands leadership over, closes the sessions and joins all it spawned.
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

/// Opens both ports, or neither.
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

/// Sends each stream to whoever serves its path.
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
