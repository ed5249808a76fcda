//! The disk: log segments, snapshots and the identity of a data folder.
