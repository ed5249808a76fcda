//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod lease;
mod limit;
mod placement;
mod support;
mod verdict;
mod wire;
