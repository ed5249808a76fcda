//! Which incarnation of the worker is the present one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc;

use crate::core::workflow::model;
use crate::runner::agent;
use crate::runner::agent::Agent;
use crate::runner::agent::Announced;
use crate::runner::agent::Done;
use crate::runner::agent::Worker;
use crate::runner::meet;
use crate::telemetry::event;

/// The most incarnations that are asked at once whether they are there.
const MEETINGS: usize = 4;

impl Agent {
    /// Takes what the worker says of itself.
    pub(super) fn beat(&mut self, beat: agent::Beat) {
        let known = self.worker.as_ref().map(|worker| worker.said.incarnation);
        if self.gone.max(known).is_some_and(|latest| latest > beat.incarnation) {
            // A message of an earlier incarnation that was late.
            return;
        }
        let present =
            self.worker.as_mut().filter(|worker| worker.said.incarnation == beat.incarnation);
        let Some(said) = beat.said else {
            self.meeting.remove(&beat.incarnation);
            if let Some(worker) = present {
                worker.said.draining = true;
                worker.left = true;
                self.report();
                self.look(0);
            }
            return;
        };
        if self.gone == Some(beat.incarnation) {
            return;
        }
        let stays = beat.stays.map(|stays| self.clock.tick() + stays);
        match present {
            Some(worker) => {
                let news = worker.said != said;
                worker.said = said;
                worker.said.draining |= worker.left;
                worker.stays = stays;
                if news {
                    self.report();
                }
            }
            None => self.meet(Announced { said, stays, backend: beat.backend }),
        }
    }

    /// Asks an incarnation that was announced whether it is there.
    pub(super) fn meet(&mut self, announced: Announced) {
        let incarnation = announced.said.incarnation;
        if let Some(known) = self.meeting.get_mut(&incarnation) {
            // The newest word of the incarnation; the way to call it is the one that is being tried.
            (known.said, known.stays) = (announced.said, announced.stays);
            return;
        }
        if self.meeting.len() >= MEETINGS {
            return;
        }
        event::agent::WORKER_SEEN
            .log(format_args!("name={} life={incarnation}", announced.said.name));
        // An incarnation that may never come must not use up the tokens of those that do. But a new agent
        // does not know how high a token its worker has seen.
        if self.worker.is_none() {
            self.fence.call(incarnation);
        }
        self.ask(announced);
    }

    fn ask(&mut self, announced: Announced) {
        let incarnation = announced.said.incarnation;
        let fence = self.fence.clone();
        let asked =
            meet::meet(announced.backend.clone(), incarnation, move || fence.token(), self.clock);
        self.meeting.insert(incarnation, announced);
        self.calls.push(Box::pin(async move { Done::Met(incarnation, asked.await) }));
    }

    /// Takes over an incarnation that has answered; whatever was before it is over.
    pub(super) fn met(&mut self, incarnation: model::Incarnation, met: Option<meet::Met>) {
        let Some(announced) = self.meeting.remove(&incarnation) else { return };
        let Some(met) = met else {
            self.unmet = Some(announced);
            return;
        };
        if met.asked.fence < self.fence.token_of(incarnation) {
            // Only a call with a token of its own shuts out those for the incarnation before.
            self.fence.call(incarnation);
            self.ask(announced);
            return;
        }
        let known = self.worker.as_ref().map(|worker| worker.said.incarnation);
        if self.gone.max(known).is_some_and(|latest| latest >= incarnation) {
            return;
        }
        event::agent::WORKER_ANSWERS.log(format_args!(
            "life={incarnation} clock={} running={} ended={}",
            met.listing.clock,
            met.listing.running.len(),
            met.listing.finished.len()
        ));
        self.least = self.least.max(self.fence.token_of(incarnation));
        self.hold.reborn();
        self.hold.clock(met.listing.clock, self.clock.tick());
        self.worker = Some(Worker {
            said: announced.said,
            follows: known.is_some(),
            left: false,
            stays: announced.stays,
            backend: announced.backend,
            seen: 0,
            listing: Some((met.listing, met.asked)),
            heard: self.clock.tick(),
            closing: BTreeMap::new(),
            busy: BTreeSet::new(),
            alive: rc::Rc::new(()),
        });
        self.report();
        self.look(0);
    }

    /// The worker is gone for good.
    pub(super) fn part(&mut self, incarnation: model::Incarnation) {
        event::agent::WORKER_LEFT.log(format_args!("life={incarnation}"));
        self.gone = Some(incarnation);
        self.worker = None;
        self.hold.reborn();
        self.report();
    }

    /// Stops what an incarnation holds of the one before once the lease is over: its deadline is on the
    /// clock of that incarnation, and may lie far ahead.
    pub(super) fn stop_inherited(&mut self) {
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.follows) else { return };
        worker.follows = false;
        let incarnation = worker.said.incarnation;
        let listed = worker.listing.iter().flat_map(|(listing, _)| &listing.running);
        let runs: Vec<_> = listed.map(|entry| (entry.task.clone(), entry.run)).collect();
        for (task, run) in runs {
            self.stop(incarnation, task, run);
        }
    }
}
