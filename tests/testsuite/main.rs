//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod replica;
mod replica_support;
mod support;
mod verdict;
mod wire;
