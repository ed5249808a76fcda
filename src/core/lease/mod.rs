//! Leases: one a worker, with fencing tokens.
