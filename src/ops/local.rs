//! Complete deployment in one process, whose parts communicate over loopback sockets as the daemons
//! do.

use std::net;
use std::path;

use quick_error::quick_error;

use crate::agent;
use crate::control;
use crate::entry;
use crate::settings;
use crate::standin;

quick_error! {
    /// An error on the start of a part of the deployment.
    #[derive(Debug)]
    pub enum Error {
        /// No loopback port is available, or a stand-in can't listen.
        Port(source: std::io::Error) {
            display("no loopback port: {}", source)
            source(source)
            from()
        }
        /// A control replica did not start.
        Control(source: control::Error) {
            display("a control replica did not start: {}", source)
            source(source)
            from()
        }
        /// The entry did not start.
        Entry(source: entry::Error) {
            display("the entry did not start: {}", source)
            source(source)
            from()
        }
        /// An agent did not start.
        Agent(source: agent::Error) {
            display("an agent did not start: {}", source)
            source(source)
            from()
        }
    }
}

/// A worker of the deployment.
pub struct Worker {
    /// The agent of the worker.
    pub agent: agent::Agent,
    /// The stand-in for its backend server.
    pub standin: standin::Standin,
}

/// A running deployment.
pub struct Deployment {
    /// The control replicas.
    pub controls: Vec<control::Control>,
    /// The entry host.
    pub entry: entry::Entry,
    /// The workers.
    pub workers: Vec<Worker>,
}

/// Configuration of a deployment.
pub struct Plan<'a> {
    /// Parent folder of the control replicas' data folders.
    pub folder: &'a path::Path,
    /// The number of control replicas.
    pub replicas: u64,
    /// Name and rack of each worker.
    pub workers: &'a [(&'a str, &'a str)],
    /// The service that the stand-ins offer.
    pub service: &'a str,
    /// SHA-256 digest, in hexadecimal, of the operators' token.
    pub operator: &'a str,
}

impl Deployment {
    /// Starts all parts.
    pub async fn start(plan: &Plan<'_>) -> Result<Self, Error> {
        let peers = free_peers(plan.replicas)?;
        let addrs: Vec<net::SocketAddr> = peers.iter().map(|peer| peer.addr).collect();
        let mut controls = Vec::new();
        for peer in &peers {
            let settings = control_settings(plan.folder, peer, &peers);
            controls.push(control::Control::start(settings).await?);
        }
        let entry = entry::Entry::start(entry_settings(plan, addrs.clone())).await?;
        let mut workers = Vec::new();
        for (name, rack) in plan.workers {
            workers.push(start_worker(plan, &addrs, name, rack).await?);
        }
        Ok(Self { controls, entry, workers })
    }

    /// Stops the entry, then the workers, then the control replicas, and waits for each to end.
    pub async fn stop(self) {
        self.entry.stop().await;
        for worker in self.workers {
            worker.agent.stop().await;
            worker.standin.stop().await;
        }
        for control in self.controls {
            control.stop().await;
        }
    }
}

/// Finds a loopback address whose port is free. Another process may take the port afterwards.
pub fn free_addr() -> std::io::Result<net::SocketAddr> {
    net::TcpListener::bind(loopback())?.local_addr()
}

fn free_peers(count: u64) -> std::io::Result<Vec<settings::control::Peer>> {
    // All listeners are open at the same time, so that no two get the same port.
    let listeners: std::io::Result<Vec<_>> =
        (0..count).map(|_| net::TcpListener::bind(loopback())).collect();
    let peers = listeners?.into_iter().zip(1..).map(|(listener, replica)| {
        Ok(settings::control::Peer { replica, addr: listener.local_addr()? })
    });
    peers.collect()
}

fn loopback() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}

fn control_settings(
    folder: &path::Path,
    peer: &settings::control::Peer,
    peers: &[settings::control::Peer],
) -> settings::control::Settings {
    settings::control::Settings {
        replica: peer.replica,
        cell: 0,
        data_center: format!("center-{}", peer.replica),
        data_folder: folder.join(format!("control-{}", peer.replica)),
        listen: peer.addr,
        advertise: None,
        http: loopback(),
        hold_ms: None,
        max_hold_ms: None,
        memory_mb: None,
        voters: None,
        seeds: Vec::new(),
        peers: peers.to_vec(),
        telemetry: Default::default(),
    }
}

fn entry_settings(plan: &Plan<'_>, control: Vec<net::SocketAddr>) -> settings::entry::Settings {
    settings::entry::Settings {
        name: "entry-1".to_owned(),
        cell: 0,
        data_center: "center-1".to_owned(),
        listen: loopback(),
        control,
        operators: vec![plan.operator.to_owned()],
        limits: Default::default(),
        telemetry: Default::default(),
    }
}

async fn start_worker(
    plan: &Plan<'_>,
    control: &[net::SocketAddr],
    name: &str,
    rack: &str,
) -> Result<Worker, Error> {
    let settings = settings::agent::Settings {
        cell: 0,
        listen: loopback(),
        control: control.to_vec(),
        drain_secs: 5,
        telemetry: Default::default(),
    };
    let agent = agent::Agent::start(settings).await?;
    let mut options = standin::options::Options::new(agent.addr(), name, rack);
    options.announcement.services = vec![plan.service.to_owned()];
    let standin = standin::Standin::start(options).await?;
    Ok(Worker { agent, standin })
}
