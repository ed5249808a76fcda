//! More than 500 tasks of each worker end while no replica leads, after the leader was killed.

use super::*;

/// The tasks on each worker.
const TASKS: u64 = 530;
const WORKERS: u64 = 3;
/// The most rounds, each with one job and one kill.
const ROUNDS: u64 = 3;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result {
    let (deployment, workers) = start(record, 1, WORKERS as u8, &[("/q/", 1)])?;
    let mut found = Vec::new();
    for round in 0..ROUNDS {
        one_round(&deployment, &workers, round, trouble)?;
        found = doubled(&workers);
        if !found.is_empty() {
            break;
        }
    }
    found.iter().take(20).for_each(|text| record.line(format!("twice: {text}")));
    deployment.stop();
    match found.first() {
        Some(first) => Ok(Outcome::Broken(format!("{} tasks; {first}", found.len()))),
        None => Ok(Outcome::Held),
    }
}

fn one_round(
    deployment: &Deployment,
    workers: &[Arc<Worker>],
    round: u64,
    trouble: bool,
) -> std::result::Result<(), String> {
    let record = &deployment.record;
    let id = format!("00000000000000a{round}");
    let path = format!("/q/{id}");
    let body = json!({"spec": "work 6000 spread 300 cpu 10", "phases": [
        {"count": TASKS * WORKERS, "cpu": 10, "memMb": 16, "estimatedMs": 6000,
            "antiAffinity": TASKS}]});
    let statuses = submit(deployment, &path, &body.to_string());
    if statuses.last() != Some(&200) {
        return Err(format!("the job was not accepted: {statuses:?}"));
    }
    let running = || workers.iter().map(|worker| worker.running()).sum::<usize>();
    if !wait_for(5500, || running() as u64 == TASKS * WORKERS) {
        return Err(format!("only {} tasks run", running()));
    }
    let each: Vec<usize> = workers.iter().map(|worker| worker.running()).collect();
    record.say(format!("round {round}: all tasks run, {each:?} on the workers"));
    let ended = |seen: &Seen| seen.task.starts_with(&id) && seen.ended.is_some();
    if !wait_for(8000, || all_seen(workers).iter().any(|(_, seen)| ended(seen))) {
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
    wait_for(14_000, || {
        sleep(200);
        state(deployment, &path).contains("completed")
    });
    sleep(2000);
    let starts = all_seen(workers).iter().filter(|(_, seen)| seen.task.starts_with(&id)).count();
    let shown = state(deployment, &path);
    record.say(format!("{starts} starts of {} tasks, job {shown}", TASKS * WORKERS));
    Ok(())
}
