//! Whether guarantees can be packed onto workers, all at once.
//!
//! A packing is looked for by placing the gangs one after another, the hardest first, each where
//! it fits best. It is deterministic. What it finds is a packing; where it finds none there may
//! still be one, so it errs towards refusing a ticket.

use std::cmp;
use std::fmt;

use crate::core::account;
use crate::core::ids;
use crate::core::ledger::job;
use crate::core::placement::capacity;
use crate::core::placement::fit;
use crate::core::placement::fleet;
use crate::core::shape;
use crate::macros;

macros::value_types! {
    /// A guarantee that could not be packed beside the others.
    pub struct Shortfall {
        /// The client account.
        pub account: String,
        /// The guaranteed shape.
        pub shape: shape::Shape,
        /// The number of gangs asked for.
        pub count: u32,
        /// The largest number of gangs that fits beside the other guarantees packed before it.
        pub fits: u32,
    }
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Shortfall { account, shape, count, fits } = self;
        write!(f, "account {account}: {count} of {shape} can't be packed, at most {fits} would fit")
    }
}

impl std::error::Error for Shortfall {}

/// Checks that every guarantee of the configuration can be held at once by these workers, those
/// that operators drain left out.
pub fn check(config: &account::Config, workers: &[&job::WorkerSpec]) -> Result<(), Shortfall> {
    let mut fleet = fleet::Fleet::default();
    let mut sorted: Vec<_> = workers.to_vec();
    sorted.sort_by(|a, b| a.name.cmp(&b.name));
    for (number, spec) in sorted.into_iter().enumerate() {
        let key = ids::WorkerKey(u32::try_from(number).unwrap_or(u32::MAX));
        let schedulable = !config.drained.contains(&spec.name);
        fleet.announce(key, spec, ids::Epoch(0), schedulable);
    }
    for (account, guarantee) in hardest_first(config) {
        let fits = pack(&mut fleet, guarantee);
        if fits < guarantee.count {
            let account = account.to_owned();
            let shape = guarantee.shape;
            return Err(Shortfall { account, shape, count: guarantee.count, fits });
        }
    }
    Ok(())
}

/// Every guarantee with its account, those that are hardest to place first.
pub fn hardest_first(config: &account::Config) -> Vec<(&str, account::Guarantee)> {
    let mut all: Vec<_> = config
        .accounts
        .values()
        .flat_map(|account| {
            account.guarantees.iter().map(|guarantee| (account.name.as_str(), *guarantee))
        })
        .collect();
    all.sort_by_key(|(account, guarantee)| (hardness(guarantee.shape), account.to_string()));
    all
}

/// The order in which shapes are placed: tight before loose, large before small.
pub fn hardness(shape: shape::Shape) -> impl Ord + use<> {
    (
        cmp::Reverse(shape.adjacency),
        cmp::Reverse(shape.total()),
        cmp::Reverse(shape.accelerators),
        cmp::Reverse(shape.tasks),
    )
}

/// Reserves as many gangs of the guarantee as fit, up to its count, and returns their number.
fn pack(fleet: &mut fleet::Fleet, guarantee: account::Guarantee) -> u32 {
    for packed in 0..guarantee.count {
        let Some(placement) = reservable(fleet, guarantee.shape) else {
            return packed;
        };
        for (worker, tasks) in placement {
            let amount = capacity::Amount::for_tasks(tasks, guarantee.shape.accelerators);
            fleet.change(worker, |worker| worker.reserved = worker.reserved.plus(amount));
        }
    }
    guarantee.count
}

/// A place that could be reserved for a gang.
pub fn reservable(fleet: &fleet::Fleet, shape: shape::Shape) -> Option<fit::Placement> {
    let query = fit::Query {
        service: None,
        shape,
        availability: capacity::Availability::Reservable,
        slow_first: true,
        spare_slots: false,
        excluded: &|_| false,
    };
    fit::find(fleet, &query)
}
