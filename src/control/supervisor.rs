//! Supervision of a replica whose disk may fail temporarily.
//!
//! A replica whose disk rejects a write can't continue, since its state in memory may not be
//! durable. It is stopped and reopened on its data folder until the disk accepts writes again. Its
//! group observes a replica that restarts; the process and its other services keep running.

use std::error;
use std::io;
use std::time;

use futures_util::future::LocalBoxFuture;

use crate::control;
use crate::net::seeds;
use crate::settings::control::Settings;
use crate::telemetry::event;

/// Delay before a replica is reopened: as long as a restart of its process takes.
pub const RESTART_DELAY: time::Duration = time::Duration::from_secs(1);

type Failure = Box<dyn error::Error>;

/// A service that is restarted when it fails.
pub trait Supervised {
    /// Resolves with the cause once the service can't continue.
    fn failed(&self) -> LocalBoxFuture<'_, String>;

    /// Stops the service and waits for all its tasks to end.
    fn stop(self: Box<Self>) -> LocalBoxFuture<'static, ()>;
}

impl Supervised for control::Control {
    fn failed(&self) -> LocalBoxFuture<'_, String> {
        Box::pin(self.failed())
    }

    fn stop(self: Box<Self>) -> LocalBoxFuture<'static, ()> {
        Box::pin((*self).stop())
    }
}

/// Runs a control replica, which discovers its group by the seeds, until `stopped` resolves.
///
/// # Errors
///
/// The first attempt to open the replica failed, or `stopped` failed.
pub async fn run(
    settings: Settings,
    seeds: impl Into<seeds::Seeds>,
    stopped: impl Future<Output = io::Result<()>>,
) -> Result<(), Failure> {
    let seeds = seeds.into();
    let open = || {
        let (settings, seeds) = (settings.clone(), seeds.clone());
        async move {
            let control = control::Control::start_with(settings, seeds).await?;
            Ok(Box::new(control) as Box<dyn Supervised>)
        }
    };
    supervise(open, stopped).await
}

/// Runs the service that `open` returns, and reopens it when it fails, until `stopped` resolves.
///
/// # Errors
///
/// As for [`run`].
pub async fn supervise<OpenFuture>(
    open: impl Fn() -> OpenFuture,
    stopped: impl Future<Output = io::Result<()>>,
) -> Result<(), Failure>
where
    OpenFuture: Future<Output = Result<Box<dyn Supervised>, Failure>>,
{
    let mut stopped = std::pin::pin!(stopped);
    let mut service = Some(open().await?);
    loop {
        if let Some(running) = service.take() {
            let stop = tokio::select! {
                stop = &mut stopped => Some(stop),
                cause = running.failed() => {
                    event::store::REPLICA_RESTARTING.log(format_args!("cause={cause}"));
                    None
                }
            };
            running.stop().await;
            if let Some(stop) = stop {
                return Ok(stop?);
            }
        }
        tokio::select! {
            stop = &mut stopped => return Ok(stop?),
            () = tokio::time::sleep(RESTART_DELAY) => {}
        }
        match open().await {
            Ok(opened) => service = Some(opened),
            Err(error) => event::store::REPLICA_RESTARTING.log(format_args!("cause={error}")),
        }
    }
}
