//! Gauges of a control replica.

use std::time;

use crate::control::machine;
use crate::control::proposer;
use crate::telemetry::metrics as names;

/// Interval between two updates of the gauges.
const UPDATE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Updates the gauges periodically. Gauges that only a leader can compute are zero on followers.
#[derive(Default)]
pub struct Gauges {
    last_update: Option<time::Instant>,
}

impl Gauges {
    /// Updates the gauges if the interval has passed.
    pub fn tick(&mut self, proposer: &proposer::Proposer) {
        if self.last_update.is_some_and(|last| last.elapsed() < UPDATE_INTERVAL) {
            return;
        }
        self.last_update = Some(time::Instant::now());
        set_group_gauges(proposer);
        set_leader_gauges(proposer);
    }
}

fn set_group_gauges(proposer: &proposer::Proposer) {
    let view = proposer.log.view();
    let leads = matches!(view.role, machine::Role::Leader(_));
    let revision = proposer.shared.ledger.borrow().config.revision;
    metrics::gauge!(names::LEADER).set(f64::from(u8::from(leads)));
    metrics::gauge!(names::TERM).set(view.term.0 as f64);
    metrics::gauge!(names::COMMITTED).set(view.committed.0 as f64);
    metrics::gauge!(names::REVISION).set(revision.0 as f64);
}

fn set_leader_gauges(proposer: &proposer::Proposer) {
    let leader = proposer.shared.leader.borrow();
    let ledger = proposer.shared.ledger.borrow();
    let queued: u32 = ledger.table.waiting.values().sum();
    let (running, workers) = leader
        .as_ref()
        .map_or((0, 0), |leader| (leader.allocated_count(), leader.sessions().len()));
    let queued = if leader.is_some() { queued } else { 0 };
    metrics::gauge!(names::QUEUED).set(f64::from(queued));
    metrics::gauge!(names::RUNNING).set(running as f64);
    metrics::gauge!(names::WORKERS).set(workers as f64);
}
