//! Quantities of a worker's capacity, and the kinds of room they are counted in.

use crate::macros;

macros::copy_types! {
    /// Which part of a worker's capacity counts as room.
    pub enum Availability {
        /// What nothing holds and no guarantee reserves.
        Spare,
        /// What nothing holds, reserved or not.
        Free,
        /// What no guarantee reserves and no unstoppable work holds.
        Reservable,
        /// What nothing holds, or work of the class idle holds that can be stopped, or work holds
        /// that is being stopped.
        Reclaimable,
    }

    /// A quantity of slots and accelerators.
    #[derive(Default)]
    pub struct Amount {
        /// Slots; a task takes one slot and one connection.
        pub slots: i64,
        /// Accelerators.
        pub accelerators: i64,
    }

    /// How much a worker is trusted, best first.
    pub enum Trust {
        /// Its outcomes give no reason for doubt.
        Good,
        /// It failed lately; it is taken where no good worker has room.
        Suspect,
        /// It is excluded but for probes.
        Probation,
    }
}

impl Amount {
    /// What `tasks` tasks of `accelerators` accelerators each take.
    pub fn for_tasks(tasks: u32, accelerators: u32) -> Self {
        let tasks = i64::from(tasks);
        Self { slots: tasks, accelerators: tasks * i64::from(accelerators) }
    }

    /// The sum.
    pub fn plus(self, other: Self) -> Self {
        Self {
            slots: self.slots + other.slots,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// The difference, which may be negative.
    pub fn minus(self, other: Self) -> Self {
        Self {
            slots: self.slots - other.slots,
            accelerators: self.accelerators - other.accelerators,
        }
    }

    /// The quantity with its sign kept (1) or turned (-1).
    pub fn signed(self, sign: i64) -> Self {
        Self { slots: self.slots * sign, accelerators: self.accelerators * sign }
    }

    /// The smaller of each quantity.
    pub fn min(self, other: Self) -> Self {
        Self {
            slots: self.slots.min(other.slots),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// How many tasks of `accelerators` accelerators each it holds.
    pub fn max_tasks(self, accelerators: u32) -> u32 {
        let slots = self.slots.max(0);
        let tasks = match accelerators {
            0 => slots,
            each => slots.min(self.accelerators.max(0) / i64::from(each)),
        };
        u32::try_from(tasks).unwrap_or(u32::MAX)
    }

    /// Whether neither quantity is negative.
    pub fn is_non_negative(self) -> bool {
        self.slots >= 0 && self.accelerators >= 0
    }
}

/// How many kinds of room there are.
pub const AVAILABILITY_COUNT: usize = 4;

impl Availability {
    /// Every kind of room, in the order of the indices.
    pub const ALL: [Availability; AVAILABILITY_COUNT] = [
        Availability::Spare,
        Availability::Free,
        Availability::Reservable,
        Availability::Reclaimable,
    ];
}
