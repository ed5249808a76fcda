//! A worker that drains.

use super::*;

/// `drainTimeoutMs` of the deployment.
const DRAIN_TIMEOUT_MS: u64 = 2000;

/// How long the heartbeat is held up: workers are cut off for up to 5.5 s.
const DELAY: f64 = 4.15;

/// A heartbeat that a worker sent before it began to drain arrives after those that say so.
pub fn late_heartbeat(folder: &Path, trouble: bool) -> Verdict {
    or_verdict(|| {
        let mut bed = Bed::start(folder, 6, json!([route("plain", "service-1", 1)]))?;
        bed.warm_up("plain")?;
        let worker = bed.workers[0].clone();
        let before = worker.sequence();
        if trouble {
            worker.hold_next(std::time::Duration::from_secs_f64(DELAY));
        }
        if !wait(secs(4), || worker.sequence() > before) {
            return Err(Verdict::NotRun("no heartbeat was sent".to_owned()));
        }
        pause(0.9);
        worker.drain(std::time::Duration::from_millis(6000));
        if !wait(secs(4), || worker.drain_acknowledged().is_some()) {
            return Err(Verdict::NotRun("the drain was not acknowledged".to_owned()));
        }
        let acknowledged = worker.drain_acknowledged().unwrap_or(0);
        pause(0.4);
        // Only the worker that drains is of the kind that the job needs.
        let id = "00000000000000f6";
        let phases = json!([{ "count": 1, "cpu": 1000, "memMb": 1000, "gpus": 1,
            "estimatedMs": 4000, "workMs": 4000, "constraints": "b" }]);
        if !bed.submit(&format!("/plain/{id}"), phases) {
            return Err(Verdict::NotRun("the job was not accepted".to_owned()));
        }
        pause(5.0);
        worker.leave();
        pause(1.0);
        let late = |seen: &&Seen| {
            seen.worker == worker.id() && seen.began > acknowledged + DRAIN_TIMEOUT_MS
        };
        let runs = bed.all_runs();
        let found = runs.iter().find(late);
        check_processes(&mut bed.site);
        Ok(match found {
            None => Verdict::Held,
            Some(seen) => Verdict::Broken(format!(
                "{} run {} was started on {} {} ms after its drain was acknowledged; it ended so: {:?}",
                seen.task,
                seen.run,
                seen.worker,
                seen.began - acknowledged,
                seen.ended
            )),
        })
    })
}
