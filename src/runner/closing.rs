//! The runs whose stop the worker has answered, until its lists show that they have ended.
//!
//! A stop, a start and a poll may be carried out in any order, since they are sent on connections of
//! their own. Only a poll that was sent after the stop was answered shows a list without the run
//! that is final: an earlier poll may have been answered before the start took effect. Polls are
//! therefore numbered; times are too coarse, as all of this may happen within a millisecond.
//!
//! A worker with many ends lists only the first of them. A run that such a list lacks may have
//! ended, even as done, and stays open until a list that isn't truncated shows it or lacks it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::order;
use crate::core::time;
use crate::core::workflow::model;
use crate::runner::backend;

/// The time after the answer to a stop by which the run has certainly ended, also if the lists
/// can't tell: a stop takes 400 ms.
const MAX_STOP_TIME: time::Millis = time::Millis(3000);

/// A run: its task and its number.
pub type RunName = (model::TaskName, u32);

/// A poll that a listing answers.
#[derive(Clone, Copy, Debug)]
pub struct Poll {
    /// Its number, from 1.
    pub number: u64,
    /// The time at which it was sent.
    pub sent_at: time::Tick,
}

/// The answer to a stop.
#[derive(Clone, Copy, Debug)]
struct Stopped {
    /// The number of the last poll that was sent before.
    last_poll: u64,
    answered_at: time::Tick,
}

/// The stopped runs of one incarnation of a worker.
#[derive(Debug, Default)]
pub struct Closing {
    last_poll: u64,
    runs: BTreeMap<RunName, Stopped>,
}

impl Closing {
    /// Returns the number of a poll that is about to be sent.
    pub fn next_poll(&mut self) -> u64 {
        self.last_poll += 1;
        self.last_poll
    }

    /// Records that the worker has answered the stop of a run.
    pub fn stop_answered(&mut self, run: RunName, now: time::Tick) {
        self.runs.insert(run, Stopped { last_poll: self.last_poll, answered_at: now });
    }

    /// Returns whether a run is stopped and not yet known to have ended.
    pub fn contains(&self, run: &RunName) -> bool {
        self.runs.contains_key(run)
    }

    /// Removes the runs about which a listing is conclusive, and returns those that it lacks: they
    /// have ended and their ends are acknowledged, or they will never start.
    pub fn listed(&mut self, poll: Poll, listing: &backend::Listing) -> Vec<RunName> {
        if self.runs.is_empty() {
            return Vec::new();
        }
        let running = listing.running.iter().map(|entry| (&entry.task, entry.run));
        let finished = listing.finished.iter().map(|entry| (&entry.task, entry.run));
        let listed: BTreeSet<_> = running.chain(finished).collect();
        let truncated = order::is_truncated(&listing.finished);
        let mut closed = Vec::new();
        self.runs.retain(|run, stopped| {
            if poll.number <= stopped.last_poll {
                return true;
            }
            // The leader orders a run that is still in progress to stop again.
            if listed.contains(&(&run.0, run.1)) {
                return false;
            }
            if truncated {
                return true;
            }
            if listing.partial && stopped.answered_at + MAX_STOP_TIME > poll.sent_at {
                return true;
            }
            closed.push(run.clone());
            false
        });
        closed
    }
}
