//! The invariants of the replicated log under generated faults, and their violation when one of
//! the safety rules is disabled.

use hemlockcleat::core::consensus;
use proptest::strategy;
use proptest::test_runner;

use crate::consensus_action;
use crate::consensus_action::Action;
use crate::consensus_world;

/// Generated cases with all rules enabled.
const CASES: u32 = 500;

/// Generated cases within which a disabled rule has to violate an invariant.
const CASES_WITHOUT_RULE: u32 = 5000;

fn check_generated(
    cases: u32,
    rules: consensus::SafetyRules,
    actions: impl strategy::Strategy<Value = Vec<Action>>,
) -> Result<(), test_runner::TestError<Vec<Action>>> {
    let config = test_runner::Config { cases, failure_persistence: None, ..Default::default() };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    test_runner::TestRunner::new_with_rng(config, rng).run(&actions, |actions| {
        let mut world = consensus_world::World::new(rules);
        world.execute(&actions).map_err(test_runner::TestCaseError::fail)
    })
}

fn without(remove: impl Fn(&mut consensus::SafetyRules)) -> consensus::SafetyRules {
    let mut rules = consensus::SafetyRules::ALL;
    remove(&mut rules);
    rules
}

#[test]
fn promises_hold_under_faults() {
    check_generated(CASES, consensus::SafetyRules::ALL, consensus_action::actions())
        .expect("no invariant is violated");
}

#[test]
fn promises_hold_under_faults_and_clock_jumps() {
    check_generated(
        CASES,
        consensus::SafetyRules::ALL,
        consensus_action::actions_with_clock_jumps(),
    )
    .expect("no invariant is violated");
}

#[rstest::rstest]
#[case::identity(without(|rules| rules.store_identity = false))]
#[case::sync(without(|rules| rules.sync = false))]
#[case::lease(without(|rules| rules.lease = false))]
fn invariant_breaks_without_rule(#[case] rules: consensus::SafetyRules) {
    let found = check_generated(CASES_WITHOUT_RULE, rules, consensus_action::actions())
        .expect_err("the rule is needed");
    let test_runner::TestError::Fail(reason, actions) = found else { panic!("{found}") };
    println!("{rules:?}: {reason} after {actions:?}");
    // With all rules enabled, the same actions violate no invariant.
    let mut world = consensus_world::World::new(consensus::SafetyRules::ALL);
    world.execute(&actions).expect("no invariant is violated");
}

/// Reads at a leader that was isolated while the other nodes' clocks jumped ahead, so that they
/// elected a new leader before the old one stepped down for lack of a quorum.
fn stale_read(rules: consensus::SafetyRules) -> Result<(), String> {
    let mut world = consensus_world::World::new(rules);
    world.execute(&[Action::Run(1500)])?;
    let leader = world.leader().expect("a leader");
    let [first, second] = [1, 2].map(|step| (leader + step) % consensus_world::NODES);
    // The first starts an election at once; the second only stops withholding its vote.
    world.execute(&[
        Action::Isolate(leader),
        Action::ClockJump(first, 900),
        Action::ClockJump(second, 400),
    ])?;
    world.execute(&[Action::Run(200), Action::Read(leader)])
}

#[test]
fn read_of_stale_leader_is_not_answered() {
    stale_read(consensus::SafetyRules::ALL).expect("no invariant is violated");
}

#[test]
fn read_of_stale_leader_is_answered_without_confirmation() {
    let broken = stale_read(without(|rules| rules.confirm_reads = false));
    let reason = broken.expect_err("the rule is needed");
    assert!(reason.contains("a read sees"), "{reason}");
}

/// Blocks the links between the leader and one follower; the third node still reaches both.
/// Returns an error if the leader is replaced.
fn partial_partition(rules: consensus::SafetyRules) -> Result<(), String> {
    let mut world = consensus_world::World::new(rules);
    world.execute(&[Action::Run(1500)])?;
    let leader = world.leader().expect("a leader");
    let follower = (leader + 1) % consensus_world::NODES;
    let blocked = [Action::BlockLink(leader, follower), Action::BlockLink(follower, leader)];
    world.execute(&blocked)?;
    world.execute(&[Action::Run(3000)])?;
    match world.leader() == Some(leader) {
        true => Ok(()),
        false => Err("the leader was replaced".to_owned()),
    }
}

#[test]
fn partial_partition_replaces_no_leader() {
    partial_partition(consensus::SafetyRules::ALL).expect("no invariant is violated");
}

#[test]
fn half_cut_makes_two_leases_without_withheld_votes() {
    let broken = partial_partition(without(|rules| rules.withhold_votes = false));
    let reason = broken.expect_err("the rule is needed");
    assert!(reason.contains("lead at once"), "{reason}");
}

/// Isolates a follower and reconnects it. Returns whether the term or the leader has changed.
fn return_disrupts(rules: consensus::SafetyRules) -> bool {
    let mut world = consensus_world::World::new(rules);
    world.execute(&[Action::Run(1500)]).expect("a valid start");
    let leader = world.leader().expect("a leader");
    let term = world.term();
    let isolated = (leader + 1) % consensus_world::NODES;
    let actions = [Action::Isolate(isolated), Action::Run(3000), Action::Heal, Action::Run(1000)];
    world.execute(&actions).expect("no invariant is violated");
    world.term() != term || world.leader() != Some(leader)
}

#[test]
fn return_of_isolated_replica_disrupts_nothing() {
    assert!(!return_disrupts(consensus::SafetyRules::ALL));
}

#[test]
fn return_of_isolated_replica_disrupts_without_pre_vote() {
    assert!(return_disrupts(without(|rules| rules.pre_vote = false)));
}

#[rstest::rstest]
fn second_loss_after_repair_loses_nothing(
    #[values(0, 1, 2)] first: usize,
    #[values(0, 1, 2)] second: usize,
) {
    let mut world = consensus_world::World::new(consensus::SafetyRules::ALL);
    let propose = (0..consensus_world::NODES).map(Action::Propose).collect::<Vec<_>>();
    world.execute(&[Action::Run(1500)]).expect("a valid start");
    world.execute(&propose).expect("no invariant is violated");
    world
        .execute(&[Action::Run(100), Action::WipeDisk(first), Action::Run(1500)])
        .expect("no invariant is violated");
    for _ in 0..4 {
        world.execute(&[Action::Repair, Action::Run(300)]).expect("no invariant is violated");
    }
    assert!(world.is_repaired(), "the first loss is repaired");
    let before = world.committed();
    world
        .execute(&[Action::WipeDisk(second), Action::Run(1500)])
        .expect("no invariant is violated");
    world.execute(&propose).expect("no invariant is violated");
    for _ in 0..4 {
        world.execute(&[Action::Repair, Action::Run(300)]).expect("no invariant is violated");
    }
    assert!(world.is_repaired() && world.committed() > before);
}

#[test]
fn leader_transfers_leadership_without_waiting_for_timeouts() {
    let mut world = consensus_world::World::new(consensus::SafetyRules::ALL);
    world.execute(&[Action::Run(1500)]).expect("a valid start");
    let leader = world.leader().expect("a leader");
    world
        .execute(&[Action::TransferLeadership(leader), Action::Run(150)])
        .expect("no invariant is violated");
    assert!(world.leader().is_some_and(|next| next != leader));
}
