//! Client accounts, services and kinds of work by small numbers, with what placement learns of
//! them.

use std::collections::BTreeMap;

use crate::core::account;
use crate::core::placement::estimate;
use crate::core::time;

/// The longest time that any kind of work gets to checkpoint.
pub const MAX_GRACE: time::Millis = time::Millis::from_secs(30);

/// A client account.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Its weight against the other accounts; 0 where no ticket has set it.
    pub weight: u32,
    /// Accelerators held beyond its guarantees.
    pub borrowed: i64,
    /// Its waiting jobs.
    pub waiting: usize,
}

/// A kind of work of a service.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its class.
    pub class: account::Class,
    /// Whether it may run again after a failure.
    pub repeatable: bool,
    /// How long it may take to checkpoint; none if it can't.
    pub checkpoint: Option<time::Millis>,
    /// How long it runs.
    pub run_times: estimate::RunTimes,
}

/// Everything known of accounts and kinds of work.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The arena of accounts.
    pub accounts: Vec<Account>,
    /// The arena of kinds.
    pub kinds: Vec<Kind>,
    account_names: BTreeMap<String, usize>,
    kind_names: BTreeMap<(String, String), usize>,
}

impl Kind {
    /// Whether its tasks may be stopped for others without harm to the request: a request that may
    /// not be repeated is released once, so that it could not go on from its checkpoint.
    pub fn preemptible(&self) -> bool {
        self.repeatable
    }

    /// How long it may take to stop.
    pub fn grace(&self) -> time::Millis {
        self.checkpoint.map_or(time::Millis(0), |grace| grace.min(MAX_GRACE))
    }
}

impl Catalog {
    /// Takes a configuration over. What was learnt of a kind is kept.
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

    /// The number of an account.
    pub fn account(&mut self, name: &str) -> usize {
        if let Some(&index) = self.account_names.get(name) {
            return index;
        }
        let index = self.accounts.len();
        self.accounts.push(Account { name: name.to_owned(), ..Account::default() });
        self.account_names.insert(name.to_owned(), index);
        index
    }

    /// The number of a kind of work. An unknown kind may neither be repeated nor checkpointed.
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

    /// The sum of the weights of the accounts that hold borrowed accelerators or wait.
    pub fn active_weight(&self) -> u64 {
        self.accounts
            .iter()
            .filter(|account| account.waiting > 0 || account.borrowed > 0)
            .map(|account| u64::from(account.weight.max(1)))
            .sum()
    }
}
