//! The replicated log, without input or output.
