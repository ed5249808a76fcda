//! The count of a queue's jobs.

use super::*;

/// `visible_ms` of the deployment.
const VISIBLE_MS: u64 = 3000;

/// A worker crashes, and jobs that were placed there have not begun.
pub fn pending(folder: &Path, trouble: bool) -> Verdict {
    or_verdict(|| {
        let mut bed = Bed::start(folder, 8, json!([route("plain", "service-1", 1)]))?;
        bed.warm_up("plain")?;
        let phases = |work: u32| {
            json!([{ "count": 1, "cpu": 1000, "memMb": 1000, "gpus": 1, "estimatedMs": work,
                "workMs": work }])
        };
        if !bed.submit("/plain/0000000000000100", phases(9000)) {
            return Err(Verdict::NotRun("the first job was not accepted".to_owned()));
        }
        let first = "0000000000000100.0.0.0";
        if !wait(secs(10), || bed.running_on(first).is_some()) {
            return Err(Verdict::NotRun("the first job did not start".to_owned()));
        }
        pause(3.0);
        let Some(worker) = bed.running_on(first).cloned() else {
            return Err(Verdict::NotRun("the first job has ended".to_owned()));
        };
        if trouble {
            worker.crash();
        }
        let ids: Vec<_> = (1..=5).map(|number| format!("00000000000002{number:02}")).collect();
        let mut accepted = Vec::new();
        for id in &ids {
            pause(0.2);
            if bed.submit(&format!("/plain/{id}"), phases(1000)) {
                accepted.push((id.clone(), record::now()));
            }
        }
        let begun = |bed: &Bed, id: &str| !bed.runs(&format!("{id}.0.0.0")).is_empty();
        let mut broken = None;
        let mut worst = String::new();
        for _ in 0..60 {
            pause(0.25);
            let before = record::now();
            // Those that are old enough now and have still not begun after the answer.
            let answer = bed.site.call("GET", "/plain/", "");
            let waiting = accepted
                .iter()
                .filter(|(id, at)| at + VISIBLE_MS + 2000 < before && !begun(&bed, id));
            let waiting = waiting.count() as u64;
            let Some(count) = answer.and_then(|(_, body)| body["pendingJobs"].as_u64()) else {
                continue;
            };
            if waiting > 0 {
                worst = format!("{count} given, {waiting} have waited for over 5 s");
                record::line(&worst);
            }
            if count * 2 < waiting && broken.is_none() {
                broken = Some(worst.clone());
            }
        }
        check_processes(&mut bed.site);
        Ok(match broken {
            None => Verdict::Held,
            Some(text) => Verdict::Broken(format!("pendingJobs: {text}")),
        })
    })
}
