//! The versioned configuration of workflows: queues, pools of workers and client accounts.
//!
//! A directory is replaced whole by one of a higher version. It travels with the document it was
//! read from, so that operators read back what they have sent.

use std::collections::BTreeSet;

use crate::macros;

macros::value_types! {
    /// The whole configuration.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct Directory {
        /// Its version; a higher one replaces a lower one.
        pub version: u64,
        /// The document it was read from.
        pub document: Vec<u8>,
        /// Where jobs are submitted.
        pub queues: Vec<Queue>,
        /// What runs them.
        pub pools: Vec<Pool>,
        /// Whose they are.
        pub accounts: Vec<Account>,
    }

    /// A queue of jobs, named by host and path.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Queue {
        /// Its name.
        pub name: String,
        /// The host part of its address.
        pub host: String,
        /// What its paths begin with.
        pub prefix: String,
        /// The pool whose workers run its jobs.
        pub pool: String,
        /// Its rank: 0 comes first and may preempt others.
        pub priority: u32,
        /// How often a task may fail before its job fails.
        pub attempts: u32,
        /// A job is in time up to this many thousandths of its longest chain of work, ...
        pub stretch: u32,
        /// ... and this many milliseconds more.
        pub latency: u32,
        /// How long a call may take, in milliseconds.
        pub timeout: u32,
        /// Whether calls need no credential.
        pub public: bool,
    }

    /// Workers that serve the same queues.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Pool {
        /// Its name.
        pub name: String,
        /// Whether its workers refuse what does not fit.
        pub enforces_capacity: bool,
        /// Whether its machines are off until they are moved elsewhere.
        pub standby: bool,
    }

    /// A client account.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Account {
        /// Its name.
        pub name: String,
        /// Its credentials.
        pub credentials: Vec<String>,
        /// The accelerators that its urgent jobs may claim at any time.
        pub guarantee: u32,
    }
}

/// What a call's address leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resolved<'a> {
    /// The queue.
    pub queue: &'a Queue,
    /// The path behind the queue's prefix.
    pub rest: &'a str,
}

impl Queue {
    /// The identity of the queue across configurations: where callers find it.
    pub fn address(&self) -> String {
        format!("{}{}", self.host, self.prefix)
    }
}

impl Directory {
    /// The queue that a host and path lead to: the one with the longest prefix.
    pub fn resolve<'a>(&'a self, host: &str, path: &'a str) -> Option<Resolved<'a>> {
        let fits = |queue: &&Queue| queue.host == host && path.starts_with(&queue.prefix);
        let queue = self.queues.iter().filter(fits).max_by_key(|queue| queue.prefix.len())?;
        Some(Resolved { queue, rest: &path[queue.prefix.len()..] })
    }

    /// The queue at a place, if it still exists.
    pub fn queue_at(&self, address: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| {
            let parts = address.strip_prefix(queue.host.as_str());
            parts.is_some_and(|prefix| prefix == queue.prefix)
        })
    }

    /// The client account that a credential belongs to.
    pub fn account_of(&self, credential: &str) -> Option<&Account> {
        let holds = |account: &&Account| account.credentials.iter().any(|own| own == credential);
        self.accounts.iter().find(holds)
    }

    /// The accelerators guaranteed to a client account.
    pub fn guarantee(&self, account: &str) -> u32 {
        let found = self.accounts.iter().find(|known| known.name == account);
        found.map_or(0, |account| account.guarantee)
    }

    /// Why the configuration is invalid, in words for its operator.
    pub fn validation_error(&self) -> Option<String> {
        let mut places = BTreeSet::new();
        for queue in &self.queues {
            let name = &queue.name;
            if !self.pools.iter().any(|pool| pool.name == queue.pool) {
                return Some(format!("queue {name} names the unknown pool {}", queue.pool));
            }
            if !places.insert((&queue.host, &queue.prefix)) {
                return Some(format!("queue {name} has the host and prefix of another"));
            }
            if queue.timeout == 0 {
                return Some(format!("queue {name} has a timeout of 0"));
            }
        }
        let mut credentials = BTreeSet::new();
        for account in &self.accounts {
            for credential in BTreeSet::from_iter(&account.credentials) {
                if !credentials.insert(credential) {
                    return Some(format!("{} has a credential of another account", account.name));
                }
            }
        }
        None
    }
}
