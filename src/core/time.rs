//! Points and spans of time, in milliseconds.
//!
//! [`Tick`] is a reading of a monotonic clock and is meaningless outside its process. [`Wall`] is
//! wall-clock time (milliseconds since 1970-01-01 UTC) and is used only for times that people read.

use std::ops;

use crate::macros;

macros::key_types! {
    /// A point on the process's monotonic clock, in milliseconds.
    Tick(u64);
    /// A point in wall-clock time, in milliseconds since 1970-01-01 UTC.
    Wall(u64);
    /// A span of time in milliseconds.
    Millis(u64);
}

/// One hour.
pub const HOUR: Millis = Millis(3_600_000);

impl Millis {
    /// A span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// The span as the type of the standard library.
    pub const fn to_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Wall {
    /// The start of the hour that contains this point.
    pub const fn start_of_hour(self) -> Wall {
        Wall(self.0 - self.0 % HOUR.0)
    }

    /// The point in UTC with a resolution of seconds, formatted like `2026-12-04 09:44:31`.
    pub fn format_utc(self) -> String {
        let secs = self.0 / 1000;
        let (year, month, day) = gregorian_date(secs / 86_400);
        let (hour, minute, second) = (secs / 3600 % 24, secs / 60 % 60, secs % 60);
        format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}")
    }
}

/// The Gregorian year, month and day of a day counted from 1970-01-01.
fn gregorian_date(days: u64) -> (u64, u64, u64) {
    // Days are counted from 0000-03-01, so that a leap day is the last day of its year.
    let days = days + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let date = day - (153 * month + 2) / 5 + 1;
    let (month, carry) = if month < 10 { (month + 3, 0) } else { (month - 9, 1) };
    (era * 400 + year + carry, month, date)
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
