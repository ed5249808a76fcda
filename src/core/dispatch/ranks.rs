//! The ranks of jobs, which depend on the guarantees of their client accounts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::queue;
use crate::core::ids;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::core::workflow::registry;

/// The rank of an active job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Rank {
    rank: u32,
    /// The occurrence that a guarantee covers: the first one that is not done.
    covered: u32,
}

/// The ranks of the active jobs by the current configuration.
#[derive(Debug, Default)]
pub struct Ranks {
    ranks: BTreeMap<ids::JobKey, Rank>,
    /// The urgent jobs, in the order of their acceptance.
    urgent: BTreeSet<ids::JobKey>,
}

impl Ranks {
    /// Returns the rank of a task; that of a job that has ended comes last.
    pub fn of(&self, task: model::TaskKey) -> u32 {
        let Some(known) = self.ranks.get(&task.job) else { return u32::MAX };
        match known.rank {
            queue::GUARANTEED_RANK if task.occurrence != known.covered => queue::URGENT_RANK,
            rank => rank,
        }
    }

    /// Brings the ranks up to date after changes of some jobs, and returns the other jobs whose rank
    /// has changed with theirs.
    ///
    /// Urgent jobs are within their account's guarantee by order of acceptance. The guarantee covers
    /// one occurrence of a job at a time: a job that makes up for many past times takes no more of it
    /// than each of these needs.
    pub fn refresh(
        &mut self,
        registry: &registry::Registry,
        changed: &BTreeSet<ids::JobKey>,
    ) -> Vec<ids::JobKey> {
        let mut urgent_changed = false;
        for key in changed {
            let job = registry.jobs.get(key).filter(|job| job.is_active());
            let Some(job) = job else {
                self.ranks.remove(key);
                urgent_changed |= self.urgent.remove(key);
                continue;
            };
            let known = self.ranks.get(key).map(|known| known.rank);
            let rank = known.unwrap_or_else(|| queue::base_rank(job));
            self.ranks.insert(*key, Rank { rank, covered: job.first_not_done() });
            if queue::base_rank(job) == queue::URGENT_RANK {
                urgent_changed |= self.urgent.insert(*key);
            }
        }
        if urgent_changed { self.rank_urgent(registry) } else { Vec::new() }
    }

    fn rank_urgent(&mut self, registry: &registry::Registry) -> Vec<ids::JobKey> {
        let directory = registry.directory.as_ref();
        let mut used: BTreeMap<&str, u32> = BTreeMap::new();
        let mut reranked = Vec::new();
        for key in &self.urgent {
            let Some(job) = registry.jobs.get(key) else { continue };
            let Some(known) = self.ranks.get_mut(key) else { continue };
            let account = job.submission.account.as_str();
            let used = used.entry(account).or_default();
            *used = used.saturating_add(peak_accelerators(job));
            let guarantee = directory.map_or(0, |directory| directory.guarantee(account));
            let rank = if *used <= guarantee { queue::GUARANTEED_RANK } else { queue::URGENT_RANK };
            if known.rank != rank {
                known.rank = rank;
                reranked.push(*key);
            }
        }
        reranked
    }
}

/// Returns the largest number of accelerators that one step of a job needs at once.
fn peak_accelerators(job: &job::Job) -> u32 {
    let steps = job.submission.workflow.steps.iter();
    steps.map(|step| step.count.saturating_mul(step.accelerators)).max().unwrap_or(0)
}
