//! Progress of a run, and its remaining time.
//!
//! Estimates may be wrong by a factor of two, and tasks may stall: once a run has made some
//! progress, its measured speed replaces the estimate of its caller.

use crate::core::time;

/// The least progress, in percent, from which the speed of a run is measured.
const MIN_PROGRESS: u32 = 5;

/// The progress of a run that has completed its work, in percent.
const COMPLETE: u32 = 100;

/// The least time without progress after which a run counts as stalled. Workers are polled twice a
/// second.
const MIN_STALL: time::Millis = time::Millis(1500);

/// The number of steps of progress that a run may miss before it counts as stalled.
const MAX_MISSED_STEPS: u64 = 5;

/// The additional time for the first progress after a start, in which the checkpoint is restored.
const WARM_UP: time::Millis = time::Millis(1000);

/// The progress of one run.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The caller's estimate of the whole run time, in milliseconds.
    estimate: u64,
    /// The time of the placement.
    placed_at: time::Tick,
    /// The time of the last report that listed the run.
    last_seen: time::Tick,
    /// The first reported progress and its time.
    first_progress: Option<(time::Tick, u32)>,
    /// The latest progress and the time of its first report.
    latest: (time::Tick, u32),
    /// The latest progress below 100%; the time at which a run reached 100% is not known exactly.
    latest_incomplete: Option<(time::Tick, u32)>,
}

impl Progress {
    /// Creates the progress of a run that is placed now.
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

    /// Updates the progress with a report, in percent.
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

    /// Returns whether the run has completed its own work.
    pub fn is_complete(&self) -> bool {
        self.latest.1 >= COMPLETE
    }

    /// Returns the measured time for one percent of the work, once the progress is sufficient.
    fn measured_step(&self) -> Option<f64> {
        let (began, from) = self.first_progress?;
        let (at, to) = self
            .latest_incomplete
            .filter(|incomplete| incomplete.1 >= from.saturating_add(MIN_PROGRESS))
            .unwrap_or(self.latest);
        let done = to.checked_sub(from).filter(|done| *done >= MIN_PROGRESS)?;
        Some((at - began).0 as f64 / f64::from(done))
    }

    /// Returns the speed relative to the estimate, once the progress is sufficient; 1 means as
    /// estimated.
    pub fn ratio(&self) -> Option<f64> {
        let step = self.measured_step().filter(|step| *step > 0.0)?;
        Some(self.estimate as f64 / f64::from(COMPLETE) / step)
    }

    /// Returns the estimated remaining time on a worker of a given relative speed.
    pub fn remaining(&self, now: time::Tick, speed: f64) -> time::Millis {
        let step = self
            .measured_step()
            .unwrap_or(self.estimate as f64 / f64::from(COMPLETE) / speed.max(0.01));
        let left = step * f64::from(COMPLETE - self.latest.1.min(COMPLETE));
        let idle = (now - self.latest.0).0 as f64;
        // A run that exceeds its estimate is assumed to take at least an eighth of its age more.
        let min_left = (now - self.placed_at).0 as f64 / 8.0;
        time::Millis((left - idle).max(min_left.min(left)) as u64)
    }

    /// Returns whether the run was stalled at its last report. No progress is known while its
    /// worker is unreachable, so that time does not count.
    pub fn is_stalled(&self, speed: f64) -> bool {
        let step = self
            .measured_step()
            .unwrap_or(self.estimate as f64 / f64::from(COMPLETE) / speed.max(0.01));
        let idle = (self.last_seen - self.latest.0).0;
        let stalled_after = MIN_STALL.0.max((step * MAX_MISSED_STEPS as f64) as u64);
        let warm_up = if self.first_progress.is_none() { WARM_UP.0 } else { 0 };
        idle > stalled_after + warm_up
    }
}
