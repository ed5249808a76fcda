//! The queue of waiting jobs, grouped by equal requirements.
//!
//! Jobs of one account, kind, class and shape form a group and are tried in the order of their
//! deadlines. When the first job of a group finds no placement, none of the others does: the group
//! is blocked until capacity comes free. The cost of a pass therefore depends on the number of
//! groups, not on the length of the queue.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::account;
use crate::core::ids;
use crate::core::placement::job_state;
use crate::core::shape;
use crate::core::time;

/// The class, kind, account and shape that the jobs of a group have in common.
type GroupKey = (account::Class, usize, usize, shape::Shape);

/// A group of waiting jobs with equal requirements.
#[derive(Clone, Debug)]
pub struct Group {
    /// Index of the account.
    pub account: usize,
    /// Capacity version at which the group last found no placement; 0 if it has not been tried
    /// since it was last empty.
    pub blocked_version: u64,
    waiting: BTreeSet<(time::Tick, ids::JobKey)>,
}

/// All waiting jobs.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    groups: Vec<Group>,
    indices: BTreeMap<GroupKey, usize>,
    active: BTreeSet<usize>,
    counts: [usize; 4],
}

impl Group {
    /// The job that is tried first.
    pub fn head(&self) -> Option<ids::JobKey> {
        self.waiting.first().map(|(_, key)| *key)
    }

    /// Whether no job waits in the group.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl Queue {
    /// Adds a job and returns the index of its group.
    pub fn insert(&mut self, job: &job_state::JobState) -> usize {
        let group_key = (job.class, job.kind, job.account, job.shape);
        let next = self.groups.len();
        let index = *self.indices.entry(group_key).or_insert(next);
        if index == next {
            self.groups.push(Group {
                account: job.account,
                blocked_version: 0,
                waiting: BTreeSet::new(),
            });
        }
        if self.groups[index].waiting.insert((job.deadline, job.key)) {
            self.counts[job.class as usize] += 1;
        }
        self.active.insert(index);
        index
    }

    /// Removes a job if it is in the queue.
    pub fn remove(&mut self, job: &job_state::JobState) {
        let group_key = (job.class, job.kind, job.account, job.shape);
        let Some(&index) = self.indices.get(&group_key) else { return };
        if self.groups[index].waiting.remove(&(job.deadline, job.key)) {
            self.counts[job.class as usize] -= 1;
        }
        if self.groups[index].is_empty() {
            self.active.remove(&index);
            self.groups[index].blocked_version = 0;
        }
    }

    /// The group at an index.
    pub fn group(&self, index: usize) -> &Group {
        &self.groups[index]
    }

    /// Records the capacity version at which a group found no placement.
    pub fn block(&mut self, index: usize, version: u64) {
        self.groups[index].blocked_version = version;
    }

    /// The indices of the groups that have waiting jobs.
    pub fn active(&self) -> impl Iterator<Item = usize> + '_ {
        self.active.iter().copied()
    }

    /// The number of waiting jobs that are not of class idle.
    pub fn pending(&self) -> usize {
        self.counts[..account::Class::Idle as usize].iter().sum()
    }
}
