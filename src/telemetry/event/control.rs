//! Events of control.

use crate::telemetry::event::Event;

/// Every event of this range.
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
    RUNNER_CONNECTED,
    RUNNER_LEFT,
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
    STEP_PASSED,
    LIFE_OVER,
    STRANGER,
];

/// A committed entry can't be decoded; it was written by another version.
pub const ENTRY_UNREADABLE: Event = Event::new(200, log::Level::Error, "log entry unreadable");
/// This replica begins to lead.
pub const LEADING: Event = Event::new(201, log::Level::Info, "leading");
/// This replica no longer leads.
pub const NOT_LEADING: Event = Event::new(202, log::Level::Warn, "no longer leading");
/// A worker has a lease epoch and may get work.
pub const WORKER_REGISTERED: Event = Event::new(203, log::Level::Info, "worker registered");
/// A worker's lease has run out.
pub const WORKER_LOST: Event = Event::new(204, log::Level::Warn, "worker lost");
/// A process of another version or cell was turned away.
pub const SESSION_REFUSED: Event = Event::new(205, log::Level::Warn, "session refused");
/// The members of the control group are being changed.
pub const REPLICAS_CHANGING: Event = Event::new(206, log::Level::Info, "replicas changing");
/// A ticket was accepted.
pub const TICKET_ACCEPTED: Event = Event::new(207, log::Level::Info, "ticket accepted");
/// A ticket was refused.
pub const TICKET_REFUSED: Event = Event::new(208, log::Level::Warn, "ticket refused");
/// The agent beside a worker of workflows has opened a session.
pub const RUNNER_CONNECTED: Event = Event::new(209, log::Level::Info, "agent connected");
/// A session of such an agent has ended.
pub const RUNNER_LEFT: Event = Event::new(210, log::Level::Info, "agent's session ended");
/// A workflow is accepted and durable.
pub const JOB_ACCEPTED: Event = Event::new(211, log::Level::Info, "job accepted");
/// A workflow is cancelled, or had ended before.
pub const JOB_CANCELLED: Event = Event::new(212, log::Level::Info, "job cancelled");
/// A configuration of workflows is durable, or overtaken by a higher version.
pub const CONFIGURED: Event = Event::new(213, log::Level::Info, "configuration accepted");
/// A place for a task of a workflow is proposed.
pub const TASK_PLACED: Event = Event::new(214, log::Level::Info, "task placed");
/// The end of a run of a task is proposed.
pub const RUN_ENDED: Event = Event::new(215, log::Level::Info, "run ended");
/// Leadership was lost while a decision was on its way into the log.
pub const PROPOSAL_LOST: Event = Event::new(216, log::Level::Warn, "proposal lost");
/// An agent does not read its orders fast enough.
pub const ORDER_DROPPED: Event = Event::new(217, log::Level::Warn, "order dropped");
/// A workflow is completed, failed or cancelled.
pub const JOB_ENDED: Event = Event::new(218, log::Level::Info, "job ended");
/// A run of a task is to stop, and why.
pub const RUN_STOPPING: Event = Event::new(219, log::Level::Info, "run to be stopped");
/// A submission or a cancel was refused, by a version of the configuration.
pub const JOB_REFUSED: Event = Event::new(220, log::Level::Info, "job refused");
/// A step has waited for long while others were served.
pub const STEP_PASSED: Event = Event::new(221, log::Level::Info, "step passed over");
/// A life of a worker of workflows is over, and its runs are lost.
pub const LIFE_OVER: Event = Event::new(222, log::Level::Info, "life of a worker over");
/// A worker lists a run that was not placed there; it is stopped.
pub const STRANGER: Event = Event::new(223, log::Level::Warn, "run not placed there");
