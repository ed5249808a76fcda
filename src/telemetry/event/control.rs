//! Events of control.

use crate::telemetry::event::Event;

/// All events of this module.
pub const ALL: &[Event] = &[
    ENTRY_UNREADABLE,
    LEADING,
    NOT_LEADING,
    WORKER_REGISTERED,
    WORKER_LOST,
    SESSION_REFUSED,
    REPLICAS_CHANGING,
    TICKET_ACCEPTED,
    TICKET_REFUSED,
    AGENT_CONNECTED,
    AGENT_DISCONNECTED,
    JOB_ACCEPTED,
    JOB_CANCELLED,
    CONFIGURED,
    TASK_PLACED,
    RUN_ENDED,
    PROPOSAL_LOST,
    ORDER_DROPPED,
    JOB_ENDED,
    RUN_STOPPING,
    JOB_REFUSED,
    LONG_WAIT,
    INCARNATION_ENDED,
    UNEXPECTED_RUN,
];

/// A committed entry can't be decoded, because another version wrote it.
pub const ENTRY_UNREADABLE: Event = Event::new(200, log::Level::Error, "log entry unreadable");
/// This replica has become the leader.
pub const LEADING: Event = Event::new(201, log::Level::Info, "leading");
/// This replica is no longer the leader.
pub const NOT_LEADING: Event = Event::new(202, log::Level::Warn, "no longer leading");
/// A worker has received a lease epoch and may get work.
pub const WORKER_REGISTERED: Event = Event::new(203, log::Level::Info, "worker registered");
/// A worker's lease has expired.
pub const WORKER_LOST: Event = Event::new(204, log::Level::Warn, "worker lost");
/// A session with a process of another version or cell was refused.
pub const SESSION_REFUSED: Event = Event::new(205, log::Level::Warn, "session refused");
/// The members of the control group are being changed.
pub const REPLICAS_CHANGING: Event = Event::new(206, log::Level::Info, "replicas changing");
/// A ticket was accepted.
pub const TICKET_ACCEPTED: Event = Event::new(207, log::Level::Info, "ticket accepted");
/// A ticket was refused.
pub const TICKET_REFUSED: Event = Event::new(208, log::Level::Warn, "ticket refused");
/// The agent of a workflow worker has opened a session.
pub const AGENT_CONNECTED: Event = Event::new(209, log::Level::Info, "agent connected");
/// The session with the agent of a workflow worker has ended.
pub const AGENT_DISCONNECTED: Event = Event::new(210, log::Level::Info, "agent's session ended");
/// A workflow is accepted and durable.
pub const JOB_ACCEPTED: Event = Event::new(211, log::Level::Info, "job accepted");
/// A workflow is cancelled, had already ended, or is not known yet.
pub const JOB_CANCELLED: Event = Event::new(212, log::Level::Info, "job cancelled");
/// A configuration of workflows is durable, or superseded by a higher version.
pub const CONFIGURED: Event = Event::new(213, log::Level::Info, "configuration accepted");
/// A placement of a workflow task was proposed.
pub const TASK_PLACED: Event = Event::new(214, log::Level::Info, "task placed");
/// The end of a task's run was proposed.
pub const RUN_ENDED: Event = Event::new(215, log::Level::Info, "run ended");
/// Leadership was lost while a proposed decision was in flight.
pub const PROPOSAL_LOST: Event = Event::new(216, log::Level::Warn, "proposal lost");
/// An order was dropped because the agent does not read its orders fast enough.
pub const ORDER_DROPPED: Event = Event::new(217, log::Level::Warn, "order dropped");
/// A workflow has completed, failed or been cancelled.
pub const JOB_ENDED: Event = Event::new(218, log::Level::Info, "job ended");
/// A run of a task is to stop; the details give the reason.
pub const RUN_STOPPING: Event = Event::new(219, log::Level::Info, "run to be stopped");
/// A submission or a cancellation was refused under the given version of the configuration.
pub const JOB_REFUSED: Event = Event::new(220, log::Level::Info, "job refused");
/// A step has waited for a long time while other steps were placed.
pub const LONG_WAIT: Event = Event::new(221, log::Level::Info, "step passed over");
/// An incarnation of a workflow worker has ended, and its runs are lost.
pub const INCARNATION_ENDED: Event = Event::new(222, log::Level::Info, "life of a worker over");
/// A worker lists a run that was not placed on it; the run is stopped.
pub const UNEXPECTED_RUN: Event = Event::new(223, log::Level::Warn, "run not placed there");
