//! How a run gets on, and when it will end.
//!
//! Answers estimates that are wrong by a factor of two and workers on which tasks stand still: once
//! a run has shown some progress, its own pace counts, not its caller's guess.

use crate::core::time;

/// The least progress, in percent, from which a run's own pace is taken.
const MIN_PROGRESS: u32 = 5;

/// The progress of a run that has nothing left to do, in percent.
const COMPLETE: u32 = 100;

/// The least time without progress before a run counts as standing still. Workers are looked at
/// twice a second.
const MIN_STALL: time::Millis = time::Millis(1500);

/// How many steps of progress a run may miss before it counts as standing still.
const MAX_MISSED_STEPS: u64 = 5;

/// How long a run may take to get going after its start: its checkpoint is restored first.
const WARM_UP: time::Millis = time::Millis(1000);

/// The progress of one run.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The caller's guess at its whole run time, in milliseconds.
    estimate: u64,
    /// When it was placed.
    placed_at: time::Tick,
    /// When it was last heard of.
    last_seen: time::Tick,
    /// The first progress that was heard of, and when.
    first_progress: Option<(time::Tick, u32)>,
    /// The last progress, and when it was first heard of.
    latest: (time::Tick, u32),
    /// The last progress before all was done: when exactly that was reached is not known.
    latest_incomplete: Option<(time::Tick, u32)>,
}

impl Progress {
    /// A run that is placed now.
    pub fn new(estimate: u32, now: time::Tick) -> Self {
        Self {
            estimate: u64::from(estimate.max(1)),
            placed_at: now,
            last_seen: now,
            first_progress: None,
            latest: (now, 0),
            latest_incomplete: None,
        }
    }

    /// Takes note of how much of its work is done, in percent.
    pub fn update(&mut self, now: time::Tick, percent: u32) {
        self.last_seen = now;
        if self.first_progress.is_none() && percent > 0 {
            self.first_progress = Some((now, percent));
        }
        if percent != self.latest.1 {
            self.latest = (now, percent);
            if percent < COMPLETE {
                self.latest_incomplete = Some(self.latest);
            }
        }
    }

    /// Whether all of its own work is done.
    pub fn is_complete(&self) -> bool {
        self.latest.1 >= COMPLETE
    }

    /// The time that a percent of its work takes, once it has shown enough progress.
    fn measured_step(&self) -> Option<f64> {
        let (began, from) = self.first_progress?;
        let (at, to) = self
            .latest_incomplete
            .filter(|incomplete| incomplete.1 >= from.saturating_add(MIN_PROGRESS))
            .unwrap_or(self.latest);
        let done = to.checked_sub(from).filter(|done| *done >= MIN_PROGRESS)?;
        Some((at - began).0 as f64 / f64::from(done))
    }

    /// Its speed against its estimate, once it has shown enough progress: 1 for just as estimated.
    pub fn ratio(&self) -> Option<f64> {
        let step = self.measured_step().filter(|step| *step > 0.0)?;
        Some(self.estimate as f64 / f64::from(COMPLETE) / step)
    }

    /// How long it will still take, on a worker of this speed.
    pub fn remaining(&self, now: time::Tick, speed: f64) -> time::Millis {
        let step = self
            .measured_step()
            .unwrap_or(self.estimate as f64 / f64::from(COMPLETE) / speed.max(0.01));
        let left = step * f64::from(COMPLETE - self.latest.1.min(COMPLETE));
        let since = (now - self.latest.0).0 as f64;
        // A run that has outlived its estimate may take as long again as a part of its age.
        let least = (now - self.placed_at).0 as f64 / 8.0;
        time::Millis((left - since).max(least.min(left)) as u64)
    }

    /// Whether it stood still when it was last heard of. While its worker is cut off, nothing is
    /// known of it.
    pub fn is_stalled(&self, speed: f64) -> bool {
        let step = self
            .measured_step()
            .unwrap_or(self.estimate as f64 / f64::from(COMPLETE) / speed.max(0.01));
        let quiet = (self.last_seen - self.latest.0).0;
        let locality_wait = MIN_STALL.0.max((step * MAX_MISSED_STEPS as f64) as u64);
        let warm = if self.first_progress.is_none() { WARM_UP.0 } else { 0 };
        quiet > locality_wait + warm
    }
}
