//! How long a kind of work runs, learnt from its own runs.
//!
//! Run times are kept in a histogram of geometric buckets, so that a straggler counts as one run
//! and not by its length. Old runs fade out. Declared run times count only until enough runs are
//! known.

use crate::core::time;

/// Buckets for each doubling of the run time.
const PER_OCTAVE: u32 = 4;

/// Buckets in all: 32 doublings from one millisecond reach 49 days.
const BUCKETS: usize = 128;

/// Runs that are needed before declared run times no longer count.
const ENOUGH: u32 = 8;

/// Runs after which all counts are halved.
const FADE: u32 = 512;

/// The usual quantile, in percent.
pub const USUAL: u32 = 50;

/// The quantile that few runs exceed, in percent.
pub const LONG: u32 = 90;

/// The run times of one kind of work, at the common worker's speed.
#[derive(Clone, Debug)]
pub struct Runs {
    counts: [u16; BUCKETS],
    total: u32,
}

impl Default for Runs {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl Runs {
    /// Counts one run that took `span` on workers of `speed` percent.
    pub fn record(&mut self, span: time::Millis, speed: u32) {
        let common = span.0.saturating_mul(u64::from(speed)) / 100;
        self.counts[bucket(common)] += 1;
        self.total += 1;
        if self.total >= FADE {
            self.fade();
        }
    }

    /// The run time on workers of `speed` percent that `percent` of the runs don't exceed.
    pub fn quantile(&self, percent: u32, declared: time::Millis, speed: u32) -> time::Millis {
        if self.total < ENOUGH {
            return declared;
        }
        scale(self.above(0, percent).unwrap_or(0), speed)
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
        let known = self.above(bucket(common), percent).filter(|_| self.total >= ENOUGH);
        let whole = known.map_or(declared, |whole| scale(whole, speed));
        match whole.0.checked_sub(elapsed.0) {
            None | Some(0) => elapsed,
            Some(left) => time::Millis(left),
        }
    }

    /// Whether a run of this length is longer than nearly all known runs.
    pub fn is_straggler(&self, elapsed: time::Millis, speed: u32) -> bool {
        let long = self.quantile(LONG, time::Millis(u64::MAX), speed);
        self.total >= ENOUGH && elapsed.0 > long.0.saturating_mul(2)
    }

    /// The quantile of the runs in buckets from `from` on, in milliseconds at common speed.
    fn above(&self, from: usize, percent: u32) -> Option<u64> {
        let total: u32 = self.counts[from..].iter().map(|&count| u32::from(count)).sum();
        if total == 0 {
            return None;
        }
        let wanted = (total * percent).div_ceil(100).max(1);
        let mut seen = 0;
        for (offset, &count) in self.counts[from..].iter().enumerate() {
            seen += u32::from(count);
            if seen >= wanted {
                return Some(upper(from + offset));
            }
        }
        None
    }

    fn fade(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().map(|&count| u32::from(count)).sum();
    }
}

fn bucket(millis: u64) -> usize {
    let millis = millis.max(4);
    let octave = millis.ilog2();
    let part = (millis >> (octave - 2)) as u32 & (PER_OCTAVE - 1);
    (((octave - 2) * PER_OCTAVE + part) as usize).min(BUCKETS - 1)
}

/// The upper end of a bucket in milliseconds.
fn upper(bucket: usize) -> u64 {
    let octave = bucket as u32 / PER_OCTAVE;
    let part = u64::from(bucket as u32 % PER_OCTAVE);
    (u64::from(PER_OCTAVE) + part + 1) << octave
}

fn scale(common: u64, speed: u32) -> time::Millis {
    time::Millis(common.saturating_mul(100) / u64::from(speed.max(1)))
}
