//! Check of a settings file as its program reads it, without starting the program.

use std::path;

use crate::settings;

/// The program that reads a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Role {
    /// `hemlockcleat-entry`.
    Entry,
    /// `hemlockcleat-control`.
    Control,
    /// `hemlockcleat-agent`.
    Agent,
}

/// Reads and validates a settings file.
pub fn exec(role: Role, file: &path::Path) -> Result<(), settings::Error> {
    match role {
        Role::Entry => settings::load::<settings::entry::Settings>(file).map(drop),
        Role::Control => settings::load::<settings::control::Settings>(file).map(drop),
        Role::Agent => settings::load::<settings::agent::Settings>(file).map(drop),
    }
}
