//! The replicated state, and the methods that apply commands to it.

use std::collections::BTreeMap;

use crate::core::account;
use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::hourly;
use crate::core::ledger::job;
use crate::core::ledger::outcome;
use crate::core::ledger::table;
use crate::core::ledger::tickets;
use crate::core::ledger::workers;
use crate::core::placement::feasible;
use crate::core::time;
use crate::core::verdict;
use crate::core::workflow;

/// The most entry processes whose last report of refusals is remembered.
const MAX_REPORTING_ENTRIES: usize = 1024;

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// The latest time of all applied entries, so that it never decreases.
    pub now: time::Wall,
    /// The configuration in force.
    pub config: account::Config,
    /// The control replicas set by the last ticket that names them; empty before the first.
    pub replicas: Vec<(ids::ReplicaKey, String)>,
    /// The accepted tickets.
    pub tickets: tickets::Tickets,
    /// The workers.
    pub workers: workers::Workers,
    /// The jobs.
    pub table: table::Table,
    /// The hourly counts of the status page.
    pub stats: hourly::Stats,
    /// The number and time of the last report of refusals, by the identity of the entry process.
    pub reports: BTreeMap<u64, (u64, time::Wall)>,
    /// The workflows and their configuration.
    pub workflows: workflow::registry::Registry,
}

impl Ledger {
    /// Applies the entry at log index `index`, appends the changes to `events` and returns the
    /// outcome for the proposer.
    pub fn apply(
        &mut self,
        index: ids::LogIndex,
        entry: command::Entry,
        events: &mut Vec<outcome::Event>,
    ) -> outcome::Outcome {
        self.advance_time(entry.at);
        match entry.command {
            command::Command::Clock => outcome::Outcome::Applied,
            command::Command::Ticket(ticket) => self.apply_ticket(&ticket, events),
            command::Command::Submit(spec) => self.submit(index, spec, events),
            command::Command::Cancel { account, key } => self.cancel(&account, &key, events),
            command::Command::Announce { spec, incarnation, leaving } => {
                let (key, epoch) = self.workers.announce(&spec, incarnation, leaving, events);
                outcome::Outcome::Worker(key, epoch)
            }
            command::Command::WorkerLost { worker, epoch } => {
                self.worker_lost(worker, epoch, events)
            }
            command::Command::Release { attempt, members } => {
                self.release(attempt, members, events)
            }
            command::Command::Chunk { attempt, offset, bytes } => {
                self.append_chunk(attempt, offset, &bytes)
            }
            command::Command::AttemptEnd { attempt, result } => {
                self.end_attempt(attempt, result, events)
            }
            command::Command::AttemptStopped { attempt } => self.attempt_stopped(attempt, events),
            command::Command::Refuse { job, refusal } => self.refuse(job, refusal, events),
            command::Command::Refusals { entry, sequence, counts } => {
                self.count_refusals(entry, sequence, &counts)
            }
            command::Command::Workflow(command) => self.apply_workflow(index, command, events),
        }
    }

    fn apply_workflow(
        &mut self,
        index: ids::LogIndex,
        command: workflow::command::Command,
        events: &mut Vec<outcome::Event>,
    ) -> outcome::Outcome {
        let mut changes = Vec::new();
        let outcome = self.workflows.apply(index, self.now, command, &mut changes);
        events.extend(changes.into_iter().map(outcome::Event::Workflow));
        outcome::Outcome::Workflow(outcome)
    }

    fn advance_time(&mut self, at: time::Wall) {
        if at <= self.now {
            return;
        }
        self.stats.record_outage(self.now, at);
        if at.start_of_hour() != self.now.start_of_hour() {
            self.stats.expire(at);
        }
        self.now = at;
        self.mark_late();
        self.table.expire(at);
    }

    fn mark_late(&mut self) {
        while let Some((due, key)) = self.table.deadlines.first().copied() {
            if due > self.now {
                break;
            }
            self.table.deadlines.pop_first();
            let Some(job) = self.table.jobs.get_mut(&key) else { continue };
            if job.category == hourly::Category::Open {
                job.category = hourly::Category::Late;
                let service = &job.spec.service;
                self.stats.reclassify(service, due, hourly::Category::Open, hourly::Category::Late);
            }
        }
    }

    fn apply_ticket(
        &mut self,
        ticket: &command::Ticket,
        events: &mut Vec<outcome::Event>,
    ) -> outcome::Outcome {
        let next = match self.plan(ticket) {
            Ok(Plan::Duplicate(revision)) => return outcome::Outcome::Ticket(revision),
            Ok(Plan::Apply(config)) => config,
            Err(refusal) => return outcome::Outcome::Refused(refusal),
        };
        for change in &ticket.changes {
            match change {
                command::Change::Service(service) => {
                    self.stats.add_service(&service.name, self.now);
                }
                command::Change::Replicas(replicas) => self.replicas = replicas.clone(),
                _ => {}
            }
        }
        let revision = next.revision;
        self.config = *next;
        self.tickets.record(ticket, revision, self.now);
        events.push(outcome::Event::Config(revision));
        for change in &ticket.changes {
            if let command::Change::Worker { name, .. } = change
                && let Some((key, _)) = self.workers.find(name)
            {
                events.push(outcome::Event::WorkerChanged(key));
            }
        }
        outcome::Outcome::Ticket(revision)
    }

    /// Returns the effect that a ticket would have, without a change of state.
    ///
    /// Fails with the refusal that applying the ticket would give.
    pub fn plan(&self, ticket: &command::Ticket) -> Result<Plan, verdict::Refusal> {
        if let tickets::Admission::Duplicate(revision) = self.tickets.check(ticket)? {
            return Ok(Plan::Duplicate(revision));
        }
        let mut next = self.config.clone();
        next.revision = ids::Revision(next.revision.0 + 1);
        for change in &ticket.changes {
            validate(change)?;
            self.check_dependents(change)?;
            apply_change(&mut next, change);
        }
        let sets_accounts =
            ticket.changes.iter().any(|change| matches!(change, command::Change::Account(_)));
        if sets_accounts {
            self.check_guarantees(&next)?;
        }
        Ok(Plan::Apply(Box::new(next)))
    }

    /// Refuses a change that deletes an account or a kind of work, or changes whether a kind of
    /// work is repeatable, while requests that have not ended rely on it.
    fn check_dependents(&self, change: &command::Change) -> Result<(), verdict::Refusal> {
        let affected = match change {
            command::Change::DropAccount(name) => {
                self.active_requests().find(|spec| spec.account == *name)
            }
            command::Change::Service(service) => self.active_requests().find(|spec| {
                let old = self.config.kind(&spec.service, &spec.kind);
                let new = service.kinds.get(&spec.kind);
                spec.service == service.name
                    && old.map(|kind| kind.repeatable) != new.map(|kind| kind.repeatable)
            }),
            _ => None,
        };
        let Some(spec) = affected else { return Ok(()) };
        let detail = format!(
            "{}: request {} of {} has not ended and relies on the old state",
            change.object(),
            spec.key,
            spec.account
        );
        Err(verdict::Refusal::not_run(verdict::Reason::BadRequest, detail))
    }

    fn active_requests(&self) -> impl Iterator<Item = &job::Spec> {
        let jobs = self.table.jobs.values();
        jobs.filter(|job| job.phase != job::Phase::Ended).map(|job| &job.spec)
    }

    fn check_guarantees(&self, config: &account::Config) -> Result<(), verdict::Refusal> {
        let workers: Vec<&job::WorkerSpec> = self
            .workers
            .by_key
            .iter()
            .filter(|(key, _)| self.workers.accepts_work(**key, config))
            .map(|(_, worker)| &worker.spec)
            .collect();
        feasible::check(config, &workers).map_err(|shortfall| {
            let reason = verdict::Reason::GuaranteeUnpackable;
            verdict::Refusal::not_run(reason, shortfall.to_string())
        })
    }

    fn worker_lost(
        &mut self,
        worker: ids::WorkerKey,
        epoch: ids::Epoch,
        events: &mut Vec<outcome::Event>,
    ) -> outcome::Outcome {
        if !self.workers.mark_lost(worker, epoch) {
            return outcome::Outcome::Stale;
        }
        events.push(outcome::Event::WorkerLost(worker));
        outcome::Outcome::Applied
    }

    fn count_refusals(
        &mut self,
        entry: u64,
        sequence: u64,
        counts: &[command::RefusalCount],
    ) -> outcome::Outcome {
        let last = self.reports.get(&entry).map_or(0, |(last, _)| *last);
        if sequence <= last {
            return outcome::Outcome::Applied;
        }
        self.reports.insert(entry, (sequence, self.now));
        while self.reports.len() > MAX_REPORTING_ENTRIES {
            let oldest = self.reports.iter().min_by_key(|(_, (_, at))| *at).map(|(key, _)| *key);
            oldest.map(|key| self.reports.remove(&key));
        }
        for count in counts {
            self.stats.count_refused(&count.service, count.hour, count.count);
        }
        outcome::Outcome::Applied
    }
}

/// The effect of a ticket.
pub enum Plan {
    /// None: the ticket was accepted before and created this revision.
    Duplicate(ids::Revision),
    /// The ticket replaces the configuration by this one.
    Apply(Box<account::Config>),
}

fn apply_change(config: &mut account::Config, change: &command::Change) {
    match change {
        command::Change::Account(account) => {
            config.accounts.insert(account.name.clone(), account.clone());
        }
        command::Change::DropAccount(name) => {
            config.accounts.remove(name);
        }
        command::Change::Service(service) => {
            config.services.insert(service.name.clone(), service.clone());
        }
        command::Change::Worker { name, drain: true } => {
            config.drained.insert(name.clone());
        }
        command::Change::Worker { name, drain: false } => {
            config.drained.remove(name);
        }
        command::Change::Replicas(_) => {}
    }
}

fn validate(change: &command::Change) -> Result<(), verdict::Refusal> {
    let object = change.object();
    let refuse = |detail: String| {
        Err(verdict::Refusal::not_run(verdict::Reason::BadRequest, format!("{object}: {detail}")))
    };
    match change {
        command::Change::Account(account) => {
            if account.name.is_empty() || account.name.len() > job::MAX_KEY_BYTES {
                return refuse(format!("name must have 1 to {} bytes", job::MAX_KEY_BYTES));
            }
            if account.weight == 0 {
                return refuse("weight must be 1 or more".to_owned());
            }
        }
        command::Change::Service(service) => {
            for kind in service.kinds.values() {
                if kind.checkpoint.is_some() && !kind.repeatable {
                    // Resuming from a checkpoint starts a task again, which non-repeatable work
                    // forbids.
                    return refuse(format!("{} has a checkpoint but is not repeatable", kind.name));
                }
                if kind.deadline == time::Millis(0) {
                    return refuse(format!("{} has no deadline", kind.name));
                }
            }
        }
        command::Change::Replicas(replicas) if replicas.is_empty() => {
            return refuse("at least one replica must stay".to_owned());
        }
        _ => {}
    }
    Ok(())
}
