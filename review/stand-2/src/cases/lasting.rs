//! Tasks that last.

use super::*;

/// From `6 s after its last run` a task that lasts may have nothing running for no 3 s, where the
/// 3 s and the 4 s before them are calm and there is room. The checks wait for twice that and more.
const PATIENCE: u64 = 30;

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
