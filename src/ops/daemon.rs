//! What every daemon does: start, wait for the signal of a planned stop, stop.

use std::error;
use std::path;
use std::process;
use std::time;

use tokio::signal::unix;

use crate::settings;
use crate::settings::telemetry as telemetry_settings;
use crate::telemetry;

/// The exit code of a program whose settings were refused.
pub const EXIT_SETTINGS: u8 = 2;

/// Says on standard error why settings can't be used.
pub fn refuse(file: &path::Path, error: &settings::Error) -> process::ExitCode {
    eprintln!("error: {}: {error}", file.display());
    process::ExitCode::from(EXIT_SETTINGS)
}

/// Runs a daemon on the runtime and turns its end into an exit code.
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

/// How often settings are looked at without a signal, which may be lost.
const RELOAD_PERIOD: time::Duration = time::Duration::from_secs(3);

/// Calls `reload` after each SIGHUP, and now and then without one, until dropped. The signal is
/// held from the call on, so that it never ends the process.
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

/// Resolves when the process is asked to stop, by SIGTERM or SIGINT. The signals are held from
/// the call on, not from the first poll: a daemon calls this before it starts.
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
