//! The loop that performs the leader's effects.

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

/// Interval at which the leader checks leases, timeouts and the queue.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Delay between two steps of a membership change, in which a learner can catch up.
const MEMBERSHIP_STEP_DELAY: time::Duration = time::Duration::from_millis(150);

/// Time without new log entries after which the leader proposes a clock entry.
const MAX_LOG_IDLE: time::Duration = time::Duration::from_secs(10);

type Pending = futures_stream::FuturesUnordered<future::LocalBoxFuture<'static, ()>>;

/// A running leader loop.
pub struct LeaderLoop {
    task: actix_rt::task::JoinHandle<()>,
    stop: oneshot::Sender<()>,
}

impl LeaderLoop {
    /// Starts the loop in a task of its own.
    pub fn start(proposer: proposer::Proposer) -> Self {
        let (stop, stopped) = oneshot::channel();
        let task = actix_rt::spawn(run(proposer, stopped));
        Self { task, stop }
    }

    /// Stops the loop and waits for its task to end.
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
    let mut clock_proposer =
        ClockProposer { last_index: ids::LogIndex(0), since: time::Instant::now() };
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
                    clock_proposer.tick(&proposer, &mut pending);
                    change_replicas(&proposer, &change_in_flight, &mut pending);
                }
            }
        }
        let effects = shared.leader.borrow_mut().as_mut().map(leader::LeaderState::take_effects);
        for effect in effects.into_iter().flatten() {
            perform(&proposer, effect, &mut pending);
        }
    }
}

fn perform(proposer: &proposer::Proposer, effect: leader::Effect, pending: &mut Pending) {
    match effect {
        leader::Effect::Propose(command) => {
            pending.push(Box::pin(propose(proposer.clone(), command)))
        }
        leader::Effect::Send(sender, message) => {
            // A full queue means that the agent does not read; the coordinator resends the message.
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
            .with_leader(|leader, ledger, now| leader.release_rejected(ledger, attempt, now));
    }
}

/// Proposes a clock entry when the log is idle, so that outages show as gaps in the hourly counts.
struct ClockProposer {
    last_index: ids::LogIndex,
    since: time::Instant,
}

impl ClockProposer {
    fn tick(&mut self, proposer: &proposer::Proposer, pending: &mut Pending) {
        let applied = proposer.shared.applied.get();
        if applied != self.last_index {
            self.last_index = applied;
            self.since = time::Instant::now();
        } else if self.since.elapsed() >= MAX_LOG_IDLE {
            self.since = time::Instant::now();
            pending.push(Box::pin(propose(proposer.clone(), command::Command::Clock)));
        }
    }
}

/// Moves the group one step towards the replicas set by the last ticket or, without a ticket,
/// towards the configured number of voters.
fn change_replicas(
    proposer: &proposer::Proposer,
    change_in_flight: &rc::Rc<std::cell::Cell<bool>>,
    pending: &mut Pending,
) {
    let configured = proposer.shared.ledger.borrow().replicas.clone();
    let desired = match proposer.voters {
        Some(voters) if configured.is_empty() => repaired_replicas(&proposer.log.view(), voters),
        _ => configured,
    };
    if desired.is_empty()
        || change_in_flight.get()
        || matches_members(&proposer.log.view(), &desired)
    {
        return;
    }
    change_in_flight.set(true);
    event::control::REPLICAS_CHANGING.log(format_args!("wanted={}", desired.len()));
    let log = proposer.log.clone();
    let change_in_flight = change_in_flight.clone();
    pending.push(Box::pin(async move {
        if log.reconfigure(desired).await.is_err() {
            event::control::REPLICAS_CHANGING.log(format_args!("refused; tried again"));
        }
        tokio::time::sleep(MEMBERSHIP_STEP_DELAY).await;
        change_in_flight.set(false);
    }));
}

/// Returns the replicas that a group without a ticket needs to have the given number of voters.
fn repaired_replicas(view: &machine::GroupView, voters: u32) -> Vec<repair::ReplicaAddr> {
    let observed = view.peers.iter().map(|peer| repair::ObservedMember {
        replica: peer.key,
        addr: peer.addr.clone(),
        replaced: peer.replaced,
        silent_for: peer.silent_for,
    });
    repair::desired_replicas(&observed.collect::<Vec<_>>(), &view.candidates, voters as usize)
}

fn matches_members(view: &machine::GroupView, desired: &[(ids::ReplicaKey, String)]) -> bool {
    let voters = view.peers.iter().filter(|peer| peer.voter);
    let mut present: Vec<_> = voters.map(|peer| (peer.key, peer.addr.clone())).collect();
    let mut desired = desired.to_vec();
    present.sort();
    desired.sort();
    present == desired && view.peers.len() == desired.len()
}
