//! Emulated workers and the runs on them.

use std::collections::BTreeMap;

use crate::core::dispatch::order;
use crate::core::workflow::model;
use crate::emulator::load;

/// The work between two checkpoints of a task, in milliseconds.
const CHECKPOINT_INTERVAL: f64 = 1000.0;

/// The time for which members of a gang wait for the others, in milliseconds.
const GANG_TIMEOUT: u64 = 5000;

/// A run on a worker: its task and its number.
pub type RunName = (model::TaskName, u32);

/// The job, occurrence, step and run number that the members of a gang share.
type GangKey = (String, u32, u32, u32);

/// What the emulation knows of a task.
#[derive(Clone, Debug)]
pub struct Task {
    /// The work on a worker of speed 1, in milliseconds.
    pub work: f64,
    /// The number of members of its gang; 0 for a task of its own.
    pub gang: u32,
    /// Whether the gang runs slower across racks.
    pub one_rack: bool,
    /// Whether it saves checkpoints.
    pub checkpoints: bool,
    /// The resources that it needs.
    pub resources: order::Resources,
    /// The part of a whole worker that it takes.
    pub share: f64,
    /// Whether its next run fails.
    pub fails: bool,
}

/// A run that has not ended.
#[derive(Clone, Debug)]
pub struct Active {
    /// The task.
    pub task: Task,
    /// The work that the checkpoint saved.
    saved: f64,
    /// The time at which the order was carried out.
    pub placed_at: u64,
    /// The time at which the work began; `None` while the gang is incomplete.
    began: Option<u64>,
    /// The work done in a millisecond.
    speed: f64,
    /// Whether it is being stopped.
    stopping: bool,
}

impl Active {
    fn done(&self, now: u64) -> f64 {
        let worked = self.began.map_or(0.0, |began| (now - began) as f64 * self.speed);
        (self.saved + worked).min(self.task.work)
    }

    fn checkpoint(&self, now: u64) -> f64 {
        if !self.task.checkpoints {
            return 0.0;
        }
        let saved = (self.done(now) / CHECKPOINT_INTERVAL).floor() * CHECKPOINT_INTERVAL;
        if self.stopping { self.done(now) } else { saved }
    }
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// Its announcement.
    pub announcement: order::Announcement,
    speed: f64,
    /// The runs that have not ended.
    pub active: BTreeMap<RunName, Active>,
    finished: Vec<order::Finished>,
    last_end: u64,
    reports: u64,
}

/// All workers.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The workers, by host.
    pub workers: Vec<Worker>,
    rack_penalty: f64,
    /// The hosts of the members of each gang that has not begun or ended, by run.
    gangs: BTreeMap<GangKey, Vec<(u32, RunName)>>,
    /// The work that was thrown away, as milliseconds of whole workers.
    pub wasted: f64,
    /// The number of runs that ended for each reason.
    pub ends: BTreeMap<&'static str, u64>,
}

/// A time at which a run ends by itself, if it has not ended before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueEnd {
    /// The time, in milliseconds.
    pub at: u64,
    /// The host of the worker.
    pub host: u32,
    /// The run.
    pub run: RunName,
    /// The reason for the end.
    pub reason: model::EndReason,
}

impl Fleet {
    /// Returns the idle workers of a load.
    pub fn new(load: &load::Load) -> Self {
        let worker = |host: u32| {
            let rack = format!("rack-{}", host / load.rack.max(1));
            Worker {
                announcement: order::Announcement {
                    incarnation: model::Incarnation { host, started: 1 },
                    name: format!("worker-{host}"),
                    pool: load::POOL.to_owned(),
                    labels: vec![rack.clone()],
                    rack,
                    capacity: load.capacity,
                    draining: false,
                },
                speed: load.speeds[host as usize % load.speeds.len()],
                active: BTreeMap::new(),
                finished: Vec::new(),
                last_end: 0,
                reports: 0,
            }
        };
        Self {
            workers: (0..load.workers).map(worker).collect(),
            rack_penalty: load.rack_penalty,
            ..Self::default()
        }
    }

    /// Returns the report of a worker's agent.
    pub fn report(&mut self, host: u32, now: u64) -> order::Report {
        let worker = &mut self.workers[host as usize];
        worker.reports += 1;
        let running = worker.active.iter().map(|((task, run), active)| order::Running {
            task: task.clone(),
            run: *run,
            checkpoint: checkpoint(active.checkpoint(now)),
            percent: (active.done(now) / active.task.work * 100.0) as u32,
        });
        order::Report {
            sequence: worker.reports,
            worker: Some(worker.announcement.clone()),
            departed: None,
            drain_left: None,
            fresh: true,
            running: running.collect(),
            finished: worker.finished.clone(),
        }
    }

    /// Forgets the ends up to a number.
    pub fn acknowledge(&mut self, host: u32, number: u64) {
        self.workers[host as usize].finished.retain(|finished| finished.number > number);
    }

    /// Starts a run. Returns the ends that are now known.
    ///
    /// # Panics
    ///
    /// If the worker has not enough room or runs the task already: the dispatcher must prevent it.
    pub fn start(&mut self, start: &order::Start, task: Task, now: u64) -> Vec<DueEnd> {
        let host = start.incarnation.host;
        let worker = &mut self.workers[host as usize];
        let run = (start.task.clone(), start.run);
        if worker.active.contains_key(&run) {
            return Vec::new();
        }
        let used = worker.active.values().map(|active| active.task.resources);
        let used = used.fold(task.resources, order::Resources::saturating_add);
        assert!(worker.announcement.capacity.covers(used), "no room for {} on {host}", start.task);
        let saved: f64 = start.checkpoint.parse().unwrap_or(0.0);
        let speed = worker.speed;
        let gang = task.gang;
        let active = Active { task, saved, placed_at: now, began: None, speed, stopping: false };
        worker.active.insert(run.clone(), active);
        if gang == 0 {
            return vec![self.begin(host, &run, speed, now)];
        }
        let key = gang_key(&run);
        let members = self.gangs.entry(key.clone()).or_default();
        members.push((host, run.clone()));
        if members.len() < gang as usize {
            let at = now + GANG_TIMEOUT;
            return vec![DueEnd { at, host, run, reason: model::EndReason::Alone }];
        }
        let members = members.clone();
        let rack = |host: u32| &self.workers[host as usize].announcement.rack;
        let apart = members.iter().any(|(member, _)| rack(*member) != rack(host));
        let one_rack = self.workers[host as usize].active[&run].task.one_rack;
        let penalty = if apart && one_rack { self.rack_penalty } else { 1.0 };
        // Members that have completed their work wait for the others.
        let ends: Vec<_> = members
            .iter()
            .map(|(member, run)| {
                let speed = self.workers[*member as usize].speed / penalty;
                self.begin(*member, run, speed, now)
            })
            .collect();
        let at = ends.iter().map(|end| end.at).max().unwrap_or(now);
        ends.into_iter().map(|end| DueEnd { at, ..end }).collect()
    }

    fn begin(&mut self, host: u32, run: &RunName, speed: f64, now: u64) -> DueEnd {
        let worker = &mut self.workers[host as usize];
        let active = worker.active.get_mut(run).expect("the run was inserted");
        active.began = Some(now);
        active.speed = speed;
        let left = active.task.work - active.saved;
        let (part, reason) = match active.task.fails {
            true => (0.5, model::EndReason::Failed),
            false => (1.0, model::EndReason::Done),
        };
        let at = now + (left * part / speed).ceil() as u64;
        DueEnd { at, host, run: run.clone(), reason }
    }

    /// Begins to stop a run; [`Self::end`] follows after the time of a stop. Returns whether the run
    /// is active.
    pub fn begin_stop(&mut self, host: u32, run: &RunName) -> bool {
        let active = self.workers[host as usize].active.get_mut(run);
        active.is_some_and(|active| !std::mem::replace(&mut active.stopping, true))
    }

    /// Ends a run, and with it its gang. Returns the hosts on which runs have ended.
    pub fn end(
        &mut self,
        host: u32,
        run: &RunName,
        reason: model::EndReason,
        now: u64,
    ) -> Vec<u32> {
        let Some(active) = self.workers[host as usize].active.get(run) else { return Vec::new() };
        if reason == model::EndReason::Alone && active.began.is_some() {
            return Vec::new();
        }
        let mut hosts = vec![host];
        let gang = if active.task.gang > 0 { self.gangs.remove(&gang_key(run)) } else { None };
        self.end_one(host, run, reason, now);
        for (member, run) in gang.unwrap_or_default().into_iter().filter(|(_, other)| other != run)
        {
            let reason = match reason {
                model::EndReason::Done => model::EndReason::Done,
                _ => model::EndReason::Broken,
            };
            self.end_one(member, &run, reason, now);
            hosts.push(member);
        }
        hosts
    }

    fn end_one(&mut self, host: u32, run: &RunName, reason: model::EndReason, now: u64) {
        let worker = &mut self.workers[host as usize];
        let Some(active) = worker.active.remove(run) else { return };
        worker.last_end += 1;
        let saved = active.checkpoint(now);
        if reason != model::EndReason::Done {
            let began = active.began.unwrap_or(now);
            // What a checkpoint saves is not lost.
            let kept = (saved - active.saved).max(0.0) / active.speed;
            let held = (now - began) as f64 + (began - active.placed_at) as f64;
            self.wasted += (held - kept).max(0.0) * active.task.share;
        }
        *self.ends.entry(label(reason)).or_default() += 1;
        worker.finished.push(order::Finished {
            number: worker.last_end,
            task: run.0.clone(),
            run: run.1,
            reason,
            checkpoint: checkpoint(saved),
        });
    }
}

fn checkpoint(saved: f64) -> String {
    if saved > 0.0 { format!("{saved:.0}") } else { String::new() }
}

fn gang_key((task, run): &RunName) -> GangKey {
    (task.id.clone(), task.occurrence, task.step, *run)
}

fn label(reason: model::EndReason) -> &'static str {
    match reason {
        model::EndReason::Done => "done",
        model::EndReason::Failed => "failed",
        model::EndReason::Stopped => "stopped",
        model::EndReason::Lapsed => "lapsed",
        model::EndReason::Broken => "broken",
        model::EndReason::Alone => "alone",
        model::EndReason::Lost => "lost",
        model::EndReason::Refused => "refused",
        model::EndReason::Unstarted => "unstarted",
    }
}
