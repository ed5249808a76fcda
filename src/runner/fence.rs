//! The fencing token of the calls to a worker.
//!
//! A worker refuses a call with a lower token than it has seen. The token of a later term is
//! higher, and within a term that of a later incarnation: a call that was sent to one incarnation and is carried
//! out in the next, which has seen nothing of before, has no effect from that incarnation's first call on.

use std::cell;

use crate::core::workflow::model;

/// Bits of a token that tell incarnations apart; those above hold the term. Both fit a JSON number that is
/// read as a double (53 bits) up to term 131,071.
const LIFE_BITS: u32 = 36;

/// The milliseconds that a step of the lower bits stands for: no process restarts sooner.
const STEP_MS: u64 = 16;

/// The newest term and incarnation that calls are made for. Neither goes back.
#[derive(Debug, Default)]
pub struct Fence {
    term: cell::Cell<u64>,
    incarnation: cell::Cell<u64>,
}

impl Fence {
    /// Takes note of the term of a leader.
    pub fn lead(&self, term: u64) {
        self.term.set(self.term.get().max(term));
    }

    /// Takes note of an incarnation that is about to be called.
    pub fn call(&self, incarnation: model::Incarnation) {
        self.incarnation.set(self.incarnation.get().max(step(incarnation)));
    }

    /// The token for the next call.
    pub fn token(&self) -> u64 {
        token(self.term.get(), self.incarnation.get())
    }

    /// The lowest token of the present term for calls to an incarnation.
    pub fn token_of(&self, incarnation: model::Incarnation) -> u64 {
        token(self.term.get(), step(incarnation))
    }
}

fn step(incarnation: model::Incarnation) -> u64 {
    (incarnation.started / STEP_MS) & ((1 << LIFE_BITS) - 1)
}

fn token(term: u64, step: u64) -> u64 {
    (term.min(u64::MAX >> LIFE_BITS) << LIFE_BITS) | step
}
