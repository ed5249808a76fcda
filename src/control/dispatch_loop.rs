//! The loop that performs the dispatcher's effects: proposals, orders to workers, logs and metrics.

use std::time;

use futures_util::future;
use futures_util::stream as futures_stream;
use futures_util::stream::StreamExt as _;
use tokio::sync::oneshot;

use crate::control::proposer;
use crate::core::dispatch;
use crate::core::dispatch::order;
use crate::core::ledger::command;
use crate::core::workflow;
use crate::telemetry::event;
use crate::telemetry::metrics as names;
use crate::wire::runner;

/// Time between two ticks of the dispatcher, which also decides after each change.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The least time between two passes after changes, as a multiple of the time that the last one
/// took. Under a burst of changes, passes leave most of the processor to reports and calls.
const PASS_SPACING: u32 = 4;

type Pending = futures_stream::FuturesUnordered<future::LocalBoxFuture<'static, ()>>;

/// A running dispatch loop.
pub struct DispatchLoop {
    task: actix_rt::task::JoinHandle<()>,
    stop: oneshot::Sender<()>,
}

impl DispatchLoop {
    /// Starts the loop in a task of its own.
    pub fn start(proposer: proposer::Proposer) -> Self {
        let (stop, stopped) = oneshot::channel();
        let task = actix_rt::spawn(run(proposer, stopped));
        Self { task, stop }
    }

    /// Stops the loop and waits for its task to end.
    pub async fn stop(self) {
        // An error means that the loop has ended already.
        let _ = self.stop.send(());
        let _ = self.task.await;
    }
}

/// Returns the least time from the begin of a pass to the next one after a change. A process that
/// was paused within a pass must not wait for a multiple of the pause.
pub fn pass_spacing(took: time::Duration) -> time::Duration {
    took.saturating_mul(PASS_SPACING).min(TICK_INTERVAL)
}

async fn run(proposer: proposer::Proposer, mut stopped: oneshot::Receiver<()>) {
    let shared = proposer.shared.clone();
    let mut pending = Pending::new();
    let mut role = shared.role.subscribe();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut next_pass = tokio::time::Instant::now();
    let mut took = time::Duration::ZERO;
    loop {
        let leads = shared.dispatch.borrow().is_some();
        // A replica without the leader lease decides nothing, however much has changed.
        let changed = proposer.log.leads()
            && shared.dispatch.borrow().as_ref().is_some_and(dispatch::Dispatch::is_changed);
        let in_pass = proposer.log.leads()
            && shared.dispatch.borrow().as_ref().is_some_and(dispatch::Dispatch::is_in_pass);
        let mut is_tick = false;
        tokio::select! {
            _ = &mut stopped => return,
            _ = ticks.tick(), if leads => is_tick = true,
            // The log's heartbeats and the sessions have their turn between two slices of a pass.
            () = tokio::task::yield_now(), if in_pass => {}
            () = tokio::time::sleep_until(next_pass), if changed && !in_pass => {}
            () = shared.dispatch_wake.notified() => {}
            Some(()) = pending.next(), if !pending.is_empty() => {}
            _ = role.changed() => {}
        }
        if !proposer.log.leads() {
            continue;
        }
        // `with_dispatch` isn't used, as it would wake this loop again at once.
        let now = shared.dispatch_now();
        let mut dispatch = shared.dispatch.borrow_mut();
        let Some(dispatch) = dispatch.as_mut() else { continue };
        let started = tokio::time::Instant::now();
        let continues = dispatch.is_in_pass();
        if is_tick || continues || (dispatch.is_changed() && next_pass <= started) {
            let registry = &shared.ledger.borrow().workflows;
            if is_tick {
                dispatch.check(registry, now);
            }
            let is_complete = dispatch.decide_slice(registry, now);
            took = if continues { took } else { time::Duration::ZERO } + started.elapsed();
            if is_complete {
                names::observe(names::DECISION_SECONDS, took);
                next_pass = started + pass_spacing(took);
            }
        }
        for effect in dispatch.take_effects() {
            perform(&proposer, dispatch, effect, &mut pending);
        }
    }
}

fn perform(
    proposer: &proposer::Proposer,
    dispatch: &dispatch::Dispatch,
    effect: order::Effect,
    pending: &mut Pending,
) {
    match effect {
        order::Effect::Propose(command) => {
            log_proposal(dispatch, &command);
            let proposer = proposer.clone();
            pending.push(Box::pin(async move {
                let command = command::Command::Workflow(command);
                if let Err(error) = proposer.propose_with_retry(command).await {
                    // The next leader sees in its log whether the command was committed.
                    event::control::PROPOSAL_LOST.log(format_args!("error={error}"));
                }
            }));
        }
        order::Effect::Stopping(key, reason) => {
            metrics::counter!(names::RUNS_STOPPED, "why" => reason.label()).increment(1);
            event::control::RUN_STOPPING.log(format_args!("{key} why={reason}"));
        }
        order::Effect::StepWaited(rank, waited) => names::observe_wait(rank, waited.to_duration()),
        order::Effect::LongWait(wait) => {
            event::control::LONG_WAIT.log(format_args!("{wait}"));
        }
        order::Effect::WorkerLost(incarnation, cause, runs) => {
            event::control::INCARNATION_ENDED
                .log(format_args!("worker={incarnation} runs={runs} why={cause}"));
        }
        order::Effect::UnexpectedRun(unexpected) => {
            if unexpected.is_duplicate() {
                metrics::counter!(names::RUNS_DOUBLED).increment(1);
            }
            event::control::UNEXPECTED_RUN.log(format_args!("{unexpected}"));
        }
        order::Effect::Order(host, order) => {
            let runners = proposer.shared.runners.borrow();
            let Some((_, sender)) = runners.get(&host) else { return };
            if !sender.try_send(&runner::ServerMessage::Order(order)) {
                // The worker's reports show that the order had no effect, and the dispatcher sends
                // it again.
                event::control::ORDER_DROPPED.log(format_args!("host={host}"));
            }
        }
    }
}

fn log_proposal(dispatch: &dispatch::Dispatch, command: &workflow::command::Command) {
    match command {
        workflow::command::Command::Place(placements) => {
            for placement in placements {
                event::control::TASK_PLACED.log(format_args!(
                    "{} worker={} speed={:.2}",
                    placement.key(),
                    placement.incarnation,
                    dispatch.speed(placement.incarnation.host)
                ));
            }
        }
        workflow::command::Command::End(endings) => {
            for ending in endings {
                event::control::RUN_ENDED.log(format_args!(
                    "{} how={:?}",
                    ending.key(),
                    ending.reason
                ));
            }
        }
        _ => {}
    }
}
