//! Indices of client accounts and kinds of work, with the run times recorded for each kind.

use std::collections::BTreeMap;

use crate::core::account;
use crate::core::placement::estimate;
use crate::core::time;

/// Longest grace period for a checkpoint, whatever the kind of work declares.
pub const MAX_GRACE: time::Millis = time::Millis::from_secs(30);

/// A client account.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Name of the account.
    pub name: String,
    /// Weight against the other accounts; 0 if no ticket has set it.
    pub weight: u32,
    /// Number of accelerators allocated beyond the account's guarantees.
    pub borrowed: i64,
    /// Number of waiting jobs.
    pub waiting: usize,
}

/// A kind of work of a service.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Class of its jobs.
    pub class: account::Class,
    /// Whether a job may run again after a failure.
    pub repeatable: bool,
    /// How long a checkpoint may take; none if the kind can't checkpoint.
    pub checkpoint: Option<time::Millis>,
    /// Run times of the kind.
    pub run_times: estimate::RunTimes,
}

/// All accounts and kinds of work.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Accounts by index.
    pub accounts: Vec<Account>,
    /// Kinds of work by index.
    pub kinds: Vec<Kind>,
    account_names: BTreeMap<String, usize>,
    kind_names: BTreeMap<(String, String), usize>,
}

impl Kind {
    /// Whether jobs of this kind may be stopped for others without harm to the request. A request
    /// that may not be repeated is released only once, so it could not resume from its checkpoint.
    pub fn preemptible(&self) -> bool {
        self.repeatable
    }

    /// How long a job may take to stop.
    pub fn grace(&self) -> time::Millis {
        self.checkpoint.map_or(time::Millis(0), |grace| grace.min(MAX_GRACE))
    }
}

impl Catalog {
    /// Applies a configuration. The run times recorded for each kind are kept.
    pub fn configure(&mut self, config: &account::Config) {
        for account in &mut self.accounts {
            account.weight = 0;
        }
        for account in config.accounts.values() {
            let index = self.account(&account.name);
            self.accounts[index].weight = account.weight;
        }
        for service in config.services.values() {
            for kind in service.kinds.values() {
                let index = self.kind(&service.name, &kind.name);
                let state = &mut self.kinds[index];
                state.class = kind.class;
                state.repeatable = kind.repeatable;
                state.checkpoint = kind.checkpoint;
            }
        }
    }

    /// Returns the index of an account, adding it if it is unknown.
    pub fn account(&mut self, name: &str) -> usize {
        if let Some(&index) = self.account_names.get(name) {
            return index;
        }
        let index = self.accounts.len();
        self.accounts.push(Account { name: name.to_owned(), ..Account::default() });
        self.account_names.insert(name.to_owned(), index);
        index
    }

    /// Returns the index of a kind of work, adding it if it is unknown. An added kind may neither
    /// be repeated nor checkpointed until a configuration says otherwise.
    pub fn kind(&mut self, service: &str, name: &str) -> usize {
        let key = (service.to_owned(), name.to_owned());
        let next = self.kinds.len();
        let index = *self.kind_names.entry(key).or_insert(next);
        if index == next {
            self.kinds.push(Kind {
                class: account::Class::Deferred,
                repeatable: false,
                checkpoint: None,
                run_times: estimate::RunTimes::default(),
            });
        }
        index
    }

    /// The sum of the weights of the accounts that have waiting jobs or borrowed accelerators.
    pub fn active_weight(&self) -> u64 {
        self.accounts
            .iter()
            .filter(|account| account.waiting > 0 || account.borrowed > 0)
            .map(|account| u64::from(account.weight.max(1)))
            .sum()
    }
}
