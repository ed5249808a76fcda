//! The emulation of the dispatcher under load.

use hemlockcleat::emulator::load;
use hemlockcleat::emulator::world;

fn figures(workers: u32, factor: f64, seed: u64) -> (usize, usize, usize, u64, String) {
    let outcome = world::run(&load::Load::cooperative(workers, factor), seed);
    let all = &outcome.all;
    let runs: u64 = outcome.ends.values().sum();
    (all.owed, all.in_time, all.late, runs, format!("{:.6} {:.3}", all.earned(), outcome.wasted))
}

#[test]
fn run_repeats_for_a_seed() {
    assert_eq!(figures(15, 1.0, 7), figures(15, 1.0, 7));
    assert_ne!(figures(15, 1.0, 7), figures(15, 1.0, 8));
}

/// Without a shortage of room nothing is preempted, and all jobs but those that fail too often end.
#[test]
fn run_light_load_completes_nearly_all() {
    let outcome = world::run(&load::Load::cooperative(60, 0.1), 1);
    let all = &outcome.all;
    assert!(all.owed > 10, "{all:?}");
    assert!(all.served() > 0.9, "{all:?}");
}

#[test]
fn outcome_is_within_its_bound() {
    let outcome = world::run(&load::Load::cooperative(15, 2.0), 1);
    assert!(outcome.demand > 1.5, "{outcome:?}");
    assert!(outcome.all.earned() <= outcome.bound, "{outcome:?}");
}

#[test]
fn jobs_of_a_burst_come_within_it() {
    let calm = load::Load::cooperative(15, 1.0);
    let burst = calm.clone().with_burst(1, (10_000, 20_000), 4.0);
    let count = |load: &load::Load, kind: usize, span: (u64, u64)| {
        let jobs = load.jobs(1);
        jobs.iter()
            .filter(|job| job.kind == kind && span.0 <= job.arrives && job.arrives < span.1)
            .count()
    };
    assert!(count(&burst, 1, (10_000, 20_000)) > 2 * count(&burst, 1, (20_000, 30_000)));
    assert_eq!(count(&calm, 0, (0, 34_000)), count(&burst, 0, (0, 34_000)));
}
