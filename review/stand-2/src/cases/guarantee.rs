//! Guarantees of tenants.

use super::*;

/// `reclaimMs` and `configApplyMs` of the deployment.
const RECLAIM_MS: u64 = 2900;
const CONFIG_APPLY: u64 = 2;

/// How long the other tenant's tasks work: the longest of the site's queue of priority 0 take 22 s.
const WORK_MS: u32 = 21_000;

/// How long the check waits for the job.
const PATIENCE: u64 = 30;

/// A configuration moves a guarantee from one tenant to another, whose job claims it.
pub fn moved(folder: &Path, trouble: bool) -> Verdict {
    or_verdict(|| {
        let routes = json!([route("urgent", "service-1", 0)]);
        let (before, after) = ((0, 16), (8, 8));
        let first = if trouble { before } else { after };
        let mut bed = Bed::start_with(folder, 2, routes.clone(), first)?;
        bed.warm_up("urgent")?;
        let phases = |work: u32| {
            json!([{ "count": 1, "cpu": 1000, "memMb": 1000, "gpus": 8, "estimatedMs": work,
                "workMs": work }])
        };
        // Two jobs of the other tenant hold all GPUs.
        let long = ["00000000000000b7", "00000000000000b8"];
        for id in long {
            let (path, body) = (format!("/urgent/{id}"), job(phases(WORK_MS)));
            let sent = bed.site.call_as(crate::site::KEY_TWO, "POST", &path, &body);
            let task = format!("{id}.0.0.0");
            if !sent.is_some_and(|(status, _)| status == 200)
                || !wait(secs(10), || bed.running_on(&task).is_some())
            {
                return Err(Verdict::NotRun("the other tenant's job did not start".to_owned()));
            }
        }
        pause(3.0);
        bed.site.guarantees = after;
        if trouble && !bed.site.configure(routes, secs(10)) {
            return Err(Verdict::NotRun("the change was not acknowledged".to_owned()));
        }
        pause(CONFIG_APPLY as f64 + 1.0);
        let id = "00000000000000c9";
        if !bed.submit(&format!("/urgent/{id}"), phases(1000)) {
            return Err(Verdict::NotRun("the urgent job was not accepted".to_owned()));
        }
        let accepted = record::now();
        let task = format!("{id}.0.0.0");
        wait(secs(PATIENCE), || !bed.runs(&task).is_empty());
        let waited = bed.runs(&task).first().map(|seen| seen.began.saturating_sub(accepted));
        bed.site.call("GET", &format!("/urgent/{id}"), "");
        check_processes(&mut bed.site);
        Ok(match waited {
            Some(waited) if waited <= RECLAIM_MS => Verdict::Held,
            Some(waited) => Verdict::Broken(format!("{task} began after {waited} ms")),
            None => Verdict::Broken(format!(
                "{task} has not begun {PATIENCE} s after its acknowledgement, though its tenant is \
                 guaranteed the 8 GPUs that it needs"
            )),
        })
    })
}
