//! The operations behind the subcommands.
