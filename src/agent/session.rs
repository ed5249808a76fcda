//! The session with the leading control replica: discovery of the leader, the stream to it and
//! reconnection.

use std::cell;
use std::net;
use std::rc;
use std::time;

use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::net::stream;
use crate::telemetry::event;
use crate::wire::agent;
use crate::wire::codec;

/// The path of an agent's stream.
const PATH: &str = "/agent";

/// Timeout of connecting.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// How long redirects to a replica are ignored after it could not be reached or stopped responding.
/// Other replicas may still take it for the leader.
const AVOID_DURATION: time::Duration = time::Duration::from_secs(3);

/// How long the replica may take to welcome or redirect the agent.
const WELCOME_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Shortest delay before the next replica is tried.
const MIN_BACK_OFF: time::Duration = time::Duration::from_millis(50);

/// Longest delay before the next replica is tried.
const MAX_BACK_OFF: time::Duration = time::Duration::from_secs(1);

/// Redirects in a row that are followed without a delay.
const MAX_REDIRECTS: u32 = 3;

/// How long a closing session may take to send queued messages.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// An event of the session, for the driver.
pub enum Event {
    /// A leader has welcomed this agent.
    Connected(stream::Sender<agent::ClientMessage>),
    /// The leader has sent a message.
    Message(agent::ServerMessage),
    /// The session has ended.
    Disconnected,
}

/// Maintains a session with the leading control replica.
pub struct Dialer {
    /// The addresses of the control replicas.
    pub control: Vec<net::SocketAddr>,
    /// The number of the agent's cell.
    pub cell: u16,
    /// The random identity of this agent process.
    pub incarnation: u64,
    /// The latest revision of the configuration that the agent has received.
    pub revision: rc::Rc<cell::Cell<u64>>,
    /// Sends session events to the driver.
    pub events: mpsc::Sender<Event>,
    /// Becomes true once the agent has no more messages to send.
    pub stop: watch::Receiver<bool>,
    /// The highest number of a session that is to be dropped because the leader does not respond.
    pub dropped: watch::Receiver<u64>,
}

/// Why a session could not be opened, or ended.
enum End {
    /// The replica names another one as the leader.
    Redirected(net::SocketAddr),
    /// The replica does not lead, or has closed the session.
    Closed,
    /// The replica can't be reached or does not respond.
    Unresponsive,
    /// The agent is stopping.
    Stopping,
}

impl Dialer {
    /// Maintains a session with the current leader until `stop` is set.
    pub async fn run(mut self) {
        let mut next = 0;
        let mut redirect = None;
        let mut redirects = 0;
        let mut sessions = 0;
        let mut back_off = MIN_BACK_OFF;
        let mut avoided = Avoided::default();
        loop {
            let addr = redirect.take().unwrap_or(self.control[next % self.control.len()]);
            let sessions_before = sessions;
            match self.run_session(addr, &mut sessions).await {
                End::Stopping => return,
                End::Redirected(leader)
                    if redirects < MAX_REDIRECTS && !avoided.contains(leader) =>
                {
                    redirects += 1;
                    redirect = Some(leader);
                    continue;
                }
                End::Unresponsive => avoided.insert(addr),
                End::Redirected(_) | End::Closed => {}
            }
            redirects = 0;
            next += 1;
            if sessions > sessions_before {
                back_off = MIN_BACK_OFF;
            }
            if self.wait(back_off).await {
                return;
            }
            back_off = (back_off * 2).min(MAX_BACK_OFF);
        }
    }

    /// Waits for 50 % to 100 % of the back-off, at random, so that agents do not reconnect all at
    /// once. Returns true when the agent is stopping.
    async fn wait(&mut self, back_off: time::Duration) -> bool {
        let random = getrandom::u32().unwrap_or(0) % 1000;
        let back_off = back_off / 2 + back_off * random / 2000;
        tokio::select! {
            () = tokio::time::sleep(back_off) => false,
            _ = self.stop.wait_for(|stop| *stop) => true,
        }
    }

    /// Runs a session with the replica at `addr`; increments `sessions` if the replica welcomes the
    /// agent.
    async fn run_session(&mut self, addr: net::SocketAddr, sessions: &mut u64) -> End {
        let connect = stream::connect::<agent::ClientMessage, agent::ServerMessage>(addr, PATH);
        let opened = tokio::select! {
            opened = tokio::time::timeout(CONNECT_TIMEOUT, connect) => opened,
            _ = self.stop.wait_for(|stop| *stop) => return End::Stopping,
        };
        let Ok(Ok((sender, mut receiver, connection))) = opened else { return End::Unresponsive };
        let hello = agent::ClientMessage::Hello {
            version: codec::PROTOCOL_VERSION,
            cell: self.cell,
            incarnation: self.incarnation,
            revision: self.revision.get(),
        };
        sender.send(&hello).await;
        let welcome = tokio::time::timeout(WELCOME_TIMEOUT, receiver.receive()).await;
        match welcome {
            Ok(Some(agent::ServerMessage::Welcome { .. })) => {}
            Ok(Some(agent::ServerMessage::NotLeader { leader })) => return redirected(leader),
            Ok(_) => return End::Closed,
            Err(_) => return End::Unresponsive,
        }
        *sessions += 1;
        event::agent::CONNECTED.log(format_args!("control={addr}"));
        let _ = self.events.send(Event::Connected(sender.clone())).await;
        let end = self.serve(*sessions, &mut receiver).await;
        let _ = self.events.send(Event::Disconnected).await;
        event::agent::DISCONNECTED.log(format_args!("control={addr}"));
        if matches!(end, End::Stopping) {
            close(sender, &mut receiver).await;
        }
        drop(connection);
        end
    }

    async fn serve(
        &mut self,
        session: u64,
        receiver: &mut stream::Receiver<agent::ServerMessage>,
    ) -> End {
        loop {
            let message = tokio::select! {
                message = receiver.receive() => message,
                _ = self.stop.wait_for(|stop| *stop) => return End::Stopping,
                _ = self.dropped.wait_for(|last| *last >= session) => return End::Unresponsive,
            };
            match message {
                Some(agent::ServerMessage::NotLeader { leader }) => return redirected(leader),
                Some(message) => {
                    if self.events.send(Event::Message(message)).await.is_err() {
                        return End::Stopping;
                    }
                }
                None => return End::Closed,
            }
        }
    }
}

/// The replica that last failed to respond, and when.
#[derive(Default)]
struct Avoided(Option<(net::SocketAddr, time::Instant)>);

impl Avoided {
    fn insert(&mut self, addr: net::SocketAddr) {
        self.0 = Some((addr, time::Instant::now()));
    }

    fn contains(&self, addr: net::SocketAddr) -> bool {
        self.0.is_some_and(|(avoided, since)| avoided == addr && since.elapsed() < AVOID_DURATION)
    }
}

fn redirected(leader: Option<String>) -> End {
    let addr = leader.and_then(|text| text.parse().ok());
    addr.map_or(End::Closed, End::Redirected)
}

/// Closes the sending side and waits until the replica has read everything and closed its side.
async fn close(
    sender: stream::Sender<agent::ClientMessage>,
    receiver: &mut stream::Receiver<agent::ServerMessage>,
) {
    drop(sender);
    let drained = async { while receiver.receive().await.is_some() {} };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, drained).await;
}
