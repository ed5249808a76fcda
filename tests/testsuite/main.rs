//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod limit;
mod placement;
mod placement_random;
mod support;
mod verdict;
mod wire;
