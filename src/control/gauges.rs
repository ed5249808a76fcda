//! The metrics of a control replica.

use std::time;

use crate::control::machine;
use crate::control::proposer;
use crate::telemetry::metrics as names;

/// How often the gauges are set.
const UPDATE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Sets the gauges now and then. A replica that does not lead shows zeros where only a leader knows.
#[derive(Default)]
pub struct Gauges {
    last: Option<time::Instant>,
}

impl Gauges {
    /// Sets the gauges if that is due.
    pub fn tick(&mut self, proposer: &proposer::Proposer) {
        if self.last.is_some_and(|last| last.elapsed() < UPDATE_INTERVAL) {
            return;
        }
        self.last = Some(time::Instant::now());
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
