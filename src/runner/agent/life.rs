//! Which life of the worker is the present one.

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

/// The most lives that are asked at once whether they are there.
const MEETINGS: usize = 4;

impl Agent {
    /// Takes what the worker says of itself.
    pub(super) fn beat(&mut self, beat: agent::Beat) {
        let known = self.worker.as_ref().map(|worker| worker.said.life);
        if self.gone.max(known).is_some_and(|latest| latest > beat.life) {
            // A message of an earlier life that was late.
            return;
        }
        let present = self.worker.as_mut().filter(|worker| worker.said.life == beat.life);
        let Some(said) = beat.said else {
            self.meeting.remove(&beat.life);
            if let Some(worker) = present {
                worker.said.draining = true;
                worker.left = true;
                self.report();
                self.look(0);
            }
            return;
        };
        if self.gone == Some(beat.life) {
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

    /// Asks a life that was announced whether it is there.
    pub(super) fn meet(&mut self, announced: Announced) {
        let life = announced.said.life;
        if let Some(known) = self.meeting.get_mut(&life) {
            // The newest word of the life; the way to call it is the one that is being tried.
            (known.said, known.stays) = (announced.said, announced.stays);
            return;
        }
        if self.meeting.len() >= MEETINGS {
            return;
        }
        event::agent::WORKER_SEEN.log(format_args!("name={} life={life}", announced.said.name));
        // A life that may never come must not use up the tokens of those that do. But a new agent
        // does not know how high a token its worker has seen.
        if self.worker.is_none() {
            self.fence.call(life);
        }
        self.ask(announced);
    }

    fn ask(&mut self, announced: Announced) {
        let life = announced.said.life;
        let fence = self.fence.clone();
        let asked = meet::meet(announced.backend.clone(), life, move || fence.token(), self.clock);
        self.meeting.insert(life, announced);
        self.calls.push(Box::pin(async move { Done::Met(life, asked.await) }));
    }

    /// Takes over a life that has answered; whatever was before it is over.
    pub(super) fn met(&mut self, life: model::Life, met: Option<meet::Met>) {
        let Some(announced) = self.meeting.remove(&life) else { return };
        let Some(met) = met else {
            self.unmet = Some(announced);
            return;
        };
        if met.asked.fence < self.fence.token_of(life) {
            // Only a call with a token of its own shuts out those for the life before.
            self.fence.call(life);
            self.ask(announced);
            return;
        }
        let known = self.worker.as_ref().map(|worker| worker.said.life);
        if self.gone.max(known).is_some_and(|latest| latest >= life) {
            return;
        }
        event::agent::WORKER_ANSWERS.log(format_args!(
            "life={life} clock={} running={} ended={}",
            met.listing.clock,
            met.listing.running.len(),
            met.listing.finished.len()
        ));
        self.least = self.least.max(self.fence.token_of(life));
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
    pub(super) fn part(&mut self, life: model::Life) {
        event::agent::WORKER_LEFT.log(format_args!("life={life}"));
        self.gone = Some(life);
        self.worker = None;
        self.hold.reborn();
        self.report();
    }

    /// Stops what a life holds of the one before once the lease is over: its deadline is on the
    /// clock of that life, and may lie far ahead.
    pub(super) fn stop_inherited(&mut self) {
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.follows) else { return };
        worker.follows = false;
        let life = worker.said.life;
        let listed = worker.listing.iter().flat_map(|(listing, _)| &listing.running);
        let runs: Vec<_> = listed.map(|entry| (entry.task.clone(), entry.run)).collect();
        for (task, run) in runs {
            self.stop(life, task, run);
        }
    }
}
