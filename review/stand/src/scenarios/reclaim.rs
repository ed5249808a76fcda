//! A tenant claims its guaranteed accelerators while tasks that last, of another tenant, hold all.

use super::*;
use crate::deployment::{client_with, config_with};

/// `reclaimMs` of the settings.
const RECLAIM_MS: u64 = 2900;
const OTHER_KEY: &str = "d4a3hwrr6x73d3zji9n7";

pub fn run(record: &Arc<Record>, trouble: bool) -> Result {
    let (deployment, workers) = start(record, 1, 3, &[("/urgent/", 0), ("/q/", 1)])?;
    let tenants = json!([
        {"name": "owner", "apiKeys": [KEY], "priority": 1, "guaranteedGpus": {"gpus": 8}},
        {"name": "other", "apiKeys": [OTHER_KEY], "priority": 1, "guaranteedGpus": {"gpus": 0}}]);
    let next = config_with(2, &[("/urgent/", 0), ("/q/", 1)], tenants);
    if !deployment.configure(&next, Duration::from_secs(10)) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    sleep(2500);
    if trouble {
        let lasts = std::env::var("LASTS").as_deref() != Ok("0");
        let body = json!({"spec": "work 0 cpu 1000 gpus 8", "phases": [{"count": 1, "cpu": 1000,
            "memMb": 64, "gpus": 8, "estimatedMs": 60_000, "longRunning": lasts, "mayMiss": 1}]});
        for job in 0..3 {
            let path = format!("/q/00000000000000d{job}");
            let entry = deployment.entry_addr(0);
            let answer = client_with(OTHER_KEY, entry, "POST", &path, &body.to_string());
            let status = answer.map_or(0, |answer| answer.status);
            record.say(format!("the other tenant's POST {path}: {status}"));
        }
        let running = || workers.iter().map(|worker| worker.running()).sum::<usize>();
        if !wait_for(10_000, || running() == 3) {
            return Err(format!("only {} tasks of the other tenant run", running()));
        }
        sleep(4000);
    }
    let path = "/urgent/00000000000000c2";
    let body = json!({"spec": "work 1000 cpu 1000 gpus 8", "phases": [
        {"count": 1, "cpu": 1000, "memMb": 64, "gpus": 8, "estimatedMs": 1000}]});
    let statuses = submit(&deployment, path, &body.to_string());
    if statuses.last() != Some(&200) {
        return Err(format!("the guaranteed job was not accepted: {statuses:?}"));
    }
    let accepted = record.now();
    record.say("the job within the guarantee was accepted");
    let begun = || {
        let all = all_seen(&workers);
        all.iter().find(|(_, seen)| seen.task.starts_with("00000000000000c2")).map(|s| s.1.started)
    };
    wait_for(20_000, || begun().is_some());
    let shown = state(&deployment, path);
    let begun = begun();
    deployment.stop();
    match begun {
        Some(at) if at <= accepted + RECLAIM_MS => {
            record.say(format!("it began after {} ms", at.saturating_sub(accepted)));
            Ok(Outcome::Held)
        }
        Some(at) => Ok(Outcome::Broken(format!("the job began after {} ms", at - accepted))),
        None => Ok(Outcome::Broken(format!("the job hasn't begun after 20000 ms: {shown}"))),
    }
}
