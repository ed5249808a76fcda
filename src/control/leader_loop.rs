//! The loop that carries out what the leader decides.

use std::rc;
use std::time;

use futures_util::future;
use futures_util::stream as futures_stream;
use futures_util::stream::StreamExt as _;
use tokio::sync::oneshot;

use crate::control::gauges;
use crate::control::leader;
use crate::control::machine;
use crate::control::proposer;
use crate::core::consensus::repair;
use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::outcome;
use crate::telemetry::event;

/// How often the leader looks at leases, timeouts and the queue.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The pause between two steps of a change of members: a learner has to catch up in between.
const MEMBERSHIP_STEP_DELAY: time::Duration = time::Duration::from_millis(150);

/// How long the log may rest before the leader logs the time.
const MAX_LOG_IDLE: time::Duration = time::Duration::from_secs(10);

type Pending = futures_stream::FuturesUnordered<future::LocalBoxFuture<'static, ()>>;

/// The running loop.
pub struct LeaderLoop {
    task: actix_rt::task::JoinHandle<()>,
    stop: oneshot::Sender<()>,
}

impl LeaderLoop {
    /// Starts the loop.
    pub fn start(proposer: proposer::Proposer) -> Self {
        let (stop, stopped) = oneshot::channel();
        let task = actix_rt::spawn(run(proposer, stopped));
        Self { task, stop }
    }

    /// Stops the loop and joins it.
    pub async fn stop(self) {
        let _ = self.stop.send(());
        let _ = self.task.await;
    }
}

async fn run(proposer: proposer::Proposer, mut stopped: oneshot::Receiver<()>) {
    let shared = proposer.shared.clone();
    let mut pending = Pending::new();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut time_logger = TimeLogger { logged: ids::LogIndex(0), since: time::Instant::now() };
    let mut gauges = gauges::Gauges::default();
    let change_in_flight = rc::Rc::new(std::cell::Cell::new(false));
    loop {
        tokio::select! {
            _ = &mut stopped => return,
            () = shared.leader_wake.notified() => {}
            Some(()) = pending.next(), if !pending.is_empty() => {}
            _ = ticks.tick() => {
                gauges.tick(&proposer);
                if proposer.log.leads() {
                    shared.with_leader(|leader, ledger, now| leader.tick(ledger, now));
                    time_logger.tick(&proposer, &mut pending);
                    change_replicas(&proposer, &change_in_flight, &mut pending);
                }
            }
        }
        let effects = shared.leader.borrow_mut().as_mut().map(leader::LeaderState::take_effects);
        for effect in effects.into_iter().flatten() {
            carry_out(&proposer, effect, &mut pending);
        }
    }
}

fn carry_out(proposer: &proposer::Proposer, effect: leader::Effect, pending: &mut Pending) {
    match effect {
        leader::Effect::Propose(command) => {
            pending.push(Box::pin(propose(proposer.clone(), command)))
        }
        leader::Effect::Send(sender, message) => {
            // A full queue means an agent that does not read: the message is sent again later.
            sender.try_send(&message);
        }
    }
}

async fn propose(proposer: proposer::Proposer, command: command::Command) {
    let release = match &command {
        command::Command::Release { attempt, .. } => Some(*attempt),
        command::Command::WorkerLost { worker, epoch } => {
            event::control::WORKER_LOST.log(format_args!("worker={worker} epoch={epoch}"));
            None
        }
        _ => None,
    };
    let result = proposer.propose_with_retry(command).await;
    if let (Some(attempt), Ok(outcome::Outcome::Stale)) = (release, result) {
        proposer
            .shared
            .with_leader(|leader, ledger, now| leader.release_refused(ledger, attempt, now));
    }
}

/// Logs the time where nothing else is logged.
struct TimeLogger {
    logged: ids::LogIndex,
    since: time::Instant,
}

impl TimeLogger {
    fn tick(&mut self, proposer: &proposer::Proposer, pending: &mut Pending) {
        let applied = proposer.shared.applied.get();
        if applied != self.logged {
            self.logged = applied;
            self.since = time::Instant::now();
        } else if self.since.elapsed() >= MAX_LOG_IDLE {
            self.since = time::Instant::now();
            pending.push(Box::pin(propose(proposer.clone(), command::Command::Clock)));
        }
    }
}

/// Moves the group towards the replicas that the last ticket configured, one step at a time.
fn change_replicas(
    proposer: &proposer::Proposer,
    change_in_flight: &rc::Rc<std::cell::Cell<bool>>,
    pending: &mut Pending,
) {
    let configured = proposer.shared.ledger.borrow().replicas.clone();
    let wanted = match proposer.voters {
        Some(voters) if configured.is_empty() => repaired_replicas(&proposer.log.view(), voters),
        _ => configured,
    };
    if wanted.is_empty() || change_in_flight.get() || matches_members(&proposer.log.view(), &wanted)
    {
        return;
    }
    change_in_flight.set(true);
    event::control::REPLICAS_CHANGING.log(format_args!("wanted={}", wanted.len()));
    let log = proposer.log.clone();
    let change_in_flight = change_in_flight.clone();
    pending.push(Box::pin(async move {
        if log.reconfigure(wanted).await.is_err() {
            event::control::REPLICAS_CHANGING.log(format_args!("refused; tried again"));
        }
        tokio::time::sleep(MEMBERSHIP_STEP_DELAY).await;
        change_in_flight.set(false);
    }));
}

/// The replicas of a group that keeps itself at a number of voters.
fn repaired_replicas(view: &machine::GroupView, voters: u32) -> Vec<repair::ReplicaAddr> {
    let seen = view.peers.iter().map(|peer| repair::ObservedMember {
        replica: peer.key,
        addr: peer.addr.clone(),
        replaced: peer.replaced,
        silent_for: peer.silent_for,
    });
    repair::desired_replicas(&seen.collect::<Vec<_>>(), &view.candidates, voters as usize)
}

fn matches_members(view: &machine::GroupView, wanted: &[(ids::ReplicaKey, String)]) -> bool {
    let voters = view.peers.iter().filter(|peer| peer.voter);
    let mut present: Vec<_> = voters.map(|peer| (peer.key, peer.addr.clone())).collect();
    let mut wanted = wanted.to_vec();
    present.sort();
    wanted.sort();
    present == wanted && view.peers.len() == wanted.len()
}
