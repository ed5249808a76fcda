//! Starting and stopping runs until the outcome is certain.
//!
//! The worker may carry out an order later even if it has not answered it. A start is therefore
//! repeated under the same run number, which has no effect on a worker that has the run, and is
//! given up only with a stop that the worker has answered: no start of that number has any effect
//! after that.

use std::rc;
use std::time;

use crate::core::workflow::model;
use crate::runner::backend;
use crate::runner::backend::Backend;
use crate::telemetry::event;

/// The number of times a start is ordered before it is given up.
const MAX_TRIES: u32 = 3;

/// How long the worker may take to answer an order: within a host it answers in a few
/// milliseconds, and a gang waits for no member longer than seconds.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// The delay between two tries.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(60);

/// The outcome of an order to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The run is in progress.
    Running,
    /// The run was not started, for the given reason; if the flag is set, the worker may still
    /// carry out an earlier order.
    Failed(bool, String),
}

/// Orders a start until its outcome is known or the tries are used up.
pub async fn start(backend: rc::Rc<dyn Backend>, launch: backend::Launch) -> Outcome {
    let mut doubt = false;
    let mut detail = String::new();
    for attempt in 0..MAX_TRIES {
        if attempt > 0 {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let reply = tokio::time::timeout(ORDER_TIMEOUT, backend.start(launch.clone())).await;
        match reply {
            Ok(Ok(backend::LaunchReply::Running)) => {
                if doubt {
                    event::agent::START_CONFIRMED.log(format_args!(
                        "task={} run={} tries={}",
                        launch.task,
                        launch.run,
                        attempt + 1
                    ));
                }
                return Outcome::Running;
            }
            Ok(Ok(backend::LaunchReply::Refused(reason))) => {
                return Outcome::Failed(doubt, reason);
            }
            Ok(Ok(backend::LaunchReply::Unavailable)) => detail = "unwell".to_owned(),
            Ok(Err(error)) => {
                doubt = true;
                detail = error.0;
            }
            Err(_) => {
                doubt = true;
                detail = "no answer".to_owned();
            }
        }
    }
    Outcome::Failed(doubt, detail)
}

/// Orders a stop until the worker has answered it. Returns false if the worker's incarnation ended
/// first.
///
/// Each try carries the fencing token that is current then, `None` once the worker's incarnation
/// has ended: the worker may have received a higher token since the stop was first ordered, and
/// refuses lower ones.
pub async fn stop(
    backend: rc::Rc<dyn Backend>,
    task: model::TaskName,
    run: u32,
    fence: impl Fn() -> Option<u64>,
) -> bool {
    let mut last_error = String::new();
    while let Some(fence) = fence() {
        let reply = backend.stop(task.clone(), run, fence);
        let error = match tokio::time::timeout(ORDER_TIMEOUT, reply).await {
            Ok(Ok(())) => return true,
            Ok(Err(error)) => error.0,
            Err(_) => "no answer".to_owned(),
        };
        if error != last_error {
            event::agent::STOP_UNANSWERED
                .log(format_args!("task={task} run={run} fence={fence} error={error}"));
            last_error = error;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    false
}
