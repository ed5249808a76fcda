//! The versioned configuration of workflows: queues, pools of workers and client accounts.
//!
//! A directory is replaced as a whole by one of a higher version. It keeps the document from which
//! it was parsed, so that operators can read back the document that they sent.

use std::collections::BTreeSet;

use crate::macros;

macros::value_types! {
    /// The configuration of workflows.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct Directory {
        /// The version; a higher one replaces a lower one.
        pub version: u64,
        /// The document from which it was parsed.
        pub document: Vec<u8>,
        /// The queues to which jobs are submitted.
        pub queues: Vec<Queue>,
        /// The pools whose workers run the jobs.
        pub pools: Vec<Pool>,
        /// The client accounts that own the jobs.
        pub accounts: Vec<Account>,
    }

    /// A queue of jobs, which callers address by host and path.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Queue {
        /// The name of the queue.
        pub name: String,
        /// The host part of its address.
        pub host: String,
        /// The prefix of its paths.
        pub prefix: String,
        /// The name of the pool whose workers run its jobs.
        pub pool: String,
        /// The rank of its jobs: 0 comes first and may preempt others.
        pub priority: u32,
        /// The number of failures of one task at which its job fails.
        pub attempts: u32,
        /// The objective for a job's duration, in thousandths of its longest chain of work, to
        /// which `latency` is added.
        pub stretch: u32,
        /// The part of the objective that doesn't depend on the job's work, in milliseconds.
        pub latency: u32,
        /// The longest time that a call may take, in milliseconds.
        pub timeout: u32,
        /// Whether calls need no credential.
        pub public: bool,
    }

    /// Workers that serve the same queues.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Pool {
        /// The name of the pool.
        pub name: String,
        /// Whether its workers refuse tasks that exceed their capacity.
        pub enforces_capacity: bool,
        /// Whether its machines are off until they are moved to another pool.
        pub standby: bool,
    }

    /// A client account.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Account {
        /// The name of the account.
        pub name: String,
        /// The credentials that its callers present.
        pub credentials: Vec<String>,
        /// The number of accelerators that its urgent jobs may claim at any time.
        pub guarantee: u32,
    }
}

/// The queue that a call's address resolves to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resolved<'a> {
    /// The queue.
    pub queue: &'a Queue,
    /// The rest of the path, behind the queue's prefix.
    pub rest: &'a str,
}

impl Queue {
    /// The host and prefix, which identify the queue across configurations.
    pub fn address(&self) -> String {
        format!("{}{}", self.host, self.prefix)
    }
}

impl Directory {
    /// The queue that a host and path resolve to: of those that match, the one with the longest
    /// prefix.
    pub fn resolve<'a>(&'a self, host: &str, path: &'a str) -> Option<Resolved<'a>> {
        let matches = |queue: &&Queue| queue.host == host && path.starts_with(&queue.prefix);
        let queue = self.queues.iter().filter(matches).max_by_key(|queue| queue.prefix.len())?;
        Some(Resolved { queue, rest: &path[queue.prefix.len()..] })
    }

    /// The queue with an address, if the configuration has it.
    pub fn queue_at(&self, address: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| {
            let prefix = address.strip_prefix(queue.host.as_str());
            prefix.is_some_and(|prefix| prefix == queue.prefix)
        })
    }

    /// The client account that a credential belongs to.
    pub fn account_of(&self, credential: &str) -> Option<&Account> {
        let holds = |account: &&Account| account.credentials.iter().any(|own| own == credential);
        self.accounts.iter().find(holds)
    }

    /// The number of accelerators guaranteed to a client account.
    pub fn guarantee(&self, account: &str) -> u32 {
        let found = self.accounts.iter().find(|known| known.name == account);
        found.map_or(0, |account| account.guarantee)
    }

    /// The reason why the configuration is invalid, as a message for its operator; none if it is
    /// valid.
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
