//! How long a kind of work runs, learnt from its own runs.
//!
//! Run times are kept in a histogram of geometric buckets, so that a straggler counts as one run
//! and not by its length. Old runs fade out. Declared run times count only until enough runs are
//! known.

use crate::core::time;

/// Buckets for each doubling of the run time.
const BUCKETS_PER_OCTAVE: u32 = 4;

/// Buckets in all: 32 doublings from one millisecond reach 49 days.
const BUCKETS: usize = 128;

/// Runs that are needed before declared run times no longer count.
const MIN_RUNS: u32 = 8;

/// Runs after which all counts are halved.
const MAX_COUNTED_RUNS: u32 = 512;

/// The usual quantile, in percent.
pub const MEDIAN_PERCENT: u32 = 50;

/// The quantile that few runs exceed, in percent.
pub const LONG_PERCENT: u32 = 90;

/// The run times of one kind of work, at the common worker's speed.
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
    /// Counts one run that took `span` on workers of `speed` percent.
    pub fn record(&mut self, span: time::Millis, speed: u32) {
        let common = span.0.saturating_mul(u64::from(speed)) / 100;
        self.counts[bucket_index(common)] += 1;
        self.total += 1;
        if self.total >= MAX_COUNTED_RUNS {
            self.halve_counts();
        }
    }

    /// The run time on workers of `speed` percent that `percent` of the runs don't exceed.
    pub fn quantile(&self, percent: u32, declared: time::Millis, speed: u32) -> time::Millis {
        if self.total < MIN_RUNS {
            return declared;
        }
        at_speed(self.quantile_from(0, percent).unwrap_or(0), speed)
    }

    /// The same for a run that has already taken `elapsed`: what remains, at least a little.
    pub fn remaining(
        &self,
        percent: u32,
        declared: time::Millis,
        speed: u32,
        elapsed: time::Millis,
    ) -> time::Millis {
        let common = elapsed.0.saturating_mul(u64::from(speed)) / 100;
        let known =
            self.quantile_from(bucket_index(common), percent).filter(|_| self.total >= MIN_RUNS);
        let run_time = known.map_or(declared, |run_time| at_speed(run_time, speed));
        match run_time.0.checked_sub(elapsed.0) {
            None | Some(0) => elapsed,
            Some(left) => time::Millis(left),
        }
    }

    /// Whether a run of this length is longer than nearly all known runs.
    pub fn is_straggler(&self, elapsed: time::Millis, speed: u32) -> bool {
        let long = self.quantile(LONG_PERCENT, time::Millis(u64::MAX), speed);
        self.total >= MIN_RUNS && elapsed.0 > long.0.saturating_mul(2)
    }

    /// The quantile of the runs in buckets from `from` on, in milliseconds at common speed.
    fn quantile_from(&self, first_bucket: usize, percent: u32) -> Option<u64> {
        let total: u32 = self.counts[first_bucket..].iter().map(|&count| u32::from(count)).sum();
        if total == 0 {
            return None;
        }
        let wanted = (total * percent).div_ceil(100).max(1);
        let mut seen = 0;
        for (offset, &count) in self.counts[first_bucket..].iter().enumerate() {
            seen += u32::from(count);
            if seen >= wanted {
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

/// The upper end of a bucket in milliseconds.
fn bucket_end(bucket: usize) -> u64 {
    let octave = bucket as u32 / BUCKETS_PER_OCTAVE;
    let part = u64::from(bucket as u32 % BUCKETS_PER_OCTAVE);
    (u64::from(BUCKETS_PER_OCTAVE) + part + 1) << octave
}

fn at_speed(common: u64, speed: u32) -> time::Millis {
    time::Millis(common.saturating_mul(100) / u64::from(speed.max(1)))
}
