//! Starting and stopping runs, to a certain end.
//!
//! An order without an answer may be carried out later. A start is therefore repeated under the
//! same number, which changes nothing at a worker that has it, and given up only with a stop that
//! the worker has answered: no start of that number has any effect after that.

use std::rc;
use std::time;

use crate::runner::backend;
use crate::runner::backend::Backend;

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
            Ok(Ok(backend::Launched::Running)) => return Outcome::Running,
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

/// Orders a stop until the worker has answered it.
pub async fn stop(backend: rc::Rc<dyn Backend>, order: Stop) {
    loop {
        let Stop { task, run, fence } = order.clone();
        let tried = tokio::time::timeout(ORDER_TIMEOUT, backend.stop(task, run, fence)).await;
        if matches!(tried, Ok(Ok(()))) {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// A run to stop.
#[derive(Clone, Debug)]
pub struct Stop {
    /// The task.
    pub task: crate::core::workflow::model::TaskName,
    /// The number of the start.
    pub run: u32,
    /// The fencing token.
    pub fence: u64,
}
