//! Shapes of jobs: the number of tasks, the accelerators of each, and how close together they run.

use std::fmt;

use crate::macros;

/// The most tasks a gang may have.
pub const MAX_TASKS: u32 = 1024;

macros::copy_types! {
    /// The smallest unit of the cell that must hold all tasks of a gang, from largest to smallest.
    pub enum Adjacency {
        /// The tasks may run anywhere in the cell.
        Cell,
        /// The tasks run within one data centre.
        DataCenter,
        /// The tasks run within one rack.
        Rack,
        /// The tasks run on one worker.
        Worker,
    }

    /// The resources that a job requests, all at the same time.
    pub struct Shape {
        /// The number of tasks, at least 1; each takes one slot of a worker.
        pub tasks: u32,
        /// The number of accelerators for each task; may be 0.
        pub accelerators: u32,
        /// The unit of the cell that must hold all tasks.
        pub adjacency: Adjacency,
    }
}

impl Shape {
    /// The shape of a single task, which may run anywhere in the cell.
    pub const fn single(accelerators: u32) -> Self {
        Self { tasks: 1, accelerators, adjacency: Adjacency::Cell }
    }

    /// The number of accelerators of all tasks together.
    pub const fn total(self) -> u64 {
        self.tasks as u64 * self.accelerators as u64
    }
}

impl Adjacency {
    /// The name in settings, tickets and requests.
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
