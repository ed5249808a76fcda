//! The registry of all jobs, and the rules by which each command changes it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::ids;
use crate::core::time;
use crate::core::workflow::command;
use crate::core::workflow::directory;
use crate::core::workflow::job;
use crate::core::workflow::model;

/// The time that an ended job, its identifier and the cancel of an unknown job stay known: callers
/// resend and ask for minutes, and an entry may be suspended before it passes on a submission.
pub const RETENTION: time::Millis = time::Millis::from_secs(3600);

/// The most cancels of unknown jobs that are remembered; the earliest are forgotten first. A
/// submission that a cancel has overtaken arrives within seconds.
pub const MAX_EARLY_CANCELS: usize = 16_384;

/// The memory of the cancel of an unknown job without its names, in bytes.
const CANCEL_BYTES: u64 = 384;

/// The most ended jobs that [`Registry::time_to_free`] looks at.
const MAX_EXPIRIES: usize = 4096;

/// The replicated state of workflows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Registry {
    /// The configuration; none before the first [`command::Command::Configure`].
    pub directory: Option<directory::Directory>,
    /// All jobs that have not expired.
    pub jobs: BTreeMap<ids::JobKey, job::Job>,
    /// The jobs by the caller's identifier, then by the address of the queue.
    by_id: BTreeMap<String, BTreeMap<String, ids::JobKey>>,
    /// The keys of the jobs that have not ended.
    active: BTreeSet<ids::JobKey>,
    /// Ended jobs, ordered by when they ended.
    by_end: BTreeSet<(u64, ids::JobKey)>,
    /// The times of cancels whose job was unknown, by queue address and caller's identifier. Such a
    /// job never runs, should its submission still arrive.
    early_cancels: BTreeMap<(String, String), u64>,
    /// The keys of `early_cancels`, ordered by time.
    by_cancel: BTreeSet<(u64, (String, String))>,
    /// The memory of all jobs and cancels in bytes, by estimate.
    size: u64,
}

impl Registry {
    /// Applies the command of the log entry at `index`, proposed at `at`, and appends the changes
    /// to `events`.
    pub fn apply(
        &mut self,
        index: ids::LogIndex,
        at: time::Wall,
        command: command::Command,
        events: &mut Vec<command::Event>,
    ) -> command::Outcome {
        self.expire(at);
        match command {
            command::Command::Configure(directory) => self.configure(directory, events),
            command::Command::Submit(submission) => self.submit(index, at, submission, events),
            command::Command::Cancel(queue, id) => self.cancel(at, &queue, &id, events),
            command::Command::Place(placements) => {
                for placement in placements {
                    self.place_run(&placement, events);
                }
                command::Outcome::Applied
            }
            command::Command::End(endings) => {
                for ending in endings {
                    let (key, reason) = (ending.key(), ending.reason);
                    self.end_run(at, ending, events);
                    events.push(command::Event::Ended(key, reason));
                }
                command::Outcome::Applied
            }
        }
    }

    /// The job with a caller's identifier in the queue at this address.
    pub fn find(&self, queue: &str, id: &str) -> Option<ids::JobKey> {
        self.by_id.get(id)?.get(queue).copied()
    }

    /// The key of a task that a worker names.
    pub fn find_task(&self, name: &model::TaskName) -> Option<model::TaskKey> {
        let job = *self.by_id.get(&name.id)?.values().next()?;
        let &model::TaskName { occurrence, step, index, .. } = name;
        Some(model::TaskKey { job, occurrence, step, index })
    }

    /// The jobs that have not ended.
    pub fn active_jobs(&self) -> impl Iterator<Item = (ids::JobKey, &job::Job)> {
        self.active.iter().map(|key| (*key, &self.jobs[key]))
    }

    /// The number of jobs that have not ended.
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Inserts a job, either new or from a snapshot, and indexes it.
    pub fn restore(&mut self, key: ids::JobKey, mut job: job::Job) {
        if !job.is_active() {
            job.drop_inactive();
        }
        let submission = &job.submission;
        let queues = self.by_id.entry(submission.id.clone()).or_default();
        queues.insert(submission.queue.clone(), key);
        match job.is_active() {
            true => self.active.insert(key),
            false => self.by_end.insert((job.ended, key)),
        };
        self.size += job.size();
        self.jobs.insert(key, job);
    }

    /// The memory of all jobs and cancels in bytes, by estimate.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// The time until this much memory, in bytes, is free because ended jobs have expired. Active jobs
    /// may end earlier.
    pub fn time_to_free(&self, bytes: u64, now: time::Wall) -> time::Millis {
        let mut freed = 0;
        for (ended, key) in self.by_end.iter().take(MAX_EXPIRIES) {
            freed += self.jobs[key].size();
            if freed >= bytes {
                return time::Wall(*ended) + RETENTION - now;
            }
        }
        RETENTION
    }

    /// The cancels of unknown jobs: queue address, caller's identifier and time.
    pub fn early_cancels(&self) -> impl Iterator<Item = (&str, &str, u64)> {
        let cancels = self.early_cancels.iter();
        cancels.map(|((queue, id), at)| (queue.as_str(), id.as_str(), *at))
    }

    /// Inserts the cancel of an unknown job, either new or from a snapshot.
    pub fn restore_cancel(&mut self, queue: String, id: String, at: u64) {
        self.remove_cancel(&queue, &id);
        let name = (queue, id);
        self.size += cancel_size(&name);
        self.by_cancel.insert((at, name.clone()));
        self.early_cancels.insert(name, at);
        if self.by_cancel.len() > MAX_EARLY_CANCELS
            && let Some((_, first)) = self.by_cancel.pop_first()
        {
            self.size -= cancel_size(&first);
            self.early_cancels.remove(&first);
        }
    }

    /// Removes the cancel of an unknown job. Returns whether there was one.
    fn remove_cancel(&mut self, queue: &str, id: &str) -> bool {
        let name = (queue.to_owned(), id.to_owned());
        let Some(at) = self.early_cancels.remove(&name) else { return false };
        self.size -= cancel_size(&name);
        self.by_cancel.remove(&(at, name))
    }

    /// Removes the jobs that ended, and the cancels of unknown jobs that came, longer than
    /// [`RETENTION`] before `at`.
    fn expire(&mut self, at: time::Wall) {
        while let Some((cancelled, _)) = self.by_cancel.first()
            && time::Wall(*cancelled) + RETENTION <= at
            && let Some((_, name)) = self.by_cancel.pop_first()
        {
            self.size -= cancel_size(&name);
            self.early_cancels.remove(&name);
        }
        while let Some((ended, key)) = self.by_end.first().copied() {
            if time::Wall(ended) + RETENTION > at {
                return;
            }
            self.by_end.pop_first();
            let Some(job) = self.jobs.remove(&key) else { continue };
            self.size -= job.size();
            if let Some(queues) = self.by_id.get_mut(&job.submission.id) {
                queues.remove(&job.submission.queue);
                if queues.is_empty() {
                    self.by_id.remove(&job.submission.id);
                }
            }
        }
    }

    fn configure(
        &mut self,
        directory: directory::Directory,
        events: &mut Vec<command::Event>,
    ) -> command::Outcome {
        if let Some(error) = directory.validation_error() {
            return command::Outcome::Invalid(error);
        }
        let current = self.directory.as_ref().map(|current| current.version);
        if current.is_none_or(|current| current < directory.version) {
            events.push(command::Event::Configured(directory.version));
            self.directory = Some(directory);
        }
        command::Outcome::Applied
    }

    fn submit(
        &mut self,
        index: ids::LogIndex,
        at: time::Wall,
        submission: command::Submission,
        events: &mut Vec<command::Event>,
    ) -> command::Outcome {
        if let Some(known) = self.find(&submission.queue, &submission.id) {
            return command::Outcome::Accepted(known.0);
        }
        let key = ids::JobKey(index.0);
        let is_cancelled = self.remove_cancel(&submission.queue, &submission.id);
        self.restore(key, job::Job::new(submission, at.0));
        events.push(command::Event::Submitted(key));
        if is_cancelled {
            self.cancel_job(at, key, events);
        }
        command::Outcome::Accepted(key.0)
    }

    fn cancel(
        &mut self,
        at: time::Wall,
        queue: &str,
        id: &str,
        events: &mut Vec<command::Event>,
    ) -> command::Outcome {
        let Some(key) = self.find(queue, id) else {
            self.restore_cancel(queue.to_owned(), id.to_owned(), at.0);
            return command::Outcome::Unknown;
        };
        if self.jobs[&key].is_active() {
            self.cancel_job(at, key, events);
            events.push(command::Event::Stopping(key));
        }
        command::Outcome::Applied
    }

    fn cancel_job(&mut self, at: time::Wall, key: ids::JobKey, events: &mut Vec<command::Event>) {
        self.size -= self.jobs[&key].size();
        self.finish_job(at, key, job::Phase::Cancelled, events);
        self.size += self.jobs[&key].size();
    }

    fn place_run(&mut self, placement: &command::Placement, events: &mut Vec<command::Event>) {
        let run = placement.key();
        let at = job::TaskState::At(placement.incarnation);
        let active = self.jobs.get_mut(&run.task.job).filter(|job| job.is_active());
        let task = active.as_ref().and_then(|job| job.task(run.task));
        if task.is_some_and(|task| task.run == placement.run && task.state == at) {
            // A repeated proposal of the current run changes nothing.
            return;
        }
        let may_start =
            |task: &job::Task| task.state == job::TaskState::Waiting && placement.run > task.run;
        let placed = task.is_some_and(may_start);
        if placed && let Some(job) = active {
            let before = job.begun_size();
            job.change(run.task.occurrence, |occurrence| {
                let tasks = &mut occurrence.steps[run.task.step as usize];
                if let Some(task) = tasks.open_mut(run.task.index) {
                    task.run = placement.run;
                    task.state = at;
                }
            });
            job.phase = job::Phase::Running;
            self.size = self.size - before + job.begun_size();
        }
        events.push(match placed {
            true => command::Event::Placed(run, placement.incarnation),
            false => command::Event::PlacementRejected(run),
        });
    }

    fn end_run(
        &mut self,
        at: time::Wall,
        ending: command::Ending,
        events: &mut Vec<command::Event>,
    ) {
        let run = ending.key();
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let current = |task: &job::Task| task.run == run.run && task.is_placed();
        if !job.task(run.task).is_some_and(current) {
            return;
        }
        job.started |= ending.reason.has_started();
        self.size -= job.size();
        match ending.reason {
            model::EndReason::Done => self.complete_run(at, run, events),
            reason => self.interrupt_run(at, run, reason, ending.checkpoint, events),
        }
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        if !job.is_active() {
            job.drop_inactive();
        } else if !job.started && !job.has_runs() {
            job.phase = job::Phase::Pending;
        }
        self.size += job.size();
    }

    /// Marks the task of a run as done, and with it all tasks of its gang.
    fn complete_run(
        &mut self,
        at: time::Wall,
        run: model::RunKey,
        events: &mut Vec<command::Event>,
    ) {
        let key = run.task.job;
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let gang = job.step(run.task.step).gang;
        job.change(run.task.occurrence, |occurrence| {
            let tasks = &mut occurrence.steps[run.task.step as usize];
            match gang {
                true => tasks.complete_all(),
                false => tasks.complete(run.task.index),
            }
        });
        if job.is_active() && job.finished == job.submission.workflow.occurrences() {
            self.finish_job(at, key, job::Phase::Completed, events);
        }
    }

    /// Returns the task of a run that ended before its work was done to waiting, and counts a
    /// failure as an attempt.
    fn interrupt_run(
        &mut self,
        at: time::Wall,
        run: model::RunKey,
        reason: model::EndReason,
        checkpoint: String,
        events: &mut Vec<command::Event>,
    ) {
        let key = run.task.job;
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let step = job.step(run.task.step);
        let (gang, long_running) = (step.gang, step.long_running);
        let attempts = job.submission.attempts.max(1);
        let failures = job.change(run.task.occurrence, |occurrence| {
            let tasks = &mut occurrence.steps[run.task.step as usize];
            interrupt_task(tasks, run, gang, reason, checkpoint)
        });
        let exhausted = failures.flatten().is_some_and(|failures| failures >= attempts);
        if exhausted && !long_running && job.is_active() {
            self.finish_job(at, key, job::Phase::Failed, events);
            events.push(command::Event::Stopping(key));
        }
    }

    /// Ends a job. The caller updates [`Registry::size`].
    fn finish_job(
        &mut self,
        at: time::Wall,
        key: ids::JobKey,
        phase: job::Phase,
        events: &mut Vec<command::Event>,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.phase = phase;
        job.ended = at.0;
        job.drop_inactive();
        self.active.remove(&key);
        self.by_end.insert((at.0, key));
        events.push(command::Event::Finished(key));
    }
}

fn cancel_size((queue, id): &(String, String)) -> u64 {
    CANCEL_BYTES + 2 * (queue.len() + id.len()) as u64
}

/// Returns the task of an interrupted run to waiting. Returns the number of failures that count
/// against the attempts of the task or gang if the run failed.
fn interrupt_task(
    tasks: &mut job::Tasks,
    run: model::RunKey,
    gang: bool,
    reason: model::EndReason,
    checkpoint: String,
) -> Option<u32> {
    let index = run.task.index;
    tasks.open_mut(index)?.state = job::TaskState::Waiting;
    if !checkpoint.is_empty() {
        // The checkpoint of one member is valid for the whole gang.
        let members = if gang { 0..tasks.count() } else { index..index + 1 };
        for member in members {
            if let Some(task) = tasks.open_mut(member) {
                task.checkpoint.clone_from(&checkpoint);
            }
        }
    }
    if reason != model::EndReason::Failed {
        return None;
    }
    let counted = tasks.open_mut(if gang { 0 } else { index })?;
    if counted.failed_run < run.run {
        // A gang's run counts as one failure, however many of its members report it.
        counted.failed_run = run.run;
        counted.failures += 1;
    }
    Some(counted.failures)
}
