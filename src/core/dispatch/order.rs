//! What agents report of their workers, and what they are ordered to do.

use crate::core::dispatch::queue;
use crate::core::ids;
use crate::core::time;
use crate::core::workflow::command;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::macros;

macros::value_types! {
    /// What a worker says of itself.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Announcement {
        /// Its present incarnation.
        pub incarnation: model::Incarnation,
        /// Its name.
        pub name: String,
        /// The pool it serves.
        pub pool: String,
        /// Its labels.
        pub labels: Vec<String>,
        /// Its rack; empty if it names none.
        pub rack: String,
        /// What it has to give away.
        pub capacity: Resources,
        /// Whether it is leaving.
        pub draining: bool,
    }

    /// What an agent reports of the worker beside it.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Report {
        /// The number of the report in this session, from 1.
        pub sequence: u64,
        /// The worker; none if there is none at present.
        pub worker: Option<Announcement>,
        /// The last incarnation that has left: nothing of it goes on.
        pub departed: Option<model::Incarnation>,
        /// How much longer a worker that leaves stays at least, in milliseconds; none where it does
        /// not say.
        pub drain_left: Option<u64>,
        /// Whether the lists are its answer, and not older than a second.
        pub fresh: bool,
        /// What runs there.
        pub running: Vec<Running>,
        /// What has ended there and was not taken note of yet.
        pub finished: Vec<Finished>,
    }

    /// A run that goes on.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Running {
        /// The task.
        pub task: model::TaskName,
        /// The number of its start.
        pub run: u32,
        /// Its last checkpoint; empty for none.
        pub checkpoint: String,
        /// How much of its work is done.
        pub percent: u32,
    }

    /// A run that has ended.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Finished {
        /// The number of the end in the worker's incarnation, from 1.
        pub number: u64,
        /// The task.
        pub task: model::TaskName,
        /// The number of its start.
        pub run: u32,
        /// How it ended.
        pub reason: model::EndReason,
        /// Its last checkpoint; empty for none.
        pub checkpoint: String,
    }

    /// What an agent is told.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Order {
        /// The worker may be held for this long from the moment the numbered report was sent.
        Grant {
            /// The report.
            sequence: u64,
            /// The span, in milliseconds.
            duration: u64,
        },
        /// Start a run.
        Start(Start),
        /// Stop a run, or see to it that it never starts.
        Stop {
            /// The incarnation of the worker that it was ordered on.
            incarnation: model::Incarnation,
            /// The task.
            task: model::TaskName,
            /// The number of the start.
            run: u32,
        },
        /// The ends up to this number are durable: the worker may forget them.
        Acknowledge {
            /// The worker's incarnation.
            incarnation: model::Incarnation,
            /// The number.
            number: u64,
        },
    }

    /// A run to start.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Start {
        /// The incarnation of the worker that is meant.
        pub incarnation: model::Incarnation,
        /// The task.
        pub task: model::TaskName,
        /// The number of the start.
        pub run: u32,
        /// The text that the task is started with.
        pub spec: String,
        /// The checkpoint to go on from; empty for none.
        pub checkpoint: String,
    }

    /// A run that a worker lists and that was not placed there.
    pub struct UnexpectedRun {
        /// The incarnation that lists it.
        pub incarnation: model::Incarnation,
        /// The task.
        pub task: model::TaskName,
        /// The number of its start.
        pub run: u32,
        /// The task's last run in the registry, and where it stands; none if no such task is open.
        pub recorded: Option<(u32, job::TaskState)>,
    }

    /// What the leader is to carry out.
    pub enum Effect {
        /// Propose a command to the log.
        Propose(command::Command),
        /// Send an order to the agent on a host.
        Order(u32, Order),
        /// Log why a run is to stop.
        Stopping(model::RunKey, StopReason),
        /// Record how long a step of this rank has waited of which tasks are placed now.
        StepWaited(u32, time::Millis),
        /// Log that a step was passed over for long.
        LongWait(LongWait),
        /// Log that an incarnation of a worker is over, why, and how many runs are lost with it.
        WorkerLost(model::Incarnation, LossCause, usize),
        /// Log that a worker runs what was not placed there.
        UnexpectedRun(UnexpectedRun),
    }
}

macros::copy_types! {
    /// Amounts of what tasks need and workers have.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct Resources {
        /// Thousandths of a core.
        pub cpu: u32,
        /// Memory in MB.
        pub memory: u32,
        /// Accelerators.
        pub accelerators: u32,
    }

    /// Why a run is to stop.
    pub enum StopReason {
        /// Its job was cancelled or has failed.
        JobEnded,
        /// Another member of its gang has ended.
        GangBroken,
        /// Its room is needed for a more urgent job.
        Preempted(ids::JobKey),
        /// It stands still.
        Stalled,
        /// Its worker leaves before it can end.
        Draining,
    }

    /// Why an incarnation of a worker is taken for over.
    pub enum LossCause {
        /// Its lease has run out.
        LeaseExpired,
        /// This later incarnation runs on its host.
        Replaced(model::Incarnation),
        /// It has left.
        Departed,
    }

    /// A step that has waited for long.
    pub struct LongWait {
        /// Its job.
        pub job: ids::JobKey,
        /// The occurrence of the job.
        pub occurrence: u32,
        /// Its number.
        pub step: u32,
        /// Its rank.
        pub rank: u32,
        /// What it can still achieve.
        pub prospect: queue::Prospect,
        /// How many of its tasks wait.
        pub tasks: usize,
        /// How long some of them have waited.
        pub waited: time::Millis,
        /// Tasks of its rank that were placed in that time.
        pub same_rank: u64,
        /// Tasks of other ranks that were placed in that time.
        pub other_ranks: u64,
    }

    /// The time of an input.
    pub struct Timestamp {
        /// On the steady clock.
        pub tick: time::Tick,
        /// In civil time; only schedules depend on it.
        pub wall: time::Wall,
    }
}

impl StopReason {
    /// The reason in a word.
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
    /// Whether another run of its task may be going on.
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
    /// What a task of a step occupies.
    pub fn of_step(step: &model::Step) -> Self {
        // Work that only fills is not counted against a worker's processors.
        let cpu = if step.best_effort { 0 } else { step.cpu };
        Self { cpu, memory: step.memory, accelerators: step.accelerators }
    }

    /// Whether this holds at least as much of everything.
    pub fn covers(self, need: Resources) -> bool {
        self.cpu >= need.cpu && self.memory >= need.memory && self.accelerators >= need.accelerators
    }

    /// What is left after something is taken away, never below nothing.
    pub fn saturating_sub(self, amount: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(amount.cpu),
            memory: self.memory.saturating_sub(amount.memory),
            accelerators: self.accelerators.saturating_sub(amount.accelerators),
        }
    }

    /// The sum of both.
    pub fn saturating_add(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}
