//! Reports from agents about their workers, and orders to agents.

use crate::core::dispatch::queue;
use crate::core::ids;
use crate::core::time;
use crate::core::workflow::command;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::macros;

/// The most ends that a worker lists at a time; it lists the others once these are acknowledged.
pub const MAX_LISTED_ENDS: usize = 500;

/// Returns whether a list of ends may be truncated. A run that is missing from the lists may then
/// have ended, with any outcome.
pub fn is_truncated(finished: &[Finished]) -> bool {
    finished.len() >= MAX_LISTED_ENDS
}

macros::value_types! {
    /// The properties that a worker announces.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Announcement {
        /// The current incarnation of the worker.
        pub incarnation: model::Incarnation,
        /// The name of the worker.
        pub name: String,
        /// The pool that the worker serves.
        pub pool: String,
        /// The labels of the worker.
        pub labels: Vec<String>,
        /// The rack of the worker; empty if it names none.
        pub rack: String,
        /// The resources that the worker offers to tasks.
        pub capacity: Resources,
        /// Whether the worker is draining.
        pub draining: bool,
    }

    /// A report of an agent on the worker beside it.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Report {
        /// The sequence number of the report in this session, from 1.
        pub sequence: u64,
        /// The worker; `None` while the agent knows none.
        pub worker: Option<Announcement>,
        /// The last incarnation that left; none of its runs is active.
        pub departed: Option<model::Incarnation>,
        /// The least time until a draining worker exits, in milliseconds; `None` if the worker does
        /// not announce it.
        pub drain_left: Option<u64>,
        /// Whether the lists come from the worker itself and are at most a second old.
        pub fresh: bool,
        /// The active runs on the worker.
        pub running: Vec<Running>,
        /// The runs that ended on the worker and whose ends are not acknowledged yet, at most
        /// [`MAX_LISTED_ENDS`].
        pub finished: Vec<Finished>,
    }

    /// An active run.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Running {
        /// The task of the run.
        pub task: model::TaskName,
        /// The number of the run, counted for each task.
        pub run: u32,
        /// The last checkpoint of the run; empty for none.
        pub checkpoint: String,
        /// The completed part of the work, in percent.
        pub percent: u32,
    }

    /// A run that ended.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Finished {
        /// The number of the end in the worker's incarnation, from 1.
        pub number: u64,
        /// The task of the run.
        pub task: model::TaskName,
        /// The number of the run, counted for each task.
        pub run: u32,
        /// The reason for the end.
        pub reason: model::EndReason,
        /// The last checkpoint of the run; empty for none.
        pub checkpoint: String,
    }

    /// An order to an agent.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Order {
        /// Grants a lease on the worker, counted from the time at which the report was sent.
        Grant {
            /// The sequence number of the report.
            sequence: u64,
            /// The duration of the lease, in milliseconds.
            duration: u64,
        },
        /// Starts a run.
        Start(Start),
        /// Stops a run, or prevents it from ever starting.
        Stop {
            /// The incarnation of the worker that the run was ordered on.
            incarnation: model::Incarnation,
            /// The task of the run.
            task: model::TaskName,
            /// The number of the run.
            run: u32,
        },
        /// Acknowledges that all ends up to a number are durable, so that the worker may forget
        /// them.
        Acknowledge {
            /// The incarnation that numbered the ends.
            incarnation: model::Incarnation,
            /// The number of the last durable end.
            number: u64,
        },
    }

    /// An order to start a run.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Start {
        /// The incarnation of the worker that is to start the run.
        pub incarnation: model::Incarnation,
        /// The task to run.
        pub task: model::TaskName,
        /// The number of the run.
        pub run: u32,
        /// The workflow's specification, which the task is started with.
        pub spec: String,
        /// The checkpoint to resume from; empty for none.
        pub checkpoint: String,
    }

    /// A run that a worker lists although it was not placed there.
    pub struct UnexpectedRun {
        /// The incarnation that lists the run.
        pub incarnation: model::Incarnation,
        /// The task of the run.
        pub task: model::TaskName,
        /// The number of the run.
        pub run: u32,
        /// The task's last run and its state in the registry; `None` if the task belongs to no
        /// active job.
        pub recorded: Option<(u32, job::TaskState)>,
    }

    /// An action that the leader has to carry out.
    pub enum Effect {
        /// Proposes a command to the log.
        Propose(command::Command),
        /// Sends an order to the agent on a host.
        Order(u32, Order),
        /// Logs the reason for which a run is stopped.
        Stopping(model::RunKey, StopReason),
        /// Records how long a step of a rank waited before tasks of it were placed.
        StepWaited(u32, time::Millis),
        /// Logs that a step has waited for long.
        LongWait(LongWait),
        /// Logs that an incarnation of a worker ended, with the cause and the number of lost runs.
        WorkerLost(model::Incarnation, LossCause, usize),
        /// Logs that a worker lists a run that was not placed there.
        UnexpectedRun(UnexpectedRun),
    }
}

macros::copy_types! {
    /// Amounts of resources that tasks need or workers offer.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct Resources {
        /// CPU in thousandths of a core.
        pub cpu: u32,
        /// Memory in MB.
        pub memory: u32,
        /// The number of accelerators.
        pub accelerators: u32,
    }

    /// The reason for which a run is stopped.
    pub enum StopReason {
        /// The job was cancelled or has failed.
        JobEnded,
        /// Another member of the gang has ended.
        GangBroken,
        /// A more urgent job needs the resources.
        Preempted(ids::JobKey),
        /// The run makes no progress.
        Stalled,
        /// The worker exits before the run can end.
        Draining,
    }

    /// The cause for which an incarnation of a worker counts as ended.
    pub enum LossCause {
        /// The lease of the worker expired.
        LeaseExpired,
        /// A later incarnation runs on the same host.
        Replaced(model::Incarnation),
        /// The worker left.
        Departed,
    }

    /// A step that has waited for long.
    pub struct LongWait {
        /// The job of the step.
        pub job: ids::JobKey,
        /// The occurrence of the job.
        pub occurrence: u32,
        /// The number of the step.
        pub step: u32,
        /// The rank of the step.
        pub rank: u32,
        /// The outcome that the step can still achieve.
        pub prospect: queue::Prospect,
        /// The number of its tasks that wait.
        pub tasks: usize,
        /// The time for which the step has waited.
        pub waited: time::Millis,
        /// The number of tasks of the same rank that were placed during the wait.
        pub same_rank: u64,
        /// The number of tasks of other ranks that were placed during the wait.
        pub other_ranks: u64,
    }

    /// The time of an input on both clocks.
    pub struct Timestamp {
        /// Monotonic time.
        pub tick: time::Tick,
        /// Wall-clock time, which only schedules and objectives depend on.
        pub wall: time::Wall,
    }
}

impl StopReason {
    /// Returns the label of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::JobEnded => "JobEnded",
            Self::GangBroken => "GangBroken",
            Self::Preempted(_) => "Displaced",
            Self::Stalled => "Still",
            Self::Draining => "Leaving",
        }
    }
}

impl UnexpectedRun {
    /// Returns whether the registry holds another run of the task that may be active.
    pub fn is_duplicate(&self) -> bool {
        matches!(self.recorded, Some((run, job::TaskState::At(_))) if run != self.run)
    }
}

impl std::fmt::Display for UnexpectedRun {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { incarnation, task, run, recorded } = self;
        write!(
            f,
            "task={task} run={run} worker={incarnation} double={} held=",
            self.is_duplicate()
        )?;
        match recorded {
            Some((run, job::TaskState::At(incarnation))) => write!(f, "{run} at={incarnation}"),
            Some((run, place)) => write!(f, "{run} place={place:?}"),
            None => f.write_str("none"),
        }
    }
}

impl std::fmt::Display for LossCause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::LeaseExpired => f.write_str("lease"),
            Self::Replaced(incarnation) => write!(f, "followed by={incarnation}"),
            Self::Departed => f.write_str("left"),
        }
    }
}

impl std::fmt::Display for LongWait {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { job, occurrence, step, rank, prospect, tasks, waited, same_rank, other_ranks } =
            self;
        write!(f, "job={job} occurrence={occurrence} step={step} rank={rank} ")?;
        write!(f, "prospect={prospect:?} tasks={tasks} waited_ms={} ", waited.0)?;
        write!(f, "own={same_rank} others={other_ranks}")
    }
}

impl std::fmt::Display for StopReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.label())?;
        if let Self::Preempted(job) = self {
            write!(f, " by={job}")?;
        }
        Ok(())
    }
}

impl Resources {
    /// Returns the resources that one task of a step occupies.
    pub fn of_step(step: &model::Step) -> Self {
        // The CPU of a best-effort task is not charged to its worker.
        let cpu = if step.best_effort { 0 } else { step.cpu };
        Self { cpu, memory: step.memory, accelerators: step.accelerators }
    }

    /// Returns whether every amount is at least the needed one.
    pub fn covers(self, need: Resources) -> bool {
        self.cpu >= need.cpu && self.memory >= need.memory && self.accelerators >= need.accelerators
    }

    /// Subtracts each amount, down to 0 at the lowest.
    pub fn saturating_sub(self, amount: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(amount.cpu),
            memory: self.memory.saturating_sub(amount.memory),
            accelerators: self.accelerators.saturating_sub(amount.accelerators),
        }
    }

    /// Adds each amount, up to the largest number.
    pub fn saturating_add(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}
