//! Admission at an entry: which request may go on to control, decided before any work is done.

use std::collections::BTreeMap;

use crate::core::account;
use crate::core::time;
use crate::core::verdict;
use crate::macros;

/// Requests a second that one account and class of work may submit for each unit of weight.
const RATE: u64 = 50;

/// Seconds of its rate that an account and class may save up for a burst.
const BURST_SECS: u64 = 10;

/// Parts of a token: rates are kept exact in thousandths.
const MILLI: u64 = 1000;

/// The share of an entry's room that only urgent work may use, in percent.
const URGENT_PERCENT: u64 = 10;

/// The most requests that one entry keeps waiting, over all accounts.
const MAX_WAITING: u64 = 20_000;

macros::value_types! {
    /// Why a request is not admitted. It did not run.
    pub struct Refusal {
        /// What the caller is told.
        pub refusal: verdict::Refusal,
        /// When another try may succeed.
        pub retry_after: time::Millis,
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: u64,
    filled: time::Tick,
}

/// Token buckets and queue bounds for each account and class of work.
///
/// An entry asks [`Admission::admit`] before it proposes a request to control, and tells
/// [`Admission::finish`] when the request has ended, whichever way.
#[derive(Debug, Default)]
pub struct Admission {
    buckets: BTreeMap<(String, account::Class), Bucket>,
    waiting: BTreeMap<String, u64>,
    total: u64,
}

impl Admission {
    /// An admission with nothing waiting and full buckets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request of an account and class of work, or refuses it.
    ///
    /// `weight` is what the request counts against the rate, at least 1. A refused request has
    /// no effect on what is admitted later.
    pub fn admit(
        &mut self,
        now: time::Tick,
        account: &account::Account,
        kind_class: account::Class,
        weight: u32,
    ) -> Result<(), Refusal> {
        self.check_queue(account, kind_class)?;
        self.take(now, account, kind_class, weight)?;
        *self.waiting.entry(account.name.clone()).or_default() += 1;
        self.total += 1;
        Ok(())
    }

    /// Forgets an admitted request that has ended.
    pub fn finish(&mut self, account: &str) {
        let Some(waiting) = self.waiting.get_mut(account) else { return };
        *waiting -= 1;
        self.total -= 1;
        if *waiting == 0 {
            self.waiting.remove(account);
        }
    }

    /// The admitted requests of an account that have not ended.
    pub fn waiting(&self, account: &str) -> u64 {
        self.waiting.get(account).copied().unwrap_or(0)
    }

    fn check_queue(
        &self,
        account: &account::Account,
        class: account::Class,
    ) -> Result<(), Refusal> {
        let limit = room(u64::from(account.queue_limit), class);
        if self.waiting(&account.name) >= limit {
            return Err(overloaded("the account has too many requests waiting", second()));
        }
        if self.total >= room(MAX_WAITING, class) {
            return Err(overloaded("the entry has too many requests waiting", second()));
        }
        Ok(())
    }

    fn take(
        &mut self,
        now: time::Tick,
        account: &account::Account,
        class: account::Class,
        weight: u32,
    ) -> Result<(), Refusal> {
        let rate = RATE * u64::from(account.weight.max(1));
        let full = rate * BURST_SECS * MILLI;
        let key = (account.name.clone(), class);
        let bucket = self.buckets.entry(key).or_insert(Bucket { tokens: full, filled: now });
        let gained = (now - bucket.filled).0.saturating_mul(rate);
        bucket.tokens = bucket.tokens.saturating_add(gained).min(full);
        bucket.filled = bucket.filled.max(now);
        let cost = u64::from(weight.max(1)).saturating_mul(MILLI).min(full);
        if bucket.tokens < cost {
            let wait = (cost - bucket.tokens).div_ceil(rate);
            return Err(overloaded("the account submits too fast", time::Millis(wait)));
        }
        bucket.tokens -= cost;
        Ok(())
    }
}

/// The part of a bound that a class may use: urgent work all of it, other work less, so that a
/// flood of work that may wait leaves room for work that may not.
fn room(bound: u64, class: account::Class) -> u64 {
    match class {
        account::Class::Urgent => bound,
        _ => bound - bound * URGENT_PERCENT / 100,
    }
}

fn second() -> time::Millis {
    time::Millis::from_secs(1)
}

fn overloaded(detail: &str, retry_after: time::Millis) -> Refusal {
    Refusal { refusal: verdict::Refusal::not_run(verdict::Reason::Overloaded, detail), retry_after }
}
