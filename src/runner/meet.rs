//! Asking an incarnation that was announced whether it is there.
//!
//! An announcement alone proves nothing: it may come from another writer, or be late. Only the
//! worker itself can say which incarnation it is in, and only once the next incarnation has answered is the one
//! before it certainly over.

use std::rc;
use std::time;

use crate::control::clock;
use crate::core::time as core_time;
use crate::core::workflow::model;
use crate::macros;
use crate::runner::backend;
use crate::runner::backend::Backend;
use crate::telemetry::event;

/// How often an incarnation is asked after one announcement; it is announced again soon.
const TRIES: u32 = 3;

/// How long it may take to answer: it is on the same host.
const TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// The pause between two tries.
const PAUSE: time::Duration = time::Duration::from_millis(60);

macros::copy_types! {
    /// How a worker was asked for its lists.
    pub struct Asked {
        /// When.
        pub at: core_time::Tick,
        /// With which fencing token.
        pub fence: u64,
    }
}

/// The first answer of an incarnation.
#[derive(Debug)]
pub struct Met {
    /// Its lists.
    pub listing: backend::Listing,
    /// How they were asked for.
    pub asked: Asked,
}

/// Asks after the runs of an incarnation; none if it does not answer as itself.
pub async fn meet(
    backend: rc::Rc<dyn Backend>,
    incarnation: model::Incarnation,
    fence: impl Fn() -> u64,
    clock: clock::Clock,
) -> Option<Met> {
    let mut last = String::new();
    for attempt in 0..TRIES {
        if attempt > 0 {
            tokio::time::sleep(PAUSE).await;
        }
        let asked = Asked { at: clock.tick(), fence: fence() };
        let look = backend::Look { fence: asked.fence, until: None, seen: 0, wait: 0 };
        match tokio::time::timeout(TIMEOUT, backend.look(look)).await {
            Ok(Ok(listing)) if listing.born.is_none_or(|born| born == incarnation.started) => {
                return Some(Met { listing, asked });
            }
            Ok(Ok(_)) => {
                last = "another life answers".to_owned();
                break;
            }
            Ok(Err(error)) => last = error.to_string(),
            Err(_) => last = "no answer".to_owned(),
        }
    }
    event::agent::WORKER_UNMET.log(format_args!("life={incarnation} error={last}"));
    None
}
