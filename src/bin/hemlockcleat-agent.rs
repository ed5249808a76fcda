//! The daemon of the worker agent.

use std::path;
use std::process;

use clap::Parser as _;

use hemlockcleat::agent;
use hemlockcleat::ops;
use hemlockcleat::settings;
use hemlockcleat::telemetry::event;

/// The agent of hemlockcleat, for the host of one backend server.
#[derive(clap::Parser)]
#[command(name = "hemlockcleat-agent", version)]
struct Args {
    /// The settings file (JSON).
    settings: path::PathBuf,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    let settings = match settings::load::<settings::agent::Settings>(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return ops::daemon::refuse(&args.settings, &error),
    };
    let telemetry = settings.telemetry.clone();
    ops::daemon::run(&telemetry, async move {
        let signal = ops::daemon::stop_signal();
        let agent = agent::Agent::start(settings).await?;
        event::general::STARTED.log(format_args!("role=agent addr={}", agent.addr()));
        signal.await?;
        event::general::STOPPING.log(format_args!("role=agent"));
        agent.stop().await;
        event::general::STOPPED.log(format_args!("role=agent"));
        Ok(())
    })
}
