//! The decision logic of control and of the agents together, under generated faults.
//!
//! At every moment, no job may run under two attempts at once, and no worker may run more tasks
//! than it has slots. Once the faults are over, every accepted request must have ended; work that
//! may not be repeated must have started at most once; a request that ended as not-run must not
//! have started; and a request that ended with an answer must have its own answer.

use std::collections::BTreeSet;

use hemlockcleat::agent::contract;
use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::ledger::table;
use hemlockcleat::core::time;
use hemlockcleat::core::verdict;
use proptest::prelude::Strategy;
use proptest::test_runner;

use crate::support::ledger;
use crate::support::world;

const WORKERS: usize = 4;

/// The time after the last fault within which every request must have ended.
const RECOVERY_TIMEOUT: time::Millis = time::Millis::from_secs(60);

#[derive(Clone, Copy, Debug)]
enum Event {
    Rebuild { tasks: u32 },
    Confirm,
    Cancel { age: u32 },
    LoseLeader { kept: usize, gap: u64 },
    Cut { site: usize, span: u64 },
    Freeze { site: usize, span: u64 },
    RestartAgent { site: usize },
    KillBackend { site: usize, span: u64 },
    Leave { site: usize, leaving: bool },
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    use proptest::prelude::any;
    let site = || 0..WORKERS;
    let span = || 50..8000_u64;
    let event = proptest::prop_oneof![
        3 => (1..4_u32).prop_map(|tasks| Event::Rebuild { tasks }),
        4 => proptest::strategy::Just(Event::Confirm),
        1 => (0..6_u32).prop_map(|age| Event::Cancel { age }),
        1 => (0..4_usize, 100..3000_u64).prop_map(|(kept, gap)| Event::LoseLeader { kept, gap }),
        1 => (site(), span()).prop_map(|(site, span)| Event::Cut { site, span }),
        1 => (site(), span()).prop_map(|(site, span)| Event::Freeze { site, span }),
        1 => site().prop_map(|site| Event::RestartAgent { site }),
        1 => (site(), span()).prop_map(|(site, span)| Event::KillBackend { site, span }),
        1 => (site(), any::<bool>()).prop_map(|(site, leaving)| Event::Leave { site, leaving }),
    ];
    proptest::collection::vec((0..1500_u64, event), 1..24)
}

fn simulate(events: &[(u64, Event)]) -> world::World {
    let mut world = world::World::new(WORKERS);
    world.run(time::Millis::from_secs(3));
    let mut submitted: u32 = 0;
    for (pause, event) in events {
        match *event {
            Event::Rebuild { tasks } => {
                submitted += 1;
                world.submit(ledger::spec(&format!("k{submitted}"), "rebuild", tasks, 4));
            }
            Event::Confirm => {
                submitted += 1;
                world.submit(ledger::spec(&format!("k{submitted}"), "confirm", 1, 1));
            }
            Event::Cancel { age } => world.cancel(&format!("k{}", submitted.saturating_sub(age))),
            Event::LoseLeader { kept, gap } => world.lose_leader(kept, time::Millis(gap)),
            Event::Cut { site, span } => world.partition(site, time::Millis(span)),
            Event::Freeze { site, span } => world.pause_agent(site, time::Millis(span)),
            Event::RestartAgent { site } => world.restart_agent(site),
            Event::KillBackend { site, span } => world.kill_backend(site, time::Millis(span)),
            Event::Leave { site, leaving } => world.set_leaving(site, leaving),
        }
        world.run(time::Millis(*pause));
    }
    for site in 0..WORKERS {
        world.set_leaving(site, false);
    }
    let mut elapsed = time::Millis(0);
    while elapsed < RECOVERY_TIMEOUT && (elapsed < time::Millis::from_secs(10) || !world.is_idle())
    {
        world.run(time::Millis::from_secs(1));
        elapsed = elapsed + time::Millis::from_secs(1);
    }
    world
}

fn check_jobs(world: &world::World) -> Result<(), String> {
    if let Some(fault) = world.faults.first() {
        return Err(fault.clone());
    }
    for (key, job) in &world.harness.ledger.table.jobs {
        let started: Vec<_> = world.starts.iter().filter(|t| t.attempt.job == *key).collect();
        check_job(*key, job, &started).map_err(|why| format!("job {key} ({job:?}): {why}"))?;
    }
    Ok(())
}

fn check_job(
    key: ids::JobKey,
    job: &table::Job,
    started: &[&contract::TaskKey],
) -> Result<(), String> {
    let attempts: BTreeSet<_> = started.iter().map(|task| task.attempt).collect();
    let distinct: BTreeSet<_> = started.iter().collect();
    if distinct.len() != started.len() {
        return Err("a task started twice".to_owned());
    }
    if job.spec.kind == "confirm" && attempts.len() > 1 {
        return Err(format!("ran under attempts {attempts:?}"));
    }
    if job.holds_allocation() {
        return Err("its accelerators are still held".to_owned());
    }
    match &job.end {
        None => Err("has not ended".to_owned()),
        Some(job::End::Done(_)) if job.answer != world::World::expected(key) => {
            Err("ended with another answer".to_owned())
        }
        Some(job::End::Refused(refusal))
            if refusal.verdict == verdict::Verdict::NotRun && !started.is_empty() =>
        {
            Err("was refused as not-run although a task started".to_owned())
        }
        Some(_) => Ok(()),
    }
}

fn check_generated(cases: u32) {
    let config = test_runner::Config { cases, failure_persistence: None, ..Default::default() };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let result = runner.run(&events(), |events| {
        check_jobs(&simulate(&events)).map_err(proptest::test_runner::TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn system_under_generated_faults() {
    check_generated(200);
}

#[test]
fn system_without_faults_answers_all() {
    let events = [
        (10, Event::Rebuild { tasks: 3 }),
        (10, Event::Confirm),
        (10, Event::Rebuild { tasks: 2 }),
        (10, Event::Confirm),
    ];
    let world = simulate(&events);
    assert_eq!(check_jobs(&world), Ok(()));
    let jobs = &world.harness.ledger.table.jobs;
    assert_eq!(jobs.len(), 4);
    assert!(jobs.values().all(|job| matches!(job.end, Some(job::End::Done(_)))), "{jobs:?}");
}
/// Guards against a deadlock between two waiting jobs, found by the generated faults: capacity
/// reserved for the last job blocked the one before it, which had to start first, so that neither
/// ever started.
#[test]
fn system_reservation_for_later_job_blocks_none() {
    let events = [
        (101, Event::Confirm),
        (926, Event::Rebuild { tasks: 3 }),
        (401, Event::RestartAgent { site: 2 }),
        (626, Event::Confirm),
        (126, Event::KillBackend { site: 1, span: 251 }),
        (51, Event::KillBackend { site: 0, span: 50 }),
        (1, Event::Cut { site: 0, span: 801 }),
        (51, Event::Rebuild { tasks: 1 }),
        (351, Event::Rebuild { tasks: 1 }),
        (0, Event::LoseLeader { kept: 1, gap: 2126 }),
        (0, Event::Rebuild { tasks: 3 }),
        (0, Event::Rebuild { tasks: 1 }),
        (0, Event::Rebuild { tasks: 3 }),
        (0, Event::KillBackend { site: 0, span: 50 }),
    ];
    assert_eq!(check_jobs(&simulate(&events)), Ok(()));
}
