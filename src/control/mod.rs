//! The control replica: sockets, files and timers round the consensus, the ledger and the planner.

pub mod machine;
pub mod replica;
