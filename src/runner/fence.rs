//! The fencing token of the calls to a worker.
//!
//! A worker refuses a call whose token is lower than the highest one it has received. The token of
//! a later term is higher, and within a term that of a later incarnation. A call that was sent to
//! one incarnation may be carried out by the next, which has not received the earlier tokens; it
//! has no effect from the first call to the new incarnation on.

use std::cell;

use crate::core::workflow::model;

/// The low bits of a token, which tell incarnations apart; the bits above hold the term. Both fit a
/// JSON number that is read as a double (53 bits) up to term 131,071.
const INCARNATION_BITS: u32 = 36;

/// The milliseconds per unit of the low bits: no process restarts sooner.
const INCARNATION_STEP_MS: u64 = 16;

/// The latest term and incarnation for which calls are made; neither ever decreases.
#[derive(Debug, Default)]
pub struct Fence {
    term: cell::Cell<u64>,
    incarnation: cell::Cell<u64>,
}

impl Fence {
    /// Records the term of a leader.
    pub fn observe_term(&self, term: u64) {
        self.term.set(self.term.get().max(term));
    }

    /// Records an incarnation that is about to be called.
    pub fn observe_incarnation(&self, incarnation: model::Incarnation) {
        self.incarnation.set(self.incarnation.get().max(step(incarnation)));
    }

    /// Returns the token for the next call.
    pub fn token(&self) -> u64 {
        token(self.term.get(), self.incarnation.get())
    }

    /// Returns the lowest token of the current term for calls to an incarnation.
    pub fn min_token(&self, incarnation: model::Incarnation) -> u64 {
        token(self.term.get(), step(incarnation))
    }
}

fn step(incarnation: model::Incarnation) -> u64 {
    (incarnation.started / INCARNATION_STEP_MS) & ((1 << INCARNATION_BITS) - 1)
}

fn token(term: u64, step: u64) -> u64 {
    (term.min(u64::MAX >> INCARNATION_BITS) << INCARNATION_BITS) | step
}
