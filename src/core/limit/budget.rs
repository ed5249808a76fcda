//! The retry budget: one limit on retries for the whole path of a request.

/// The thousandths in a retry, in which the budget counts.
const MILLIS_PER_RETRY: u64 = 1000;

/// The deposit of one first attempt, in thousandths of a retry.
const DEPOSIT_MILLIS: u64 = 100;

/// The most retries that the budget holds.
const MAX_RETRIES: u64 = 100;

/// The retries that a new budget holds, before any first attempt.
const INITIAL_RETRIES: u64 = 10;

/// Permits retries in proportion to first attempts, so that retries can't multiply the load when
/// everything fails. Only the entry retries; no layer below it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    /// The retries left, in thousandths.
    balance: u64,
}

impl RetryBudget {
    /// Creates a budget that holds a few initial retries.
    pub const fn new() -> Self {
        Self { balance: INITIAL_RETRIES * MILLIS_PER_RETRY }
    }

    /// Adds the deposit of one first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_MILLIS).min(MAX_RETRIES * MILLIS_PER_RETRY);
    }

    /// Takes one retry out and returns true; if none is left, the caller must not retry.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        if self.balance < MILLIS_PER_RETRY {
            return false;
        }
        self.balance -= MILLIS_PER_RETRY;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
