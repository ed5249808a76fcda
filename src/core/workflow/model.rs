//! Workflows as callers submit them, and the identifiers of tasks, runs and workers' incarnations.

use crate::core::ids;
use crate::macros;

/// The most steps of one workflow.
pub const MAX_STEPS: usize = 64;

/// The most tasks of one step.
pub const MAX_STEP_TASKS: u32 = 4096;

/// The most tasks of one workflow, counted over all its occurrences.
pub const MAX_WORKFLOW_TASKS: u64 = MAX_STEPS as u64 * MAX_STEP_TASKS as u64;

/// The longest identifier of a job, in bytes.
pub const MAX_ID_BYTES: usize = 256;

/// The longest text that a job hands to each task, in bytes.
pub const MAX_SPEC_BYTES: usize = 4000;

macros::value_types! {
    /// A job as its caller describes it.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Workflow {
        /// The text that each task is started with.
        pub spec: String,
        /// The steps, each with dependencies only on earlier ones.
        pub steps: Vec<Step>,
        /// The times at which the job repeats; none for a job that runs once, as soon as possible.
        pub schedule: Option<Schedule>,
    }

    /// A group of tasks with the same requirements.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct Step {
        /// The number of tasks.
        pub count: u32,
        /// The processor time that a task needs, in thousandths of a core.
        pub cpu: u32,
        /// The memory that a task needs, in MB.
        pub memory: u32,
        /// The number of accelerators that a task needs.
        pub accelerators: u32,
        /// The run time of a task as the caller estimates it, in milliseconds.
        pub estimate: u32,
        /// The indices of the steps whose tasks must all be done before this one starts.
        pub after: Vec<u32>,
        /// Whether the tasks form a gang, which runs with all its members or not at all.
        pub gang: bool,
        /// Whether the gang runs slower when it spans more than one rack.
        pub one_rack: bool,
        /// A label that the worker must have.
        pub constraint: Option<String>,
        /// The rack that holds the step's data, which is preferred.
        pub affinity: Option<String>,
        /// The most tasks of one occurrence on the same worker; 0 for no limit.
        pub worker_limit: u32,
        /// Whether the tasks save checkpoints.
        pub checkpoints: bool,
        /// Whether copies of a task may run at the same time.
        pub speculative: bool,
        /// Whether the tasks run until the job is cancelled.
        pub long_running: bool,
        /// The image that the tasks run; empty if the caller names none.
        pub image: String,
        /// The tail latency that a long-running task must stay below, in milliseconds; 0 for none.
        pub latency: u32,
        /// Whether the tasks use only capacity that other work leaves free.
        pub best_effort: bool,
        /// The most long-running tasks that the scheduler may have stopped at the same time.
        pub disruptions: u32,
    }

    /// The times at which the occurrences of a job are due.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Schedule {
        /// The time at which the first is due, in milliseconds since 1970-01-01 UTC.
        pub first: u64,
        /// The time between two occurrences, in milliseconds.
        pub interval: u64,
        /// The number of occurrences.
        pub count: u32,
    }

    /// The name by which backend servers know a task.
    #[derive(PartialOrd, Ord, bincode::Encode, bincode::Decode)]
    pub struct TaskName {
        /// The caller's identifier of the job.
        pub id: String,
        /// The number of the occurrence, from 0.
        pub occurrence: u32,
        /// The number of the step, from 0.
        pub step: u32,
        /// The number of the task within its step, from 0.
        pub index: u32,
    }
}

macros::copy_types! {
    /// One incarnation of a worker, from its start to its end. A worker that restarts is another
    /// incarnation, even under the same name and address.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Incarnation {
        /// The IPv4 address of the host that its agent runs on.
        pub host: u32,
        /// The time of its start by its own clock, in milliseconds since 1970-01-01 UTC.
        pub started: u64,
    }

    /// The key of a task.
    pub struct TaskKey {
        /// The key of the job.
        pub job: ids::JobKey,
        /// The number of the occurrence, from 0.
        pub occurrence: u32,
        /// The number of the step, from 0.
        pub step: u32,
        /// The number of the task within its step, from 0.
        pub index: u32,
    }

    /// The key of a run: one start of a task.
    pub struct RunKey {
        /// The key of the task.
        pub task: TaskKey,
        /// The number of the run, from 1; the members of a gang share it.
        pub run: u32,
    }

    /// The reason why a run ended.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum EndReason {
        /// The task completed its work.
        Done,
        /// The task failed.
        Failed,
        /// The scheduler ordered the stop.
        Stopped,
        /// The worker's lease expired.
        Lapsed,
        /// Another member of the gang ended.
        Broken,
        /// The other members of the gang did not start in time.
        Alone,
        /// The worker was lost.
        Lost,
        /// The run never started and never will.
        Refused,
        /// The worker was lost, and no report to the leader had listed the run.
        Unstarted,
    }
}

impl EndReason {
    /// Whether the run is known to have started.
    pub fn has_started(self) -> bool {
        !matches!(self, Self::Refused | Self::Unstarted)
    }
}

impl RunKey {
    /// The key of the run's gang, which is that of its first member.
    pub fn gang_key(self) -> Self {
        Self { task: TaskKey { index: 0, ..self.task }, ..self }
    }
}

impl Schedule {
    /// The time at which an occurrence is due, in milliseconds since 1970-01-01 UTC.
    pub fn due(&self, occurrence: u32) -> u64 {
        self.first.saturating_add(self.interval.saturating_mul(u64::from(occurrence)))
    }
}

impl Workflow {
    /// The number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.as_ref().map_or(1, |schedule| schedule.count.max(1))
    }

    /// Sorts the dependencies of each step and names each once.
    pub fn normalize(&mut self) {
        for step in &mut self.steps {
            step.after.sort_unstable();
            step.after.dedup();
        }
    }

    /// The reason why the workflow is invalid, as a message for its caller; none if it is valid.
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
    /// The key made of the numbers that commands carry.
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
