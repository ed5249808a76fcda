//! Workers that start again under their names, and late or stray messages of other lives.

use std::sync::atomic::Ordering;
use std::time::{SystemTime, UNIX_EPOCH};

use super::*;
use crate::http;

const JOB: &str = "/q/00000000000000f1";

/// A worker leaves, and its DELETE is held up until it has started again under its name.
pub fn late_delete(record: &Arc<Record>, trouble: bool) -> Result {
    let (deployment, workers) = start(record, 1, 1, &[("/q/", 1)])?;
    let worker = &workers[0];
    worker.draining.store(true, Ordering::SeqCst);
    if !worker.beat() {
        return Err("the heartbeat `draining` was not acknowledged".to_owned());
    }
    sleep(2500);
    worker.crash();
    record.say("the worker has left; its DELETE is held up");
    sleep(1000);
    worker.start_again(unix_now());
    if !wait_for(3000, || worker.beat()) {
        return Err("no heartbeat of the new life was acknowledged".to_owned());
    }
    sleep(2000);
    if trouble {
        delete(worker, record);
    }
    sleep(2000);
    watch(deployment, &workers, record)
}

/// The clock of day steps back between two lives of a worker.
pub fn clock_back(record: &Arc<Record>, trouble: bool) -> Result {
    let (deployment, workers) = start(record, 1, 1, &[("/q/", 1)])?;
    let worker = &workers[0];
    worker.crash();
    sleep(300);
    // The second life begins while the clock is 2.4 s ahead, the third after it is right again.
    let ahead = if trouble { 2400 } else { 0 };
    worker.start_again(unix_now() + ahead);
    wait_for(3000, || worker.beat());
    sleep(700);
    worker.crash();
    sleep(300);
    worker.start_again(unix_now());
    wait_for(3000, || worker.beat());
    sleep(4000);
    watch(deployment, &workers, record)
}

/// A heartbeat of a service that isn't named reaches an agent that has just been started again,
/// and the agent is started again later.
pub fn outbid(record: &Arc<Record>, trouble: bool) -> Result {
    let (deployment, workers) = start(record, 1, 1, &[("/q/", 1)])?;
    let worker = &workers[0];
    worker.beats.store(false, Ordering::SeqCst);
    sleep(1600);
    deployment.restart_agent(0)?;
    let stray = json!({
        "backend": "elsewhere", "address": "127.0.0.1:9", "zone": "north", "version": "v1",
        "slots": 8, "state": "ready", "coldRemainingMs": 0,
        "capacity": {"cpu": 1000, "memMb": 1000, "gpus": 0}, "labels": ["a", "r1"],
        "clockMs": 1, "sequence": 1, "born": worker.born() + 60_000,
    });
    if trouble {
        let sent = wait_for(3000, || {
            let timeout = Duration::from_secs(1);
            let path = "/-/instances/i-0badcafe";
            let answer = http::call(worker.agent, "PUT", path, &[], &stray.to_string(), timeout);
            answer.is_some()
        });
        record.say(format!("the stray heartbeat was sent: {sent}"));
    }
    worker.beats.store(true, Ordering::SeqCst);
    wait_for(3000, || worker.beat());
    sleep(3000);
    deployment.restart_agent(0)?;
    record.say("the agent is started again");
    wait_for(3000, || worker.beat());
    sleep(4000);
    watch(deployment, &workers, record)
}

fn unix_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn delete(worker: &Worker, record: &Record) {
    let path = format!("/-/instances/{}", worker.id);
    let timeout = Duration::from_secs(1);
    let answer = http::call(worker.agent, "DELETE", &path, &[], "", timeout);
    let status = answer.map_or(0, |answer| answer.status);
    record.say(format!("the DELETE of the earlier life arrives: {status}"));
}

/// Submits a job and waits for its start on the only worker, which is idle and says `ready`.
fn watch(deployment: Deployment, workers: &[Arc<Worker>], record: &Record) -> Result {
    let body = json!({"spec": "work 500 cpu 500", "phases": [
        {"count": 1, "cpu": 500, "memMb": 64, "estimatedMs": 500}]});
    let statuses = submit(&deployment, JOB, &body.to_string());
    if statuses.last() != Some(&200) {
        return Err(format!("the job was not accepted: {statuses:?}"));
    }
    let accepted = record.now();
    wait_for(30_000, || !all_seen(workers).is_empty());
    let shown = state(&deployment, JOB);
    let began = all_seen(workers).first().map(|(_, seen)| seen.started);
    deployment.stop();
    match began {
        Some(at) => {
            record.say(format!("the job began after {} ms", at.saturating_sub(accepted)));
            Ok(Outcome::Held)
        }
        None => Ok(Outcome::Broken(format!(
            "the job has had no task for 30000 ms, though the worker is idle and ready: {shown}"
        ))),
    }
}
