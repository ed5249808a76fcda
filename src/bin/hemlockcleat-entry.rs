//! The daemon of an entry.

use std::path;
use std::process;

use clap::Parser as _;

use hemlockcleat::entry;
use hemlockcleat::ops;
use hemlockcleat::settings;

/// An entry of hemlockcleat.
#[derive(clap::Parser)]
#[command(name = "hemlockcleat-entry", version)]
struct Args {
    /// The settings file (JSON).
    settings: path::PathBuf,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    let settings = match settings::load::<settings::entry::Settings>(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return ops::daemon::refuse(&args.settings, &error),
    };
    let telemetry = settings.telemetry.clone();
    ops::daemon::run(&telemetry, async move {
        let signal = ops::daemon::stop_signal();
        let entry = entry::Entry::start(settings).await?;
        signal.await?;
        entry.stop().await;
        Ok(())
    })
}
