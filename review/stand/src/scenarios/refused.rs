//! All processes of the core are killed while clients submit jobs and the operator removes their
//! queue. Each client sends its job once.

use std::collections::BTreeMap;
use std::sync::{Barrier, Mutex};

use super::*;
use crate::deployment::{Signal, signal};

const ROUNDS: u64 = 8;
const CLIENTS: u64 = 48;
/// The length of each job's spec, in bytes.
const SPEC_BYTES: usize = 3500;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result {
    let prefixes: Vec<String> = (0..=ROUNDS).map(|round| format!("/q{round}/")).collect();
    let all: Vec<(&str, u32)> = prefixes.iter().map(|prefix| (prefix.as_str(), 1)).collect();
    let (deployment, workers) = start(record, 2, 2, &all)?;
    let statuses: Mutex<BTreeMap<String, u16>> = Mutex::default();
    for round in 0..ROUNDS {
        one_round(&deployment, round, &all, &statuses, trouble)?;
        if !deployment.wait_ready(Duration::from_secs(12)) {
            return Err("no leader is found any more".to_owned());
        }
        sleep(1500);
    }
    sleep(3000);
    let statuses = statuses.into_inner().map_err(|error| error.to_string())?;
    let mut counts = BTreeMap::<u16, u64>::new();
    statuses.values().for_each(|status| *counts.entry(*status).or_default() += 1);
    let mut broken = Vec::new();
    for (worker, seen) in all_seen(&workers) {
        let id = seen.task.split('.').next().unwrap_or_default();
        if let Some(404) = statuses.get(id) {
            let text = format!(
                "job {id}: its only attempt was answered with 404, and {} run {} started on \
                 {worker} at {} ms",
                seen.task, seen.run, seen.started
            );
            record.line(format!("refused: {text}"));
            broken.push(text);
        }
    }
    record.say(format!("jobs by status (0: no response): {counts:?}"));
    deployment.stop();
    match broken.first() {
        Some(first) => Ok(Outcome::Broken(format!("{} jobs; {first}", broken.len()))),
        None => Ok(Outcome::Held),
    }
}

fn one_round(
    deployment: &Deployment,
    round: u64,
    all: &[(&str, u32)],
    statuses: &Mutex<BTreeMap<String, u16>>,
    trouble: bool,
) -> std::result::Result<(), String> {
    let prefix = all[round as usize].0;
    let next = config(round + 2, &all[round as usize + 1..], &[KEY]);
    let spec = format!("work 50 {}", "x".repeat(SPEC_BYTES));
    let body = json!({"spec": spec, "phases": [
        {"count": 1, "cpu": 10, "memMb": 1, "estimatedMs": 50}]});
    let body = body.to_string();
    let begin = Barrier::new(CLIENTS as usize + 1);
    let mut started = Ok(());
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let entry = deployment.entry_addr(number as usize % deployment.entries.len());
            let (record, begin, body) = (deployment.record.clone(), &begin, &body);
            scope.spawn(move || {
                let id = format!("{:016x}", (round << 32) + number);
                let path = format!("{prefix}{id}");
                begin.wait();
                let status = client(entry, "POST", &path, body).map_or(0, |answer| answer.status);
                record.line(format!("client POST {path} to {entry}: {status}"));
                statuses.lock().unwrap().insert(id, status);
            });
        }
        let ids: Vec<u32> = deployment.controls.iter().map(Deployment::pid).collect();
        begin.wait();
        let operator = scope.spawn(move || deployment.configure(&next, Duration::from_secs(15)));
        thread::sleep(Duration::from_micros(1000 + round * 500));
        if trouble {
            signal(&ids, Signal::Kill);
            deployment.record.say(format!("round {round}: all control processes are killed"));
        }
        sleep(300);
        if trouble {
            started = (0..3).try_for_each(|index| deployment.restart_control(index));
        }
        if !operator.join().unwrap_or(false) {
            started = Err("the configuration was not acknowledged".to_owned());
        }
    });
    started
}
