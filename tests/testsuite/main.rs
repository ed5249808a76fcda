//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod lease;
mod support;
mod verdict;
mod wire;
