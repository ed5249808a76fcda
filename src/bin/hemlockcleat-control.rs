//! The daemon of a control replica.

use std::path;
use std::process;

use clap::Parser as _;

use hemlockcleat::control;
use hemlockcleat::ops;
use hemlockcleat::settings;

/// A control replica of hemlockcleat.
#[derive(clap::Parser)]
#[command(name = "hemlockcleat-control", version)]
struct Args {
    /// The settings file (JSON).
    settings: path::PathBuf,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    let settings = match settings::load::<settings::control::Settings>(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return ops::daemon::refuse(&args.settings, &error),
    };
    let telemetry = settings.telemetry.clone();
    ops::daemon::run(&telemetry, async move {
        let seeds = settings.seeds.clone();
        control::supervisor::run(settings, seeds, ops::daemon::stop_signal()).await
    })
}
