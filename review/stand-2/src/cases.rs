//! The order of events of each case, and its check.

use std::path::Path;

use serde_json::{Value, json};

use crate::Verdict;
use crate::record;
use crate::site::Site;
use crate::worker::{Seen, Worker};
use crate::{job, pause, route, secs, wait};

mod cancel;
mod config;
mod guarantee;
mod lasting;
mod queue;

pub fn run(case: &str, folder: &Path, trouble: bool) -> Verdict {
    match case {
        "lasting-done" => lasting::done(folder, trouble),
        "pending" => queue::pending(folder, trouble),
        "config-bytes" => config::bytes(folder, trouble),
        "late-cancel" => cancel::late(folder, trouble),
        "guarantee-moved" => guarantee::moved(folder, trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    }
}

/// A deployment whose agents have a worker each, with one configuration in force.
struct Bed {
    workers: Vec<Worker>,
    site: Site,
}

impl Bed {
    fn start(folder: &Path, workers: u8, routes: Value) -> Result<Self, Verdict> {
        Self::start_with(folder, workers, routes, (8, 0))
    }

    /// Like [`Bed::start`], with these guarantees of the two tenants.
    fn start_with(
        folder: &Path,
        workers: u8,
        routes: Value,
        guarantees: (u32, u32),
    ) -> Result<Self, Verdict> {
        let mut site = Site::start(folder, workers);
        site.guarantees = guarantees;
        let workers = (0..workers)
            .map(|number| {
                let (agent, addr) = site.side(number);
                let (name, rack) = (format!("w-{number}"), format!("r1-{}", number / 3));
                Worker::start(&name, "service-1", addr, agent, ("a", &rack))
            })
            .collect();
        if !site.configure(routes, secs(20)) {
            return Err(Verdict::NotRun("no configuration was acknowledged".to_owned()));
        }
        Ok(Self { workers, site })
    }

    /// All runs of a task, the first one first.
    fn runs(&self, task: &str) -> Vec<Seen> {
        let all = self.workers.iter().flat_map(Worker::seen);
        let mut runs: Vec<_> = all.filter(|seen| seen.task == task).collect();
        runs.sort_by_key(|seen| seen.began);
        runs
    }

    /// The worker on which a task is running.
    fn running_on(&self, task: &str) -> Option<&Worker> {
        let run = self.runs(task).into_iter().find(|seen| seen.ended.is_none())?;
        self.workers.iter().find(|worker| worker.id() == run.worker)
    }

    /// All runs so far, the first one first.
    fn all_runs(&self) -> Vec<Seen> {
        let mut runs: Vec<_> = self.workers.iter().flat_map(Worker::seen).collect();
        runs.sort_by_key(|seen| seen.began);
        runs
    }

    fn submit(&mut self, path: &str, phases: Value) -> bool {
        self.site.call("POST", path, &job(phases)).is_some_and(|(status, _)| status == 200)
    }

    /// Runs a short job, so that every part has worked before the case begins.
    fn warm_up(&mut self, queue: &str) -> Result<(), Verdict> {
        let path = format!("/{queue}/00000000000000aa");
        let phases = json!([{ "count": self.workers.len(), "cpu": 1000, "memMb": 100, "gpus": 8,
            "estimatedMs": 300, "workMs": 300 }]);
        if !wait(secs(20), || self.submit(&path, phases.clone())) {
            return Err(Verdict::NotRun("no job was accepted".to_owned()));
        }
        let done = wait(secs(20), || {
            pause(0.3);
            let state = self.site.call("GET", &path, "");
            state.is_some_and(|(_, body)| body["state"] == "completed")
        });
        if done { Ok(()) } else { Err(Verdict::NotRun("the first job did not end".to_owned())) }
    }
}

fn or_verdict(run: impl FnOnce() -> Result<Verdict, Verdict>) -> Verdict {
    run().unwrap_or_else(|verdict| verdict)
}

/// Logs the processes that have ended by themselves.
fn check_processes(site: &mut Site) {
    for ended in site.ended() {
        record::line(format!("ended by itself: {ended}"));
    }
}
