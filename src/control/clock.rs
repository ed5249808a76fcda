//! The monotonic and the wall clock of a process.
//!
//! The monotonic clock advances while the host is suspended; otherwise a lease could outlive its
//! duration unnoticed.

use std::time;

use crate::core::time as core_time;

/// Monotonic time at the start of the process, in milliseconds. It is far from zero, so that earlier
/// events, such as a request's submission, have a tick too.
const START_TICK: u64 = 1 << 40;

/// A monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: core_time::Millis,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the monotonic time.
    pub fn tick(&self) -> core_time::Tick {
        core_time::Tick(START_TICK + since_boot().0 - self.start.0)
    }
}

/// Returns the time since the host booted, including suspension.
pub fn since_boot() -> core_time::Millis {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    core_time::Millis(now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000)
}

/// Returns the wall-clock time; zero if the clock is before 1970.
pub fn wall() -> core_time::Wall {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    core_time::Wall(since.as_millis() as u64)
}
