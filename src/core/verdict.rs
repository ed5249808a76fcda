//! Verdicts on requests that end without an answer: whether a request may have run, and why it
//! ended.

use std::fmt;

use crate::macros;

macros::copy_types! {
    /// Whether a request that ended without an answer may have run.
    pub enum Verdict {
        /// No task of the request was started, and none will be.
        NotRun,
        /// A task may have been started; this can't be determined any more.
        MayHaveRun,
        /// The request ran.
        Ran,
    }

    /// The reason why a request ended without an answer. The numbers are part of the caller
    /// interface.
    pub enum Reason {
        /// The request is malformed.
        BadRequest,
        /// The token belongs to no client account, or not to the requested one.
        Forbidden,
        /// The account, service, kind of work or request does not exist.
        Unknown,
        /// The key was used before with another request.
        KeyReused,
        /// The record of the key is past its retention, so whether the request ran is unknown.
        KeyExpired,
        /// A queue limit or rate limit of the account or the system is reached.
        Overloaded,
        /// Control can't be reached or has no leader.
        NoControl,
        /// No set of workers could ever hold the declared shape.
        Unplaceable,
        /// The deadline passed before the request was started.
        DeadlinePassed,
        /// The caller cancelled the request.
        Cancelled,
        /// The backend servers reported a failure of every permitted attempt.
        Failed,
        /// A worker was lost while the request ran, and the request may not be repeated.
        WorkerLost,
        /// The answer was longer than the kind of work permits, or failed its checksum.
        BadAnswer,
        /// This process is stopping; send the request again with the same key.
        Stopping,
        /// The ticket's number was used before with other content.
        TicketReused,
        /// The ticket's number is not above that of the last ticket that set one of its objects.
        TicketStale,
        /// The guarantees of the ticket can't all be packed onto the workers at once.
        GuaranteeUnpackable,
    }
}

impl Verdict {
    /// The label that callers see.
    pub const fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Reason {
    /// Every reason, in the order of their numbers.
    pub const ALL: [Reason; 17] = [
        Reason::BadRequest,
        Reason::Forbidden,
        Reason::Unknown,
        Reason::KeyReused,
        Reason::KeyExpired,
        Reason::Overloaded,
        Reason::NoControl,
        Reason::Unplaceable,
        Reason::DeadlinePassed,
        Reason::Cancelled,
        Reason::Failed,
        Reason::WorkerLost,
        Reason::BadAnswer,
        Reason::Stopping,
        Reason::TicketReused,
        Reason::TicketStale,
        Reason::GuaranteeUnpackable,
    ];

    /// The number of the reason, as callers see it and as messages between processes carry it.
    pub const fn number(self) -> u16 {
        self as u16 + 1
    }

    /// The reason with a number; none if the number is unknown.
    pub fn from_number(number: u16) -> Option<Reason> {
        let index = usize::from(number).checked_sub(1)?;
        Self::ALL.get(index).copied()
    }

    /// The message for the caller.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::BadRequest => "the request is malformed",
            Reason::Forbidden => "the token does not permit this",
            Reason::Unknown => "no such account, service, kind of work or request",
            Reason::KeyReused => "the key was used before with another request",
            Reason::KeyExpired => "the key's record is past its retention",
            Reason::Overloaded => "no room for more requests now",
            Reason::NoControl => "control can't be reached or has no leader",
            Reason::Unplaceable => "no set of workers could ever hold the declared shape",
            Reason::DeadlinePassed => "the deadline passed before the request was started",
            Reason::Cancelled => "the caller cancelled the request",
            Reason::Failed => "every permitted attempt failed",
            Reason::WorkerLost => "a worker was lost while the request ran",
            Reason::BadAnswer => "the answer was too long or failed its checksum",
            Reason::Stopping => "this process is stopping",
            Reason::TicketReused => "the ticket's number was used before with other content",
            Reason::TicketStale => "a newer ticket has set an object of this ticket",
            Reason::GuaranteeUnpackable => "the guarantees can't be packed onto the workers",
        }
    }

    /// Whether a retry of the same request with the same key may succeed.
    pub const fn retryable(self) -> bool {
        matches!(self, Reason::Overloaded | Reason::NoControl | Reason::Stopping)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macros::value_types! {
    /// The end of a request without an answer.
    pub struct Refusal {
        /// Whether a task may have run.
        pub verdict: Verdict,
        /// The reason why the request has no answer.
        pub reason: Reason,
        /// Details for people, such as the invalid field or the largest shape that would fit.
        pub detail: String,
    }
}

impl Refusal {
    /// The refusal of a request that did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::NotRun, reason, detail: detail.into() }
    }

    /// The refusal of a request that may have run.
    pub fn may_have_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason, detail: detail.into() }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.verdict, self.reason)?;
        if !self.detail.is_empty() {
            write!(f, " ({})", self.detail)?;
        }
        Ok(())
    }
}

impl std::error::Error for Refusal {}
