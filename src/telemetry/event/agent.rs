//! Events of an agent.

use crate::telemetry::event::Event;

/// All events of this module.
pub const ALL: &[Event] = &[
    CONNECTED,
    DISCONNECTED,
    BACKEND_PRESENT,
    BACKEND_SILENT,
    REGISTERED,
    FENCED,
    LEASE_EXPIRED,
    ATTEMPT_ENDED,
    LEAVING,
    DRAIN_TIMED_OUT,
    SWEEP_FAILED,
    PREPARE_REFUSED,
    WORKER_ANNOUNCED,
    WORKER_LEFT,
    WORKER_SILENT,
    TASK_START,
    TASK_STOP,
    TASK_REFUSED,
    STOP_UNANSWERED,
    WORKER_VERIFIED,
    START_CONFIRMED,
    WORKER_UNVERIFIED,
    ENTRY_SKIPPED,
];

/// A session with the leading control replica is open.
pub const CONNECTED: Event = Event::new(500, log::Level::Info, "session with control opened");
/// The session with control has ended; the agent searches for the leader.
pub const DISCONNECTED: Event = Event::new(501, log::Level::Info, "session with control ended");
/// The backend server has announced itself and holds no task unknown to the agent.
pub const BACKEND_PRESENT: Event = Event::new(502, log::Level::Info, "backend server present");
/// The backend server has timed out; the agent abandons its tasks.
pub const BACKEND_SILENT: Event = Event::new(503, log::Level::Warn, "backend server silent");
/// Control has registered the worker under an epoch.
pub const REGISTERED: Event = Event::new(504, log::Level::Info, "worker registered");
/// Control has ended the worker's epoch; its tasks are stopped.
pub const FENCED: Event = Event::new(505, log::Level::Warn, "epoch ended by control");
/// The lease has expired on the agent's own clock; its tasks are stopped.
pub const LEASE_EXPIRED: Event = Event::new(506, log::Level::Warn, "lease ran out");
/// An attempt has ended at this agent.
pub const ATTEMPT_ENDED: Event = Event::new(507, log::Level::Debug, "attempt ended");
/// The worker is draining and accepts no new work.
pub const LEAVING: Event = Event::new(508, log::Level::Info, "worker leaving");
/// Tasks still ran when the drain time of a planned stop ended; they are stopped.
pub const DRAIN_TIMED_OUT: Event = Event::new(509, log::Level::Warn, "planned stop out of time");
/// The backend server's tasks could not be listed or stopped; the agent retries.
pub const SWEEP_FAILED: Event = Event::new(510, log::Level::Warn, "unknown tasks not cleared");
/// A preparation was refused; control searches for another placement.
pub const PREPARE_REFUSED: Event = Event::new(511, log::Level::Info, "preparation refused");
/// An incarnation of the worker has announced itself to this agent.
pub const WORKER_ANNOUNCED: Event = Event::new(512, log::Level::Info, "worker seen");
/// This agent's worker has left permanently.
pub const WORKER_LEFT: Event = Event::new(513, log::Level::Info, "worker left");
/// This agent's worker does not answer as the incarnation that it announced.
pub const WORKER_SILENT: Event = Event::new(514, log::Level::Warn, "worker silent");
/// A run of a task was ordered to start.
pub const TASK_START: Event = Event::new(515, log::Level::Info, "task starting");
/// A run of a task was ordered to stop.
pub const TASK_STOP: Event = Event::new(516, log::Level::Info, "task stopping");
/// The worker refused a run of a task, or its start was not confirmed.
pub const TASK_REFUSED: Event = Event::new(517, log::Level::Warn, "task refused");
/// A worker did not accept an order to stop a run; the order is repeated.
pub const STOP_UNANSWERED: Event = Event::new(518, log::Level::Warn, "stop not answered");
/// The worker has answered for the first time as the incarnation that it announced.
pub const WORKER_VERIFIED: Event = Event::new(519, log::Level::Info, "worker answers");
/// A retry confirmed a start that had got no answer.
pub const START_CONFIRMED: Event = Event::new(520, log::Level::Info, "start confirmed late");
/// An announced incarnation does not answer as itself; it is ignored until it does.
pub const WORKER_UNVERIFIED: Event = Event::new(521, log::Level::Warn, "announced worker not met");
/// An entry of another writer was skipped, completely or in part; logged for the first of each
/// kind.
pub const ENTRY_SKIPPED: Event = Event::new(530, log::Level::Warn, "odd entry skipped");
