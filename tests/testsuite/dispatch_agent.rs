//! The agent beside a worker of workflows, without its tasks and streams: the rules of
//! `runner::agent` and `runner::launch` over the real `runner::hold`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::time;
use hemlockcleat::core::workflow::model;
use hemlockcleat::runner::backend;
use hemlockcleat::runner::hold;
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore as _;

use crate::dispatch_floor;
use crate::support::flow;

/// From one try of an order without an answer to the next, in milliseconds.
const RETRY: u64 = 460;
const TRIES: u32 = 3;
const REPORT: u64 = 500;
const LOOK: u64 = 200;
const CURRENT: u64 = 2000;
const SILENCE: u64 = 1500;
/// The longest time after which a call without an answer is carried out.
const LATE: u64 = 12_000;

type Name = (model::TaskName, u32);

/// What an agent says.
pub enum Up {
    Report(order::Report),
    Closed(model::Incarnation, model::TaskName, u32),
    Left,
}

/// A rule that the agent leaves out, to see that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Leases count from the arrival of a grant.
    LateLease,
    /// A start without an answer counts as one that never comes.
    NoStop,
}

#[derive(Clone)]
enum Doing {
    Start { until: u64, fence: u64, tries: u32 },
    Stop,
}

struct Doings {
    incarnation: model::Incarnation,
    name: Name,
    due: u64,
    doing: Doing,
}

/// The floor behind calls that may get lost.
pub struct Calls<'a> {
    pub floor: &'a mut dispatch_floor::Floor,
    pub late: &'a mut Vec<(u64, model::Incarnation, dispatch_floor::Call)>,
    pub rng: &'a mut ChaCha8Rng,
    /// Out of a hundred calls, how many get no answer.
    pub rough: u64,
    pub now: u64,
}

impl Calls<'_> {
    fn call(
        &mut self,
        incarnation: model::Incarnation,
        call: &dispatch_floor::Call,
    ) -> Option<dispatch_floor::Answer> {
        if self.rng.next_u64() % 100 >= self.rough {
            return Some(self.floor.call(incarnation, call, self.now));
        }
        match self.rng.next_u64() % 4 {
            0 => {
                self.floor.call(incarnation, call, self.now);
            }
            1 => {}
            _ => self.late.push((self.now + self.rng.next_u64() % LATE, incarnation, call.clone())),
        }
        None
    }
}

/// One agent's process.
#[derive(Default)]
pub struct Agent {
    pub fault: Option<Fault>,
    /// The number of its session.
    pub session: Option<u64>,
    incarnation: Option<model::Incarnation>,
    hold: hold::Hold,
    fence: u64,
    seen: u64,
    listing: Option<(backend::Listing, u64)>,
    closing: BTreeMap<Name, u64>,
    busy: BTreeSet<Name>,
    doings: Vec<Doings>,
    looked: u64,
    reported: u64,
    asked: Option<u64>,
    out: Vec<Up>,
}

impl Agent {
    pub fn new(fault: Option<Fault>) -> Self {
        Self { fault, ..Self::default() }
    }

    /// What it says since it was last asked.
    pub fn take(&mut self) -> Vec<Up> {
        std::mem::take(&mut self.out)
    }

    /// The worker says of itself that it is this incarnation.
    pub fn beat(&mut self, incarnation: model::Incarnation, now: u64) {
        if self.incarnation.is_none_or(|known| known < incarnation) {
            self.hold.reborn();
            (self.incarnation, self.seen, self.listing) = (Some(incarnation), 0, None);
            self.closing.clear();
            self.busy.clear();
            self.doings.clear();
            self.report(now);
        }
    }

    pub fn opened(&mut self, session: u64, term: u64) {
        self.fence = self.fence.max(term);
        self.session = Some(session);
        self.asked = None;
    }

    pub fn closed(&mut self) {
        if self.session.take().is_some() {
            self.out.push(Up::Left);
        }
        self.hold.session_ended();
        self.asked = None;
    }

    pub fn order(&mut self, order: order::Order, now: u64) {
        self.asked = None;
        match order {
            order::Order::Grant { sequence, duration } => {
                let late = self.fault == Some(Fault::LateLease);
                let sequence = if late { self.hold.report(time::Tick(now)) } else { sequence };
                self.hold.granted(sequence, time::Millis(duration));
            }
            order::Order::Start(start) => self.start(start, now),
            order::Order::Stop { incarnation, task, run } => {
                self.stop(incarnation, (task, run), now)
            }
            order::Order::Acknowledge { incarnation, number } => {
                if self.incarnation == Some(incarnation) {
                    self.seen = self.seen.max(number);
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
        let valid = self.hold.is_valid(time::Tick(now));
        let Some(until) = self.hold.until().filter(|_| valid) else {
            return self.stop(start.incarnation, name, now);
        };
        self.busy.insert(name.clone());
        let doing = Doing::Start { until, fence: self.fence, tries: 0 };
        self.doings.push(Doings { incarnation: start.incarnation, name, due: now, doing });
    }

    fn stop(&mut self, incarnation: model::Incarnation, name: Name, now: u64) {
        if self.incarnation == Some(incarnation) {
            self.busy.insert(name.clone());
            self.doings.push(Doings { incarnation, name, due: now, doing: Doing::Stop });
        }
    }

    /// Goes on with its orders, looks at the worker, and reports.
    pub fn step(&mut self, mut calls: Calls<'_>) {
        let now = calls.now;
        let due = self.doings.extract_if(.., |doing| doing.due <= now);
        for doing in due.collect::<Vec<_>>() {
            self.go_on(doing, &mut calls);
        }
        if self.looked + LOOK <= now {
            self.looked = now;
            self.look(&mut calls);
        }
        if self.asked.is_some_and(|asked| asked + SILENCE < now) {
            self.closed();
        }
        if self.reported + REPORT <= now {
            self.report(now);
        }
    }

    fn go_on(&mut self, mut order: Doings, calls: &mut Calls<'_>) {
        let (task, run) = order.name.clone();
        let answer = match &order.doing {
            Doing::Start { until, fence, .. } => {
                let (until, fence) = (*until, *fence);
                calls.call(
                    order.incarnation,
                    &dispatch_floor::Call::Start { task, run, until, fence },
                )
            }
            Doing::Stop => {
                let fence = self.fence;
                calls.call(order.incarnation, &dispatch_floor::Call::Stop { task, run, fence })
            }
        };
        order.due = calls.now + RETRY;
        match (&mut order.doing, answer) {
            (Doing::Start { .. }, Some(dispatch_floor::Answer::Done)) => {
                self.busy.remove(&order.name);
            }
            (Doing::Start { tries, .. }, None) if *tries + 1 < TRIES => {
                *tries += 1;
                self.doings.push(order);
            }
            (Doing::Start { .. }, _) => {
                self.busy.remove(&order.name);
                if self.fault == Some(Fault::NoStop) {
                    self.closing.insert(order.name, calls.now);
                } else {
                    self.stop(order.incarnation, order.name, calls.now);
                }
            }
            (Doing::Stop, Some(dispatch_floor::Answer::Done)) => {
                self.busy.remove(&order.name);
                self.closing.insert(order.name, calls.now);
            }
            (Doing::Stop, _) => self.doings.push(order),
        }
    }

    fn look(&mut self, calls: &mut Calls<'_>) {
        let Some(incarnation) = self.incarnation else { return };
        let now = calls.now;
        let until = self.hold.until().filter(|_| self.hold.is_valid(time::Tick(now)));
        let call = dispatch_floor::Call::Look { until, seen: self.seen, fence: self.fence };
        let Some(dispatch_floor::Answer::Lists(lists)) = calls.call(incarnation, &call) else {
            return;
        };
        if lists.born.is_some_and(|born| born != incarnation.started) {
            return;
        }
        self.hold.clock(lists.clock, time::Tick(now));
        let names = |lists: &backend::Listing| -> BTreeSet<Name> {
            lists.running.iter().map(|entry| (entry.task.clone(), entry.run)).collect()
        };
        let running = names(&lists);
        let before = self.listing.as_ref().map(|(held, _)| names(held));
        let news = before.as_ref() != Some(&running) || !lists.finished.is_empty();
        let mut listed = running;
        listed.extend(lists.finished.iter().map(|entry| (entry.task.clone(), entry.run)));
        let settled = self.closing.extract_if(.., |_, answered| *answered < now);
        let closed: Vec<_> = settled.filter(|(name, _)| !listed.contains(name)).collect();
        self.listing = Some((lists, now));
        if news {
            self.report(now);
        }
        if self.session.is_some() {
            let closed =
                closed.into_iter().map(|((task, run), _)| Up::Closed(incarnation, task, run));
            self.out.extend(closed);
        }
    }

    fn report(&mut self, now: u64) {
        if self.session.is_none() {
            return;
        }
        let sequence = self.hold.report(time::Tick(now));
        let lists = self.listing.as_ref().filter(|(_, at)| at + CURRENT > now);
        self.reported = now;
        if lists.is_some() {
            self.asked = self.asked.or(Some(now));
        }
        self.out.push(Up::Report(order::Report {
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
