//! Client accounts, services and kinds of work, as tickets set them.

use std::collections::BTreeMap;

use crate::core::ids;
use crate::core::shape;
use crate::core::time;
use crate::macros;

macros::copy_types! {
    /// The order of kinds of work in the queue, first to last.
    pub enum Class {
        /// Short work that must start at once, such as a dispatch confirmation.
        Urgent,
        /// Scheduled work with a deadline, such as an evening rebuild.
        Scheduled,
        /// Work that may wait, such as follow-ups.
        Deferred,
        /// Work that runs only when nothing else is pending, such as tidying.
        Idle,
    }

    /// How many gangs of one shape a client account can always have.
    pub struct Guarantee {
        /// The shape of each gang.
        pub shape: shape::Shape,
        /// The number of gangs.
        pub count: u32,
    }
}

impl Class {
    /// The word used in tickets.
    pub const fn as_str(self) -> &'static str {
        match self {
            Class::Urgent => "urgent",
            Class::Scheduled => "scheduled",
            Class::Deferred => "deferred",
            Class::Idle => "idle",
        }
    }
}

macros::value_types! {
    /// A client account.
    pub struct Account {
        /// The account's name.
        pub name: String,
        /// What it can always have.
        pub guarantees: Vec<Guarantee>,
        /// Its share of what nobody holds a guarantee on, against the other accounts.
        pub weight: u32,
        /// The most requests it may have waiting.
        pub queue_limit: u32,
        /// SHA-256 digests of the bearer tokens that prove it.
        pub tokens: Vec<[u8; 32]>,
    }

    /// A kind of work that a service accepts.
    pub struct Kind {
        /// The kind's name within its service.
        pub name: String,
        /// Its order in the queue.
        pub class: Class,
        /// Whether a request may run again after a failure.
        pub repeatable: bool,
        /// How long a task may take to checkpoint when it is asked to stop; none if it can't.
        pub checkpoint: Option<time::Millis>,
        /// The longest answer, in bytes.
        pub answer_limit: u64,
        /// The deadline of a request that names none, counted from its submission.
        pub deadline: time::Millis,
    }

    /// A service: what backend servers offer and callers ask for.
    pub struct Service {
        /// The service's name.
        pub name: String,
        /// The kinds of work it accepts, by name.
        pub kinds: BTreeMap<String, Kind>,
    }

    /// The configuration in force: everything tickets set that placement and entries need.
    #[derive(Default)]
    pub struct Config {
        /// The revision of this state.
        pub revision: ids::Revision,
        /// Client accounts by name.
        pub accounts: BTreeMap<String, Account>,
        /// Services by name.
        pub services: BTreeMap<String, Service>,
        /// Workers that operators have ordered to drain, by name.
        pub drained: std::collections::BTreeSet<String>,
    }
}

impl Config {
    /// The kind of work with this name in this service.
    pub fn kind(&self, service: &str, kind: &str) -> Option<&Kind> {
        self.services.get(service)?.kinds.get(kind)
    }
}
