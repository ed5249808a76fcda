//! Workers, the leases their agents hold, and what occupies them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::order;
use crate::core::dispatch::order::Room;
use crate::core::time;
use crate::core::workflow::model;
use crate::macros;

/// How much longer than its lease a worker may run by a clock that is 2% slow, in thousandths,
/// with as much again to spare.
const DRIFT: u64 = 40;

/// What delays between two hosts may add to a lease.
const MARGIN: time::Millis = time::Millis(200);

/// How long a worker gets no new task after it refused one.
const REFUSED_PAUSE: time::Millis = time::Millis(300);

macros::copy_types! {
    /// How long workers may be held.
    pub struct Spans {
        /// By their agents, after a report.
        pub lease: time::Millis,
        /// By any order, however late it is carried out: a worker shortens a longer one.
        pub longest: time::Millis,
    }
}

impl From<time::Millis> for Spans {
    /// No order holds a worker for longer than the lease.
    fn from(lease: time::Millis) -> Self {
        Self { lease, longest: lease }
    }
}

/// One worker, by the host of its agent.
#[derive(Debug)]
pub struct Worker {
    /// What it last said of itself; none while it is not known to be alive.
    pub said: Option<order::Announced>,
    /// The last incarnation that was seen, and whose runs may go on.
    pub incarnation: Option<model::Incarnation>,
    /// From here on everything of this incarnation has certainly ended.
    pub until: time::Tick,
    /// Whether an agent reports it now.
    pub connected: bool,
    /// Whether its last report was its own, current answer.
    pub current: bool,
    /// Until when it stays at least, if it is leaving.
    pub stays: Option<time::Tick>,
    /// No new task before this point.
    pub blocked: time::Tick,
    /// What its runs occupy, by run.
    pub taken: BTreeMap<model::RunKey, Room>,
    /// Runs it reports that nobody placed there.
    pub strangers: BTreeSet<(model::TaskName, u32)>,
    /// The highest end that was listed.
    pub listed: u64,
    /// Ends that are on their way into the log, by number.
    pub ending: BTreeMap<u64, model::RunKey>,
    /// The ends up to this one were taken note of.
    pub seen: u64,
}

impl Worker {
    /// A worker of which only an earlier leader has heard.
    pub fn inherited(incarnation: Option<model::Incarnation>, until: time::Tick) -> Self {
        Self {
            said: None,
            incarnation,
            until,
            connected: false,
            current: false,
            stays: None,
            blocked: time::Tick(0),
            taken: BTreeMap::new(),
            strangers: BTreeSet::new(),
            listed: 0,
            ending: BTreeMap::new(),
            seen: 0,
        }
    }

    /// Begins another incarnation with what the worker says of itself. Under the name of the incarnation before,
    /// an order for that one may hold it for `longest` from now.
    pub fn reborn(&mut self, said: &order::Announced, now: time::Tick, longest: time::Millis) {
        let renamed = self.said.as_ref().is_some_and(|before| before.name != said.name);
        let until = match self.incarnation {
            Some(_) if !renamed => self.until.max(end_of_lease(now, longest)),
            _ => self.until,
        };
        *self =
            Self { connected: self.connected, ..Self::inherited(Some(said.incarnation), until) };
    }

    /// Takes note that its agent may hold it for `length` from now.
    pub fn granted(&mut self, now: time::Tick, length: time::Millis) {
        self.until = self.until.max(end_of_lease(now, length));
    }

    /// Whether new tasks may be placed on it.
    pub fn is_open(&self, now: time::Tick) -> bool {
        let draining = self.said.as_ref().is_none_or(|said| said.draining);
        self.connected
            && self.current
            && !draining
            && self.strangers.is_empty()
            && self.until > now
            && self.blocked <= now
    }

    /// Whether the worker's present incarnation has certainly ended.
    pub fn is_over(&self, now: time::Tick) -> bool {
        self.incarnation.is_some() && self.until <= now
    }

    /// It has refused a task: its room is not what it seems.
    pub fn refused(&mut self, now: time::Tick) {
        self.blocked = now + REFUSED_PAUSE;
    }

    /// What nothing occupies.
    pub fn free(&self) -> Room {
        let capacity = self.said.as_ref().map_or(Room::default(), |said| said.capacity);
        self.taken.values().fold(capacity, |free, taken| free.minus(*taken))
    }

    /// The ends up to which all are durable, if that is news.
    pub fn take_seen(&mut self) -> Option<u64> {
        let open = self.ending.keys().next();
        let seen = open.map_or(self.listed, |number| number.saturating_sub(1));
        if seen <= self.seen {
            return None;
        }
        self.seen = seen;
        Some(seen)
    }
}

/// When everything under a lease granted now has certainly ended.
pub fn end_of_lease(now: time::Tick, length: time::Millis) -> time::Tick {
    now + time::Millis(length.0 + length.0 * DRIFT / 1000) + MARGIN
}
