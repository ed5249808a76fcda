//! The entry: callers, operators and readers of the status page over HTTP/1.1.
