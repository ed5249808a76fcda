//! The configuration that change tickets set: client accounts, services and kinds of work.

use std::collections::BTreeMap;

use crate::core::ids;
use crate::core::shape;
use crate::core::time;
use crate::macros;

macros::copy_types! {
    /// The priority class of a kind of work, from the first to the last in the queue.
    pub enum Class {
        /// Short work that must start immediately, such as a dispatch confirmation.
        Urgent,
        /// Scheduled work with a deadline, such as an evening rebuild.
        Scheduled,
        /// Work that can wait, such as follow-ups.
        Deferred,
        /// Work that runs only when no other work is pending, such as tidying.
        Idle,
    }

    /// The number of gangs of one shape that a client account can always run.
    pub struct Guarantee {
        /// The shape of each gang.
        pub shape: shape::Shape,
        /// The number of gangs.
        pub count: u32,
    }
}

impl Class {
    /// The name in tickets.
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
        /// The gangs that it can always run.
        pub guarantees: Vec<Guarantee>,
        /// Its share of the capacity that is not guaranteed to any account, relative to the weights
        /// of the other accounts.
        pub weight: u32,
        /// The most requests that it may have waiting.
        pub queue_limit: u32,
        /// The SHA-256 digests of the bearer tokens that authenticate its callers.
        pub tokens: Vec<[u8; 32]>,
    }

    /// A kind of work that a service accepts.
    pub struct Kind {
        /// The kind's name within its service.
        pub name: String,
        /// Its priority class in the queue.
        pub class: Class,
        /// Whether a request may run again after a failure.
        pub repeatable: bool,
        /// The time that a task may take to checkpoint when it must stop; none if it can't
        /// checkpoint.
        pub checkpoint: Option<time::Millis>,
        /// The longest answer, in bytes.
        pub answer_limit: u64,
        /// The default deadline of a request, counted from its submission.
        pub deadline: time::Millis,
    }

    /// A service that backend servers offer and callers request.
    pub struct Service {
        /// The service's name.
        pub name: String,
        /// The kinds of work it accepts, by name.
        pub kinds: BTreeMap<String, Kind>,
    }

    /// The configuration in force, as far as placement and entries need it.
    #[derive(Default)]
    pub struct Config {
        /// The revision of this configuration.
        pub revision: ids::Revision,
        /// The client accounts by name.
        pub accounts: BTreeMap<String, Account>,
        /// The services by name.
        pub services: BTreeMap<String, Service>,
        /// The names of the workers that operators have ordered to drain.
        pub drained: std::collections::BTreeSet<String>,
    }
}

impl Config {
    /// The kind of work with this name in this service.
    pub fn kind(&self, service: &str, kind: &str) -> Option<&Kind> {
        self.services.get(service)?.kinds.get(kind)
    }
}
