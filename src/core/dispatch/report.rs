//! Handling of agents' reports.

use std::collections::BTreeSet;

use crate::core::dispatch::leader;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Timestamp;
use crate::core::dispatch::runs;
use crate::core::time;
use crate::core::workflow::command;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::core::workflow::registry;
use crate::macros;

/// The time for which a run may be missing from its worker's lists before its order is resent.
const RESEND_MISSING_AFTER: time::Millis = time::Millis(1500);

/// The time for which a run may be listed after its stop was ordered, before the order is resent: a
/// stop takes 400 ms, and its report has to arrive.
const RESEND_STOP_AFTER: time::Millis = time::Millis(700);

/// The assumed time until a draining worker exits if it does not announce one: the least notice
/// that draining workers must give.
const DEFAULT_DRAIN: time::Millis = time::Millis(2000);

macros::copy_types! {
    /// What a worker's lists tell about a run that was placed there.
    pub(super) enum Presence {
        /// They name the run.
        Listed,
        /// The run hasn't started, or is over.
        Missing,
        /// They don't name the run, whose end may be among those that the list lacks.
        Unknown,
    }
}

impl leader::Dispatch {
    /// Handles a report of an agent.
    pub fn report(
        &mut self,
        registry: &registry::Registry,
        host: u32,
        report: order::Report,
        now: Timestamp,
    ) {
        let before = self.room(host, now);
        self.apply_report(registry, host, report, now);
        // Most reports show progress only, and no decision depends on that at once.
        self.changed |= self.room(host, now) != before;
    }

    /// Returns what a worker has free for tasks; `None` if it accepts none.
    fn room(&self, host: u32, now: Timestamp) -> Option<order::Resources> {
        let worker = self.workers.get(&host)?;
        worker.accepts_tasks(now.tick).then(|| worker.free())
    }

    fn apply_report(
        &mut self,
        registry: &registry::Registry,
        host: u32,
        mut report: order::Report,
        now: Timestamp,
    ) {
        let Some(worker) = self.workers.get_mut(&host) else { return };
        worker.fresh = report.fresh;
        if let Some(departed) =
            report.departed.filter(|departed| worker.incarnation == Some(*departed))
        {
            worker.incarnation = None;
            self.lose_incarnation(departed, order::LossCause::Departed);
        }
        let Some(worker) = self.workers.get_mut(&host) else { return };
        let Some(announcement) = report.worker.take() else {
            worker.announcement = None;
            return;
        };
        if worker.incarnation.is_some_and(|incarnation| incarnation > announcement.incarnation) {
            return;
        }
        if worker.incarnation != Some(announcement.incarnation) && !report.fresh {
            // Runs of the previous incarnation are not ended before the next one has listed its
            // own.
            return;
        }
        if report.fresh {
            self.carry_over_runs(registry, &announcement, &report, now);
        }
        let Some(worker) = self.workers.get_mut(&host) else { return };
        let incarnation = announcement.incarnation;
        worker.drain_deadline = announcement
            .draining
            .then(|| now.tick + report.drain_left.map_or(DEFAULT_DRAIN, time::Millis));
        worker.rack = self.racks.intern(&announcement.rack);
        worker.announcement = Some(announcement);
        worker.fresh = report.fresh;
        if !report.fresh {
            return;
        }
        worker.extend_lease(now.tick, self.lease_limits.duration);
        let grant = order::Order::Grant {
            sequence: report.sequence,
            duration: self.lease_limits.duration.0,
        };
        self.effects.push(order::Effect::Order(host, grant));
        let mut listed = BTreeSet::new();
        let absent = match order::is_truncated(&report.finished) {
            true => Presence::Unknown,
            false => Presence::Missing,
        };
        self.running(registry, host, incarnation, report.running, &mut listed, now);
        self.finished(registry, host, incarnation, report.finished, &mut listed, now);
        let presence = |key: &model::RunKey| match listed.contains(key) {
            true => Presence::Listed,
            false => absent,
        };
        self.resend_orders(registry, host, incarnation, presence, now);
        self.acknowledge_ends(host);
    }

    /// Ends the runs of earlier incarnations of a worker, except those that the current one lists:
    /// a start that was sent to an earlier incarnation may have been carried out by the current
    /// one. Truncated lists end no run.
    fn carry_over_runs(
        &mut self,
        registry: &registry::Registry,
        announcement: &order::Announcement,
        report: &order::Report,
        now: Timestamp,
    ) {
        let incarnation = announcement.incarnation;
        let Some(worker) = self.workers.get_mut(&incarnation.host) else { return };
        let earlier = |key| self.runs.get(key).is_some_and(|run| run.incarnation != incarnation);
        if worker.incarnation == Some(incarnation) && !worker.allocated.keys().any(earlier) {
            return;
        }
        let before = worker.incarnation.filter(|before| *before != incarnation);
        let allocated = std::mem::take(&mut worker.allocated);
        if worker.incarnation != Some(incarnation) {
            worker.restart(announcement, now.tick, self.lease_limits.maximum);
        }
        let running = report.running.iter().map(|entry| (&entry.task, entry.run));
        let finished = report.finished.iter().map(|entry| (&entry.task, entry.run));
        let listed: BTreeSet<_> = running.chain(finished).collect();
        let truncated = order::is_truncated(&report.finished);
        let listed = |key: &model::RunKey| {
            let name = registry.jobs.get(&key.task.job).map(|job| leader::task_name(job, key.task));
            name.is_some_and(|name| listed.contains(&(&name, key.run)))
        };
        let mut lost = Vec::new();
        for (key, resources) in allocated {
            let Some(run) = self.runs.get_mut(&key) else { continue };
            if run.incarnation != incarnation {
                // A run whose placement is not committed was never ordered on the earlier
                // incarnation.
                match run.state {
                    runs::State::Proposed | runs::State::Ending => continue,
                    _ if listed(&key) => run.incarnation = incarnation,
                    _ if truncated => {}
                    _ => {
                        lost.push(key);
                        continue;
                    }
                }
            }
            worker.allocated.insert(key, resources);
        }
        if let Some(before) = before.or_else(|| lost.first().map(|key| self.runs[key].incarnation))
        {
            let cause = order::LossCause::Replaced(incarnation);
            self.effects.push(order::Effect::WorkerLost(before, cause, lost.len()));
        }
        self.propose_lost(lost);
    }

    pub(super) fn running(
        &mut self,
        registry: &registry::Registry,
        host: u32,
        incarnation: model::Incarnation,
        running: Vec<order::Running>,
        listed: &mut BTreeSet<model::RunKey>,
        now: Timestamp,
    ) {
        let mut unexpected = BTreeSet::new();
        for entry in running {
            let task = registry.find_task(&entry.task);
            let key = task.map(|task| model::RunKey { task, run: entry.run });
            let known = key.and_then(|key| Some((key, self.runs.get_mut(&key)?)));
            let Some((key, run)) = known.filter(|(_, run)| run.incarnation == incarnation) else {
                let (task, run) = (entry.task, entry.run);
                self.report_unexpected(registry, host, incarnation, (&task, run));
                unexpected.insert((task.clone(), run));
                let order = order::Order::Stop { incarnation, task, run };
                self.effects.push(order::Effect::Order(host, order));
                continue;
            };
            listed.insert(key);
            run.started = true;
            run.last_seen = now.tick;
            run.progress.update(now.tick, entry.percent);
            if !entry.checkpoint.is_empty() {
                run.checkpoint = entry.checkpoint;
            }
            if run.state == runs::State::Ordered {
                run.state = runs::State::Running;
            }
            self.learn(registry, key);
        }
        if let Some(worker) = self.workers.get_mut(&host) {
            worker.unexpected = unexpected;
        }
    }

    /// Reports a run that a worker lists although it was not placed there, at its first appearance.
    fn report_unexpected(
        &mut self,
        registry: &registry::Registry,
        host: u32,
        incarnation: model::Incarnation,
        (task, run): (&model::TaskName, u32),
    ) {
        let known = (task.clone(), run);
        if self.workers.get(&host).is_some_and(|worker| worker.unexpected.contains(&known)) {
            return;
        }
        let key = registry.find_task(task);
        let recorded = key.and_then(|key| registry.jobs.get(&key.job)?.task(key));
        let recorded = recorded.map(|task| (task.run, task.state));
        let unexpected = order::UnexpectedRun { incarnation, task: known.0, run, recorded };
        self.effects.push(order::Effect::UnexpectedRun(unexpected));
    }

    /// Learns the speed of workers from a run, or from a whole gang, once enough progress is known.
    fn learn(&mut self, registry: &registry::Registry, key: model::RunKey) {
        let Some(run) = self.runs.get(&key).filter(|run| !run.speed_learned) else { return };
        let members: Vec<_> = runs::gang_of(&self.runs, key).collect();
        let ratio = |(_, run): &(&model::RunKey, &runs::Run)| {
            Some((run.incarnation.host, run.progress.ratio()?))
        };
        let Some(ratios) = members.iter().map(ratio).collect::<Option<Vec<_>>>() else { return };
        if run.gang {
            self.health.learn_gang_speeds(&ratios);
        } else {
            let queue = registry.jobs.get(&key.task.job).map(|job| &job.submission.queue);
            let queue = queue.map_or("", String::as_str);
            ratios.iter().for_each(|(host, ratio)| self.health.learn_speed(*host, queue, *ratio));
        }
        let members: Vec<_> = members.iter().map(|(key, _)| **key).collect();
        for member in members {
            if let Some(run) = self.runs.get_mut(&member) {
                run.speed_learned = true;
            }
        }
    }

    pub(super) fn finished(
        &mut self,
        registry: &registry::Registry,
        host: u32,
        incarnation: model::Incarnation,
        finished: Vec<order::Finished>,
        listed: &mut BTreeSet<model::RunKey>,
        now: Timestamp,
    ) {
        let mut endings = Vec::new();
        let Some(worker) = self.workers.get_mut(&host) else { return };
        for entry in finished {
            let is_new = entry.number > worker.last_listed;
            worker.last_listed = worker.last_listed.max(entry.number);
            let Some(task) = registry.find_task(&entry.task) else { continue };
            let key = model::RunKey { task, run: entry.run };
            worker.allocated.remove(&key);
            let Some(run) = self.runs.get_mut(&key).filter(|run| run.incarnation == incarnation)
            else {
                continue;
            };
            listed.insert(key);
            if !is_new && run.state == runs::State::Ending {
                continue;
            }
            run.state = runs::State::Ending;
            run.started = true;
            match entry.reason {
                model::EndReason::Done => self.health.record_success(host),
                model::EndReason::Failed => self.health.record_failure(host, key.task, now.tick),
                _ => {}
            }
            worker.proposed_ends.insert(entry.number, key);
            endings.push(command::Ending::new(key, entry.reason, entry.checkpoint));
        }
        self.propose_ends(endings);
    }

    /// Resends orders that the worker's lists don't reflect: starts of runs that are missing, and
    /// stops of runs that are still listed or whose end is not.
    pub(super) fn resend_orders(
        &mut self,
        registry: &registry::Registry,
        host: u32,
        incarnation: model::Incarnation,
        presence: impl Fn(&model::RunKey) -> Presence,
        now: Timestamp,
    ) {
        let Some(worker) = self.workers.get(&host) else { return };
        let is_due = |key: &&model::RunKey| {
            let run = self.runs.get(key).filter(|run| run.incarnation == incarnation);
            run.is_some_and(|run| is_due(run, presence(key), now.tick))
        };
        let due: Vec<_> = worker.allocated.keys().filter(is_due).copied().collect();
        for key in due {
            let active = registry.jobs.get(&key.task.job).is_some_and(job::Job::is_active);
            match self.runs[&key].state {
                // A start of a job that has ended can no longer be made up. The member of a gang that
                // is done may still be missing from the lists.
                runs::State::Ordered | runs::State::Running if active => {
                    self.order_start(registry, key, now)
                }
                _ => self.order_stop(registry, key, now),
            }
        }
    }

    pub(super) fn acknowledge_ends(&mut self, host: u32) {
        let Some(worker) = self.workers.get_mut(&host) else { return };
        let (Some(incarnation), true) = (worker.incarnation, worker.connected) else { return };
        if let Some(number) = worker.take_acknowledged() {
            let order = order::Order::Acknowledge { incarnation, number };
            self.effects.push(order::Effect::Order(host, order));
        }
    }

    /// Handles an agent's confirmation that a run is not active and will never start.
    pub fn closed(
        &mut self,
        registry: &registry::Registry,
        host: u32,
        incarnation: model::Incarnation,
        name: &model::TaskName,
        run: u32,
        now: Timestamp,
    ) {
        let Some(task) = registry.find_task(name) else { return };
        let key = model::RunKey { task, run };
        let Some(known) = self.runs.get_mut(&key).filter(|run| run.incarnation == incarnation)
        else {
            return;
        };
        self.changed = true;
        if let Some(worker) = self.workers.get_mut(&host) {
            if known.state == runs::State::Ordered {
                worker.refused(now.tick);
            }
            worker.allocated.remove(&key);
        }
        if known.state != runs::State::Ending {
            known.state = runs::State::Ending;
            let checkpoint = known.checkpoint.clone();
            self.propose_ends(vec![command::Ending::new(
                key,
                model::EndReason::Refused,
                checkpoint,
            )]);
        }
    }
}

/// Returns whether the order on a run has to be resent after a report.
fn is_due(run: &runs::Run, presence: Presence, now: time::Tick) -> bool {
    let is_overdue = |ordered: time::Tick| ordered.max(run.last_seen) + RESEND_MISSING_AFTER <= now;
    match (run.state, run.ordered_at) {
        (runs::State::Stopping, None) => true,
        (runs::State::Stopping, Some(at)) if presence == Presence::Listed => {
            at + RESEND_STOP_AFTER <= now
        }
        (runs::State::Stopping, Some(at)) => is_overdue(at),
        (runs::State::Ordered | runs::State::Running, _) if presence != Presence::Missing => false,
        (runs::State::Ordered, None) => true,
        (runs::State::Running, None) => is_overdue(run.last_seen),
        (runs::State::Ordered | runs::State::Running, Some(at)) => is_overdue(at),
        (runs::State::Proposed | runs::State::Ending, _) => false,
    }
}
