//! The part of the queue that a pass looks at.
//!
//! A pass takes the steps in their order and stops after a number of them of which nothing could be
//! placed, so that it costs no more however many wait. Behind these steps, each pass looks at some
//! others, where the pass before has stopped: one that nothing can be placed of, such as a step that
//! needs a label that no worker has, does not keep others from their turn.
//!
//! Of the occurrences of a job that have not begun, a pass looks at the next one only if it has placed
//! something of the one before: they need the same.

use std::collections::BTreeSet;

use crate::core::dispatch::queue;

/// The most steps at the front of the queue that a pass looks at in vain.
pub const MAX_FRONT_LOOKS: usize = 512;

/// The most steps behind the front that a pass looks at in vain.
pub const MAX_TURN_LOOKS: usize = 128;

/// The steps that one pass looks at.
#[derive(Debug, Default)]
pub struct Window {
    /// The last step of the order that was taken.
    last: Option<queue::WaitingStep>,
    /// Occurrences to look at that the order does not have, since earlier ones come first.
    successors: BTreeSet<queue::WaitingStep>,
    /// The number of steps that were looked at in vain.
    looks: usize,
    /// The last step behind the front that the pass before has taken.
    turn: Option<queue::WaitingStep>,
    in_turn: bool,
}

impl Window {
    /// Returns the window of a pass after another one.
    pub fn after(earlier: &Self) -> Self {
        Self { turn: earlier.turn, ..Self::default() }
    }

    /// Returns the next step to look at; `None` at the end of the pass.
    pub fn next(&mut self, queue: &queue::Queue) -> Option<queue::WaitingStep> {
        if self.looks >= MAX_FRONT_LOOKS && !self.in_turn {
            self.in_turn = true;
            self.successors.clear();
            self.last = self.last.max(self.turn);
        }
        if self.looks >= MAX_FRONT_LOOKS + MAX_TURN_LOOKS {
            self.turn = self.last;
            return None;
        }
        let head = queue.after(self.last);
        let successor = self.successors.first().copied();
        let next = match (head, successor) {
            (Some(head), Some(successor)) => head.min(successor),
            (head, successor) => head.or(successor).or_else(|| {
                // The end of the queue; the next turn begins behind the front.
                self.turn = None;
                None
            })?,
        };
        match Some(next) == successor {
            true => self.successors.remove(&next),
            false => self.last.replace(next).is_some(),
        };
        Some(next)
    }

    /// Records that nothing of a step could be placed.
    pub fn record_vain(&mut self) {
        self.looks += 1;
    }

    /// Adds the next occurrence of a step of which something was placed.
    pub fn add_successor(&mut self, successor: queue::WaitingStep) {
        self.successors.insert(successor);
    }

    /// Returns the number of steps that were looked at in vain.
    pub fn vain_looks(&self) -> usize {
        self.looks
    }
}
