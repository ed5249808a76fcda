//! Ordinary jobs are submitted while each worker runs one small task that lasts.

use super::*;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result {
    let (deployment, workers) = start(record, 1, 3, &[("/q/", 1)])?;
    if trouble {
        let path = "/q/00000000000000f0";
        let body = json!({"spec": "work 0 cpu 500", "phases": [{"count": 3, "cpu": 500,
            "memMb": 64, "longRunning": true, "antiAffinity": 1, "mayMiss": 1}]});
        let statuses = submit(&deployment, path, &body.to_string());
        if statuses.last() != Some(&200)
            || !wait_for(10_000, || workers.iter().all(|worker| worker.running() == 1))
        {
            return Err(format!("the job that lasts doesn't run: {statuses:?}"));
        }
        record.say("one task that lasts runs on each worker");
    }
    sleep(8000);
    let path = "/q/00000000000000f1";
    let body = json!({"spec": "work 500 cpu 500", "phases": [
        {"count": 2, "cpu": 500, "memMb": 64, "estimatedMs": 500}]});
    let statuses = submit(&deployment, path, &body.to_string());
    if statuses.last() != Some(&200) {
        return Err(format!("the job was not accepted: {statuses:?}"));
    }
    let accepted = record.now();
    let begun = || {
        let all = all_seen(&workers);
        all.iter().find(|(_, seen)| seen.task.starts_with("00000000000000f1")).map(|s| s.1.started)
    };
    wait_for(25_000, || begun().is_some());
    let shown = state(&deployment, path);
    let begun = begun();
    deployment.stop();
    match begun {
        Some(at) => {
            record.say(format!("the job began after {} ms", at.saturating_sub(accepted)));
            Ok(Outcome::Held)
        }
        None => Ok(Outcome::Broken(format!(
            "the job has had no task for 25000 ms, each worker runs 500 of 32000: {shown}"
        ))),
    }
}
