//! How a run gets on, and when it will end.
//!
//! Answers estimates that are wrong by a factor of two and workers on which tasks stand still: once
//! a run has shown some progress, its own pace counts, not its caller's guess.

use crate::core::time;

/// The least progress, in percent, from which a run's own pace is taken.
const TELLING: u32 = 5;

/// The progress of a run that has nothing left to do, in percent.
const COMPLETE: u32 = 100;

/// The least time without progress before a run counts as standing still. Workers are looked at
/// twice a second.
const STILL: time::Millis = time::Millis(1500);

/// How many steps of progress a run may miss before it counts as standing still.
const STILL_STEPS: u64 = 5;

/// How long a run may take to get going after its start: its checkpoint is restored first.
const WARM_UP: time::Millis = time::Millis(1000);

/// The progress of one run.
#[derive(Clone, Debug)]
pub struct Pace {
    /// The caller's guess at its whole run time, in milliseconds.
    estimate: u64,
    /// When it was placed.
    since: time::Tick,
    /// When it was last heard of.
    heard: time::Tick,
    /// The first progress that was heard of, and when.
    first: Option<(time::Tick, u32)>,
    /// The last progress, and when it was first heard of.
    last: (time::Tick, u32),
    /// The last progress before all was done: when exactly that was reached is not known.
    short: Option<(time::Tick, u32)>,
}

impl Pace {
    /// A run that is placed now.
    pub fn new(estimate: u32, now: time::Tick) -> Self {
        Self {
            estimate: u64::from(estimate.max(1)),
            since: now,
            heard: now,
            first: None,
            last: (now, 0),
            short: None,
        }
    }

    /// Takes note of how much of its work is done, in percent.
    pub fn heard(&mut self, now: time::Tick, percent: u32) {
        self.heard = now;
        if self.first.is_none() && percent > 0 {
            self.first = Some((now, percent));
        }
        if percent != self.last.1 {
            self.last = (now, percent);
            if percent < COMPLETE {
                self.short = Some(self.last);
            }
        }
    }

    /// Whether all of its own work is done.
    pub fn is_complete(&self) -> bool {
        self.last.1 >= COMPLETE
    }

    /// The time that a percent of its work takes, once it has shown enough progress.
    fn own(&self) -> Option<f64> {
        let (began, from) = self.first?;
        let (at, to) =
            self.short.filter(|short| short.1 >= from.saturating_add(TELLING)).unwrap_or(self.last);
        let done = to.checked_sub(from).filter(|done| *done >= TELLING)?;
        Some((at - began).0 as f64 / f64::from(done))
    }

    /// Its speed against its estimate, once it has shown enough progress: 1 for just as estimated.
    pub fn ratio(&self) -> Option<f64> {
        let step = self.own().filter(|step| *step > 0.0)?;
        Some(self.estimate as f64 / f64::from(COMPLETE) / step)
    }

    /// How long it will still take, on a worker of this speed.
    pub fn remaining(&self, now: time::Tick, speed: f64) -> time::Millis {
        let step =
            self.own().unwrap_or(self.estimate as f64 / f64::from(COMPLETE) / speed.max(0.01));
        let left = step * f64::from(COMPLETE - self.last.1.min(COMPLETE));
        let since = (now - self.last.0).0 as f64;
        // A run that has outlived its estimate may take as long again as a part of its age.
        let least = (now - self.since).0 as f64 / 8.0;
        time::Millis((left - since).max(least.min(left)) as u64)
    }

    /// Whether it stood still when it was last heard of. While its worker is cut off, nothing is
    /// known of it.
    pub fn is_still(&self, speed: f64) -> bool {
        let step =
            self.own().unwrap_or(self.estimate as f64 / f64::from(COMPLETE) / speed.max(0.01));
        let quiet = (self.heard - self.last.0).0;
        let patience = STILL.0.max((step * STILL_STEPS as f64) as u64);
        let warm = if self.first.is_none() { WARM_UP.0 } else { 0 };
        quiet > patience + warm
    }
}
