//! Control's and the agents' cores together, under generated faults.
//!
//! Held at every moment: a job never runs under two attempts at once, and a worker never above its
//! slots. Held at the end, once the faults are over: every accepted request has ended; work that
//! may not be repeated started at most once; what ended as not-run never started; what ended with
//! an answer ended with its own.

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

/// How long after the last fault everything must have ended.
const HEAL: time::Millis = time::Millis::from_secs(60);

#[derive(Clone, Copy, Debug)]
enum Act {
    Rebuild { tasks: u32 },
    Confirm,
    Cancel { which: u32 },
    LoseLeader { kept: usize, gap: u64 },
    Cut { site: usize, span: u64 },
    Freeze { site: usize, span: u64 },
    RestartAgent { site: usize },
    KillBackend { site: usize, span: u64 },
    Leave { site: usize, leaving: bool },
}

fn acts() -> impl Strategy<Value = Vec<(u64, Act)>> {
    use proptest::prelude::any;
    let site = || 0..WORKERS;
    let span = || 50..8000_u64;
    let act = proptest::prop_oneof![
        3 => (1..4_u32).prop_map(|tasks| Act::Rebuild { tasks }),
        4 => proptest::strategy::Just(Act::Confirm),
        1 => (0..6_u32).prop_map(|which| Act::Cancel { which }),
        1 => (0..4_usize, 100..3000_u64).prop_map(|(kept, gap)| Act::LoseLeader { kept, gap }),
        1 => (site(), span()).prop_map(|(site, span)| Act::Cut { site, span }),
        1 => (site(), span()).prop_map(|(site, span)| Act::Freeze { site, span }),
        1 => site().prop_map(|site| Act::RestartAgent { site }),
        1 => (site(), span()).prop_map(|(site, span)| Act::KillBackend { site, span }),
        1 => (site(), any::<bool>()).prop_map(|(site, leaving)| Act::Leave { site, leaving }),
    ];
    proptest::collection::vec((0..1500_u64, act), 1..24)
}

fn play(acts: &[(u64, Act)]) -> world::World {
    let mut world = world::World::new(WORKERS);
    world.run(time::Millis::from_secs(3));
    let mut keys: u32 = 0;
    for (pause, act) in acts {
        match *act {
            Act::Rebuild { tasks } => {
                keys += 1;
                world.submit(ledger::spec(&format!("k{keys}"), "rebuild", tasks, 4));
            }
            Act::Confirm => {
                keys += 1;
                world.submit(ledger::spec(&format!("k{keys}"), "confirm", 1, 1));
            }
            Act::Cancel { which } => world.cancel(&format!("k{}", keys.saturating_sub(which))),
            Act::LoseLeader { kept, gap } => world.lose_leader(kept, time::Millis(gap)),
            Act::Cut { site, span } => world.cut(site, time::Millis(span)),
            Act::Freeze { site, span } => world.freeze(site, time::Millis(span)),
            Act::RestartAgent { site } => world.restart_agent(site),
            Act::KillBackend { site, span } => world.kill_backend(site, time::Millis(span)),
            Act::Leave { site, leaving } => world.leave(site, leaving),
        }
        world.run(time::Millis(*pause));
    }
    for site in 0..WORKERS {
        world.leave(site, false);
    }
    let mut healed = time::Millis(0);
    while healed < HEAL && (healed < time::Millis::from_secs(10) || !world.quiet()) {
        world.run(time::Millis::from_secs(1));
        healed = healed + time::Millis::from_secs(1);
    }
    world
}

fn judge(world: &world::World) -> Result<(), String> {
    if let Some(fault) = world.faults.first() {
        return Err(fault.clone());
    }
    for (key, job) in &world.book.ledger.table.jobs {
        let started: Vec<_> = world.starts.iter().filter(|t| t.attempt.job == *key).collect();
        judge_job(*key, job, &started).map_err(|why| format!("job {key} ({job:?}): {why}"))?;
    }
    Ok(())
}

fn judge_job(
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
            Err("is said not to have run".to_owned())
        }
        Some(_) => Ok(()),
    }
}

fn check(cases: u32) {
    let config = test_runner::Config { cases, failure_persistence: None, ..Default::default() };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let result = runner.run(&acts(), |acts| {
        judge(&play(&acts)).map_err(proptest::test_runner::TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn whole_under_generated_faults() {
    check(200);
}

#[test]
fn whole_without_faults_answers_all() {
    let acts = [
        (10, Act::Rebuild { tasks: 3 }),
        (10, Act::Confirm),
        (10, Act::Rebuild { tasks: 2 }),
        (10, Act::Confirm),
    ];
    let world = play(&acts);
    assert_eq!(judge(&world), Ok(()));
    let jobs = &world.book.ledger.table.jobs;
    assert_eq!(jobs.len(), 4);
    assert!(jobs.values().all(|job| matches!(job.end, Some(job::End::Done(_)))), "{jobs:?}");
}
/// Found by the generated faults: a place kept for the last job held up the one before it, which
/// in turn was to go first, and neither ever started.
#[test]
fn whole_place_kept_for_later_job_holds_up_none() {
    let acts = [
        (101, Act::Confirm),
        (926, Act::Rebuild { tasks: 3 }),
        (401, Act::RestartAgent { site: 2 }),
        (626, Act::Confirm),
        (126, Act::KillBackend { site: 1, span: 251 }),
        (51, Act::KillBackend { site: 0, span: 50 }),
        (1, Act::Cut { site: 0, span: 801 }),
        (51, Act::Rebuild { tasks: 1 }),
        (351, Act::Rebuild { tasks: 1 }),
        (0, Act::LoseLeader { kept: 1, gap: 2126 }),
        (0, Act::Rebuild { tasks: 3 }),
        (0, Act::Rebuild { tasks: 1 }),
        (0, Act::Rebuild { tasks: 3 }),
        (0, Act::KillBackend { site: 0, span: 50 }),
    ];
    assert_eq!(judge(&play(&acts)), Ok(()));
}
