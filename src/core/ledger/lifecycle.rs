//! The lifecycle of a job: submitted, released, ended, its workers freed, queued again.

use sha2::Digest as _;

use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::hourly;
use crate::core::ledger::job;
use crate::core::ledger::outcome;
use crate::core::ledger::state;
use crate::core::ledger::table;
use crate::core::shape;
use crate::core::time;
use crate::core::verdict;

type Events = Vec<outcome::Event>;

fn refused(reason: verdict::Reason, detail: impl Into<String>) -> outcome::Outcome {
    outcome::Outcome::Refused(verdict::Refusal::not_run(reason, detail))
}

impl state::Ledger {
    pub(super) fn submit(
        &mut self,
        index: ids::LogIndex,
        spec: job::Spec,
        events: &mut Events,
    ) -> outcome::Outcome {
        let digest = table::request_digest(&spec);
        if let Some(key) = self.table.find(&spec.account, &spec.key) {
            let is_same = self.table.jobs.get(&key).is_some_and(|job| job.digest == digest);
            return match is_same {
                true => outcome::Outcome::Job(key),
                false => refused(verdict::Reason::KeyReused, spec.key),
            };
        }
        if self.table.is_key_expired(&spec.account, &spec.key) {
            let reason = verdict::Reason::KeyExpired;
            return outcome::Outcome::Refused(verdict::Refusal::may_have_run(reason, spec.key));
        }
        if self.table.is_key_cancelled(&spec.account, &spec.key) {
            return refused(verdict::Reason::Cancelled, spec.key);
        }
        if let Err(refusal) = self.check_admission(&spec) {
            self.stats.count_refused(&spec.service, self.now, 1);
            return outcome::Outcome::Refused(refusal);
        }
        let key = ids::JobKey(index.0);
        self.stats.count_promised(&spec.service, spec.deadline);
        self.table.insert(key, self.new_job(spec, digest));
        events.push(outcome::Event::Queued(key));
        outcome::Outcome::Job(key)
    }

    fn check_admission(&self, spec: &job::Spec) -> Result<(), verdict::Refusal> {
        let refuse = |reason, detail: &str| Err(verdict::Refusal::not_run(reason, detail));
        let Some(account) = self.config.accounts.get(&spec.account) else {
            return refuse(verdict::Reason::Unknown, &spec.account);
        };
        if self.config.kind(&spec.service, &spec.kind).is_none() {
            let name = format!("{}/{}", spec.service, spec.kind);
            return refuse(verdict::Reason::Unknown, &name);
        }
        if spec.deadline <= self.now {
            return refuse(verdict::Reason::DeadlinePassed, "");
        }
        if self.table.waiting(&spec.account) >= account.queue_limit {
            return refuse(verdict::Reason::Overloaded, "the account's queue is full");
        }
        if self.table.answer_bytes >= table::MAX_STORED_ANSWER_BYTES {
            return refuse(verdict::Reason::Overloaded, "no room for more answers");
        }
        Ok(())
    }

    fn new_job(&self, spec: job::Spec, digest: [u8; 32]) -> table::Job {
        table::Job {
            spec,
            digest,
            submitted: self.now,
            phase: job::Phase::Queued,
            attempt: 0,
            releases: 0,
            failures: 0,
            may_have_run: false,
            cancelled: false,
            stopping: false,
            members: Vec::new(),
            last_members: Vec::new(),
            released: time::Wall(0),
            answer: Vec::new(),
            end: None,
            ended: time::Wall(0),
            category: hourly::Category::Open,
        }
    }

    pub(super) fn cancel(
        &mut self,
        account: &str,
        key: &str,
        events: &mut Events,
    ) -> outcome::Outcome {
        let Some(key) = self.table.find(account, key) else {
            return match self.table.is_key_expired(account, key) {
                true => {
                    let reason = verdict::Reason::KeyExpired;
                    outcome::Outcome::Refused(verdict::Refusal::may_have_run(reason, key))
                }
                false => {
                    self.table.cancel_key(account, key, self.now);
                    refused(verdict::Reason::Unknown, key)
                }
            };
        };
        let Some(job) = self.table.jobs.get_mut(&key) else { return outcome::Outcome::Stale };
        match job.phase {
            job::Phase::Queued => {
                let refusal = queued_refusal(job, verdict::Reason::Cancelled, "");
                self.end_job(key, job::End::Refused(refusal), events);
            }
            job::Phase::Released if !job.cancelled => {
                job.cancelled = true;
                events.push(outcome::Event::CancelRequested(job.last_attempt(key)));
            }
            _ => {}
        }
        outcome::Outcome::Job(key)
    }

    pub(super) fn release(
        &mut self,
        attempt: ids::AttemptKey,
        members: Vec<job::Member>,
        events: &mut Events,
    ) -> outcome::Outcome {
        if !self.is_releasable(attempt, &members) {
            return outcome::Outcome::Stale;
        }
        let Some(job) = self.table.jobs.get_mut(&attempt.job) else {
            return outcome::Outcome::Stale;
        };
        for member in &members {
            self.workers.allocate(member, job.spec.shape.accelerators);
        }
        job.phase = job::Phase::Released;
        job.attempt = attempt.number;
        job.releases += 1;
        job.last_members = members.clone();
        job.members = members;
        job.released = self.now;
        let account = job.spec.account.clone();
        self.table.count_waiting(&account, -1);
        events.push(outcome::Event::Released(attempt));
        outcome::Outcome::Applied
    }

    fn is_releasable(&self, attempt: ids::AttemptKey, members: &[job::Member]) -> bool {
        let Some(job) = self.table.jobs.get(&attempt.job) else { return false };
        let Some(kind) = self.config.kind(&job.spec.service, &job.spec.kind) else { return false };
        let is_next = job.phase == job::Phase::Queued && attempt.number > job.attempt;
        let is_forbidden_repeat = job.releases > 0 && !kind.repeatable;
        is_next && !is_forbidden_repeat && self.is_valid_placement(&job.spec, members)
    }

    fn is_valid_placement(&self, spec: &job::Spec, members: &[job::Member]) -> bool {
        let tasks: u64 = members.iter().map(|member| u64::from(member.tasks)).sum();
        if tasks != u64::from(spec.shape.tasks) {
            return false;
        }
        let mut seen = std::collections::BTreeSet::new();
        for member in members {
            let Some(worker) = self.workers.get(member.worker) else { return false };
            let accepts_work = self.workers.accepts_work(member.worker, &self.config);
            let fits = worker.fits(member, &spec.service, spec.shape.accelerators);
            if member.tasks == 0 || !accepts_work || !fits || !seen.insert(member.worker) {
                return false;
            }
        }
        self.is_adjacent(spec.shape.adjacency, members)
    }

    fn is_adjacent(&self, adjacency: shape::Adjacency, members: &[job::Member]) -> bool {
        let mut locations = members.iter().filter_map(|member| {
            let spec = &self.workers.get(member.worker)?.spec;
            Some((member.worker, spec.data_center.as_str(), spec.rack.as_str()))
        });
        let Some(first) = locations.next() else { return false };
        locations.all(|location| match adjacency {
            shape::Adjacency::Cell => true,
            shape::Adjacency::DataCenter => location.1 == first.1,
            shape::Adjacency::Rack => (location.1, location.2) == (first.1, first.2),
            shape::Adjacency::Worker => location.0 == first.0,
        })
    }

    pub(super) fn append_chunk(
        &mut self,
        attempt: ids::AttemptKey,
        offset: u64,
        bytes: &[u8],
    ) -> outcome::Outcome {
        let Some(job) = self.table.jobs.get_mut(&attempt.job) else {
            return outcome::Outcome::Stale;
        };
        if !job.is_running(attempt) {
            return outcome::Outcome::Stale;
        }
        let length = job.answer.len() as u64;
        if offset < length {
            return outcome::Outcome::Applied;
        }
        if offset > length || length + bytes.len() as u64 > job::MAX_ANSWER_BYTES {
            return outcome::Outcome::Stale;
        }
        job.answer.extend_from_slice(bytes);
        self.table.answer_bytes += bytes.len() as u64;
        outcome::Outcome::Applied
    }

    pub(super) fn end_attempt(
        &mut self,
        attempt: ids::AttemptKey,
        result: command::AttemptResult,
        events: &mut Events,
    ) -> outcome::Outcome {
        let key = attempt.job;
        let Some(job) = self.table.jobs.get(&key) else { return outcome::Outcome::Stale };
        if !job.is_running(attempt) {
            return outcome::Outcome::Stale;
        }
        match self.decide(job, result) {
            Decision::Done(meta) => {
                self.free(key);
                self.end_job(key, job::End::Done(meta), events);
                events.push(outcome::Event::Freed(attempt));
            }
            Decision::Refuse(refusal) => {
                self.await_stop(attempt, events);
                self.end_job(key, job::End::Refused(refusal), events);
            }
            Decision::Retry { failed, may_have_run } => {
                self.await_stop(attempt, events);
                if let Some(job) = self.table.jobs.get_mut(&key) {
                    job.failures += u32::from(failed);
                    job.may_have_run |= may_have_run;
                }
            }
        }
        outcome::Outcome::Applied
    }

    fn await_stop(&mut self, attempt: ids::AttemptKey, events: &mut Events) {
        self.table.drop_answer(attempt.job);
        if let Some(job) = self.table.jobs.get_mut(&attempt.job) {
            job.stopping = true;
        }
        events.push(outcome::Event::Stopping(attempt));
    }

    fn decide(&self, job: &table::Job, result: command::AttemptResult) -> Decision {
        let repeatable =
            self.config.kind(&job.spec.service, &job.spec.kind).is_some_and(|kind| kind.repeatable);
        let failure = match result {
            command::AttemptResult::Done(meta) => match self.check_answer(job, &meta) {
                Ok(()) => return Decision::Done(meta),
                Err(detail) => Failure::ran(verdict::Reason::BadAnswer, detail),
            },
            command::AttemptResult::Failed(detail) => Failure::ran(verdict::Reason::Failed, detail),
            command::AttemptResult::Lost(detail) => Failure::lost(detail),
            command::AttemptResult::Preempted => Failure::preempted(),
            command::AttemptResult::NotStarted => Failure::not_started(),
        };
        let exhausted = failure.failed && job.failures + 1 >= job::MAX_ATTEMPTS;
        if repeatable && !exhausted && !job.cancelled {
            return Decision::Retry {
                failed: failure.failed,
                may_have_run: failure.may_have_run(),
            };
        }
        Decision::Refuse(failure.into_refusal(job))
    }

    fn check_answer(&self, job: &table::Job, meta: &job::AnswerMeta) -> Result<(), String> {
        let limit = self
            .config
            .kind(&job.spec.service, &job.spec.kind)
            .map_or(job::MAX_ANSWER_BYTES, |kind| kind.answer_limit);
        if meta.length > limit {
            return Err(format!("{} bytes exceed the kind's {limit}", meta.length));
        }
        if job.answer.len() as u64 != meta.length {
            return Err(format!("{} of {} bytes came", job.answer.len(), meta.length));
        }
        let digest: [u8; 32] = sha2::Sha256::digest(&job.answer).into();
        match digest == meta.sha256 {
            true => Ok(()),
            false => Err("the checksum does not match".to_owned()),
        }
    }

    pub(super) fn attempt_stopped(
        &mut self,
        attempt: ids::AttemptKey,
        events: &mut Events,
    ) -> outcome::Outcome {
        let key = attempt.job;
        let Some(job) = self.table.jobs.get(&key) else { return outcome::Outcome::Stale };
        if !job.stopping || job.attempt != attempt.number {
            return outcome::Outcome::Stale;
        }
        self.free(key);
        events.push(outcome::Event::Freed(attempt));
        self.queue_again(key, events);
        outcome::Outcome::Applied
    }

    fn queue_again(&mut self, key: ids::JobKey, events: &mut Events) {
        let Some(job) = self.table.jobs.get_mut(&key) else { return };
        if job.phase != job::Phase::Released {
            return;
        }
        job.phase = job::Phase::Queued;
        let account = job.spec.account.clone();
        let cancelled = job.cancelled;
        let refusal = queued_refusal(job, verdict::Reason::Cancelled, "");
        self.table.count_waiting(&account, 1);
        if cancelled {
            self.end_job(key, job::End::Refused(refusal), events);
        } else {
            events.push(outcome::Event::Queued(key));
        }
    }

    fn free(&mut self, key: ids::JobKey) {
        let Some(job) = self.table.jobs.get_mut(&key) else { return };
        job.stopping = false;
        for member in std::mem::take(&mut job.members) {
            self.workers.free(&member, job.spec.shape.accelerators);
        }
    }

    pub(super) fn refuse(
        &mut self,
        key: ids::JobKey,
        refusal: verdict::Refusal,
        events: &mut Events,
    ) -> outcome::Outcome {
        let Some(job) = self.table.jobs.get(&key) else { return outcome::Outcome::Stale };
        if job.phase != job::Phase::Queued {
            return outcome::Outcome::Stale;
        }
        let refusal = queued_refusal(job, refusal.reason, &refusal.detail);
        self.end_job(key, job::End::Refused(refusal), events);
        outcome::Outcome::Applied
    }

    fn end_job(&mut self, key: ids::JobKey, end: job::End, events: &mut Events) {
        let now = self.now;
        let Some(job) = self.table.jobs.get_mut(&key) else { return };
        let was_queued = job.phase == job::Phase::Queued;
        let account = job.spec.account.clone();
        let due = job.spec.deadline;
        let category = end_category(&end, job.category);
        self.stats.reclassify(&job.spec.service, due, job.category, category);
        job.category = category;
        job.phase = job::Phase::Ended;
        job.end = Some(end);
        job.ended = now;
        if was_queued {
            self.table.count_waiting(&account, -1);
        }
        self.table.deadlines.remove(&(due, key));
        self.table.schedule_expiry(key, now);
        events.push(outcome::Event::Ended(key));
    }
}

/// Returns the count that includes an ended job. A job whose deadline passed is counted as late
/// already; if it ended with its answer, it remains so.
fn end_category(end: &job::End, before: hourly::Category) -> hourly::Category {
    match end {
        job::End::Done(_) if before == hourly::Category::Late => hourly::Category::Late,
        job::End::Done(_) => hourly::Category::Done,
        job::End::Refused(refusal) => match refusal.verdict {
            verdict::Verdict::NotRun => hourly::Category::Refused,
            verdict::Verdict::MayHaveRun | verdict::Verdict::Ran => hourly::Category::Uncertain,
        },
    }
}

/// Returns a refusal for a queued job: not-run, unless an earlier attempt may have run.
fn queued_refusal(job: &table::Job, reason: verdict::Reason, detail: &str) -> verdict::Refusal {
    match job.may_have_run {
        true => verdict::Refusal::may_have_run(reason, detail),
        false => verdict::Refusal::not_run(reason, detail),
    }
}

enum Decision {
    Done(job::AnswerMeta),
    Refuse(verdict::Refusal),
    Retry { failed: bool, may_have_run: bool },
}

/// The end of an attempt without an answer.
struct Failure {
    verdict: verdict::Verdict,
    reason: verdict::Reason,
    detail: String,
    failed: bool,
}

impl Failure {
    fn ran(reason: verdict::Reason, detail: String) -> Self {
        Self { verdict: verdict::Verdict::Ran, reason, detail, failed: true }
    }

    fn lost(detail: String) -> Self {
        let verdict = verdict::Verdict::MayHaveRun;
        Self { verdict, reason: verdict::Reason::WorkerLost, detail, failed: true }
    }

    fn preempted() -> Self {
        let verdict = verdict::Verdict::MayHaveRun;
        let detail = "stopped".to_owned();
        Self { verdict, reason: verdict::Reason::WorkerLost, detail, failed: false }
    }

    fn not_started() -> Self {
        let verdict = verdict::Verdict::NotRun;
        let detail = "never started".to_owned();
        Self { verdict, reason: verdict::Reason::WorkerLost, detail, failed: true }
    }

    fn may_have_run(&self) -> bool {
        self.verdict != verdict::Verdict::NotRun
    }

    fn into_refusal(self, job: &table::Job) -> verdict::Refusal {
        let reason = if job.cancelled { verdict::Reason::Cancelled } else { self.reason };
        let verdict = match self.verdict {
            verdict::Verdict::NotRun if job.may_have_run => verdict::Verdict::MayHaveRun,
            verdict => verdict,
        };
        verdict::Refusal { verdict, reason, detail: self.detail }
    }
}
