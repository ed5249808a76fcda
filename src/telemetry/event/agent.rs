//! Events of an agent.

use crate::telemetry::event::Event;

/// Every event of this range.
pub const ALL: &[Event] = &[
    CONNECTED,
    DISCONNECTED,
    BACKEND_PRESENT,
    BACKEND_GONE,
    REGISTERED,
    FENCED,
    LEASE_LOST,
    ATTEMPT_ENDED,
    LEAVING,
    CUT_SHORT,
    SWEEP_FAILED,
    PREPARE_REFUSED,
    WORKER_SEEN,
    WORKER_LEFT,
    WORKER_SILENT,
    TASK_START,
    TASK_STOP,
    TASK_REFUSED,
    STOP_UNANSWERED,
    WORKER_ANSWERS,
    START_CONFIRMED,
    WORKER_UNMET,
    ENTRY_ODD,
];

/// A session with the leading control replica stands.
pub const CONNECTED: Event = Event::new(500, log::Level::Info, "session with control opened");
/// The session with control has ended; the agent looks for the leader.
pub const DISCONNECTED: Event = Event::new(501, log::Level::Info, "session with control ended");
/// The backend server has announced itself and holds no task that the agent does not know.
pub const BACKEND_PRESENT: Event = Event::new(502, log::Level::Info, "backend server present");
/// The backend server is silent; its tasks are given up.
pub const BACKEND_GONE: Event = Event::new(503, log::Level::Warn, "backend server silent");
/// Control has registered the worker under an epoch.
pub const REGISTERED: Event = Event::new(504, log::Level::Info, "worker registered");
/// Control has ended the worker's epoch; its tasks are stopped.
pub const FENCED: Event = Event::new(505, log::Level::Warn, "epoch ended by control");
/// The lease ran out on the agent's own clock; its tasks are stopped.
pub const LEASE_LOST: Event = Event::new(506, log::Level::Warn, "lease ran out");
/// An attempt has ended here.
pub const ATTEMPT_ENDED: Event = Event::new(507, log::Level::Debug, "attempt ended");
/// The worker wants no new work.
pub const LEAVING: Event = Event::new(508, log::Level::Info, "worker leaving");
/// Tasks outlasted the time of a planned stop and are stopped.
pub const CUT_SHORT: Event = Event::new(509, log::Level::Warn, "planned stop out of time");
/// The backend server's tasks could not be listed or stopped; tried again.
pub const SWEEP_FAILED: Event = Event::new(510, log::Level::Warn, "unknown tasks not cleared");
/// A preparation was refused; control looks for another place.
pub const PREPARE_REFUSED: Event = Event::new(511, log::Level::Info, "preparation refused");
/// A life of the worker beside this agent has announced itself.
pub const WORKER_SEEN: Event = Event::new(512, log::Level::Info, "worker seen");
/// The worker beside this agent has left for good.
pub const WORKER_LEFT: Event = Event::new(513, log::Level::Info, "worker left");
/// The worker beside this agent does not answer as the life that it announced.
pub const WORKER_SILENT: Event = Event::new(514, log::Level::Warn, "worker silent");
/// A run of a task is ordered to start.
pub const TASK_START: Event = Event::new(515, log::Level::Info, "task starting");
/// A run of a task is ordered to stop.
pub const TASK_STOP: Event = Event::new(516, log::Level::Info, "task stopping");
/// A run of a task was refused by the worker, or its start not confirmed.
pub const TASK_REFUSED: Event = Event::new(517, log::Level::Warn, "task refused");
/// A worker did not take an order to stop a run, which is repeated.
pub const STOP_UNANSWERED: Event = Event::new(518, log::Level::Warn, "stop not answered");
/// The worker has answered as the life that it announced, for the first time.
pub const WORKER_ANSWERS: Event = Event::new(519, log::Level::Info, "worker answers");
/// A start without an answer was confirmed by a later try.
pub const START_CONFIRMED: Event = Event::new(520, log::Level::Info, "start confirmed late");
/// A life that was announced does not answer as itself; it counts for nothing until it does.
pub const WORKER_UNMET: Event = Event::new(521, log::Level::Warn, "announced worker not met");
/// An entry of another writer was skipped, whole or in part; the first of its kind.
pub const ENTRY_ODD: Event = Event::new(530, log::Level::Warn, "odd entry skipped");
