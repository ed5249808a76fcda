//! Admission control at an entry: requests are refused before any work is done for them.

use std::collections::BTreeMap;

use crate::core::account;
use crate::core::time;
use crate::core::verdict;
use crate::macros;

/// The requests per second that an account may submit in one class of work, for each unit of the
/// account's weight.
const REQUESTS_PER_SEC: u64 = 50;

/// The size of a full bucket, in seconds of its rate.
const BURST_SECS: u64 = 10;

/// The thousandths in a token, in which buckets count so that rates are exact.
const MILLIS_PER_TOKEN: u64 = 1000;

/// The part of each queue limit that is reserved for urgent work, in percent.
const URGENT_RESERVE_PERCENT: u64 = 10;

/// The most admitted requests of all accounts that one entry has waiting.
const MAX_WAITING: u64 = 20_000;

macros::value_types! {
    /// The refusal of a request that was not admitted and did not run.
    pub struct Refusal {
        /// The refusal that the caller receives.
        pub refusal: verdict::Refusal,
        /// The time after which a retry may succeed.
        pub retry_after: time::Millis,
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The tokens left, in thousandths.
    millitokens: u64,
    refilled_at: time::Tick,
}

/// Token buckets for each account and class of work, and queue limits for each account.
///
/// An entry calls [`Admission::admit`] before it proposes a request to control, and
/// [`Admission::finish`] when the request has ended, with any outcome.
#[derive(Debug, Default)]
pub struct Admission {
    buckets: BTreeMap<(String, account::Class), Bucket>,
    waiting: BTreeMap<String, u64>,
    total: u64,
}

impl Admission {
    /// Creates an admission with no waiting requests and full buckets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request of an account and class of work, or refuses it.
    ///
    /// `cost` is the number of tokens that the request takes, at least 1. A refused request has
    /// no effect on later admissions.
    pub fn admit(
        &mut self,
        now: time::Tick,
        account: &account::Account,
        class: account::Class,
        cost: u32,
    ) -> Result<(), Refusal> {
        self.check_queue(account, class)?;
        self.take_tokens(now, account, class, cost)?;
        *self.waiting.entry(account.name.clone()).or_default() += 1;
        self.total += 1;
        Ok(())
    }

    /// Removes an admitted request that has ended.
    pub fn finish(&mut self, account: &str) {
        let Some(waiting) = self.waiting.get_mut(account) else { return };
        *waiting -= 1;
        self.total -= 1;
        if *waiting == 0 {
            self.waiting.remove(account);
        }
    }

    /// The number of admitted requests of an account that have not ended.
    pub fn waiting(&self, account: &str) -> u64 {
        self.waiting.get(account).copied().unwrap_or(0)
    }

    fn check_queue(
        &self,
        account: &account::Account,
        class: account::Class,
    ) -> Result<(), Refusal> {
        let limit = usable_part(u64::from(account.queue_limit), class);
        if self.waiting(&account.name) >= limit {
            return Err(overloaded("the account has too many requests waiting", queue_backoff()));
        }
        if self.total >= usable_part(MAX_WAITING, class) {
            return Err(overloaded("the entry has too many requests waiting", queue_backoff()));
        }
        Ok(())
    }

    fn take_tokens(
        &mut self,
        now: time::Tick,
        account: &account::Account,
        class: account::Class,
        cost: u32,
    ) -> Result<(), Refusal> {
        let rate = REQUESTS_PER_SEC * u64::from(account.weight.max(1));
        let full = rate * BURST_SECS * MILLIS_PER_TOKEN;
        let key = (account.name.clone(), class);
        let bucket =
            self.buckets.entry(key).or_insert(Bucket { millitokens: full, refilled_at: now });
        let gained = (now - bucket.refilled_at).0.saturating_mul(rate);
        bucket.millitokens = bucket.millitokens.saturating_add(gained).min(full);
        bucket.refilled_at = bucket.refilled_at.max(now);
        let cost = u64::from(cost.max(1)).saturating_mul(MILLIS_PER_TOKEN).min(full);
        if bucket.millitokens < cost {
            let wait = (cost - bucket.millitokens).div_ceil(rate);
            return Err(overloaded("the account submits too fast", time::Millis(wait)));
        }
        bucket.millitokens -= cost;
        Ok(())
    }
}

/// The part of a limit that a class may use: urgent work all of it, other work less, so that a
/// flood of work that can wait leaves capacity for urgent work.
fn usable_part(limit: u64, class: account::Class) -> u64 {
    match class {
        account::Class::Urgent => limit,
        _ => limit - limit * URGENT_RESERVE_PERCENT / 100,
    }
}

/// The back-off of a caller that meets a full queue.
fn queue_backoff() -> time::Millis {
    time::Millis::from_secs(1)
}

fn overloaded(detail: &str, retry_after: time::Millis) -> Refusal {
    Refusal { refusal: verdict::Refusal::not_run(verdict::Reason::Overloaded, detail), retry_after }
}
