//! Determines the current incarnation of the worker.

use std::collections::BTreeSet;
use std::rc;

use crate::core::workflow::model;
use crate::runner::agent;
use crate::runner::agent::Agent;
use crate::runner::agent::Completion;
use crate::runner::agent::Unconfirmed;
use crate::runner::agent::Worker;
use crate::runner::closing;
use crate::runner::probe;
use crate::telemetry::event;

/// The most incarnations that are probed at a time.
const MAX_PROBES: usize = 4;

impl Agent {
    /// Applies an announcement or departure of an incarnation of the worker.
    pub(super) fn update_worker(&mut self, update: agent::WorkerUpdate) {
        let known = self.worker.as_ref().map(|worker| worker.announcement.incarnation);
        if self.departed.max(known).is_some_and(|latest| latest > update.incarnation) {
            // A late message of an earlier incarnation.
            return;
        }
        let current = self
            .worker
            .as_mut()
            .filter(|worker| worker.announcement.incarnation == update.incarnation);
        let Some(announcement) = update.announcement else {
            self.probing.remove(&update.incarnation);
            if let Some(worker) = current {
                worker.announcement.draining = true;
                worker.leaving = true;
                self.report();
                self.poll(0);
            }
            return;
        };
        if self.departed == Some(update.incarnation) {
            return;
        }
        let drain_deadline = update.drain_left.map(|left| self.clock.tick() + left);
        match current {
            Some(worker) => {
                let changed = worker.announcement != announcement;
                worker.announcement = announcement;
                worker.announcement.draining |= worker.leaving;
                worker.drain_deadline = drain_deadline;
                if changed {
                    self.report();
                }
            }
            None => {
                self.probe(Unconfirmed { announcement, drain_deadline, backend: update.backend });
            }
        }
    }

    /// Probes whether an announced incarnation is running.
    pub(super) fn probe(&mut self, unconfirmed: Unconfirmed) {
        let incarnation = unconfirmed.announcement.incarnation;
        if let Some(known) = self.probing.get_mut(&incarnation) {
            // The latest announcement replaces the earlier one; the probe in flight goes on with
            // the client that it has.
            (known.announcement, known.drain_deadline) =
                (unconfirmed.announcement, unconfirmed.drain_deadline);
            return;
        }
        if self.probing.len() >= MAX_PROBES {
            return;
        }
        event::agent::WORKER_ANNOUNCED
            .log(format_args!("name={} life={incarnation}", unconfirmed.announcement.name));
        // An incarnation that may never start must not use up the tokens of those that do. But a
        // new agent does not know the highest token that its worker has received.
        if self.worker.is_none() {
            self.fence.observe_incarnation(incarnation);
        }
        self.send_probe(unconfirmed);
    }

    fn send_probe(&mut self, unconfirmed: Unconfirmed) {
        let incarnation = unconfirmed.announcement.incarnation;
        let fence = self.fence.clone();
        let response = probe::probe(
            unconfirmed.backend.clone(),
            incarnation,
            move || fence.token(),
            self.clock,
        );
        self.probing.insert(incarnation, unconfirmed);
        self.calls.push(Box::pin(async move { Completion::Probe(incarnation, response.await) }));
    }

    /// Makes an incarnation that has answered the current one; every earlier one has ended.
    pub(super) fn probe_completed(
        &mut self,
        incarnation: model::Incarnation,
        response: Option<probe::Response>,
    ) {
        let Some(unconfirmed) = self.probing.remove(&incarnation) else { return };
        let Some(response) = response else {
            self.unconfirmed = Some(unconfirmed);
            return;
        };
        if response.request.fence < self.fence.min_token(incarnation) {
            // Only a call with a token of this incarnation makes the worker refuse calls for the
            // previous one.
            self.fence.observe_incarnation(incarnation);
            self.send_probe(unconfirmed);
            return;
        }
        let known = self.worker.as_ref().map(|worker| worker.announcement.incarnation);
        if self.departed.max(known).is_some_and(|latest| latest >= incarnation) {
            return;
        }
        event::agent::WORKER_VERIFIED.log(format_args!(
            "life={incarnation} clock={} running={} ended={}",
            response.listing.clock,
            response.listing.running.len(),
            response.listing.finished.len()
        ));
        self.min_token = self.min_token.max(self.fence.min_token(incarnation));
        self.lease.clear_clock();
        self.lease.set_clock(response.listing.clock, self.clock.tick());
        self.worker = Some(Worker {
            announcement: unconfirmed.announcement,
            may_inherit: known.is_some(),
            leaving: false,
            drain_deadline: unconfirmed.drain_deadline,
            backend: unconfirmed.backend,
            acknowledged: 0,
            listing: Some((response.listing, response.request)),
            listed_at: self.clock.tick(),
            closing: closing::Closing::default(),
            in_flight: BTreeSet::new(),
            alive: rc::Rc::new(()),
        });
        self.report();
        self.poll(0);
    }

    /// Records that the worker has left for good.
    pub(super) fn mark_departed(&mut self, incarnation: model::Incarnation) {
        event::agent::WORKER_LEFT.log(format_args!("life={incarnation}"));
        self.departed = Some(incarnation);
        self.worker = None;
        self.lease.clear_clock();
        self.report();
    }

    /// Stops the runs that the current incarnation may have started by orders for its predecessor,
    /// once the lease has expired: their deadline, meant for the predecessor's clock, is applied to
    /// this incarnation's clock and may lie far in the future.
    pub(super) fn stop_inherited(&mut self) {
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.may_inherit) else { return };
        worker.may_inherit = false;
        let incarnation = worker.announcement.incarnation;
        let listed = worker.listing.iter().flat_map(|(listing, _)| &listing.running);
        let runs: Vec<_> = listed.map(|entry| (entry.task.clone(), entry.run)).collect();
        for (task, run) in runs {
            self.stop(incarnation, task, run);
        }
    }
}
