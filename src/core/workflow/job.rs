//! The state of one job.

use std::collections::BTreeMap;

use crate::core::workflow::command;
use crate::core::workflow::model;
use crate::core::workflow::spans;
use crate::macros;

macros::copy_types! {
    /// The phase of a job.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Phase {
        /// No task is placed, and none is known to have started.
        Pending,
        /// Tasks are placed or have started.
        Running,
        /// All tasks are done.
        Completed,
        /// A task has failed as often as the queue permits.
        Failed,
        /// The caller has cancelled the job.
        Cancelled,
    }

    /// The state of a task.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum TaskState {
        /// The task has no current run.
        Waiting,
        /// The current run is placed on this worker, and may have started there.
        At(model::Incarnation),
        /// The task is done.
        Done,
    }
}

macros::value_types! {
    /// The replicated state of one task.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Task {
        /// The number of the last run; 0 before the first.
        pub run: u32,
        /// The number of failed runs; those of a gang are counted at its first task.
        pub failures: u32,
        /// The number of the last run that was counted as failed.
        pub failed_run: u32,
        /// The state of the task.
        pub state: TaskState,
        /// The last checkpoint; empty for none.
        pub checkpoint: String,
    }

    /// The tasks of one step. Only those that have begun and are not done have an entry.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Tasks {
        /// The number of tasks.
        count: u32,
        /// The tasks that have begun and are not done, by index.
        open: BTreeMap<u32, Task>,
        /// The indices of the tasks that have begun. Those without an entry are done.
        begun: spans::Spans,
    }

    /// One execution of all steps of a job.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Occurrence {
        /// The tasks of each step.
        pub steps: Vec<Tasks>,
    }

    /// The replicated state of one job. It takes space for what runs and for what has ended out of
    /// order, however many tasks and occurrences the job has.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Job {
        /// The submission that was accepted. Once the job has ended, its texts are empty that only a
        /// start needs.
        pub submission: command::Submission,
        /// The time of acceptance, in milliseconds since 1970-01-01 UTC.
        pub accepted: u64,
        /// The phase of the job.
        pub phase: Phase,
        /// The time of its end, in milliseconds since 1970-01-01 UTC; 0 while it is active.
        pub ended: u64,
        /// The occurrences that have begun and are not done, by number. Those of a job that has
        /// ended are the ones with placed tasks.
        pub occurrences: BTreeMap<u32, Occurrence>,
        /// The numbers of the occurrences that have begun. Those without an entry are done.
        begun: spans::Spans,
        /// The number of occurrences that are done.
        pub finished: u32,
        /// Whether a run that has ended is known to have started.
        pub started: bool,
        /// The number of tasks that have an entry.
        open_tasks: u32,
    }
}

/// The state of a task that has not begun.
pub static NEW_TASK: Task = Task::new(TaskState::Waiting);

/// The state of a task that is done.
static DONE_TASK: Task = Task::new(TaskState::Done);

/// The memory of a job, of its place in the indices and of what describes a step, in bytes.
const JOB_BYTES: u64 = 1536;
const STEP_BYTES: u64 = 256;

/// The memory of an occurrence that has begun and of each step in it, in bytes. The first task of a
/// step takes a node of a tree.
const OCCURRENCE_BYTES: u64 = 128;
const BEGUN_STEP_BYTES: u64 = 1024;

/// The memory of a task that has an entry, and of a range, in bytes.
const TASK_BYTES: u64 = 160;
const RANGE_BYTES: u64 = 16;

/// Returns the memory that a submission takes, in bytes. It does not depend on how many tasks the job
/// has.
pub fn submission_size(submission: &command::Submission) -> u64 {
    let step_size = |step: &model::Step| {
        let texts = [step.constraint.as_ref(), step.affinity.as_ref(), Some(&step.image)];
        let texts = texts.into_iter().flatten().map(String::len).sum::<usize>();
        STEP_BYTES + (texts + step.after.len() * size_of::<u32>()) as u64
    };
    let command::Submission { queue, id, account, pool, workflow, .. } = submission;
    // The indices hold the names once more.
    let texts = 2 * (queue.len() + id.len()) + account.len() + pool.len() + workflow.spec.len();
    JOB_BYTES + texts as u64 + workflow.steps.iter().map(step_size).sum::<u64>()
}

impl Task {
    const fn new(state: TaskState) -> Self {
        Self { run: 0, failures: 0, failed_run: 0, state, checkpoint: String::new() }
    }

    /// Whether the task has a run that may not have ended.
    pub fn is_placed(&self) -> bool {
        matches!(self.state, TaskState::At(_))
    }
}

impl Tasks {
    /// Tasks of which none has begun.
    pub fn new(count: u32) -> Self {
        Self { count, open: BTreeMap::new(), begun: spans::Spans::default() }
    }

    /// The state of a task; none if it does not exist.
    pub fn get(&self, index: u32) -> Option<&Task> {
        if index >= self.count {
            return None;
        }
        let begun = || if self.begun.contains(index) { &DONE_TASK } else { &NEW_TASK };
        Some(self.open.get(&index).unwrap_or_else(begun))
    }

    /// The entry of a task, which is made if the task has not begun; none if the task is done or does
    /// not exist.
    pub(super) fn open_mut(&mut self, index: u32) -> Option<&mut Task> {
        if !self.open.contains_key(&index) {
            if index >= self.count || self.begun.contains(index) {
                return None;
            }
            self.begun.insert(index, index + 1);
        }
        Some(self.open.entry(index).or_insert_with(|| Task::new(TaskState::Waiting)))
    }

    /// Sets the state of a task, as a snapshot has it.
    pub fn restore(&mut self, index: u32, task: Task) {
        if task == NEW_TASK {
            return;
        }
        self.begun.insert(index, index + 1);
        if task.state != TaskState::Done {
            self.open.insert(index, task);
        }
    }

    /// Marks a task as done.
    pub(super) fn complete(&mut self, index: u32) {
        self.open.remove(&index);
        self.begun.insert(index, index + 1);
    }

    /// Marks all tasks as done.
    pub(super) fn complete_all(&mut self) {
        self.open.clear();
        self.begun.insert(0, self.count);
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.open.is_empty() && self.begun.first_gap(0) == self.count
    }

    /// The tasks that have begun and are not done, by index.
    pub fn open(&self) -> impl Iterator<Item = (u32, &Task)> + Clone {
        self.open.iter().map(|(index, task)| (*index, task))
    }

    fn open_waiting(&self) -> impl Iterator<Item = u32> + Clone {
        self.open().filter(|(_, task)| task.state == TaskState::Waiting).map(|(index, _)| index)
    }

    /// Whether any task waits.
    pub fn has_waiting(&self) -> bool {
        self.begun.first_gap(0) < self.count || self.open_waiting().next().is_some()
    }

    /// The number of tasks.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// The number of tasks that wait.
    pub fn waiting_count(&self) -> u32 {
        self.count - self.begun.count() + self.open_waiting().count() as u32
    }

    /// The number of tasks that are done.
    pub fn done_count(&self) -> u32 {
        self.begun.count() - self.open.len() as u32
    }

    /// The indices of the tasks that have not begun, in ascending order.
    pub fn new_tasks(&self) -> impl Iterator<Item = u32> + Clone {
        self.begun.gaps(self.count)
    }

    /// The indices of the tasks that wait: those that have begun, then the others.
    pub fn waiting(&self) -> impl Iterator<Item = u32> + Clone {
        self.open_waiting().chain(self.new_tasks())
    }
}

impl Occurrence {
    /// The number of tasks that have an entry.
    fn open_tasks(&self) -> u32 {
        self.steps.iter().map(|tasks| tasks.open.len() as u32).sum()
    }

    fn is_done(&self) -> bool {
        self.steps.iter().all(Tasks::is_done)
    }

    fn has_begun(&self) -> bool {
        self.steps.iter().any(|tasks| tasks.begun.ranges() > 0)
    }
}

impl Job {
    /// A job that is accepted at this time, in milliseconds since 1970-01-01 UTC.
    pub fn new(submission: command::Submission, accepted: u64) -> Self {
        Self {
            submission,
            accepted,
            phase: Phase::Pending,
            ended: 0,
            occurrences: BTreeMap::new(),
            begun: spans::Spans::default(),
            finished: 0,
            started: false,
            open_tasks: 0,
        }
    }

    /// Whether the job has not ended, so that its tasks may start.
    pub fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Pending | Phase::Running)
    }

    /// The state of a task; none if its occurrence is done or it does not exist. Of a job that has
    /// ended, only placed tasks are known.
    pub fn task(&self, key: model::TaskKey) -> Option<&Task> {
        let Some(occurrence) = self.occurrences.get(&key.occurrence) else {
            let step = self.submission.workflow.steps.get(key.step as usize)?;
            let waits = self.is_active() && self.has_not_begun(key.occurrence);
            return (waits && key.index < step.count).then_some(&NEW_TASK);
        };
        let tasks = occurrence.steps.get(key.step as usize)?;
        if self.is_active() { tasks.get(key.index) } else { tasks.open.get(&key.index) }
    }

    /// Whether the job has the occurrence and nothing has happened to it.
    pub fn has_not_begun(&self, occurrence: u32) -> bool {
        occurrence < self.submission.workflow.occurrences() && !self.begun.contains(occurrence)
    }

    /// The first occurrence from `from` on that has not begun; the number of occurrences if there is
    /// none.
    pub fn next_new(&self, from: u32) -> u32 {
        self.begun.first_gap(from).min(self.submission.workflow.occurrences())
    }

    /// The first occurrence that is not done; the number of occurrences if there is none.
    pub fn first_not_done(&self) -> u32 {
        let begun = self.occurrences.keys().next().copied();
        begun.unwrap_or(u32::MAX).min(self.next_new(0))
    }

    /// The occurrences that have not begun, in ascending order.
    pub fn new_occurrences(&self) -> impl Iterator<Item = u32> + Clone {
        self.begun.gaps(self.submission.workflow.occurrences())
    }

    /// The number of occurrences that have not begun.
    pub fn new_count(&self) -> u32 {
        self.submission.workflow.occurrences() - self.begun.count()
    }

    /// The number of tasks that have an entry.
    pub fn open_tasks(&self) -> u32 {
        self.open_tasks
    }

    /// The memory of the job in bytes, by estimate.
    pub fn size(&self) -> u64 {
        submission_size(&self.submission) + self.begun_size()
    }

    /// The memory of what has begun of the job in bytes, by estimate.
    pub(super) fn begun_size(&self) -> u64 {
        let steps = self.submission.workflow.steps.len() as u64;
        let occurrence = OCCURRENCE_BYTES + steps * BEGUN_STEP_BYTES;
        self.occurrences.len() as u64 * occurrence
            + u64::from(self.open_tasks) * TASK_BYTES
            + self.begun.ranges() as u64 * RANGE_BYTES
    }

    /// The number of ranges that the job takes to tell which occurrences have begun.
    pub fn ranges(&self) -> usize {
        self.begun.ranges()
    }

    /// Marks the occurrences from `first` to the one before `end` as done, as a snapshot has them.
    pub fn restore_done(&mut self, first: u32, end: u32) {
        self.begun.insert(first, end);
    }

    /// Sets the state of an occurrence that is not done, as a snapshot has it.
    pub fn restore_occurrence(&mut self, number: u32, occurrence: Occurrence) {
        if occurrence.has_begun() {
            self.begun.insert(number, number + 1);
            self.open_tasks += occurrence.open_tasks();
            self.occurrences.insert(number, occurrence);
        }
    }

    /// Returns the outcome of a change of one occurrence, which begins with it if it has not.
    /// `None` if the occurrence is done or does not exist.
    pub(super) fn change<T>(
        &mut self,
        number: u32,
        change: impl FnOnce(&mut Occurrence) -> T,
    ) -> Option<T> {
        if !self.occurrences.contains_key(&number) {
            if !self.has_not_begun(number) {
                return None;
            }
            let steps = &self.submission.workflow.steps;
            let steps = steps.iter().map(|step| Tasks::new(step.count)).collect();
            self.occurrences.insert(number, Occurrence { steps });
            self.begun.insert(number, number + 1);
        }
        let occurrence = self.occurrences.get_mut(&number)?;
        let before = occurrence.open_tasks();
        let outcome = change(occurrence);
        self.open_tasks = self.open_tasks - before + occurrence.open_tasks();
        if occurrence.is_done() {
            self.occurrences.remove(&number);
            self.finished += 1;
        }
        Some(outcome)
    }

    /// Drops what only an active job needs: the tasks without a run, and the texts that a start
    /// carries. The steps remain, since runs that are still to be stopped refer to them.
    pub(super) fn drop_inactive(&mut self) {
        for occurrence in self.occurrences.values_mut() {
            for tasks in &mut occurrence.steps {
                tasks.open.retain(|_, task| task.is_placed());
                tasks.begun = spans::Spans::default();
            }
        }
        self.occurrences.retain(|_, occurrence| occurrence.open_tasks() > 0);
        self.begun = spans::Spans::default();
        self.open_tasks = self.occurrences.values().map(Occurrence::open_tasks).sum();
        let workflow = &mut self.submission.workflow;
        workflow.spec = String::new();
        for step in &mut workflow.steps {
            step.after = Vec::new();
            (step.constraint, step.affinity, step.image) = (None, None, String::new());
        }
    }

    /// The description of a step.
    pub fn step(&self, step: u32) -> &model::Step {
        &self.submission.workflow.steps[step as usize]
    }

    /// Whether all steps that this one depends on are done in the occurrence.
    pub fn is_ready(&self, occurrence: &Occurrence, step: u32) -> bool {
        let done = |earlier: &u32| occurrence.steps[*earlier as usize].is_done();
        self.step(step).after.iter().all(done)
    }

    /// The time at which an occurrence is due, in milliseconds since 1970-01-01 UTC; 0 for a job
    /// without a schedule.
    pub fn due(&self, occurrence: u32) -> u64 {
        self.submission.workflow.schedule.as_ref().map_or(0, |schedule| schedule.due(occurrence))
    }

    /// The number of occurrences that are due at a time in milliseconds since 1970-01-01 UTC.
    pub fn due_count(&self, wall: u64) -> u32 {
        let Some(schedule) = &self.submission.workflow.schedule else { return 1 };
        let count = self.submission.workflow.occurrences();
        let Some(passed) = wall.checked_sub(schedule.first) else { return 0 };
        let due = passed.checked_div(schedule.interval).map_or(u64::MAX, |due| due + 1);
        due.min(u64::from(count)) as u32
    }

    /// The next time at which an occurrence is due, in milliseconds since 1970-01-01 UTC; none if all
    /// are due.
    pub fn next_due(&self, wall: u64) -> Option<u64> {
        let next = self.due_count(wall);
        (next < self.submission.workflow.occurrences()).then(|| self.due(next))
    }

    /// Whether any run of the job may not have ended.
    pub fn has_runs(&self) -> bool {
        self.placed().next().is_some()
    }

    /// The tasks with a run that may not have ended: occurrence, step, index and state.
    pub fn placed(&self) -> impl Iterator<Item = (u32, u32, u32, &Task)> {
        self.open().filter(|(.., task)| task.is_placed())
    }

    /// The tasks that have begun and are not done: occurrence, step, index and state.
    pub fn open(&self) -> impl Iterator<Item = (u32, u32, u32, &Task)> {
        self.occurrences.iter().flat_map(|(number, occurrence)| {
            occurrence.steps.iter().zip(0..).flat_map(move |(tasks, step)| {
                tasks.open().map(move |(index, task)| (*number, step, index, task))
            })
        })
    }
}
