//! Model of the agent beside a worker of workflows, without tasks and streams: the rules of
//! `runner::agent` and `runner::launch` with the real `runner::lease`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::time;
use hemlockcleat::core::workflow::model;
use hemlockcleat::runner::backend;
use hemlockcleat::runner::lease;
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore as _;

use crate::dispatch_workers;
use crate::support::flow;

/// The delay before an unanswered call is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 460;
const MAX_TRIES: u32 = 3;
const REPORT_INTERVAL_MS: u64 = 500;
const POLL_INTERVAL_MS: u64 = 200;
const LISTING_AGE_LIMIT_MS: u64 = 2000;
const LEADER_TIMEOUT_MS: u64 = 1500;
/// The longest delay, in milliseconds, after which an unanswered call is still carried out.
const MAX_CALL_DELAY_MS: u64 = 12_000;

type Name = (model::TaskName, u32);

/// A message of an agent to the leader.
pub enum Message {
    Report(order::Report),
    Closed(model::Incarnation, model::TaskName, u32),
    Disconnected,
}

/// A safety rule that the agent omits, to verify that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Leases count from the arrival of a grant.
    LateLease,
    /// A start without an answer counts as one that is never carried out.
    OmittedStop,
}

#[derive(Clone)]
enum Action {
    Start { until: u64, fence: u64, tries: u32 },
    Stop,
}

struct PendingOrder {
    incarnation: model::Incarnation,
    name: Name,
    due: u64,
    action: Action,
}

/// Calls to the simulated workers, some of which are lost or delayed.
pub struct Calls<'a> {
    pub workers: &'a mut dispatch_workers::Workers,
    pub delayed: &'a mut Vec<(u64, model::Incarnation, dispatch_workers::Call)>,
    pub rng: &'a mut ChaCha8Rng,
    /// The percentage of calls that get no answer.
    pub loss_percent: u64,
    pub now: u64,
}

impl Calls<'_> {
    fn call(
        &mut self,
        incarnation: model::Incarnation,
        call: &dispatch_workers::Call,
    ) -> Option<dispatch_workers::Answer> {
        if self.rng.next_u64() % 100 >= self.loss_percent {
            return Some(self.workers.call(incarnation, call, self.now));
        }
        match self.rng.next_u64() % 4 {
            0 => {
                self.workers.call(incarnation, call, self.now);
            }
            1 => {}
            _ => self.delayed.push((
                self.now + self.rng.next_u64() % MAX_CALL_DELAY_MS,
                incarnation,
                call.clone(),
            )),
        }
        None
    }
}

/// The process of one agent.
#[derive(Default)]
pub struct Agent {
    pub fault: Option<Fault>,
    /// The number of the agent's session.
    pub session: Option<u64>,
    incarnation: Option<model::Incarnation>,
    lease: lease::Lease,
    fence: u64,
    acknowledged: u64,
    listing: Option<(backend::Listing, u64)>,
    closing: BTreeMap<Name, u64>,
    busy: BTreeSet<Name>,
    pending: Vec<PendingOrder>,
    polled: u64,
    reported: u64,
    unanswered_since: Option<u64>,
    messages: Vec<Message>,
}

impl Agent {
    pub fn new(fault: Option<Fault>) -> Self {
        Self { fault, ..Self::default() }
    }

    /// Returns the messages since the last call.
    pub fn take_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.messages)
    }

    /// Handles the announcement of a worker's incarnation.
    pub fn announce(&mut self, incarnation: model::Incarnation, now: u64) {
        if self.incarnation.is_none_or(|known| known < incarnation) {
            self.lease.clear_clock();
            (self.incarnation, self.acknowledged, self.listing) = (Some(incarnation), 0, None);
            self.closing.clear();
            self.busy.clear();
            self.pending.clear();
            self.report(now);
        }
    }

    pub fn opened(&mut self, session: u64, term: u64) {
        self.fence = self.fence.max(term);
        self.session = Some(session);
        self.unanswered_since = None;
    }

    pub fn closed(&mut self) {
        if self.session.take().is_some() {
            self.messages.push(Message::Disconnected);
        }
        self.lease.session_ended();
        self.unanswered_since = None;
    }

    pub fn order(&mut self, order: order::Order, now: u64) {
        self.unanswered_since = None;
        match order {
            order::Order::Grant { sequence, duration } => {
                let late = self.fault == Some(Fault::LateLease);
                let sequence =
                    if late { self.lease.next_report(time::Tick(now)) } else { sequence };
                self.lease.grant(sequence, time::Millis(duration));
            }
            order::Order::Start(start) => self.start(start, now),
            order::Order::Stop { incarnation, task, run } => {
                self.stop(incarnation, (task, run), now)
            }
            order::Order::Acknowledge { incarnation, number } => {
                if self.incarnation == Some(incarnation) {
                    self.acknowledged = self.acknowledged.max(number);
                }
            }
        }
    }

    fn start(&mut self, start: order::Start, now: u64) {
        let name = (start.task, start.run);
        let known = self.busy.contains(&name) || self.closing.contains_key(&name);
        if self.incarnation != Some(start.incarnation) || known {
            return;
        }
        let valid = self.lease.is_valid(time::Tick(now));
        let Some(until) = self.lease.deadline().filter(|_| valid) else {
            return self.stop(start.incarnation, name, now);
        };
        self.busy.insert(name.clone());
        let action = Action::Start { until, fence: self.fence, tries: 0 };
        self.pending.push(PendingOrder { incarnation: start.incarnation, name, due: now, action });
    }

    fn stop(&mut self, incarnation: model::Incarnation, name: Name, now: u64) {
        if self.incarnation == Some(incarnation) {
            self.busy.insert(name.clone());
            self.pending.push(PendingOrder { incarnation, name, due: now, action: Action::Stop });
        }
    }

    /// Continues the orders in flight, polls the worker and sends reports.
    pub fn step(&mut self, mut calls: Calls<'_>) {
        let now = calls.now;
        let due = self.pending.extract_if(.., |order| order.due <= now);
        for order in due.collect::<Vec<_>>() {
            self.resume(order, &mut calls);
        }
        if self.polled + POLL_INTERVAL_MS <= now {
            self.polled = now;
            self.poll(&mut calls);
        }
        if self
            .unanswered_since
            .is_some_and(|unanswered_since| unanswered_since + LEADER_TIMEOUT_MS < now)
        {
            self.closed();
        }
        if self.reported + REPORT_INTERVAL_MS <= now {
            self.report(now);
        }
    }

    fn resume(&mut self, mut order: PendingOrder, calls: &mut Calls<'_>) {
        let (task, run) = order.name.clone();
        let answer = match &order.action {
            Action::Start { until, fence, .. } => {
                let (until, fence) = (*until, *fence);
                calls.call(
                    order.incarnation,
                    &dispatch_workers::Call::Start { task, run, until, fence },
                )
            }
            Action::Stop => {
                let fence = self.fence;
                calls.call(order.incarnation, &dispatch_workers::Call::Stop { task, run, fence })
            }
        };
        order.due = calls.now + RETRY_DELAY_MS;
        match (&mut order.action, answer) {
            (Action::Start { .. }, Some(dispatch_workers::Answer::Done)) => {
                self.busy.remove(&order.name);
            }
            (Action::Start { tries, .. }, None) if *tries + 1 < MAX_TRIES => {
                *tries += 1;
                self.pending.push(order);
            }
            (Action::Start { .. }, _) => {
                self.busy.remove(&order.name);
                if self.fault == Some(Fault::OmittedStop) {
                    self.closing.insert(order.name, calls.now);
                } else {
                    self.stop(order.incarnation, order.name, calls.now);
                }
            }
            (Action::Stop, Some(dispatch_workers::Answer::Done)) => {
                self.busy.remove(&order.name);
                self.closing.insert(order.name, calls.now);
            }
            (Action::Stop, _) => self.pending.push(order),
        }
    }

    fn poll(&mut self, calls: &mut Calls<'_>) {
        let Some(incarnation) = self.incarnation else { return };
        let now = calls.now;
        let until = self.lease.deadline().filter(|_| self.lease.is_valid(time::Tick(now)));
        let call =
            dispatch_workers::Call::List { until, seen: self.acknowledged, fence: self.fence };
        let Some(dispatch_workers::Answer::Lists(lists)) = calls.call(incarnation, &call) else {
            return;
        };
        if lists.started.is_some_and(|started| started != incarnation.started) {
            return;
        }
        self.lease.set_clock(lists.clock, time::Tick(now));
        let names = |lists: &backend::Listing| -> BTreeSet<Name> {
            lists.running.iter().map(|entry| (entry.task.clone(), entry.run)).collect()
        };
        let running = names(&lists);
        let before = self.listing.as_ref().map(|(held, _)| names(held));
        let changed = before.as_ref() != Some(&running) || !lists.finished.is_empty();
        let mut listed = running;
        listed.extend(lists.finished.iter().map(|entry| (entry.task.clone(), entry.run)));
        let settled = self.closing.extract_if(.., |_, answered| *answered < now);
        let closed: Vec<_> = settled.filter(|(name, _)| !listed.contains(name)).collect();
        self.listing = Some((lists, now));
        if changed {
            self.report(now);
        }
        if self.session.is_some() {
            let closed =
                closed.into_iter().map(|((task, run), _)| Message::Closed(incarnation, task, run));
            self.messages.extend(closed);
        }
    }

    fn report(&mut self, now: u64) {
        if self.session.is_none() {
            return;
        }
        let sequence = self.lease.next_report(time::Tick(now));
        let lists = self.listing.as_ref().filter(|(_, at)| at + LISTING_AGE_LIMIT_MS > now);
        self.reported = now;
        if lists.is_some() {
            self.unanswered_since = self.unanswered_since.or(Some(now));
        }
        self.messages.push(Message::Report(order::Report {
            sequence,
            worker: self
                .incarnation
                .map(|incarnation| flow::worker(incarnation.host, incarnation.started)),
            departed: None,
            drain_left: None,
            fresh: lists.is_some(),
            running: lists.map(|(held, _)| held.running.clone()).unwrap_or_default(),
            finished: lists.map(|(held, _)| held.finished.clone()).unwrap_or_default(),
        }));
    }
}
