//! A task of a job that lasts ends by itself, and has to be started again.

use super::*;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result {
    let (deployment, workers) = start(record, 1, 2, &[("/q/", 1)])?;
    let path = "/q/00000000000000b1";
    // Without the disruption the tasks go on until they are stopped.
    let spec = if trouble { "work 3000 end done cpu 500" } else { "work 0 cpu 500" };
    let body = json!({"spec": spec, "phases": [
        {"count": 2, "cpu": 500, "memMb": 64, "estimatedMs": 3000, "longRunning": true}]});
    let statuses = submit(&deployment, path, &body.to_string());
    if statuses.last() != Some(&200) {
        return Err(format!("the job was not accepted: {statuses:?}"));
    }
    sleep(20_000);
    let shown = state(&deployment, path);
    let seen = all_seen(&workers);
    let mut broken = Vec::new();
    for index in 0..2 {
        let task = format!("00000000000000b1.0.0.{index}");
        let runs: Vec<&Seen> =
            seen.iter().map(|(_, seen)| seen).filter(|seen| seen.task == task).collect();
        let last = runs.iter().filter_map(|seen| seen.ended).max().unwrap_or(0);
        let runs_now = runs.iter().any(|seen| seen.ended.is_none());
        let away = record.now().saturating_sub(last);
        record.say(format!(
            "{task}: {} runs, runs now: {runs_now}, last end {away} ms ago",
            runs.len()
        ));
        if !runs_now && away > 9000 {
            broken
                .push(format!("{task} has had no run for {away} ms; the job is shown as {shown}"));
        }
    }
    deployment.stop();
    match broken.first() {
        Some(first) => Ok(Outcome::Broken(first.clone())),
        None => Ok(Outcome::Held),
    }
}
