//! What a caller submits, and how tasks, runs and incarnations of workers are named.

use crate::core::ids;
use crate::macros;

/// The most steps of one workflow.
pub const MAX_STEPS: usize = 64;

/// The most tasks of one step.
pub const MAX_STEP_TASKS: u32 = 4096;

/// The most tasks of one workflow, those of all its occurrences counted.
pub const MAX_WORKFLOW_TASKS: u64 = MAX_STEPS as u64 * MAX_STEP_TASKS as u64;

/// The longest text handed to each task, in bytes.
pub const MAX_SPEC_BYTES: usize = 4000;

macros::value_types! {
    /// A job as its caller describes it.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Workflow {
        /// The text that each of its tasks is started with.
        pub spec: String,
        /// Its steps.
        pub steps: Vec<Step>,
        /// When it repeats; none for a job that runs once, at once.
        pub schedule: Option<Schedule>,
    }

    /// Tasks that are alike.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct Step {
        /// How many tasks.
        pub count: u32,
        /// Processor time a task needs, in thousandths of a core.
        pub cpu: u32,
        /// Memory a task needs, in MB.
        pub memory: u32,
        /// Accelerators a task needs.
        pub accelerators: u32,
        /// The caller's guess at the run time of a task, in milliseconds.
        pub estimate: u32,
        /// The steps whose tasks must all be done first.
        pub after: Vec<u32>,
        /// Whether the tasks run only all together.
        pub gang: bool,
        /// Whether the gang is slowed when it runs on more than one rack.
        pub one_rack: bool,
        /// A label the worker must have.
        pub constraint: Option<String>,
        /// The rack that holds the step's data.
        pub affinity: Option<String>,
        /// The most tasks of one occurrence on one worker; 0 for no limit.
        pub worker_limit: u32,
        /// Whether the tasks keep checkpoints.
        pub checkpoints: bool,
        /// Whether copies of a task may run at the same time.
        pub speculative: bool,
        /// Whether the tasks run until the job is cancelled.
        pub long_running: bool,
        /// What the tasks run; empty where not named.
        pub image: String,
        /// The tail latency a lasting task must stay below, in milliseconds; 0 for none.
        pub latency: u32,
        /// Whether the tasks use only capacity that others leave.
        pub best_effort: bool,
        /// How many lasting tasks may be away at the same time by the scheduler's doing.
        pub disruptions: u32,
    }

    /// When the occurrences of a job are due.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Schedule {
        /// When the first is due, in milliseconds since 1970-01-01 UTC.
        pub first: u64,
        /// The time between two, in milliseconds.
        pub interval: u64,
        /// How many there are.
        pub times: u32,
    }

    /// A task as backend servers know it.
    #[derive(PartialOrd, Ord, bincode::Encode, bincode::Decode)]
    pub struct TaskName {
        /// The caller's identifier of the job.
        pub id: String,
        /// The occurrence, from 0.
        pub occurrence: u32,
        /// The step, from 0.
        pub step: u32,
        /// The task within its step, from 0.
        pub index: u32,
    }
}

macros::copy_types! {
    /// One incarnation of a worker: from its start until it ends. A worker that starts anew is another
    /// incarnation, whatever its name and address.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Incarnation {
        /// The host of its agent.
        pub host: u32,
        /// When it started, in milliseconds since 1970-01-01 UTC by its own clock.
        pub started: u64,
    }

    /// A task.
    pub struct TaskKey {
        /// The job.
        pub job: ids::JobKey,
        /// The occurrence, from 0.
        pub occurrence: u32,
        /// The step, from 0.
        pub step: u32,
        /// The task within its step, from 0.
        pub index: u32,
    }

    /// One start of a task.
    pub struct RunKey {
        /// The task.
        pub task: TaskKey,
        /// The number of the start, from 1; a gang's members share it.
        pub run: u32,
    }

    /// How a run ended.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum EndReason {
        /// All its work is done.
        Done,
        /// It failed.
        Failed,
        /// It was stopped on order.
        Stopped,
        /// The worker's lease ran out.
        Lapsed,
        /// Another member of its gang ended.
        Broken,
        /// The other members of its gang did not come in time.
        Alone,
        /// Its worker is gone.
        Lost,
        /// It never started and never will.
        Refused,
    }
}

impl RunKey {
    /// The key of a gang: that of its first member.
    pub fn gang_key(self) -> Self {
        Self { task: TaskKey { index: 0, ..self.task }, ..self }
    }
}

impl Schedule {
    /// When an occurrence is due, in milliseconds since 1970-01-01 UTC.
    pub fn due(&self, occurrence: u32) -> u64 {
        self.first.saturating_add(self.interval.saturating_mul(u64::from(occurrence)))
    }
}

impl Workflow {
    /// How many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.as_ref().map_or(1, |schedule| schedule.times.max(1))
    }

    /// Why the workflow can't be accepted, in words for its caller.
    pub fn validation_error(&self) -> Option<String> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Some(format!("the spec is longer than {MAX_SPEC_BYTES} bytes"));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Some(format!("a job has 1 to {MAX_STEPS} steps"));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_STEP_TASKS {
                return Some(format!("step {number}: a step has 1 to {MAX_STEP_TASKS} tasks"));
            }
            if step.after.iter().any(|earlier| *earlier as usize >= number) {
                return Some(format!("step {number} comes after a step that is not before it"));
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks * u64::from(self.occurrences()) > MAX_WORKFLOW_TASKS {
            return Some(format!(
                "a job has at most {MAX_WORKFLOW_TASKS} tasks in all its occurrences"
            ));
        }
        None
    }
}

impl std::fmt::Display for TaskName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}.{}", self.id, self.occurrence, self.step, self.index)
    }
}

impl std::str::FromStr for TaskName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next().and_then(|part| part.parse::<u32>().ok());
        let (index, step, occurrence) = (number(), number(), number());
        match (parts.next(), occurrence, step, index) {
            (Some(id), Some(occurrence), Some(step), Some(index)) => {
                Ok(Self { id: id.to_owned(), occurrence, step, index })
            }
            _ => Err(format!("{text:?} is not the name of a task")),
        }
    }
}

impl RunKey {
    /// The run of these numbers, as commands carry them.
    pub fn from_parts(job: u64, occurrence: u32, step: u32, index: u32, run: u32) -> Self {
        Self { task: TaskKey { job: ids::JobKey(job), occurrence, step, index }, run }
    }
}

impl std::fmt::Display for RunKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let TaskKey { job, occurrence, step, index } = self.task;
        let run = self.run;
        write!(f, "job={job} occurrence={occurrence} step={step} index={index} run={run}")
    }
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", std::net::Ipv4Addr::from(self.host), self.started)
    }
}
