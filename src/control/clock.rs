//! The two clocks of a process.
//!
//! The steady clock counts the time that a host is suspended: a lease must not outlive it unseen.

use std::time;

use crate::core::time as core_time;

/// What a tick reads when the process starts. Far from zero, so that events before the start of
/// the process, such as a request's submission, still have a tick.
const START: u64 = 1 << 40;

/// A monotonic clock and civil time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: core_time::Millis,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// The monotonic time.
    pub fn tick(&self) -> core_time::Tick {
        core_time::Tick(START + since_boot().0 - self.start.0)
    }
}

/// The time since the host booted, suspended or not.
pub fn since_boot() -> core_time::Millis {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    core_time::Millis(now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000)
}

/// Civil time.
pub fn wall() -> core_time::Wall {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    core_time::Wall(since.as_millis() as u64)
}
