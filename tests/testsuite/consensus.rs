//! The replicated log under generated faults, and what happens without each of its rules.

use hemlockcleat::core::consensus;
use proptest::strategy;
use proptest::test_runner;

use crate::consensus_action;
use crate::consensus_action::Action;
use crate::consensus_world;

/// Cases of one run over sound rules.
const CASES: u32 = 500;

/// Cases in which a missing rule has to show.
const MUTANT_CASES: u32 = 5000;

fn search(
    cases: u32,
    rules: consensus::SafetyRules,
    actions: impl strategy::Strategy<Value = Vec<Action>>,
) -> Result<(), test_runner::TestError<Vec<Action>>> {
    let config = test_runner::Config { cases, failure_persistence: None, ..Default::default() };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    test_runner::TestRunner::new_with_rng(config, rng).run(&actions, |actions| {
        let mut world = consensus_world::World::new(rules);
        world.play(&actions).map_err(test_runner::TestCaseError::fail)
    })
}

fn without(remove: impl Fn(&mut consensus::SafetyRules)) -> consensus::SafetyRules {
    let mut rules = consensus::SafetyRules::ALL;
    remove(&mut rules);
    rules
}

#[test]
fn promises_hold_under_faults() {
    search(CASES, consensus::SafetyRules::ALL, consensus_action::actions())
        .expect("no promise is broken");
}

#[test]
fn promises_hold_under_faults_and_clock_jumps() {
    search(CASES, consensus::SafetyRules::ALL, consensus_action::with_jumps())
        .expect("no promise is broken");
}

#[rstest::rstest]
#[case::identity(without(|rules| rules.store_identity = false))]
#[case::sync(without(|rules| rules.sync = false))]
#[case::lease(without(|rules| rules.lease = false))]
fn promise_breaks_without_rule(#[case] rules: consensus::SafetyRules) {
    let found =
        search(MUTANT_CASES, rules, consensus_action::actions()).expect_err("the rule is needed");
    let test_runner::TestError::Fail(reason, actions) = found else { panic!("{found}") };
    println!("{rules:?}: {reason} after {actions:?}");
    // The same actions break nothing while all rules are in force.
    let mut sound = consensus_world::World::new(consensus::SafetyRules::ALL);
    sound.play(&actions).expect("no promise is broken");
}

/// Plays a read at a leader that was cut off while the others' clocks jumped ahead, so that they
/// have elected another before check-quorum could end it.
fn stale_read(rules: consensus::SafetyRules) -> Result<(), String> {
    let mut world = consensus_world::World::new(rules);
    world.play(&[Action::Run(1500)])?;
    let leader = world.leader().expect("a leader");
    let [first, second] = [1, 2].map(|step| (leader + step) % consensus_world::NODES);
    // One stands at once; the other only ceases to withhold its vote.
    world.play(&[Action::Isolate(leader), Action::Jump(first, 900), Action::Jump(second, 400)])?;
    world.play(&[Action::Run(200), Action::Read(leader)])
}

#[test]
fn read_of_stale_leader_is_not_answered() {
    stale_read(consensus::SafetyRules::ALL).expect("no promise is broken");
}

#[test]
fn read_of_stale_leader_is_answered_without_confirmation() {
    let broken = stale_read(without(|rules| rules.confirm_reads = false));
    let reason = broken.expect_err("the rule is needed");
    assert!(reason.contains("a read sees"), "{reason}");
}

/// Plays a follower that loses its leader while the third node hears both.
fn half_cut(rules: consensus::SafetyRules) -> Result<(), String> {
    let mut world = consensus_world::World::new(rules);
    world.play(&[Action::Run(1500)])?;
    let leader = world.leader().expect("a leader");
    let follower = (leader + 1) % consensus_world::NODES;
    let cuts = [Action::Cut(leader, follower), Action::Cut(follower, leader)];
    world.play(&cuts)?;
    world.play(&[Action::Run(3000)])?;
    match world.leader() == Some(leader) {
        true => Ok(()),
        false => Err("the leader was replaced".to_owned()),
    }
}

#[test]
fn half_cut_replaces_no_leader() {
    half_cut(consensus::SafetyRules::ALL).expect("no promise is broken");
}

#[test]
fn half_cut_makes_two_leases_without_withheld_votes() {
    let broken = half_cut(without(|rules| rules.withhold_votes = false));
    let reason = broken.expect_err("the rule is needed");
    assert!(reason.contains("lead at once"), "{reason}");
}

/// Plays the return of a replica that was cut off. Returns whether the term has changed.
fn return_disturbs(rules: consensus::SafetyRules) -> bool {
    let mut world = consensus_world::World::new(rules);
    world.play(&[Action::Run(1500)]).expect("a sound start");
    let leader = world.leader().expect("a leader");
    let term = world.term();
    let cut = (leader + 1) % consensus_world::NODES;
    let actions = [Action::Isolate(cut), Action::Run(3000), Action::Heal, Action::Run(1000)];
    world.play(&actions).expect("no promise is broken");
    world.term() != term || world.leader() != Some(leader)
}

#[test]
fn return_of_isolated_replica_disturbs_nothing() {
    assert!(!return_disturbs(consensus::SafetyRules::ALL));
}

#[test]
fn return_of_isolated_replica_disturbs_without_pre_vote() {
    assert!(return_disturbs(without(|rules| rules.pre_vote = false)));
}

#[rstest::rstest]
fn second_loss_after_repair_loses_nothing(
    #[values(0, 1, 2)] first: usize,
    #[values(0, 1, 2)] second: usize,
) {
    let mut world = consensus_world::World::new(consensus::SafetyRules::ALL);
    let propose = (0..consensus_world::NODES).map(Action::Propose).collect::<Vec<_>>();
    world.play(&[Action::Run(1500)]).expect("a sound start");
    world.play(&propose).expect("no promise is broken");
    world.play(&[Action::Run(100), Action::Wipe(first), Action::Run(1500)]).expect("sound");
    for _ in 0..4 {
        world.play(&[Action::Repair, Action::Run(300)]).expect("no promise is broken");
    }
    assert!(world.whole(), "the first loss is repaired");
    let before = world.committed();
    world.play(&[Action::Wipe(second), Action::Run(1500)]).expect("no promise is broken");
    world.play(&propose).expect("no promise is broken");
    for _ in 0..4 {
        world.play(&[Action::Repair, Action::Run(300)]).expect("no promise is broken");
    }
    assert!(world.whole() && world.committed() > before);
}

#[test]
fn leader_hands_over_without_waiting_for_timeouts() {
    let mut world = consensus_world::World::new(consensus::SafetyRules::ALL);
    world.play(&[Action::Run(1500)]).expect("a sound start");
    let leader = world.leader().expect("a leader");
    world.play(&[Action::HandOver(leader), Action::Run(150)]).expect("no promise is broken");
    assert!(world.leader().is_some_and(|next| next != leader));
}
