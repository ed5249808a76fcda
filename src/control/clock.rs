//! The two clocks of a control process.

use std::time;

use crate::core::time as core_time;

/// What a tick reads when the process starts. Far from zero, so that events before the start of
/// the process, such as a request's submission, still have a tick.
const START: u64 = 1 << 40;

/// A monotonic clock and civil time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: time::Instant::now() }
    }

    /// The monotonic time.
    pub fn tick(&self) -> core_time::Tick {
        core_time::Tick(START + self.start.elapsed().as_millis() as u64)
    }
}

/// Civil time.
pub fn wall() -> core_time::Wall {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    core_time::Wall(since.as_millis() as u64)
}
