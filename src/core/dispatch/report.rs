//! What agents report, and what follows from it.

use std::collections::BTreeSet;

use crate::core::dispatch::lead;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Moment;
use crate::core::dispatch::runs;
use crate::core::time;
use crate::core::workflow::command;
use crate::core::workflow::model;
use crate::core::workflow::registry;

/// How long a run may be missing from its worker's lists before its order is sent again.
const MISSING: time::Millis = time::Millis(1500);

/// How long a run that was to stop may still be listed before that is ordered again: a stop takes
/// 400 ms, and its report has to arrive.
const STOPPING: time::Millis = time::Millis(700);

/// How long a worker that leaves stays if it does not say: as long as it has to be served.
const STAYS: time::Millis = time::Millis(2000);

impl lead::Dispatch {
    /// Takes an agent's report.
    pub fn report(
        &mut self,
        registry: &registry::Registry,
        host: u32,
        mut report: order::Report,
        now: Moment,
    ) {
        let Some(worker) = self.workers.get_mut(&host) else { return };
        worker.current = report.current;
        if let Some(gone) = report.gone.filter(|gone| worker.incarnation == Some(*gone)) {
            worker.incarnation = None;
            self.lose(gone, order::Over::Left);
        }
        let Some(worker) = self.workers.get_mut(&host) else { return };
        let Some(said) = report.worker.take() else {
            worker.said = None;
            return;
        };
        if worker.incarnation.is_some_and(|incarnation| incarnation > said.incarnation) {
            return;
        }
        if worker.incarnation != Some(said.incarnation) && !report.current {
            // Nothing of the incarnation before is over until the next one has shown what it runs.
            return;
        }
        if report.current {
            self.follow(registry, &said, &report, now);
        }
        let Some(worker) = self.workers.get_mut(&host) else { return };
        let incarnation = said.incarnation;
        worker.stays = said.draining.then(|| now.tick + report.stays.map_or(STAYS, time::Millis));
        worker.said = Some(said);
        worker.current = report.current;
        if !report.current {
            return;
        }
        worker.granted(now.tick, self.spans.lease);
        let grant = order::Order::Grant { sequence: report.sequence, length: self.spans.lease.0 };
        self.effects.push(order::Effect::Order(host, grant));
        let mut listed = BTreeSet::new();
        self.running(registry, host, incarnation, report.running, &mut listed, now);
        self.finished(registry, host, incarnation, report.finished, &mut listed, now);
        self.chase(registry, host, incarnation, &listed, now);
        self.tell_seen(host);
    }

    /// Ends what ran in earlier incarnations of a worker, and goes on with what the present one lists: a
    /// start that was sent to an earlier incarnation may have been carried out in this one.
    fn follow(
        &mut self,
        registry: &registry::Registry,
        said: &order::Announced,
        report: &order::Report,
        now: Moment,
    ) {
        let incarnation = said.incarnation;
        let Some(worker) = self.workers.get_mut(&incarnation.host) else { return };
        let earlier = |key| self.runs.get(key).is_some_and(|run| run.incarnation != incarnation);
        if worker.incarnation == Some(incarnation) && !worker.taken.keys().any(earlier) {
            return;
        }
        let before = worker.incarnation.filter(|before| *before != incarnation);
        let taken = std::mem::take(&mut worker.taken);
        if worker.incarnation != Some(incarnation) {
            worker.reborn(said, now.tick, self.spans.longest);
        }
        let running = report.running.iter().map(|entry| (&entry.task, entry.run));
        let finished = report.finished.iter().map(|entry| (&entry.task, entry.run));
        let listed: BTreeSet<_> = running.chain(finished).collect();
        let listed = |key: &model::RunKey| {
            let name = registry.jobs.get(&key.task.job).map(|job| lead::name(job, key.task));
            name.is_some_and(|name| listed.contains(&(&name, key.run)))
        };
        let mut lost = Vec::new();
        for (key, room) in taken {
            let Some(run) = self.runs.get_mut(&key) else { continue };
            if run.incarnation != incarnation {
                // One on its way into the log was never ordered there.
                match run.state {
                    runs::State::Proposed | runs::State::Ending => continue,
                    _ if listed(&key) => run.incarnation = incarnation,
                    _ => {
                        lost.push(key);
                        continue;
                    }
                }
            }
            worker.taken.insert(key, room);
        }
        if let Some(before) = before.or_else(|| lost.first().map(|key| self.runs[key].incarnation))
        {
            let why = order::Over::Followed(incarnation);
            self.effects.push(order::Effect::Over(before, why, lost.len()));
        }
        self.end_lost(lost);
    }

    pub(super) fn running(
        &mut self,
        registry: &registry::Registry,
        host: u32,
        incarnation: model::Incarnation,
        running: Vec<order::Running>,
        listed: &mut BTreeSet<model::RunKey>,
        now: Moment,
    ) {
        let mut strangers = BTreeSet::new();
        for entry in running {
            let task = registry.find_task(&entry.task);
            let key = task.map(|task| model::RunKey { task, run: entry.run });
            let known = key.and_then(|key| Some((key, self.runs.get_mut(&key)?)));
            let Some((key, run)) = known.filter(|(_, run)| run.incarnation == incarnation) else {
                let (task, run) = (entry.task, entry.run);
                self.tell_stranger(registry, host, incarnation, (&task, run));
                strangers.insert((task.clone(), run));
                let order = order::Order::Stop { incarnation, task, run };
                self.effects.push(order::Effect::Order(host, order));
                continue;
            };
            listed.insert(key);
            run.heard = now.tick;
            run.pace.heard(now.tick, entry.percent);
            if !entry.saved.is_empty() {
                run.saved = entry.saved;
            }
            if run.state == runs::State::Ordered {
                run.state = runs::State::Running;
            }
            self.learn(registry, key);
        }
        if let Some(worker) = self.workers.get_mut(&host) {
            worker.strangers = strangers;
        }
    }

    /// Tells, the first time, of a run that a worker lists and that was not placed there.
    fn tell_stranger(
        &mut self,
        registry: &registry::Registry,
        host: u32,
        incarnation: model::Incarnation,
        (task, run): (&model::TaskName, u32),
    ) {
        let known = (task.clone(), run);
        if self.workers.get(&host).is_some_and(|worker| worker.strangers.contains(&known)) {
            return;
        }
        let key = registry.find_task(task);
        let held = key.and_then(|key| registry.jobs.get(&key.job)?.task(key));
        let held = held.map(|held| (held.run, held.state));
        let stranger = order::Stranger { incarnation, task: known.0, run, held };
        self.effects.push(order::Effect::Stranger(stranger));
    }

    /// Learns the speed of workers from a run, or from a whole gang, once it has shown enough
    /// progress.
    fn learn(&mut self, registry: &registry::Registry, key: model::RunKey) {
        let Some(run) = self.runs.get(&key).filter(|run| !run.learnt) else { return };
        let members: Vec<_> = runs::gang_of(&self.runs, key).collect();
        let ratio = |(_, run): &(&model::RunKey, &runs::Run)| {
            Some((run.incarnation.host, run.pace.ratio()?))
        };
        let Some(ratios) = members.iter().map(ratio).collect::<Option<Vec<_>>>() else { return };
        if run.gang {
            self.health.ran_together(&ratios);
        } else {
            let place = registry.jobs.get(&key.task.job).map(|job| &job.submission.queue);
            let place = place.map_or("", String::as_str);
            ratios.iter().for_each(|(host, ratio)| self.health.ran(*host, place, *ratio));
        }
        let members: Vec<_> = members.iter().map(|(key, _)| **key).collect();
        for member in members {
            if let Some(run) = self.runs.get_mut(&member) {
                run.learnt = true;
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
        now: Moment,
    ) {
        let mut endings = Vec::new();
        let Some(worker) = self.workers.get_mut(&host) else { return };
        for entry in finished {
            let news = entry.number > worker.listed;
            worker.listed = worker.listed.max(entry.number);
            let Some(task) = registry.find_task(&entry.task) else { continue };
            let key = model::RunKey { task, run: entry.run };
            worker.taken.remove(&key);
            let Some(run) = self.runs.get_mut(&key).filter(|run| run.incarnation == incarnation)
            else {
                continue;
            };
            listed.insert(key);
            if !news && run.state == runs::State::Ending {
                continue;
            }
            run.state = runs::State::Ending;
            match entry.how {
                model::EndReason::Done => self.health.succeeded(host),
                model::EndReason::Failed => self.health.failed(host, key.task, now.tick),
                _ => {}
            }
            worker.ending.insert(entry.number, key);
            endings.push(command::Ending::new(key, entry.how, entry.saved));
        }
        self.propose_ends(endings);
    }

    /// Orders again what a worker's lists should show and don't: runs that were to start and are
    /// missing, and runs that were to stop and are still there or have not ended.
    pub(super) fn chase(
        &mut self,
        registry: &registry::Registry,
        host: u32,
        incarnation: model::Incarnation,
        listed: &BTreeSet<model::RunKey>,
        now: Moment,
    ) {
        let Some(worker) = self.workers.get(&host) else { return };
        let is_due = |key: &&model::RunKey| {
            let run = self.runs.get(key).filter(|run| run.incarnation == incarnation);
            run.is_some_and(|run| is_due(run, listed.contains(key), now.tick))
        };
        let due: Vec<_> = worker.taken.keys().filter(is_due).copied().collect();
        for key in due {
            match self.runs[&key].state {
                runs::State::Stopping => self.order_stop(registry, key, now),
                _ => self.order_start(registry, key, now),
            }
        }
    }

    pub(super) fn tell_seen(&mut self, host: u32) {
        let Some(worker) = self.workers.get_mut(&host) else { return };
        let (Some(incarnation), true) = (worker.incarnation, worker.connected) else { return };
        if let Some(number) = worker.take_seen() {
            let order = order::Order::Seen { incarnation, number };
            self.effects.push(order::Effect::Order(host, order));
        }
    }

    /// An agent has made sure that a run does not go on and never will.
    pub fn closed(
        &mut self,
        registry: &registry::Registry,
        host: u32,
        incarnation: model::Incarnation,
        name: &model::TaskName,
        run: u32,
        now: Moment,
    ) {
        let Some(task) = registry.find_task(name) else { return };
        let key = model::RunKey { task, run };
        let Some(known) = self.runs.get_mut(&key).filter(|run| run.incarnation == incarnation)
        else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&host) {
            if known.state == runs::State::Ordered {
                worker.refused(now.tick);
            }
            worker.taken.remove(&key);
        }
        if known.state != runs::State::Ending {
            known.state = runs::State::Ending;
            let saved = known.saved.clone();
            self.propose_ends(vec![command::Ending::new(key, model::EndReason::Refused, saved)]);
        }
    }
}

/// Whether an order about a run has to be sent again, after a report that lists it or does not.
fn is_due(run: &runs::Run, listed: bool, now: time::Tick) -> bool {
    let is_missing = |ordered: time::Tick| !listed && ordered.max(run.heard) + MISSING <= now;
    match (run.state, run.ordered) {
        (runs::State::Stopping, None) => true,
        (runs::State::Stopping, Some(at)) if listed => at + STOPPING <= now,
        (runs::State::Ordered, None) => !listed,
        (runs::State::Running, None) => is_missing(run.heard),
        (runs::State::Ordered | runs::State::Running | runs::State::Stopping, Some(at)) => {
            is_missing(at)
        }
        (runs::State::Proposed | runs::State::Ending, _) => false,
    }
}
