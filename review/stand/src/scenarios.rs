//! The scenarios.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::Outcome;
use crate::deployment::{Deployment, KEY, client, config};
use crate::record::Record;
use crate::worker::{Seen, Worker};

mod beside;
mod drain;
mod ends;
mod lasting;
mod lives;
mod long;
mod malformed;
mod paused;
mod reclaim;
mod refused;
mod stale;

type Result = std::result::Result<Outcome, String>;

pub fn run(name: &str, record: &Arc<Record>, trouble: bool) -> Result {
    match name {
        "ends" => ends::run(record, trouble),
        "lasting" => lasting::run(record, trouble),
        "reclaim" => reclaim::run(record, trouble),
        "beside" => beside::run(record, trouble),
        "long" => long::run(record, trouble),
        "drain" => drain::run(record, trouble),
        "late-delete" => lives::late_delete(record, trouble),
        "clock-back" => lives::clock_back(record, trouble),
        "outbid" => lives::outbid(record, trouble),
        "paused" => paused::run(record, trouble),
        "malformed" => malformed::run(record, trouble),
        "stale" => stale::run(record, trouble),
        "refused" => refused::run(record, trouble),
        _ => Err(format!("there is no scenario {name}")),
    }
}

fn sleep(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Waits for a condition; returns whether it came true in time.
fn wait_for(millis: u64, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_millis(millis);
    while Instant::now() < until {
        if condition() {
            return true;
        }
        sleep(20);
    }
    condition()
}

/// Starts a deployment with a worker beside each agent and a configuration in force.
fn start(
    record: &Arc<Record>,
    entries: u8,
    agents: u8,
    queues: &[(&str, u32)],
) -> std::result::Result<(Deployment, Vec<Arc<Worker>>), String> {
    let deployment = Deployment::start(record.clone(), entries, agents)?;
    let mut workers = Vec::new();
    for index in 0..agents as usize {
        let id = format!("i-{:08x}", 0x7f3a_9100 + index);
        let (addr, agent) = (deployment.worker_addr(index), deployment.agent_addr(index));
        let worker = Worker::start(&id, addr, agent, "pool", "r1", record.clone());
        workers.push(worker.map_err(|error| error.to_string())?);
    }
    if !deployment.configure(&config(1, queues, &[KEY]), Duration::from_secs(15)) {
        return Err("no configuration was acknowledged".to_owned());
    }
    if !deployment.wait_ready(Duration::from_secs(10)) {
        return Err("an entry isn't ready".to_owned());
    }
    sleep(2000);
    Ok((deployment, workers))
}

/// Submits a job, again after no response, as clients do; returns the statuses.
fn submit(deployment: &Deployment, path: &str, body: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for attempt in 0..5 {
        let entry = deployment.entry_addr(attempt % deployment.entries.len());
        let status = client(entry, "POST", path, body).map_or(0, |answer| answer.status);
        deployment.record.line(format!("client POST {path} to {entry}: {status}"));
        statuses.push(status);
        if !matches!(status, 0 | 502 | 504) {
            break;
        }
    }
    statuses
}

/// Returns the state of a job as an entry shows it, or the status.
fn state(deployment: &Deployment, path: &str) -> String {
    let answer = client(deployment.entry_addr(0), "GET", path, "");
    let text = answer.map_or("no response".to_owned(), |answer| match answer.status {
        200 => answer.body,
        status => status.to_string(),
    });
    deployment.record.line(format!("client GET {path}: {text}"));
    text
}

fn all_seen(workers: &[Arc<Worker>]) -> Vec<(String, Seen)> {
    let seen = workers
        .iter()
        .flat_map(|worker| worker.seen().into_iter().map(|seen| (worker.id.clone(), seen)));
    seen.collect()
}

/// Returns the breaks of rule TWICE: two runs of a task at a time, or a start after an end `done`
/// that was taken note of, without a lapse of the lease between the two.
fn doubled(workers: &[Arc<Worker>]) -> Vec<String> {
    let all = all_seen(workers);
    let mut by_task = std::collections::BTreeMap::<&str, Vec<&(String, Seen)>>::new();
    for entry in &all {
        by_task.entry(entry.1.task.as_str()).or_default().push(entry);
    }
    let mut found = Vec::new();
    for (task, runs) in by_task {
        for (worker, first) in &runs {
            for (other, later) in &runs {
                if later.run == first.run && worker == other || later.started < first.started {
                    continue;
                }
                let done = first.how == "done" && first.noted.is_some() && !first.lapsed_between;
                let ended = first.ended.unwrap_or(u64::MAX);
                if done && later.started > ended {
                    found.push(format!(
                        "{task}: run {} ended done on {worker} at {ended} ms and was taken note of \
                         at {} ms; run {} started on {other} at {} ms",
                        first.run,
                        first.noted.unwrap_or(0),
                        later.run,
                        later.started
                    ));
                } else if later.started < ended && (later.run, other) != (first.run, worker) {
                    found.push(format!(
                        "{task}: run {} on {worker} from {} to {ended} ms, run {} on {other} at {}",
                        first.run, first.started, later.run, later.started
                    ));
                }
            }
        }
    }
    found
}
