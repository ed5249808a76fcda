//! Starting and stopping runs, to a certain end.
//!
//! An order without an answer may be carried out later. A start is therefore repeated under the
//! same number, which changes nothing at a worker that has it, and given up only with a stop that
//! the worker has answered: no start of that number has any effect after that.

use std::rc;
use std::time;

use crate::core::workflow::model;
use crate::runner::backend;
use crate::runner::backend::Backend;
use crate::telemetry::event;

/// How often a start is ordered before it is given up.
const TRIES: u32 = 3;

/// How long the worker may take to answer an order: within a host it answers in a few
/// milliseconds, and a gang waits for no member longer than seconds.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// The pause between two tries.
const PAUSE: time::Duration = time::Duration::from_millis(60);

/// What became of an order to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It runs.
    Running,
    /// It does not run; with true an earlier order may still be carried out.
    Failed(bool, String),
}

/// Orders a start until its fate is known or it is to be given up.
pub async fn start(backend: rc::Rc<dyn Backend>, launch: backend::Launch) -> Outcome {
    let mut doubt = false;
    let mut detail = String::new();
    for attempt in 0..TRIES {
        if attempt > 0 {
            tokio::time::sleep(PAUSE).await;
        }
        let tried = tokio::time::timeout(ORDER_TIMEOUT, backend.start(launch.clone())).await;
        match tried {
            Ok(Ok(backend::Launched::Running)) => {
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
            Ok(Ok(backend::Launched::Refused(reason))) => return Outcome::Failed(doubt, reason),
            Ok(Ok(backend::Launched::Unwell)) => detail = "unwell".to_owned(),
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

/// Orders a stop until the worker has answered it; false if there is no use in it any more.
///
/// Each try carries the fencing token of its time, `None` once the worker's incarnation is over: the
/// worker may have learnt a higher one since the stop was first ordered, and refuses all below.
pub async fn stop(
    backend: rc::Rc<dyn Backend>,
    task: model::TaskName,
    run: u32,
    fence: impl Fn() -> Option<u64>,
) -> bool {
    let mut last = String::new();
    while let Some(fence) = fence() {
        let tried = backend.stop(task.clone(), run, fence);
        let error = match tokio::time::timeout(ORDER_TIMEOUT, tried).await {
            Ok(Ok(())) => return true,
            Ok(Err(error)) => error.0,
            Err(_) => "no answer".to_owned(),
        };
        if error != last {
            event::agent::STOP_UNANSWERED
                .log(format_args!("task={task} run={run} fence={fence} error={error}"));
            last = error;
        }
        tokio::time::sleep(PAUSE).await;
    }
    false
}
