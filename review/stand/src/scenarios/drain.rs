//! A heartbeat `ready` that was held up arrives after a later one, `draining`, was acknowledged.

use std::sync::atomic::Ordering;

use super::*;

/// `drainTimeoutMs` of the settings.
const DRAIN_MS: u64 = 2000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result {
    let (deployment, workers) = start(record, 1, 1, &[("/q/", 1)])?;
    let worker = &workers[0];
    worker.beats.store(false, Ordering::SeqCst);
    sleep(1600);
    let (path, late) = worker.next_beat();
    worker.draining.store(true, Ordering::SeqCst);
    if !worker.beat() {
        return Err("the heartbeat `draining` was not acknowledged".to_owned());
    }
    let acked = record.now();
    record.say("the heartbeat `draining` is acknowledged");
    worker.beats.store(true, Ordering::SeqCst);
    let body = json!({"spec": "work 500 cpu 500", "phases": [
        {"count": 1, "cpu": 500, "memMb": 64, "estimatedMs": 500}]});
    submit(&deployment, "/q/00000000000000f1", &body.to_string());
    sleep(2600);
    if trouble {
        let timeout = Duration::from_secs(1);
        let answer = crate::http::call(worker.agent, "PUT", &path, &[], &late, timeout);
        let status = answer.map_or(0, |answer| answer.status);
        record.say(format!("the earlier heartbeat arrives late: {late}: {status}"));
    }
    sleep(4000);
    let began = all_seen(&workers).first().map(|(_, seen)| seen.started);
    deployment.stop();
    match began {
        Some(at) if at > acked + DRAIN_MS => Ok(Outcome::Broken(format!(
            "a task started {} ms after `draining` was acknowledged",
            at - acked
        ))),
        _ => Ok(Outcome::Held),
    }
}
