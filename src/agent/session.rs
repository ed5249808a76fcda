//! The session with the leading control replica: finding it, staying with it, coming back.

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

/// How long connecting may take.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// How long a replica that could not be reached, or fell silent, is not gone to on the word of
/// another one that still takes it for the leader.
const AVOID: time::Duration = time::Duration::from_secs(3);

/// How long the replica may take to welcome the agent or to send it on.
const WELCOME_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The shortest pause between two rounds of attempts to connect.
const PAUSE_MIN: time::Duration = time::Duration::from_millis(50);

/// The longest pause.
const PAUSE_MAX: time::Duration = time::Duration::from_secs(1);

/// How many times in a row a replica's word on who leads is followed without a pause.
const HINTS: u32 = 3;

/// How long a closing session may take to send what is queued.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// What the driver hears from the session.
pub enum Note {
    /// A leader has welcomed this agent.
    Up(stream::Sender<agent::ClientMessage>),
    /// A message.
    Down(agent::ServerMessage),
    /// The session has ended.
    Ended,
}

/// Who this agent is, and where it looks for control.
pub struct Dialer {
    /// The control replicas.
    pub control: Vec<net::SocketAddr>,
    /// The cell.
    pub cell: u16,
    /// The random identity of this run of the agent.
    pub incarnation: u64,
    /// The revision of the configuration that this agent was told of last.
    pub revision: rc::Rc<cell::Cell<u64>>,
    /// Where what comes is handed on.
    pub notes: mpsc::Sender<Note>,
    /// Set once the agent has nothing more to say.
    pub stop: watch::Receiver<bool>,
    /// The number of the last session that is to be dropped, because nothing comes on it.
    pub dropped: watch::Receiver<u64>,
}

/// Why a session did not come about, or ended.
enum End {
    /// Another replica is said to lead.
    Hint(net::SocketAddr),
    /// The replica does not lead, or has closed the session.
    Closed,
    /// The replica can't be reached, or nothing came from it any more.
    Silent,
    /// The agent is stopping.
    Stopping,
}

impl Dialer {
    /// Keeps a session with whichever replica leads, until told to stop.
    pub async fn run(mut self) {
        let mut next = 0;
        let mut hint = None;
        let mut hints = 0;
        let mut sessions = 0;
        let mut pause = PAUSE_MIN;
        let mut avoided = Avoided::default();
        loop {
            let addr = hint.take().unwrap_or(self.control[next % self.control.len()]);
            let held = sessions;
            match self.visit(addr, &mut sessions).await {
                End::Stopping => return,
                End::Hint(leader) if hints < HINTS && !avoided.holds(leader) => {
                    hints += 1;
                    hint = Some(leader);
                    continue;
                }
                End::Silent => avoided.insert(addr),
                End::Hint(_) | End::Closed => {}
            }
            hints = 0;
            next += 1;
            if sessions > held {
                pause = PAUSE_MIN;
            }
            if self.rest(pause).await {
                return;
            }
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }

    /// Waits, with a random part so that agents do not come all at once. True when stopping.
    async fn rest(&mut self, pause: time::Duration) -> bool {
        let random = getrandom::u32().unwrap_or(0) % 1000;
        let pause = pause / 2 + pause * random / 2000;
        tokio::select! {
            () = tokio::time::sleep(pause) => false,
            _ = self.stop.wait_for(|stop| *stop) => true,
        }
    }

    /// Holds a session with the replica at `addr`, and counts it if there is one.
    async fn visit(&mut self, addr: net::SocketAddr, sessions: &mut u64) -> End {
        let connect = stream::connect::<agent::ClientMessage, agent::ServerMessage>(addr, PATH);
        let opened = tokio::select! {
            opened = tokio::time::timeout(CONNECT_TIMEOUT, connect) => opened,
            _ = self.stop.wait_for(|stop| *stop) => return End::Stopping,
        };
        let Ok(Ok((sender, mut receiver, connection))) = opened else { return End::Silent };
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
            Ok(Some(agent::ServerMessage::NotLeader { leader })) => return hinted(leader),
            Ok(_) => return End::Closed,
            Err(_) => return End::Silent,
        }
        *sessions += 1;
        event::agent::CONNECTED.log(format_args!("control={addr}"));
        let _ = self.notes.send(Note::Up(sender.clone())).await;
        let end = self.serve(*sessions, &mut receiver).await;
        let _ = self.notes.send(Note::Ended).await;
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
                _ = self.dropped.wait_for(|dropped| *dropped >= session) => return End::Silent,
            };
            match message {
                Some(agent::ServerMessage::NotLeader { leader }) => return hinted(leader),
                Some(message) => {
                    if self.notes.send(Note::Down(message)).await.is_err() {
                        return End::Stopping;
                    }
                }
                None => return End::Closed,
            }
        }
    }
}

/// The replica that was last out of reach.
#[derive(Default)]
struct Avoided(Option<(net::SocketAddr, time::Instant)>);

impl Avoided {
    fn insert(&mut self, addr: net::SocketAddr) {
        self.0 = Some((addr, time::Instant::now()));
    }

    fn holds(&self, addr: net::SocketAddr) -> bool {
        self.0.is_some_and(|(avoided, since)| avoided == addr && since.elapsed() < AVOID)
    }
}

fn hinted(leader: Option<String>) -> End {
    let addr = leader.and_then(|text| text.parse().ok());
    addr.map_or(End::Closed, End::Hint)
}

/// Closes the sending side and waits until the replica has read all of it.
async fn close(
    sender: stream::Sender<agent::ClientMessage>,
    receiver: &mut stream::Receiver<agent::ServerMessage>,
) {
    drop(sender);
    let drained = async { while receiver.receive().await.is_some() {} };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, drained).await;
}
