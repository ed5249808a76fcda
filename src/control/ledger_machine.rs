//! The ledger as the state machine that the replicated log drives.

use std::cell;
use std::collections::BTreeMap;
use std::rc;

use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::control::clock;
use crate::control::leader;
use crate::control::machine;
use crate::core::dispatch;
use crate::core::dispatch::fleet;
use crate::core::dispatch::history;
use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::outcome;
use crate::core::ledger::state;
use crate::core::limit;
use crate::core::time;
use crate::core::workflow::command as workflow;
use crate::core::workflow::model;
use crate::core::workflow::registry;
use crate::net::stream;
use crate::telemetry::event;
use crate::telemetry::metrics as names;
use crate::wire::codec;
use crate::wire::command as wire_command;
use crate::wire::runner;
use crate::wire::snapshot;

/// State shared by the parts of a control process. No borrow is held across an await.
pub struct Shared {
    /// The monotonic clock of the process.
    pub clock: clock::Clock,
    /// The ledger with all entries applied so far.
    pub ledger: cell::RefCell<state::Ledger>,
    /// The index of the last applied entry.
    pub applied: cell::Cell<ids::LogIndex>,
    /// The leader's state, while this replica is the leader.
    pub leader: cell::RefCell<Option<leader::LeaderState>>,
    /// Wakes the leader loop to perform effects.
    pub leader_wake: tokio::sync::Notify,
    /// The dispatcher of workflows, while this replica is the leader.
    pub dispatch: cell::RefCell<Option<dispatch::Dispatch>>,
    /// History of the workers of workflows, derived from the log.
    pub history: cell::RefCell<history::History>,
    /// Wakes the dispatch loop to perform effects.
    pub dispatch_wake: tokio::sync::Notify,
    /// Session number and sender of each agent beside a worker of workflows, by host.
    pub runners: cell::RefCell<BTreeMap<u32, (u64, stream::Sender<runner::ServerMessage>)>>,
    /// Number of the last session of an agent of workflows; unique within the process.
    last_session: cell::Cell<u64>,
    /// Lease durations of workers of workflows.
    pub lease_limits: fleet::LeaseLimits,
    /// The revision of the configuration applied here.
    pub revision: watch::Sender<ids::Revision>,
    /// The role of this replica; updated in each term that has a leader.
    pub role: watch::Sender<machine::Role>,
    waiters: cell::RefCell<BTreeMap<ids::JobKey, Vec<oneshot::Sender<()>>>>,
    /// The memory that workflows may take.
    memory: cell::RefCell<limit::Memory>,
}

/// Memory that is reserved for a submission while it is proposed.
pub struct ReservedMemory {
    shared: rc::Rc<Shared>,
    reservation: Option<limit::Reservation>,
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.shared.memory.borrow_mut().release(reservation);
        }
    }
}

impl Shared {
    /// Creates the state of a process that has applied no entry.
    pub fn new() -> rc::Rc<Self> {
        Self::with_limits(dispatch::DEFAULT_LEASE, limit::Memory::of_host(None))
    }

    /// Like [`Shared::new`], with other lease durations for workers of workflows, and another bound on
    /// the memory of workflows.
    pub fn with_limits(
        lease_limits: impl Into<fleet::LeaseLimits>,
        memory: limit::Memory,
    ) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            clock: clock::Clock::start(),
            ledger: cell::RefCell::default(),
            applied: cell::Cell::default(),
            leader: cell::RefCell::default(),
            leader_wake: tokio::sync::Notify::new(),
            dispatch: cell::RefCell::default(),
            history: cell::RefCell::default(),
            dispatch_wake: tokio::sync::Notify::new(),
            runners: cell::RefCell::default(),
            last_session: cell::Cell::default(),
            lease_limits: lease_limits.into(),
            revision: watch::Sender::new(ids::Revision(0)),
            role: watch::Sender::new(machine::Role::Follower { leader: None }),
            waiters: cell::RefCell::default(),
            memory: cell::RefCell::new(memory),
        })
    }

    /// Returns the time on both clocks. The wall-clock time is never before the ledger's.
    pub fn now(&self) -> leader::Timestamp {
        let wall = clock::wall().max(self.ledger.borrow().now);
        leader::Timestamp { tick: self.clock.tick(), wall }
    }

    /// Calls `act` with the leader's state and the ledger, if this replica is the leader.
    pub fn with_leader<T>(
        &self,
        act: impl FnOnce(&mut leader::LeaderState, &state::Ledger, leader::Timestamp) -> T,
    ) -> Option<T> {
        let now = self.now();
        let ledger = self.ledger.borrow();
        let mut leader = self.leader.borrow_mut();
        let result = act(leader.as_mut()?, &ledger, now);
        self.leader_wake.notify_one();
        Some(result)
    }

    /// Returns the time on both clocks for the dispatcher.
    pub fn dispatch_now(&self) -> dispatch::order::Timestamp {
        dispatch::order::Timestamp { tick: self.clock.tick(), wall: clock::wall() }
    }

    /// Calls `act` with the dispatcher and the registry, if this replica is the leader.
    pub fn with_dispatch<T>(
        &self,
        act: impl FnOnce(&mut dispatch::Dispatch, &registry::Registry, dispatch::order::Timestamp) -> T,
    ) -> Option<T> {
        let now = self.dispatch_now();
        let ledger = self.ledger.borrow();
        let mut dispatch = self.dispatch.borrow_mut();
        let result = act(dispatch.as_mut()?, &ledger.workflows, now);
        self.dispatch_wake.notify_one();
        Some(result)
    }

    /// Reserves the memory of a submission.
    ///
    /// # Errors
    ///
    /// Returns the time after which there may be memory for the submission.
    pub fn reserve_memory(
        self: &rc::Rc<Self>,
        submission: &workflow::Submission,
    ) -> Result<ReservedMemory, time::Millis> {
        let now = self.now().wall;
        let registry = &self.ledger.borrow().workflows;
        let reservation = self.memory.borrow_mut().reserve(registry, submission, now)?;
        Ok(ReservedMemory { shared: self.clone(), reservation: Some(reservation) })
    }

    /// Returns the number of a new session of an agent of workflows.
    pub fn next_session(&self) -> u64 {
        self.last_session.set(self.last_session.get() + 1);
        self.last_session.get()
    }

    /// Resolves when the job has ended here, or with an error when leadership is lost.
    pub fn wait_for_end(&self, job: ids::JobKey) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        let waiting = waiters.entry(job).or_default();
        waiting.retain(|waiter| !waiter.is_closed());
        waiting.push(sender);
        receiver
    }

    fn notify_waiters(&self, job: ids::JobKey) {
        for waiter in self.waiters.borrow_mut().remove(&job).into_iter().flatten() {
            let _ = waiter.send(());
        }
    }
}

/// Logs and counts ended jobs and runs, and records placement waits; only the leader does.
fn log_change(
    registry: &registry::Registry,
    change: &workflow::Event,
    now: dispatch::order::Timestamp,
) {
    let key = match change {
        workflow::Event::Finished(key) => key,
        workflow::Event::Placed(run, _) => return observe_wait(registry, *run, now),
        workflow::Event::Ended(_, reason) => {
            metrics::counter!(names::RUNS_ENDED, "how" => format!("{reason:?}")).increment(1);
            return;
        }
        _ => return,
    };
    let Some(job) = registry.jobs.get(key) else { return };
    metrics::counter!(names::JOBS_ENDED, "phase" => format!("{:?}", job.phase)).increment(1);
    event::control::JOB_ENDED.log(format_args!(
        "job={key} id={} phase={:?} after_ms={}",
        job.submission.id,
        job.phase,
        now.wall.0.saturating_sub(job.accepted)
    ));
}

/// Records the time that a task waited for its first placement.
fn observe_wait(
    registry: &registry::Registry,
    run: model::RunKey,
    now: dispatch::order::Timestamp,
) {
    let Some(job) = registry.jobs.get(&run.task.job).filter(|_| run.run == 1) else { return };
    let due = job.due(run.task.occurrence).max(job.accepted);
    let waited = time::Millis(now.wall.0.saturating_sub(due));
    names::observe(names::PLACE_SECONDS, waited.to_duration());
}

/// The state machine that applies log entries to the ledger.
pub struct LedgerMachine {
    shared: rc::Rc<Shared>,
}

impl LedgerMachine {
    /// Creates a state machine over the shared state.
    pub fn new(shared: rc::Rc<Shared>) -> Self {
        Self { shared }
    }

    /// Updates the history of workers, on every replica.
    fn update_history(&self, change: &workflow::Event) {
        let ledger = self.shared.ledger.borrow();
        let now = self.shared.clock.tick();
        self.shared.history.borrow_mut().event(&ledger.workflows, change, ledger.now, now);
    }

    fn publish(&self, events: &[outcome::Event]) {
        for event in events {
            match event {
                outcome::Event::Config(revision) => {
                    self.shared.revision.send_replace(*revision);
                }
                outcome::Event::Ended(job) => self.shared.notify_waiters(*job),
                outcome::Event::Workflow(event) => {
                    self.update_history(event);
                    self.shared.with_dispatch(|dispatch, registry, now| {
                        log_change(registry, event, now);
                        dispatch.event(registry, event, now);
                    });
                    continue;
                }
                _ => {}
            }
            self.shared.with_leader(|leader, ledger, now| leader.event(ledger, event, now));
        }
    }
}

impl machine::Machine for LedgerMachine {
    fn apply(&mut self, index: ids::LogIndex, entry: &[u8]) -> Vec<u8> {
        let decoded =
            codec::decode::<wire_command::Entry>(entry).and_then(command::Entry::try_from);
        let mut events = Vec::new();
        let outcome = match decoded {
            Ok(entry) => self.shared.ledger.borrow_mut().apply(index, entry, &mut events),
            Err(error) => {
                event::control::ENTRY_UNREADABLE.log(format_args!("index={index} error={error}"));
                outcome::Outcome::Stale
            }
        };
        self.shared.applied.set(index);
        self.publish(&events);
        codec::encode(&wire_command::Outcome::from(outcome))
    }

    fn snapshot(&self) -> Vec<u8> {
        codec::encode(&snapshot::Ledger::from(&*self.shared.ledger.borrow()))
    }

    fn restore(&mut self, bytes: &[u8]) {
        let restored = codec::decode_snapshot::<snapshot::Ledger>(bytes)
            .and_then(state::Ledger::try_from)
            .expect("a snapshot's checksum is verified before it is restored");
        let revision = restored.config.revision;
        *self.shared.ledger.borrow_mut() = restored;
        self.shared.revision.send_if_modified(|current| {
            let newer = revision > *current;
            *current = revision.max(*current);
            newer
        });
    }

    fn role_changed(&mut self, role: machine::Role) {
        let leader = match &role {
            machine::Role::Leader(term) => {
                let now = self.shared.now();
                let ledger = self.shared.ledger.borrow();
                event::control::LEADING.log(format_args!("term={term}"));
                Some(leader::LeaderState::new(*term, &ledger, self.shared.applied.get(), now))
            }
            machine::Role::Follower { .. } => None,
        };
        if leader.is_none() && self.shared.leader.borrow().is_some() {
            event::control::NOT_LEADING.log(format_args!(""));
            self.shared.waiters.borrow_mut().clear();
        }
        let dispatch = leader.is_some().then(|| {
            let registry = &self.shared.ledger.borrow().workflows;
            let health = self.shared.history.borrow().health().clone();
            dispatch::Dispatch::new(
                registry,
                health,
                self.shared.lease_limits,
                self.shared.dispatch_now(),
            )
        });
        *self.shared.leader.borrow_mut() = leader;
        *self.shared.dispatch.borrow_mut() = dispatch;
        // Sessions of agents belong to one term; agents reconnect in the next one.
        self.shared.runners.borrow_mut().clear();
        self.shared.role.send_replace(role);
        self.shared.leader_wake.notify_one();
    }
}
