//! Cancelled jobs.

use std::time::Duration;

use super::*;

/// `cancel_ms` of the deployment.
const CANCEL_MS: u64 = 3000;

/// How long the machine of the entry is frozen.
const FREEZE: f64 = 4.0;

/// A client hands a job in at an entry that is frozen, leaves, and cancels the job at another entry.
pub fn late(folder: &Path, trouble: bool) -> Verdict {
    or_verdict(|| {
        let mut bed = Bed::start(folder, 3, json!([route("plain", "service-1", 1)]))?;
        bed.warm_up("plain")?;
        let step = |work: u32, after: Value| {
            json!({ "count": 1, "cpu": 1000, "memMb": 1000, "gpus": 1, "estimatedMs": work,
                "workMs": work, "after": after })
        };
        let phases = json!([step(4000, json!([])), step(1000, json!([0]))]);
        let id = "00000000000000a7";
        let path = format!("/plain/{id}");
        let began = record::now();
        if trouble {
            bed.site.signal("entry", 4, "STOP");
        }
        // The client waits for as long as its X-Deadline-Ms says.
        let accepted = bed.site.call_once(4, "POST", &path, &job(phases), secs(3));
        if accepted.is_some() == trouble {
            return Err(Verdict::NotRun(format!("the job was answered with {accepted:?}")));
        }
        let cancelled = bed.site.call_once(2, "DELETE", &path, "", secs(3));
        if !matches!(cancelled, Some(200 | 410)) {
            return Err(Verdict::NotRun(format!("the cancel was answered with {cancelled:?}")));
        }
        let acknowledged = record::now();
        if trouble {
            let left = (FREEZE * 1000.0) as u64;
            let left = left.saturating_sub(record::now() - began);
            std::thread::sleep(Duration::from_millis(left));
            bed.site.signal("entry", 4, "CONT");
        }
        pause(12.0);
        bed.site.call_once(2, "GET", &path, "", secs(3));
        let runs = bed.all_runs();
        let late =
            |seen: &&Seen| seen.task.starts_with(id) && seen.began > acknowledged + CANCEL_MS;
        check_processes(&mut bed.site);
        Ok(match runs.iter().find(late) {
            None => Verdict::Held,
            Some(seen) => Verdict::Broken(format!(
                "{} run {} was started {} ms after the cancel was acknowledged with {}; the job \
                 has run {} tasks in all",
                seen.task,
                seen.run,
                seen.began - acknowledged,
                cancelled.unwrap_or(0),
                runs.iter().filter(|seen| seen.task.starts_with(id)).count()
            )),
        })
    })
}
