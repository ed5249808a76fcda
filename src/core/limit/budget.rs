//! The retry budget: one bound on retries for the whole path of a request.

/// Parts of a retry; deposits are fractions of one.
const MILLI: u64 = 1000;

/// What one first try adds, in thousandths of a retry.
const DEPOSIT: u64 = 100;

/// The most retries that can be saved up.
const MAX_SAVED: u64 = 100;

/// The retries that are there before any first try.
const INITIAL: u64 = 10;

/// Permits retries in proportion to first tries, so that retries can't multiply the load when
/// everything fails. Only the entry retries; no layer below it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    saved: u64,
}

impl RetryBudget {
    /// A budget with a few retries to begin with.
    pub const fn new() -> Self {
        Self { saved: INITIAL * MILLI }
    }

    /// Counts one first try.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + DEPOSIT).min(MAX_SAVED * MILLI);
    }

    /// Takes one retry out, if there is one; otherwise the caller must not retry.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        if self.saved < MILLI {
            return false;
        }
        self.saved -= MILLI;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
