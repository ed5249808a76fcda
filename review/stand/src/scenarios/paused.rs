//! Processes of all roles are paused and killed at random while jobs run and are cancelled.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use super::*;
use crate::deployment::{Signal, signal};

/// How long the disturbances go on.
const TROUBLE_MS: u64 = 60_000;
/// `cancel_ms` of the settings.
const CANCEL_MS: u64 = 3000;

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Result {
    let seed: u64 = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let (deployment, workers) = start(record, 3, 4, &[("/u/", 0), ("/q/", 1)])?;
    // The statuses of each job's attempts, and when its cancelling was acknowledged.
    let jobs: Mutex<BTreeMap<String, (Vec<u16>, Option<u64>)>> = Mutex::default();
    let (stop, next) = (AtomicBool::new(false), AtomicU64::new(1));
    thread::scope(|scope| {
        for client in 0..4_u64 {
            let (deployment, jobs, stop, next) = (&deployment, &jobs, &stop, &next);
            scope.spawn(move || {
                let mut random = Random(seed * 7919 + client * 104_729 + 1);
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("{:016x}", next.fetch_add(1, Ordering::SeqCst));
                    let prefix = if random.below(4) == 0 { "/u/" } else { "/q/" };
                    let path = format!("{prefix}{id}");
                    let gang = random.below(3) == 0;
                    let cpu = 500 + random.below(6) * 500;
                    let work = 200 + random.below(4000);
                    let body = json!({"spec": format!("work {work} cpu {cpu}"), "phases": [
                        {"count": 1 + random.below(4), "cpu": cpu, "memMb": 64,
                            "estimatedMs": work, "gang": gang}]});
                    let statuses = submit(deployment, &path, &body.to_string());
                    let accepted = statuses.last() == Some(&200);
                    jobs.lock().unwrap().insert(id.clone(), (statuses, None));
                    if accepted && random.below(4) == 0 {
                        sleep(random.below(1500));
                        for attempt in 0..8 {
                            let entry = deployment.entry_addr(attempt % 3);
                            let answer = client_call(entry, &path);
                            deployment.record.line(format!("client DELETE {path}: {answer}"));
                            if matches!(answer, 200 | 410) {
                                let now = deployment.record.now();
                                jobs.lock().unwrap().get_mut(&id).unwrap().1 = Some(now);
                                break;
                            }
                            sleep(200);
                        }
                    }
                    sleep(random.below(600));
                }
            });
        }
        let mut random = Random(seed * 31_337 + 17);
        let until = record.now() + TROUBLE_MS;
        while record.now() < until {
            sleep(500 + random.below(2500));
            if !trouble {
                continue;
            }
            let nodes: Vec<&crate::deployment::Node> = deployment
                .controls
                .iter()
                .chain(&deployment.entries)
                .chain(&deployment.agents)
                .collect();
            let index = random.below(nodes.len() as u64) as usize;
            let pause = 200 + random.below(3800);
            if random.below(4) == 0 {
                record.line(format!("{} is killed", nodes[index].name));
                signal(&[Deployment::pid(nodes[index])], Signal::Kill);
                sleep(random.below(1500));
                let _ = deployment.restart(nodes[index]);
            } else {
                record.line(format!("{} is paused for {pause} ms", nodes[index].name));
                signal(&[Deployment::pid(nodes[index])], Signal::Stop);
                sleep(pause);
                signal(&[Deployment::pid(nodes[index])], Signal::Continue);
            }
        }
        stop.store(true, Ordering::SeqCst);
    });
    sleep(15_000);
    let jobs = jobs.into_inner().map_err(|error| error.to_string())?;
    let mut found = doubled(&workers);
    let all = all_seen(&workers);
    for (id, (statuses, cancelled)) in &jobs {
        let mut starts = all.iter().filter(|(_, seen)| seen.task.starts_with(id.as_str()));
        let rejected = statuses.iter().all(|status| matches!(status, 400..=499 | 503));
        if rejected && starts.clone().next().is_some() {
            found.push(format!("job {id} was rejected ({statuses:?}) and runs"));
        }
        if let Some(at) = cancelled
            && let Some((_, seen)) = starts.find(|(_, seen)| seen.started > at + CANCEL_MS)
        {
            found.push(format!(
                "{} started at {} ms, cancelled at {at} ms",
                seen.task, seen.started
            ));
        }
        if statuses.last() == Some(&200) && cancelled.is_none() {
            let shown =
                [format!("/q/{id}"), format!("/u/{id}")].map(|path| state(&deployment, &path));
            if !shown.iter().any(|shown| shown.contains("completed")) {
                found.push(format!("job {id} was accepted and is shown as {shown:?}"));
            }
        }
    }
    found.iter().for_each(|text| record.line(format!("broken: {text}")));
    record.say(format!("seed {seed}: {} jobs, {} starts", jobs.len(), all.len()));
    deployment.stop();
    match found.first() {
        Some(first) => Ok(Outcome::Broken(format!("{} times; {first}", found.len()))),
        None => Ok(Outcome::Held),
    }
}

fn client_call(entry: std::net::SocketAddr, path: &str) -> u16 {
    client(entry, "DELETE", path, "").map_or(0, |answer| answer.status)
}
