//! Tasks that last.

use super::*;

/// From `6 s after its last run` a task that lasts may have nothing running for no 3 s, where the
/// 3 s and the 4 s before them are calm and there is room. The checks wait for twice that and more.
const PATIENCE: u64 = 30;

/// One of eight is less than the share of workers that crash at a time.
const WORKERS: u8 = 8;

/// A worker is lost for good; the task that lasted there is to run again on another one.
pub fn crash(folder: &Path, trouble: bool) -> Verdict {
    or_verdict(|| {
        let mut bed = Bed::start(folder, WORKERS, json!([route("lasting", "service-1", 1)]))?;
        bed.warm_up("lasting")?;
        let lasting = |count: u32, spread: u32| {
            json!([{ "count": count, "cpu": 1000, "memMb": 1000, "gpus": 1, "estimatedMs": 1000,
                "antiAffinity": spread, "longRunning": true }])
        };
        // One task on each worker.
        let (spread, single) = ("00000000000000a1", "00000000000000b2");
        if !bed.submit(&format!("/lasting/{spread}"), lasting(WORKERS.into(), 1)) {
            return Err(Verdict::NotRun("the first job was not accepted".to_owned()));
        }
        let all = wait(secs(10), || {
            (0..WORKERS).all(|index| bed.running_on(&format!("{spread}.0.0.{index}")).is_some())
        });
        if !all || !bed.submit(&format!("/lasting/{single}"), lasting(1, 0)) {
            return Err(Verdict::NotRun("the jobs did not start".to_owned()));
        }
        let task = format!("{single}.0.0.0");
        if !wait(secs(10), || bed.running_on(&task).is_some()) {
            return Err(Verdict::NotRun("the second job did not start".to_owned()));
        }
        pause(8.0);
        let Some(worker) = bed.running_on(&task).cloned() else {
            return Err(Verdict::NotRun("the second job did not last".to_owned()));
        };
        if trouble {
            worker.crash();
        }
        let again = wait(secs(PATIENCE), || trouble && bed.running_on(&task).is_some());
        let runs = bed.runs(&task);
        record::line(format!("runs of {task}: {runs:?}"));
        bed.site.call("GET", &format!("/lasting/{single}"), "");
        check_processes(&mut bed.site);
        if trouble && !again {
            return Ok(Verdict::Broken(format!(
                "for {PATIENCE} s after the crash of {} nothing of {task} runs; each of the other \
                 workers has 7 of 8 GPUs and 31 of 32 cores free",
                worker.id()
            )));
        }
        Ok(match bed.running_on(&task) {
            Some(_) => Verdict::Held,
            None => Verdict::Broken(format!("{task} does not run")),
        })
    })
}

/// A task that lasts ends as done; it is to be started again.
pub fn done(folder: &Path, trouble: bool) -> Verdict {
    or_verdict(|| {
        let mut bed = Bed::start(folder, 2, json!([route("lasting", "service-1", 1)]))?;
        bed.warm_up("lasting")?;
        let id = "00000000000000c3";
        let phases = json!([{ "count": 1, "cpu": 1000, "memMb": 1000, "gpus": 1,
            "estimatedMs": 1000, "longRunning": true }]);
        let path = format!("/lasting/{id}");
        let task = format!("{id}.0.0.0");
        if !bed.submit(&path, phases) || !wait(secs(10), || bed.running_on(&task).is_some()) {
            return Err(Verdict::NotRun("the job did not start".to_owned()));
        }
        pause(6.0);
        let Some(worker) = bed.running_on(&task).cloned() else {
            return Err(Verdict::NotRun("the job did not last".to_owned()));
        };
        if trouble {
            worker.end_task(&task, "done");
        }
        let again = wait(secs(PATIENCE), || trouble && bed.running_on(&task).is_some());
        record::line(format!("runs of {task}: {:?}", bed.runs(&task)));
        let state = bed.site.call("GET", &path, "").map(|(_, body)| body["state"].to_string());
        check_processes(&mut bed.site);
        if trouble && !again {
            return Ok(Verdict::Broken(format!(
                "for {PATIENCE} s after {task} ended as done it is not started again; its job, \
                 which nobody has cancelled, is shown as {}",
                state.unwrap_or_default()
            )));
        }
        Ok(match bed.running_on(&task) {
            Some(_) => Verdict::Held,
            None => Verdict::Broken(format!("{task} does not run")),
        })
    })
}

/// A tenant claims its guaranteed GPUs while tasks of another tenant that last use what was idle.
pub fn reclaim(folder: &Path, trouble: bool) -> Verdict {
    /// `reclaimMs` of the deployment.
    const RECLAIM_MS: u64 = 2900;
    or_verdict(|| {
        let routes = json!([route("lasting", "service-1", 1), route("urgent", "service-1", 0)]);
        let mut bed = Bed::start(folder, 2, routes)?;
        bed.warm_up("lasting")?;
        let phases = json!([{ "count": 16, "cpu": 1000, "memMb": 1000, "gpus": 1,
            "estimatedMs": 1000, "longRunning": true }]);
        let fill = "00000000000000d4";
        if trouble {
            let path = format!("/lasting/{fill}");
            let sent = bed.site.call_as(crate::site::KEY_TWO, "POST", &path, &job(phases));
            let accepted = sent.is_some_and(|(status, _)| status == 200);
            let all = wait(secs(15), || {
                let running = |index| bed.running_on(&format!("{fill}.0.0.{index}")).is_some();
                (0..16).filter(|index| running(*index)).count() > 8
            });
            if !accepted || !all {
                return Err(Verdict::NotRun("the other tenant's job did not start".to_owned()));
            }
        }
        pause(8.0);
        let id = "00000000000000e5";
        let phases = json!([{ "count": 1, "cpu": 1000, "memMb": 1000, "gpus": 8,
            "estimatedMs": 1000, "workMs": 1000 }]);
        if !bed.submit(&format!("/urgent/{id}"), phases) {
            return Err(Verdict::NotRun("the urgent job was not accepted".to_owned()));
        }
        let accepted = record::now();
        let task = format!("{id}.0.0.0");
        let began = wait(secs(PATIENCE), || !bed.runs(&task).is_empty());
        let after = bed.runs(&task).first().map(|seen| seen.began.saturating_sub(accepted));
        bed.site.call("GET", &format!("/urgent/{id}"), "");
        check_processes(&mut bed.site);
        Ok(match after.filter(|after| *after <= RECLAIM_MS) {
            Some(_) => Verdict::Held,
            None if began => Verdict::Broken(format!("{task} began after {after:?} ms")),
            None => Verdict::Broken(format!(
                "for {PATIENCE} s after its acknowledgement {task} has not begun, though its \
                 tenant is guaranteed the 8 GPUs that it needs"
            )),
        })
    })
}
