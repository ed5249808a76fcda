//! Workers, the leases their agents hold, and what occupies them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::order;
use crate::core::dispatch::order::Resources;
use crate::core::time;
use crate::core::workflow::model;
use crate::macros;

/// How much longer than its lease a worker may run by a clock that is 2% slow, in thousandths,
/// with as much again to spare.
const DRIFT_PER_MILLE: u64 = 40;

/// What delays between two hosts may add to a lease.
const DELAY_ALLOWANCE: time::Millis = time::Millis(200);

/// How long a worker gets no new task after it refused one.
const REFUSAL_BACKOFF: time::Millis = time::Millis(300);

macros::copy_types! {
    /// How long workers may be held.
    pub struct LeaseLimits {
        /// By their agents, after a report.
        pub duration: time::Millis,
        /// By any order, however late it is carried out: a worker shortens a longer one.
        pub maximum: time::Millis,
    }
}

impl From<time::Millis> for LeaseLimits {
    /// No order holds a worker for longer than the lease.
    fn from(duration: time::Millis) -> Self {
        Self { duration, maximum: duration }
    }
}

/// One worker, by the host of its agent.
#[derive(Debug)]
pub struct Worker {
    /// What it last said of itself; none while it is not known to be alive.
    pub announcement: Option<order::Announcement>,
    /// The last incarnation that was seen, and whose runs may go on.
    pub incarnation: Option<model::Incarnation>,
    /// From here on everything of this incarnation has certainly ended.
    pub lease_end: time::Tick,
    /// Whether an agent reports it now.
    pub connected: bool,
    /// Whether its last report was its own, current answer.
    pub fresh: bool,
    /// Until when it stays at least, if it is leaving.
    pub drain_deadline: Option<time::Tick>,
    /// No new task before this point.
    pub blocked_until: time::Tick,
    /// What its runs occupy, by run.
    pub allocated: BTreeMap<model::RunKey, Resources>,
    /// Runs it reports that nobody placed there.
    pub unexpected: BTreeSet<(model::TaskName, u32)>,
    /// The highest end that was listed.
    pub last_listed: u64,
    /// Ends that are on their way into the log, by number.
    pub proposed_ends: BTreeMap<u64, model::RunKey>,
    /// The ends up to this one were taken note of.
    pub acknowledged: u64,
}

impl Worker {
    /// A worker of which only an earlier leader has heard.
    pub fn inherited(incarnation: Option<model::Incarnation>, lease_end: time::Tick) -> Self {
        Self {
            announcement: None,
            incarnation,
            lease_end,
            connected: false,
            fresh: false,
            drain_deadline: None,
            blocked_until: time::Tick(0),
            allocated: BTreeMap::new(),
            unexpected: BTreeSet::new(),
            last_listed: 0,
            proposed_ends: BTreeMap::new(),
            acknowledged: 0,
        }
    }

    /// Begins another incarnation with what the worker says of itself. Under the name of the incarnation before,
    /// an order for that one may hold it for `longest` from now.
    pub fn restarted(
        &mut self,
        announcement: &order::Announcement,
        now: time::Tick,
        maximum: time::Millis,
    ) {
        let renamed =
            self.announcement.as_ref().is_some_and(|before| before.name != announcement.name);
        let lease_end = match self.incarnation {
            Some(_) if !renamed => self.lease_end.max(end_of_lease(now, maximum)),
            _ => self.lease_end,
        };
        *self = Self {
            connected: self.connected,
            ..Self::inherited(Some(announcement.incarnation), lease_end)
        };
    }

    /// Takes note that its agent may hold it for `length` from now.
    pub fn extend_lease(&mut self, now: time::Tick, duration: time::Millis) {
        self.lease_end = self.lease_end.max(end_of_lease(now, duration));
    }

    /// Whether new tasks may be placed on it.
    pub fn accepts_tasks(&self, now: time::Tick) -> bool {
        let draining = self.announcement.as_ref().is_none_or(|announcement| announcement.draining);
        self.connected
            && self.fresh
            && !draining
            && self.unexpected.is_empty()
            && self.lease_end > now
            && self.blocked_until <= now
    }

    /// Whether the worker's present incarnation has certainly ended.
    pub fn is_lease_expired(&self, now: time::Tick) -> bool {
        self.incarnation.is_some() && self.lease_end <= now
    }

    /// It has refused a task: its room is not what it seems.
    pub fn refused(&mut self, now: time::Tick) {
        self.blocked_until = now + REFUSAL_BACKOFF;
    }

    /// What nothing occupies.
    pub fn free(&self) -> Resources {
        let capacity = self
            .announcement
            .as_ref()
            .map_or(Resources::default(), |announcement| announcement.capacity);
        self.allocated.values().fold(capacity, |free, allocated| free.saturating_sub(*allocated))
    }

    /// The ends up to which all are durable, if that is news.
    pub fn take_acknowledged(&mut self) -> Option<u64> {
        let open = self.proposed_ends.keys().next();
        let acknowledged = open.map_or(self.last_listed, |number| number.saturating_sub(1));
        if acknowledged <= self.acknowledged {
            return None;
        }
        self.acknowledged = acknowledged;
        Some(acknowledged)
    }
}

/// When everything under a lease granted now has certainly ended.
pub fn end_of_lease(now: time::Tick, duration: time::Millis) -> time::Tick {
    now + time::Millis(duration.0 + duration.0 * DRIFT_PER_MILLE / 1000) + DELAY_ALLOWANCE
}
