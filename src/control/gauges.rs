//! The metrics of a control replica.

use std::time;

use crate::control::machine;
use crate::control::proposer;
use crate::telemetry::metrics as names;

/// How often the gauges are set.
const PERIOD: time::Duration = time::Duration::from_secs(1);

/// Sets the gauges now and then. A replica that does not lead shows zeros where only a leader knows.
#[derive(Default)]
pub struct Gauges {
    last: Option<time::Instant>,
}

impl Gauges {
    /// Sets the gauges if that is due.
    pub fn tick(&mut self, proposer: &proposer::Proposer) {
        if self.last.is_some_and(|last| last.elapsed() < PERIOD) {
            return;
        }
        self.last = Some(time::Instant::now());
        show_group(proposer);
        show_lead(proposer);
    }
}

fn show_group(proposer: &proposer::Proposer) {
    let view = proposer.log.view();
    let leads = matches!(view.role, machine::Role::Leader(_));
    let revision = proposer.shared.ledger.borrow().config.revision;
    metrics::gauge!(names::LEADER).set(f64::from(u8::from(leads)));
    metrics::gauge!(names::TERM).set(view.term.0 as f64);
    metrics::gauge!(names::COMMITTED).set(view.committed.0 as f64);
    metrics::gauge!(names::REVISION).set(revision.0 as f64);
}

fn show_lead(proposer: &proposer::Proposer) {
    let lead = proposer.shared.lead.borrow();
    let ledger = proposer.shared.ledger.borrow();
    let queued: u32 = ledger.table.waiting.values().sum();
    let (running, workers) =
        lead.as_ref().map_or((0, 0), |lead| (lead.held(), lead.sessions().len()));
    let queued = if lead.is_some() { queued } else { 0 };
    metrics::gauge!(names::QUEUED).set(f64::from(queued));
    metrics::gauge!(names::RUNNING).set(running as f64);
    metrics::gauge!(names::WORKERS).set(workers as f64);
}
