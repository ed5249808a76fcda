//! Polls the worker for its runs and evaluates its lists.

use std::collections::BTreeSet;
use std::time;

use crate::core::dispatch::order;
use crate::core::workflow::model;
use crate::runner::agent::Agent;
use crate::runner::agent::Completion;
use crate::runner::agent::POLL_WAIT_MS;
use crate::runner::agent::Unconfirmed;
use crate::runner::backend;
use crate::runner::closing;
use crate::runner::closing::RunName;
use crate::runner::probe;
use crate::telemetry::event;
use crate::wire::runner as wire;

/// How long a worker may take to answer a poll beyond the time that the poll waits.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// The delay before the next poll while ends are not durable yet, or after a poll that failed.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(150);

impl Agent {
    /// Polls the worker for its runs and extends its lease.
    pub(super) fn poll(&mut self, wait: u64) {
        let (deadline, fence) = (self.lease.deadline(), self.fence.token());
        let valid = self.lease.is_valid(self.clock.tick());
        let Some(worker) = &mut self.worker else { return };
        let deadline = deadline.filter(|_| valid);
        let poll = backend::Poll { fence, deadline, acknowledged: worker.acknowledgement(), wait };
        let incarnation = worker.announcement.incarnation;
        let number = worker.closing.next_poll();
        let request = probe::Request { sent_at: self.clock.tick(), fence, number };
        let limit = time::Duration::from_millis(wait) + ANSWER_TIMEOUT;
        let answer = tokio::time::timeout(limit, worker.backend.poll(poll));
        self.polls += 1;
        self.calls.push(Box::pin(async move {
            let timed_out = |_| Err(backend::PollError::Unanswered("no answer".to_owned()));
            Completion::Poll(incarnation, request, answer.await.unwrap_or_else(timed_out))
        }));
    }

    pub(super) fn poll_completed(
        &mut self,
        incarnation: model::Incarnation,
        request: probe::Request,
        answer: Result<backend::Listing, backend::PollError>,
    ) {
        let now = self.clock.tick();
        let mut failed = true;
        let mut other = None;
        if let Some(worker) =
            self.worker.as_mut().filter(|worker| worker.announcement.incarnation == incarnation)
        {
            match answer {
                Ok(listing)
                    if listing.started.is_some_and(|started| started != incarnation.started) =>
                {
                    event::agent::WORKER_SILENT
                        .log(format_args!("life={incarnation} another incarnation answers"));
                    // It is given no tasks before it has announced itself.
                    let started = listing.started.unwrap_or(incarnation.started);
                    let next = model::Incarnation { started, ..incarnation };
                    let announcement = order::Announcement {
                        incarnation: next,
                        draining: true,
                        ..worker.announcement.clone()
                    };
                    let backend = worker.backend.clone();
                    other = Some(Unconfirmed { announcement, drain_deadline: None, backend });
                }
                Ok(listing) => {
                    failed = false;
                    let latest = worker.listing.as_ref().map_or(0, |(listing, _)| listing.clock);
                    // Answers may arrive out of order; one to a poll that was sent after the last
                    // listing came is newer, whatever the clock in that listing.
                    if listing.clock >= latest || request.sent_at > worker.listed_at {
                        worker.listed_at = now;
                        self.lease.set_clock(listing.clock, now);
                        self.apply_listing(listing, request);
                    }
                }
                // Neither the worker's notice that it leaves nor this error alone proves that it
                // has departed.
                Err(backend::PollError::NoProcess(_)) if worker.leaving => {
                    self.mark_departed(incarnation);
                }
                Err(error) => {
                    event::agent::WORKER_SILENT
                        .log(format_args!("life={incarnation} error={error}"));
                }
            }
        }
        if let Some(next) = other.filter(|next| next.announcement.incarnation > incarnation) {
            self.probe(next);
        }
        let listing = self.worker.as_ref().and_then(|worker| worker.listing.as_ref());
        let has_ends = listing.is_some_and(|(listing, _)| !listing.finished.is_empty());
        self.polls -= 1;
        if self.polls > 0 {
            return;
        }
        if failed || has_ends {
            self.polls += 1;
            self.calls.push(Box::pin(async {
                tokio::time::sleep(RETRY_DELAY).await;
                Completion::PollDelay
            }));
        } else {
            self.poll(POLL_WAIT_MS);
        }
    }

    fn apply_listing(&mut self, listing: backend::Listing, request: probe::Request) {
        let Some(worker) = &mut self.worker else { return };
        let names = |listing: &backend::Listing| -> BTreeSet<RunName> {
            listing.running.iter().map(|entry| (entry.task.clone(), entry.run)).collect()
        };
        let running = names(&listing);
        let before = worker.listing.as_ref().map(|(listing, _)| names(listing));
        let changed = before.as_ref() != Some(&running) || !listing.finished.is_empty();
        let poll = closing::Poll { number: request.number, sent_at: request.sent_at };
        let closed = worker.closing.listed(poll, &listing);
        let incarnation = worker.announcement.incarnation;
        worker.listing = Some((listing, request));
        if changed {
            self.report();
        }
        for (task, run) in closed {
            self.send(wire::ClientMessage::Closed { incarnation, task, run });
        }
    }
}
