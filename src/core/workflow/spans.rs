//! A set of numbers that is held as ranges.

use crate::macros;

macros::value_types! {
    /// A set of numbers. It takes the space of its ranges, which is that of one range if the numbers
    /// were added in order.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct Spans {
        /// The first number of each range and the number after its last, in ascending order. Ranges
        /// neither overlap nor touch.
        ranges: Vec<(u32, u32)>,
    }
}

impl Spans {
    /// Adds the numbers from `first` to the one before `end`.
    pub fn insert(&mut self, first: u32, end: u32) {
        if first >= end {
            return;
        }
        // The ranges that overlap or touch the new one are merged with it.
        let from = self.ranges.partition_point(|(_, other)| *other < first);
        let until = self.ranges.partition_point(|(other, _)| *other <= end);
        let merged = self.ranges[from..until].iter();
        let merged = merged
            .fold((first, end), |(low, high), (first, end)| (low.min(*first), high.max(*end)));
        self.ranges.splice(from..until, [merged]);
    }

    /// Returns whether the set has a number.
    pub fn contains(&self, number: u32) -> bool {
        self.first_gap(number) != number
    }

    /// Returns the least number from `from` on that the set lacks.
    pub fn first_gap(&self, from: u32) -> u32 {
        let next = self.ranges.partition_point(|(_, end)| *end <= from);
        self.ranges.get(next).filter(|(first, _)| *first <= from).map_or(from, |(_, end)| *end)
    }

    /// Returns the numbers below `end` that the set lacks, in ascending order.
    pub fn gaps(&self, end: u32) -> impl Iterator<Item = u32> + Clone {
        let starts = std::iter::once(0).chain(self.ranges.iter().map(|(_, end)| *end));
        let ends = self.ranges.iter().map(|(first, _)| *first).chain([end]);
        starts.zip(ends).flat_map(move |(first, last)| first..last.min(end))
    }

    /// Returns how many numbers the set has.
    pub fn count(&self) -> u32 {
        self.ranges.iter().map(|(first, end)| end - first).sum()
    }

    /// Returns how many ranges the set takes.
    pub fn ranges(&self) -> usize {
        self.ranges.len()
    }
}
