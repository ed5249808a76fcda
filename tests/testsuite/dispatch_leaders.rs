//! Whatever happens to leaders, agents and workers: a task has one run at a time, none starts after
//! its end was taken note of, and none is forgotten.

use rstest::rstest;

use crate::dispatch_agent;
use crate::dispatch_world;

#[rstest]
fn leaders_keep_every_task_to_one_run(#[values(0, 1, 2, 3)] part: u64) {
    let mut lapses = 0;
    for seed in part * 40..(part + 1) * 40 {
        let mut world = dispatch_world::World::new(seed, dispatch_world::Fault::None);
        assert_eq!(world.play(), Ok(()), "seed {seed}");
        assert!(world.floor.starts > 0 && world.term > 1, "seed {seed} does nothing");
        lapses += world.floor.lapses;
    }
    assert!(lapses > 40, "only {lapses} runs have lost their lease");
}

#[rstest]
#[case::early_lead(dispatch_world::Fault::EarlyLead, "beside another run")]
#[case::late_entries(dispatch_world::Fault::LateEntries, "never ended")]
#[case::slow_clocks(dispatch_world::Fault::SlowClocks, "beside another run")]
#[case::early_seen(dispatch_world::Fault::EarlySeen, "after it was done")]
#[case::any_life(dispatch_world::Fault::AnyLife, "beside another run")]
#[case::late_lease(
    dispatch_world::Fault::Agent(dispatch_agent::Fault::LateLease),
    "beside another run"
)]
#[case::no_stop(dispatch_world::Fault::Agent(dispatch_agent::Fault::NoStop), "beside another run")]
fn checker_finds_a_rule_left_out(#[case] fault: dispatch_world::Fault, #[case] seen: &str) {
    let found = (0..100).find_map(|seed| {
        dispatch_world::World::new(seed, fault).play().err().filter(|why| why.contains(seen))
    });
    assert!(found.is_some(), "{fault:?} is not found");
}
