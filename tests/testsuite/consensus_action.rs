//! What may happen to a group of replicas, and sequences of it.

use proptest::prelude::Strategy as _;
use proptest::strategy;

use crate::consensus_world::NODES;

/// One thing that happens. Numbers are taken modulo what there is.
#[derive(Clone, Debug)]
pub enum Action {
    /// Time passes; messages arrive in order and disks work.
    Run(u64),
    /// Time passes and nothing else happens but timers.
    Wait(u64),
    /// Time passes and messages arrive in order, but no disk syncs.
    Stall(u64),
    Deliver(usize),
    Duplicate(usize),
    Lose(usize),
    Sync(usize),
    Propose(usize),
    Read(usize),
    /// The process dies with some of its unsynced batches on disk.
    Crash(usize, usize),
    Restart(usize),
    /// The process dies and its disk is lost.
    Wipe(usize),
    /// A leader takes the next step towards a group of the present disks.
    Repair,
    /// All processes die, each with some of its unsynced batches on disk, and start again.
    Outage(usize),
    /// Messages from one to the other are lost from now on.
    Cut(usize, usize),
    Isolate(usize),
    Heal,
    Freeze(usize),
    Thaw(usize),
    /// The monotonic clock jumps ahead, which a sound host does not do.
    Jump(usize, u64),
    HandOver(usize),
    Compact(usize),
}

fn action() -> impl strategy::Strategy<Value = Action> {
    let node = || 0..NODES;
    proptest::prop_oneof![
        6 => (1..80_u64).prop_map(|tens| Action::Run(tens * 10)),
        2 => (1..60_u64).prop_map(|tens| Action::Wait(tens * 10)),
        2 => (1..20_u64).prop_map(|tens| Action::Stall(tens * 10)),
        3 => (0..50_usize).prop_map(Action::Deliver),
        2 => (0..50_usize).prop_map(Action::Duplicate),
        1 => (0..50_usize).prop_map(Action::Lose),
        1 => node().prop_map(Action::Sync),
        6 => node().prop_map(Action::Propose),
        3 => node().prop_map(Action::Read),
        2 => (node(), 0..4_usize).prop_map(|(node, keep)| Action::Crash(node, keep)),
        3 => node().prop_map(Action::Restart),
        1 => (0..4_usize).prop_map(Action::Outage),
        1 => node().prop_map(Action::Wipe),
        2 => strategy::Just(Action::Repair),
        2 => (node(), node()).prop_map(|(from, to)| Action::Cut(from, to)),
        1 => node().prop_map(Action::Isolate),
        3 => strategy::Just(Action::Heal),
        1 => node().prop_map(Action::Freeze),
        2 => node().prop_map(Action::Thaw),
        1 => node().prop_map(Action::HandOver),
        1 => node().prop_map(Action::Compact),
    ]
}

/// Sequences of everything a sound host may see.
pub fn actions() -> impl strategy::Strategy<Value = Vec<Action>> {
    proptest::collection::vec(action(), 10..60)
}

/// Sequences in which monotonic clocks jump ahead besides.
pub fn with_jumps() -> impl strategy::Strategy<Value = Vec<Action>> {
    let node = 0..NODES;
    let jump = (node, 1..1000_u64).prop_map(|(node, millis)| Action::Jump(node, millis));
    proptest::collection::vec(proptest::prop_oneof![20 => action(), 1 => jump], 10..60)
}
