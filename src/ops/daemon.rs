//! Start, reload and planned stop of the daemons.

use std::error;
use std::path;
use std::process;
use std::time;

use tokio::signal::unix;

use crate::settings;
use crate::settings::telemetry as telemetry_settings;
use crate::telemetry;

/// Exit code for invalid settings.
pub const EXIT_SETTINGS: u8 = 2;

/// Reports a settings error on standard error and returns the exit code.
pub fn refuse(file: &path::Path, error: &settings::Error) -> process::ExitCode {
    eprintln!("error: {}: {error}", file.display());
    process::ExitCode::from(EXIT_SETTINGS)
}

/// Runs a daemon's body on the async runtime and converts its result to an exit code.
pub fn run(
    options: &telemetry_settings::Telemetry,
    body: impl Future<Output = Result<(), Box<dyn error::Error>>> + 'static,
) -> process::ExitCode {
    telemetry::start(options);
    let ended = actix_rt::System::new().block_on(body);
    telemetry::log::flush();
    match ended {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            process::ExitCode::FAILURE
        }
    }
}

/// Interval at which settings are reloaded without a signal, since a signal may be lost.
const RELOAD_PERIOD: time::Duration = time::Duration::from_secs(3);

/// Calls `reload` after each SIGHUP, and every few seconds without one, until dropped. The
/// signal handler is installed by the call itself, not by the first poll, so that SIGHUP never
/// terminates the process.
pub fn reload_signal(mut reload: impl FnMut()) -> impl Future<Output = std::io::Result<()>> {
    let signal = unix::signal(unix::SignalKind::hangup());
    async move {
        let mut signal = signal?;
        loop {
            tokio::select! {
                _ = signal.recv() => {}
                () = tokio::time::sleep(RELOAD_PERIOD) => {}
            }
            reload();
        }
    }
}

/// Resolves when the process receives SIGTERM or SIGINT. The signal handlers are installed by the
/// call itself, not by the first poll, so that a daemon can install them before it starts.
pub fn stop_signal() -> impl Future<Output = std::io::Result<()>> {
    let signals = unix::signal(unix::SignalKind::terminate())
        .and_then(|term| Ok((term, unix::signal(unix::SignalKind::interrupt())?)));
    async move {
        let (mut term, mut interrupt) = signals?;
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    }
}
