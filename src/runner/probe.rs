//! Probing whether an announced incarnation is running.
//!
//! An announcement alone proves nothing: it may come from another sender, or be late. Only the
//! worker itself can tell which incarnation it is, and only once the next incarnation has answered
//! is it certain that the previous one has ended.

use std::rc;
use std::time;

use crate::control::clock;
use crate::core::time as core_time;
use crate::core::workflow::model;
use crate::macros;
use crate::runner::backend;
use crate::runner::backend::Backend;
use crate::telemetry::event;

/// The number of tries per announcement; an incarnation is announced again soon.
const MAX_TRIES: u32 = 3;

/// How long the worker may take to answer a probe: it runs on the same host.
const TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// The delay between two tries.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(60);

macros::copy_types! {
    /// The request that a listing answers.
    pub struct Request {
        /// The time at which it was sent.
        pub sent_at: core_time::Tick,
        /// The fencing token that it carried.
        pub fence: u64,
        /// The number of the poll to the current incarnation; 0 for a probe, which precedes them.
        pub number: u64,
    }
}

/// The first answer of an incarnation.
#[derive(Debug)]
pub struct Response {
    /// The worker's lists.
    pub listing: backend::Listing,
    /// The request that the lists answer.
    pub request: Request,
}

/// Requests the lists of an incarnation; returns none if that incarnation does not answer.
pub async fn probe(
    backend: rc::Rc<dyn Backend>,
    incarnation: model::Incarnation,
    fence: impl Fn() -> u64,
    clock: clock::Clock,
) -> Option<Response> {
    let mut last_error = String::new();
    for attempt in 0..MAX_TRIES {
        if attempt > 0 {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let request = Request { sent_at: clock.tick(), fence: fence(), number: 0 };
        let poll = backend::Poll { fence: request.fence, deadline: None, acknowledged: 0, wait: 0 };
        match tokio::time::timeout(TIMEOUT, backend.poll(poll)).await {
            Ok(Ok(listing))
                if listing.started.is_none_or(|started| started == incarnation.started) =>
            {
                return Some(Response { listing, request });
            }
            Ok(Ok(_)) => {
                last_error = "another incarnation answers".to_owned();
                break;
            }
            Ok(Err(error)) => last_error = error.to_string(),
            Err(_) => last_error = "no answer".to_owned(),
        }
    }
    event::agent::WORKER_UNVERIFIED.log(format_args!("life={incarnation} error={last_error}"));
    None
}
