//! Keeps a replica running although its disk fails for a while.
//!
//! A replica whose disk refuses a write can't go on: nothing it holds in memory may count as
//! durable. It is stopped and opened afresh on its folder until the disk takes writes again. To its
//! group that is a replica that restarts; the process, and what else it serves, goes on.

use std::error;
use std::io;
use std::time;

use futures_util::future::LocalBoxFuture;

use crate::control;
use crate::net::seeds;
use crate::settings::control::Settings;
use crate::telemetry::event;

/// The pause before a replica is opened afresh: as long as a restart of its process would take.
pub const RESTART_DELAY: time::Duration = time::Duration::from_secs(1);

type Failure = Box<dyn error::Error>;

/// What is kept running.
pub trait Supervised {
    /// Resolves with the cause once it can't go on.
    fn failed(&self) -> LocalBoxFuture<'_, String>;

    /// Stops it and joins all it has spawned.
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

/// Runs a control replica, which looks for others at the seeds, until `stopped` resolves.
///
/// # Errors
///
/// If it can't be opened the first time, or `stopped` fails.
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

/// Keeps what `open` opens until `stopped` resolves.
///
/// # Errors
///
/// As for [`run`].
pub async fn supervise<Opening>(
    open: impl Fn() -> Opening,
    stopped: impl Future<Output = io::Result<()>>,
) -> Result<(), Failure>
where
    Opening: Future<Output = Result<Box<dyn Supervised>, Failure>>,
{
    let mut stopped = std::pin::pin!(stopped);
    let mut kept = Some(open().await?);
    loop {
        if let Some(running) = kept.take() {
            let asked = tokio::select! {
                stop = &mut stopped => Some(stop),
                cause = running.failed() => {
                    event::store::REOPENS.log(format_args!("cause={cause}"));
                    None
                }
            };
            running.stop().await;
            if let Some(stop) = asked {
                return Ok(stop?);
            }
        }
        tokio::select! {
            stop = &mut stopped => return Ok(stop?),
            () = tokio::time::sleep(RESTART_DELAY) => {}
        }
        match open().await {
            Ok(opened) => kept = Some(opened),
            Err(error) => event::store::REOPENS.log(format_args!("cause={error}")),
        }
    }
}
