//! The waiting jobs, in groups of equals.
//!
//! Jobs of one account, kind, class and shape form a group and are tried in the order of their
//! deadlines. When the first of a group finds no place, none of the group does: the group is
//! blocked until capacity comes free. So a long queue costs as little as a short one.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::account;
use crate::core::ids;
use crate::core::placement::job_state;
use crate::core::shape;
use crate::core::time;

/// What the jobs of a group have in common.
type GroupKey = (account::Class, usize, usize, shape::Shape);

/// A group of equal waiting jobs.
#[derive(Clone, Debug)]
pub struct Group {
    /// The account.
    pub account: usize,
    /// The state of the fleet at which the group last found no place; 0 if it was not tried.
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

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl Queue {
    /// Adds a job and returns its group.
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

    /// Removes a job, if it waits here.
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

    /// A group.
    pub fn group(&self, index: usize) -> &Group {
        &self.groups[index]
    }

    /// Notes at which state of the fleet a group found no place.
    pub fn block(&mut self, index: usize, version: u64) {
        self.groups[index].blocked_version = version;
    }

    /// The groups in which jobs wait.
    pub fn active(&self) -> impl Iterator<Item = usize> + '_ {
        self.active.iter().copied()
    }

    /// How many jobs wait that are not of the class idle.
    pub fn pending(&self) -> usize {
        self.counts[..account::Class::Idle as usize].iter().sum()
    }
}
