//! The integration tests, one binary. A module a matter; `support` holds the small fakes.

mod consensus;
mod consensus_wire;
mod consensus_world;
mod replica;
mod replica_support;
mod store;
mod store_disk;
mod support;
mod verdict;
mod wire;
