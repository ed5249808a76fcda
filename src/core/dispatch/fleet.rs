//! Workers, the leases that their agents hold, and the allocations on them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::dispatch::order;
use crate::core::dispatch::order::Resources;
use crate::core::time;
use crate::core::workflow::model;
use crate::macros;

/// The allowance for clock drift in thousandths of a lease: a clock that is 2% slow, doubled for
/// safety.
const DRIFT_PER_MILLE: u64 = 40;

/// The allowance for message delays between two hosts at the end of a lease.
const DELAY_ALLOWANCE: time::Millis = time::Millis(200);

/// The time for which a worker gets no new task after it refused one.
const REFUSAL_BACKOFF: time::Millis = time::Millis(300);

macros::copy_types! {
    /// The times for which workers may be held.
    pub struct LeaseLimits {
        /// The duration of the lease that an agent gets for a report.
        pub duration: time::Millis,
        /// The longest time for which any order may hold a worker, however late it is carried out;
        /// workers shorten longer ones.
        pub maximum: time::Millis,
    }
}

impl From<time::Millis> for LeaseLimits {
    /// Returns limits under which no order holds a worker for longer than the lease.
    fn from(duration: time::Millis) -> Self {
        Self { duration, maximum: duration }
    }
}

macros::key_types! {
    /// The key of a rack in [`Racks`].
    RackKey(u32);
}

/// The names of all racks that workers have announced.
#[derive(Debug, Default)]
pub struct Racks {
    keys: BTreeMap<String, RackKey>,
}

impl Racks {
    /// Returns the key of a rack, which is the same whenever the name is.
    pub fn intern(&mut self, name: &str) -> RackKey {
        let next = RackKey(self.keys.len() as u32);
        match self.keys.get(name) {
            Some(key) => *key,
            None => *self.keys.entry(name.to_owned()).or_insert(next),
        }
    }

    /// Returns the key of a rack; `None` if no worker has announced it.
    pub fn find(&self, name: &str) -> Option<RackKey> {
        self.keys.get(name).copied()
    }
}

/// The resources that the runs on one worker occupy, and their sum.
#[derive(Debug, Default)]
pub struct Allocations {
    runs: BTreeMap<model::RunKey, Resources>,
    cpu: u64,
    memory: u64,
    accelerators: u64,
}

impl Allocations {
    /// Adds a run, or replaces what it occupies.
    pub fn insert(&mut self, key: model::RunKey, resources: Resources) {
        self.remove(&key);
        self.runs.insert(key, resources);
        self.cpu += u64::from(resources.cpu);
        self.memory += u64::from(resources.memory);
        self.accelerators += u64::from(resources.accelerators);
    }

    /// Removes a run, and returns whether it was there.
    pub fn remove(&mut self, key: &model::RunKey) -> bool {
        let Some(resources) = self.runs.remove(key) else { return false };
        self.cpu -= u64::from(resources.cpu);
        self.memory -= u64::from(resources.memory);
        self.accelerators -= u64::from(resources.accelerators);
        true
    }

    /// Returns the number of runs.
    pub fn count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the keys of all runs.
    pub fn keys(&self) -> impl Iterator<Item = &model::RunKey> {
        self.runs.keys()
    }

    /// Returns the part of a capacity that the runs leave.
    fn left_of(&self, capacity: Resources) -> Resources {
        let left =
            |all: u32, used: u64| all.saturating_sub(u32::try_from(used).unwrap_or(u32::MAX));
        Resources {
            cpu: left(capacity.cpu, self.cpu),
            memory: left(capacity.memory, self.memory),
            accelerators: left(capacity.accelerators, self.accelerators),
        }
    }
}

impl IntoIterator for Allocations {
    type Item = (model::RunKey, Resources);
    type IntoIter = std::collections::btree_map::IntoIter<model::RunKey, Resources>;

    fn into_iter(self) -> Self::IntoIter {
        self.runs.into_iter()
    }
}

/// The leader's state of one worker; keyed by the host of its agent.
#[derive(Debug)]
pub struct Worker {
    /// The last announcement; `None` while the worker is not known to be alive.
    pub announcement: Option<order::Announcement>,
    /// The last known incarnation, whose runs may be active.
    pub incarnation: Option<model::Incarnation>,
    /// The time from which no run of the incarnation can be active any more.
    pub lease_end: time::Tick,
    /// Whether an agent has a session for the worker.
    pub connected: bool,
    /// Whether the lists of the last report were fresh.
    pub fresh: bool,
    /// The earliest time at which the worker may exit, if it is draining.
    pub drain_deadline: Option<time::Tick>,
    /// The time until which the worker gets no new task.
    pub blocked_until: time::Tick,
    /// The rack of the last announcement.
    pub rack: RackKey,
    /// The resources that runs occupy, by run.
    pub allocated: Allocations,
    /// The runs that the worker lists although they were not placed there.
    pub unexpected: BTreeSet<(model::TaskName, u32)>,
    /// The highest number of an end that the worker listed.
    pub last_listed: u64,
    /// Ends that are proposed but not yet committed, by number.
    pub proposed_ends: BTreeMap<u64, model::RunKey>,
    /// The highest number of an end that was acknowledged to the worker.
    pub acknowledged: u64,
}

impl Worker {
    /// Creates a worker that is known only from the registry or by its host.
    pub fn inherited(incarnation: Option<model::Incarnation>, lease_end: time::Tick) -> Self {
        Self {
            announcement: None,
            incarnation,
            lease_end,
            connected: false,
            fresh: false,
            drain_deadline: None,
            blocked_until: time::Tick(0),
            rack: RackKey::default(),
            allocated: Allocations::default(),
            unexpected: BTreeSet::new(),
            last_listed: 0,
            proposed_ends: BTreeMap::new(),
            acknowledged: 0,
        }
    }

    /// Starts another incarnation with its announcement. Under an unchanged name, an order for the
    /// previous incarnation may hold the worker for `maximum` from now.
    pub fn restart(
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

    /// Extends the lease to `duration` from now, if that is later than its present end.
    pub fn extend_lease(&mut self, now: time::Tick, duration: time::Millis) {
        self.lease_end = self.lease_end.max(end_of_lease(now, duration));
    }

    /// Returns whether new tasks may be placed on the worker.
    pub fn accepts_tasks(&self, now: time::Tick) -> bool {
        let draining = self.announcement.as_ref().is_none_or(|announcement| announcement.draining);
        self.connected
            && self.fresh
            && !draining
            && self.unexpected.is_empty()
            && self.lease_end > now
            && self.blocked_until <= now
    }

    /// Returns whether the lease of the current incarnation has expired, so that all its runs have
    /// ended.
    pub fn is_lease_expired(&self, now: time::Tick) -> bool {
        self.incarnation.is_some() && self.lease_end <= now
    }

    /// Blocks new tasks for a while after a refusal: the worker has less capacity than it
    /// announced.
    pub fn refused(&mut self, now: time::Tick) {
        self.blocked_until = now + REFUSAL_BACKOFF;
    }

    /// Returns the resources that no run occupies.
    pub fn free(&self) -> Resources {
        let capacity = self
            .announcement
            .as_ref()
            .map_or(Resources::default(), |announcement| announcement.capacity);
        self.allocated.left_of(capacity)
    }

    /// Returns the number up to which all ends are durable, if it has grown since the last call.
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

/// Returns the time from which nothing can run under a lease granted now.
pub fn end_of_lease(now: time::Tick, duration: time::Millis) -> time::Tick {
    now + time::Millis(duration.0 + duration.0 * DRIFT_PER_MILLE / 1000) + DELAY_ALLOWANCE
}
