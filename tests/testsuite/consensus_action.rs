//! Events and faults that a group of replicas may meet, and generators of sequences of them.

use proptest::prelude::Strategy as _;
use proptest::strategy;

use crate::consensus_world::NODES;

/// One event. Positions and counts are taken modulo the number of messages or batches.
#[derive(Clone, Debug)]
pub enum Action {
    /// Time passes in milliseconds; messages arrive in order and disks sync.
    Run(u64),
    /// Time passes in milliseconds; only timers expire.
    Wait(u64),
    /// Time passes in milliseconds; messages arrive in order, but no disk syncs.
    StallDisks(u64),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Sync(usize),
    Propose(usize),
    Read(usize),
    /// The process crashes with this many of its unsynced batches on disk.
    Crash(usize, usize),
    Restart(usize),
    /// The process crashes, loses its disk and starts again with an empty one.
    WipeDisk(usize),
    /// The leader proposes the next membership change towards a group of the current stores.
    Repair,
    /// All processes crash, each with this many of its unsynced batches on disk, and start again.
    CrashAll(usize),
    /// Messages from the first node to the second are lost from now on.
    BlockLink(usize, usize),
    Isolate(usize),
    Heal,
    Pause(usize),
    Resume(usize),
    /// The monotonic clock jumps ahead by milliseconds, which happens only on a faulty host.
    ClockJump(usize, u64),
    TransferLeadership(usize),
    Compact(usize),
}

fn action() -> impl strategy::Strategy<Value = Action> {
    let node = || 0..NODES;
    proptest::prop_oneof![
        6 => (1..80_u64).prop_map(|tens| Action::Run(tens * 10)),
        2 => (1..60_u64).prop_map(|tens| Action::Wait(tens * 10)),
        2 => (1..20_u64).prop_map(|tens| Action::StallDisks(tens * 10)),
        3 => (0..50_usize).prop_map(Action::Deliver),
        2 => (0..50_usize).prop_map(Action::Duplicate),
        1 => (0..50_usize).prop_map(Action::Drop),
        1 => node().prop_map(Action::Sync),
        6 => node().prop_map(Action::Propose),
        3 => node().prop_map(Action::Read),
        2 => (node(), 0..4_usize).prop_map(|(node, written)| Action::Crash(node, written)),
        3 => node().prop_map(Action::Restart),
        1 => (0..4_usize).prop_map(Action::CrashAll),
        1 => node().prop_map(Action::WipeDisk),
        2 => strategy::Just(Action::Repair),
        2 => (node(), node()).prop_map(|(from, to)| Action::BlockLink(from, to)),
        1 => node().prop_map(Action::Isolate),
        3 => strategy::Just(Action::Heal),
        1 => node().prop_map(Action::Pause),
        2 => node().prop_map(Action::Resume),
        1 => node().prop_map(Action::TransferLeadership),
        1 => node().prop_map(Action::Compact),
    ]
}

/// Sequences of all events that can happen on hosts with correct clocks.
pub fn actions() -> impl strategy::Strategy<Value = Vec<Action>> {
    proptest::collection::vec(action(), 10..60)
}

/// Sequences in which monotonic clocks may also jump ahead.
pub fn actions_with_clock_jumps() -> impl strategy::Strategy<Value = Vec<Action>> {
    let node = 0..NODES;
    let jump = (node, 1..1000_u64).prop_map(|(node, millis)| Action::ClockJump(node, millis));
    proptest::collection::vec(proptest::prop_oneof![20 => action(), 1 => jump], 10..60)
}
