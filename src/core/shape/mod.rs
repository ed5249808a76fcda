//! Shapes of work: how many tasks, how many accelerators each, and how close together.

use std::fmt;

use crate::macros;

/// The most tasks a gang may have.
pub const MAX_TASKS: u32 = 1024;

macros::copy_types! {
    /// How close together the tasks of a gang must run, from loose to tight.
    pub enum Adjacency {
        /// Anywhere in the cell.
        Cell,
        /// Within one data centre.
        DataCenter,
        /// Within one rack.
        Rack,
        /// On one worker.
        Worker,
    }

    /// The resources a job asks for, all of them at once.
    pub struct Shape {
        /// Number of tasks; each takes one slot of a worker. At least 1.
        pub tasks: u32,
        /// Accelerators for each task; may be 0.
        pub accelerators: u32,
        /// How close together the tasks must run.
        pub adjacency: Adjacency,
    }
}

impl Shape {
    /// A shape of one task.
    pub const fn single(accelerators: u32) -> Self {
        Self { tasks: 1, accelerators, adjacency: Adjacency::Cell }
    }

    /// Accelerators of all tasks together.
    pub const fn total(self) -> u64 {
        self.tasks as u64 * self.accelerators as u64
    }
}

impl Adjacency {
    /// The word used in settings, tickets and requests.
    pub const fn as_str(self) -> &'static str {
        match self {
            Adjacency::Cell => "cell",
            Adjacency::DataCenter => "data-center",
            Adjacency::Rack => "rack",
            Adjacency::Worker => "worker",
        }
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}x{}@{}", self.tasks, self.accelerators, self.adjacency.as_str())
    }
}
