//! Run time estimates for a kind of work, from its completed runs.
//!
//! Run times are counted in a histogram of geometric buckets, so a straggler counts as one run
//! whatever its length. Counts are halved from time to time, so old runs lose weight. The declared
//! run time is used only until enough runs have been counted.

use crate::core::time;

/// Number of buckets for each doubling of the run time.
const BUCKETS_PER_OCTAVE: u32 = 4;

/// Total number of buckets: 32 doublings from one millisecond reach 49 days.
const BUCKETS: usize = 128;

/// Number of runs from which on the declared run time is no longer used.
const MIN_RUNS: u32 = 8;

/// Number of runs at which all counts are halved.
const MAX_COUNTED_RUNS: u32 = 512;

/// Percentile of a usual run time.
pub const MEDIAN_PERCENT: u32 = 50;

/// Percentile that few runs exceed.
pub const LONG_RUN_PERCENT: u32 = 90;

/// The run times of one kind of work, at the speed of a reference worker (100 percent).
#[derive(Clone, Debug)]
pub struct RunTimes {
    counts: [u16; BUCKETS],
    total: u32,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl RunTimes {
    /// Counts one run that took `run_time` on workers of `speed` percent.
    pub fn record(&mut self, run_time: time::Millis, speed: u32) {
        let reference_ms = run_time.0.saturating_mul(u64::from(speed)) / 100;
        self.counts[bucket_index(reference_ms)] += 1;
        self.total += 1;
        if self.total >= MAX_COUNTED_RUNS {
            self.halve_counts();
        }
    }

    /// The run time on workers of `speed` percent that `percent` of the runs don't exceed, or
    /// `declared` if too few runs are known.
    pub fn quantile(&self, percent: u32, declared: time::Millis, speed: u32) -> time::Millis {
        if self.total < MIN_RUNS {
            return declared;
        }
        at_speed(self.quantile_from(0, percent).unwrap_or(0), speed)
    }

    /// The remaining time of a run that has already taken `elapsed`, estimated like
    /// [`Self::quantile`]. A run that has exceeded the estimate is expected to take `elapsed` once
    /// more.
    pub fn remaining(
        &self,
        percent: u32,
        declared: time::Millis,
        speed: u32,
        elapsed: time::Millis,
    ) -> time::Millis {
        let reference_ms = elapsed.0.saturating_mul(u64::from(speed)) / 100;
        let known = self
            .quantile_from(bucket_index(reference_ms), percent)
            .filter(|_| self.total >= MIN_RUNS);
        let run_time = known.map_or(declared, |run_time| at_speed(run_time, speed));
        match run_time.0.checked_sub(elapsed.0) {
            None | Some(0) => elapsed,
            Some(left) => time::Millis(left),
        }
    }

    /// Whether `elapsed` is more than twice the run time that few runs exceed.
    pub fn is_straggler(&self, elapsed: time::Millis, speed: u32) -> bool {
        let long = self.quantile(LONG_RUN_PERCENT, time::Millis(u64::MAX), speed);
        self.total >= MIN_RUNS && elapsed.0 > long.0.saturating_mul(2)
    }

    /// The quantile of the runs in the buckets from `first_bucket` on, in milliseconds at the
    /// reference speed; none if there are no such runs.
    fn quantile_from(&self, first_bucket: usize, percent: u32) -> Option<u64> {
        let total: u32 = self.counts[first_bucket..].iter().map(|&count| u32::from(count)).sum();
        if total == 0 {
            return None;
        }
        let wanted = (total * percent).div_ceil(100).max(1);
        let mut runs = 0;
        for (offset, &count) in self.counts[first_bucket..].iter().enumerate() {
            runs += u32::from(count);
            if runs >= wanted {
                return Some(bucket_end(first_bucket + offset));
            }
        }
        None
    }

    fn halve_counts(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().map(|&count| u32::from(count)).sum();
    }
}

fn bucket_index(millis: u64) -> usize {
    let millis = millis.max(4);
    let octave = millis.ilog2();
    let part = (millis >> (octave - 2)) as u32 & (BUCKETS_PER_OCTAVE - 1);
    (((octave - 2) * BUCKETS_PER_OCTAVE + part) as usize).min(BUCKETS - 1)
}

/// The upper bound of a bucket in milliseconds.
fn bucket_end(bucket: usize) -> u64 {
    let octave = bucket as u32 / BUCKETS_PER_OCTAVE;
    let part = u64::from(bucket as u32 % BUCKETS_PER_OCTAVE);
    (u64::from(BUCKETS_PER_OCTAVE) + part + 1) << octave
}

fn at_speed(reference_ms: u64, speed: u32) -> time::Millis {
    time::Millis(reference_ms.saturating_mul(100) / u64::from(speed.max(1)))
}
