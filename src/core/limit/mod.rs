//! Admission control, load shedding and retry budgets.

mod admission;
mod budget;
mod memory;

pub use admission::{Admission, Refusal};
pub use budget::RetryBudget;
pub use memory::{Memory, Reservation};
