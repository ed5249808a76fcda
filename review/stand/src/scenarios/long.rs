//! A task takes ten times as long as its client estimated, on idle workers.

use super::*;

/// The whole work of the task, in milliseconds.
const WORK_MS: u64 = 300_000;
/// How long the job is watched.
const WATCH_MS: u64 = 85_000;
/// `finish_s` of the settings, in milliseconds.
const FINISH_MS: u64 = 14_000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result {
    let (deployment, workers) = start(record, 1, 3, &[("/q/", 1)])?;
    let estimate = if trouble { WORK_MS / 10 } else { WORK_MS };
    let path = "/q/00000000000000a3";
    let body = json!({"spec": format!("work {WORK_MS} cpu 1000"), "phases": [
        {"count": 1, "cpu": 1000, "memMb": 64, "estimatedMs": estimate}]});
    let statuses = submit(&deployment, path, &body.to_string());
    if statuses.last() != Some(&200) {
        return Err(format!("the job was not accepted: {statuses:?}"));
    }
    let from = record.now() + FINISH_MS;
    sleep(WATCH_MS);
    let shown = state(&deployment, path);
    let end = record.now();
    let mut runs: Vec<Seen> = all_seen(&workers).into_iter().map(|(_, seen)| seen).collect();
    runs.sort_by_key(|seen| seen.started);
    let mut gaps = Vec::new();
    for (index, seen) in runs.iter().enumerate() {
        let Some(ended) = seen.ended else { continue };
        let next = runs.get(index + 1).map_or(end, |next| next.started);
        record.line(format!(
            "run {} from {} to {ended} ms, {}; the next after {} ms",
            seen.run,
            seen.started,
            seen.how,
            next.saturating_sub(ended)
        ));
        if ended >= from && next > ended + 3000 {
            gaps.push((ended, next - ended));
        }
    }
    let longest = runs.iter().map(|seen| seen.ended.unwrap_or(end) - seen.started).max();
    record.say(format!(
        "{} runs, the longest of {} ms of {WORK_MS}; job {shown}",
        runs.len(),
        longest.unwrap_or(0)
    ));
    deployment.stop();
    match gaps.as_slice() {
        [] => Ok(Outcome::Held),
        [(at, gap), ..] => Ok(Outcome::Broken(format!(
            "{} times, first at {at} ms for {gap} ms, nothing of the job ran on three workers that \
             were idle; {} runs were stopped",
            gaps.len(),
            runs.iter().filter(|seen| seen.how == "stopped").count()
        ))),
    }
}
