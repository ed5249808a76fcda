//! More than 500 tasks of one worker end while no replica leads, after the leader was killed.

use std::sync::Arc;

use super::*;

const TASKS: u64 = 530;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result {
    let (deployment, workers) = start(record, 1, 2, &[("/q/", 1)])?;
    let path = "/q/00000000000000a1";
    let body = json!({"spec": "work 6000 spread 300 cpu 10", "phases": [
        {"count": TASKS, "cpu": 10, "memMb": 16, "estimatedMs": 6000}]});
    let statuses = submit(&deployment, path, &body.to_string());
    if statuses.last() != Some(&200) {
        return Err(format!("the job was not accepted: {statuses:?}"));
    }
    let running = || workers.iter().map(|worker| worker.running()).sum::<usize>();
    if !wait_for(15000, || running() as u64 == TASKS) {
        return Err(format!("only {} tasks run", running()));
    }
    let each: Vec<usize> = workers.iter().map(|worker| worker.running()).collect();
    record.say(format!("all tasks run, {each:?} on the workers"));
    if !wait_for(12000, || all_seen(&workers).iter().any(|(_, seen)| seen.ended.is_some())) {
        return Err("no task ends".to_owned());
    }
    if trouble {
        let leader = deployment.leader().ok_or("no control process leads")?;
        record.say(format!("the leading control process, {leader}, is killed"));
        deployment.kill_control(leader);
        sleep(2500);
        deployment.restart_control(leader)?;
        record.say("and started again");
    }
    wait_for(40_000, || state(&deployment, path).contains("completed"));
    sleep(3000);
    let found = doubled(&workers);
    found.iter().take(20).for_each(|text| record.line(format!("twice: {text}")));
    let shown = state(&deployment, path);
    record.say(format!("{} starts of {TASKS} tasks, job {shown}", all_seen(&workers).len()));
    deployment.stop();
    match found.first() {
        Some(first) => Ok(Outcome::Broken(format!("{} tasks; {first}", found.len()))),
        None => Ok(Outcome::Held),
    }
}
