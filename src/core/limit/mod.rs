//! Admission control, load shedding and retry budgets.

mod admission;
mod budget;

pub use admission::{Admission, Refusal};
pub use budget::RetryBudget;
