//! Points and spans of time, in milliseconds.
//!
//! [`Tick`] is read off a monotonic clock and means nothing outside its process. [`Wall`] is
//! civil time (milliseconds since 1970-01-01 UTC) and is used only for what people read.

use std::ops;

use crate::macros;

macros::keys! {
    /// A point on the process's monotonic clock, in milliseconds.
    Tick(u64);
    /// A point in civil time, in milliseconds since 1970-01-01 UTC.
    Wall(u64);
    /// A span of time in milliseconds.
    Millis(u64);
}

/// Milliseconds in an hour.
pub const HOUR: Millis = Millis(3_600_000);

impl Millis {
    /// A span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// The span as the standard library's type.
    pub const fn to_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Wall {
    /// The start of the hour that holds this point.
    pub const fn hour(self) -> Wall {
        Wall(self.0 - self.0 % HOUR.0)
    }
}

impl ops::Add<Millis> for Tick {
    type Output = Tick;

    fn add(self, span: Millis) -> Tick {
        Tick(self.0.saturating_add(span.0))
    }
}

impl ops::Sub for Tick {
    type Output = Millis;

    fn sub(self, earlier: Tick) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Millis> for Wall {
    type Output = Wall;

    fn add(self, span: Millis) -> Wall {
        Wall(self.0.saturating_add(span.0))
    }
}

impl ops::Sub for Wall {
    type Output = Millis;

    fn sub(self, earlier: Wall) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}
