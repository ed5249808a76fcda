//! Checks whether all guarantees can be packed onto the workers at once.
//!
//! The gangs are placed one after another, those hardest to place first, each by best fit. The
//! result is deterministic. A packing that is found is valid; one that is not found may still
//! exist, so the check errs towards refusing a ticket.

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
        /// Name of the client account.
        pub account: String,
        /// Guaranteed shape.
        pub shape: shape::Shape,
        /// Number of gangs requested.
        pub count: u32,
        /// Largest number of gangs that fits beside the guarantees packed before this one.
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

/// Checks that these workers, without those that operators drain, can hold every guarantee of the
/// configuration at once.
///
/// Returns the first guarantee that can't be packed as an error.
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

/// Every guarantee with the name of its account, those hardest to place first.
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

/// The sort key by which shapes are packed: tight adjacency before loose, large before small.
pub fn hardness(shape: shape::Shape) -> impl Ord + use<> {
    (
        cmp::Reverse(shape.adjacency),
        cmp::Reverse(shape.total()),
        cmp::Reverse(shape.accelerators),
        cmp::Reverse(shape.tasks),
    )
}

/// Reserves capacity for as many gangs of the guarantee as fit, up to its count, and returns their
/// number.
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

/// A placement whose capacity could be reserved for a gang.
pub fn reservable(fleet: &fleet::Fleet, shape: shape::Shape) -> Option<fit::Placement> {
    let query = fit::Query {
        service: None,
        shape,
        availability: capacity::Availability::Reservable,
        slow_first: true,
        reserve_slots: false,
        excluded: &|_| false,
    };
    fit::find(fleet, &query)
}
