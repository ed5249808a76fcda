//! Quantities of a worker's capacity, and the ways in which capacity counts as available.

use crate::macros;

macros::copy_types! {
    /// The part of a worker's capacity that counts as available.
    pub enum Availability {
        /// Capacity that is neither allocated nor reserved for a guarantee.
        Spare,
        /// Capacity that is not allocated, whether reserved for a guarantee or not.
        Free,
        /// Capacity that is neither reserved for a guarantee nor allocated to non-preemptible jobs
        /// outside of guarantees.
        Reservable,
        /// Free capacity plus the capacity of preemptible jobs of class idle and of jobs that are
        /// being stopped.
        Reclaimable,
    }

    /// A quantity of slots and accelerators.
    #[derive(Default)]
    pub struct Amount {
        /// Number of slots; a task takes one slot and one connection.
        pub slots: i64,
        /// Number of accelerators.
        pub accelerators: i64,
    }

    /// How far a worker is trusted, best first.
    pub enum Trust {
        /// The worker's recent outcomes are good.
        Good,
        /// The worker failed recently; it is used only where no good worker has capacity.
        Suspect,
        /// The worker is excluded from placement except for probes.
        Probation,
    }
}

impl Amount {
    /// The quantity that `tasks` tasks with `accelerators` accelerators each take.
    pub fn for_tasks(tasks: u32, accelerators: u32) -> Self {
        let tasks = i64::from(tasks);
        Self { slots: tasks, accelerators: tasks * i64::from(accelerators) }
    }

    /// The sum of two quantities.
    pub fn plus(self, other: Self) -> Self {
        Self {
            slots: self.slots + other.slots,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// The difference of two quantities, which may be negative.
    pub fn minus(self, other: Self) -> Self {
        Self {
            slots: self.slots - other.slots,
            accelerators: self.accelerators - other.accelerators,
        }
    }

    /// The quantity multiplied by `sign`, which is 1 or -1.
    pub fn signed(self, sign: i64) -> Self {
        Self { slots: self.slots * sign, accelerators: self.accelerators * sign }
    }

    /// The smaller number of slots and the smaller number of accelerators.
    pub fn min(self, other: Self) -> Self {
        Self {
            slots: self.slots.min(other.slots),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// The number of tasks with `accelerators` accelerators each that fit into the quantity.
    pub fn max_tasks(self, accelerators: u32) -> u32 {
        let slots = self.slots.max(0);
        let tasks = match accelerators {
            0 => slots,
            each => slots.min(self.accelerators.max(0) / i64::from(each)),
        };
        u32::try_from(tasks).unwrap_or(u32::MAX)
    }

    /// Whether neither number is negative.
    pub fn is_non_negative(self) -> bool {
        self.slots >= 0 && self.accelerators >= 0
    }
}

/// The number of variants of [`Availability`].
pub const AVAILABILITY_COUNT: usize = 4;

impl Availability {
    /// Every variant, in the order of the index arrays.
    pub const ALL: [Availability; AVAILABILITY_COUNT] = [
        Availability::Spare,
        Availability::Free,
        Availability::Reservable,
        Availability::Reclaimable,
    ];
}
