//! Under random failures of leaders, agents and workers, a task has one run at a time, no run
//! starts after the acknowledged end of its task, and every task ends.

use rstest::rstest;

use crate::dispatch_agent;
use crate::dispatch_world;

#[rstest]
fn tasks_have_one_run_at_a_time_under_any_leaders(#[values(0, 1, 2, 3)] part: u64) {
    let mut expired_runs = 0;
    for seed in part * 40..(part + 1) * 40 {
        let mut world = dispatch_world::World::new(seed, dispatch_world::Fault::None);
        assert_eq!(world.run(), Ok(()), "seed {seed}");
        assert!(
            world.workers.starts > 0 && world.term > 1,
            "seed {seed} starts no run or has one term"
        );
        expired_runs += world.workers.expired_runs;
    }
    assert!(expired_runs > 40, "only {expired_runs} runs have lost their lease");
}

#[rstest]
#[case::early_leader(dispatch_world::Fault::EarlyLeader, "beside another run")]
#[case::late_entries(dispatch_world::Fault::LateEntries, "never ended")]
#[case::slow_clocks(dispatch_world::Fault::SlowClocks, "beside another run")]
#[case::early_acknowledgement(dispatch_world::Fault::EarlyAcknowledgement, "after it was done")]
#[case::ignored_incarnation(dispatch_world::Fault::IgnoredIncarnation, "beside another run")]
#[case::late_lease(
    dispatch_world::Fault::Agent(dispatch_agent::Fault::LateLease),
    "beside another run"
)]
#[case::omitted_stop(
    dispatch_world::Fault::Agent(dispatch_agent::Fault::OmittedStop),
    "beside another run"
)]
fn checker_detects_an_omitted_rule(#[case] fault: dispatch_world::Fault, #[case] violation: &str) {
    let found = (0..100).find_map(|seed| {
        dispatch_world::World::new(seed, fault)
            .run()
            .err()
            .filter(|error| error.contains(violation))
    });
    assert!(found.is_some(), "{fault:?} is not detected");
}
