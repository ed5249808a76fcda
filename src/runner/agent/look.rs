//! Asking the worker after its runs, and what its lists say.

use std::collections::BTreeSet;
use std::time;

use crate::core::dispatch::order;
use crate::core::time as core_time;
use crate::core::workflow::model;
use crate::runner::agent::Agent;
use crate::runner::agent::Announced;
use crate::runner::agent::Done;
use crate::runner::agent::LOOK_WAIT;
use crate::runner::agent::RunName;
use crate::runner::backend;
use crate::runner::meet;
use crate::telemetry::event;
use crate::wire::runner as wire;

/// How long a worker may take to answer a look beyond the time that it waits.
const LOOK_SLACK: time::Duration = time::Duration::from_millis(700);

/// The pause before the next look while ends are not durable yet, or after a look that failed.
const LOOK_PAUSE: time::Duration = time::Duration::from_millis(150);

/// How long after a stop was answered the run has certainly ended, also where the lists can't tell:
/// a stop takes 400 ms.
const STOPPED: core_time::Millis = core_time::Millis(3000);

impl Agent {
    /// Asks the worker after its runs, and extends its lease.
    pub(super) fn look(&mut self, wait: u64) {
        let (until, fence) = (self.hold.until(), self.fence.token());
        let valid = self.hold.is_valid(self.clock.tick());
        let Some(worker) = &self.worker else { return };
        let until = until.filter(|_| valid);
        let look = backend::Look { fence, until, seen: worker.unforgotten(), wait };
        let incarnation = worker.said.incarnation;
        let asked = meet::Asked { at: self.clock.tick(), fence };
        let limit = time::Duration::from_millis(wait) + LOOK_SLACK;
        let answer = tokio::time::timeout(limit, worker.backend.look(look));
        self.looks += 1;
        self.calls.push(Box::pin(async move {
            let silent = |_| Err(backend::Unlisted::Unanswered("no answer".to_owned()));
            Done::Look(incarnation, asked, answer.await.unwrap_or_else(silent))
        }));
    }

    pub(super) fn looked(
        &mut self,
        incarnation: model::Incarnation,
        asked: meet::Asked,
        answer: Result<backend::Listing, backend::Unlisted>,
    ) {
        let now = self.clock.tick();
        let mut failed = true;
        let mut found = None;
        if let Some(worker) =
            self.worker.as_mut().filter(|worker| worker.said.incarnation == incarnation)
        {
            match answer {
                Ok(listing) if listing.born.is_some_and(|born| born != incarnation.started) => {
                    event::agent::WORKER_SILENT
                        .log(format_args!("life={incarnation} another life"));
                    // It is not placed on before it has announced what it is itself.
                    let born = listing.born.unwrap_or(incarnation.started);
                    let next = model::Incarnation { started: born, ..incarnation };
                    let said = order::Announcement {
                        incarnation: next,
                        draining: true,
                        ..worker.said.clone()
                    };
                    let backend = worker.backend.clone();
                    found = Some(Announced { said, stays: None, backend });
                }
                Ok(listing) => {
                    failed = false;
                    let newest = worker.listing.as_ref().map_or(0, |(held, _)| held.clock);
                    // Answers may overtake one another; one to a later question is newer, whatever
                    // clock came with the other.
                    if listing.clock >= newest || asked.at > worker.heard {
                        worker.heard = now;
                        self.hold.clock(listing.clock, now);
                        self.take_listing(listing, asked);
                    }
                }
                // Its word alone does not prove that it is gone, nor does this alone.
                Err(backend::Unlisted::Nobody(_)) if worker.left => self.part(incarnation),
                Err(error) => {
                    event::agent::WORKER_SILENT
                        .log(format_args!("life={incarnation} error={error}"));
                }
            }
        }
        if let Some(next) = found.filter(|next| next.said.incarnation > incarnation) {
            self.meet(next);
        }
        let open = self.worker.as_ref().and_then(|worker| worker.listing.as_ref());
        let open = open.is_some_and(|(listing, _)| !listing.finished.is_empty());
        self.looks -= 1;
        if self.looks > 0 {
            return;
        }
        if failed || open {
            self.looks += 1;
            self.calls.push(Box::pin(async {
                tokio::time::sleep(LOOK_PAUSE).await;
                Done::Pause
            }));
        } else {
            self.look(LOOK_WAIT);
        }
    }

    fn take_listing(&mut self, listing: backend::Listing, asked: meet::Asked) {
        let Some(worker) = &mut self.worker else { return };
        let names = |listing: &backend::Listing| -> BTreeSet<RunName> {
            listing.running.iter().map(|entry| (entry.task.clone(), entry.run)).collect()
        };
        let running = names(&listing);
        let before = worker.listing.as_ref().map(|(held, _)| names(held));
        let news = before.as_ref() != Some(&running) || !listing.finished.is_empty();
        let mut listed = running;
        listed.extend(listing.finished.iter().map(|entry| (entry.task.clone(), entry.run)));
        // What a row says that can't be read may be any run.
        let grace = if listing.partial { STOPPED } else { core_time::Millis(0) };
        let mut closed = Vec::new();
        worker.closing.retain(|name, answered| {
            if *answered > asked.at {
                return true;
            }
            // A run that is still going on is ordered to stop again by the leader.
            if listed.contains(name) {
                return false;
            }
            if *answered + grace > asked.at {
                return true;
            }
            closed.push(name.clone());
            false
        });
        let incarnation = worker.said.incarnation;
        worker.listing = Some((listing, asked));
        if news {
            self.report();
        }
        for (task, run) in closed {
            self.send(wire::ClientMessage::Closed { incarnation, task, run });
        }
    }
}
