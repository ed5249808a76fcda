//! The verdict on a request: may it have run?

use std::fmt;

use crate::macros;

macros::copy_types! {
    /// Whether a request that did not end with its answer may have run.
    pub enum Verdict {
        /// No task of the request was started, and none will be.
        NotRun,
        /// A task may have been started; nobody can tell any more.
        MayHaveRun,
        /// The request ran.
        Ran,
    }

    /// Why a request did not end with its answer. The numbers are part of the caller interface.
    pub enum Reason {
        /// The request is malformed.
        BadRequest,
        /// The token proves no client account, or not the one named.
        Forbidden,
        /// No such account, service, kind of work or request.
        Unknown,
        /// The key was used before with another request.
        KeyReused,
        /// The key's record is past its retention; whether it ran is no longer known.
        KeyExpired,
        /// The account or the system has no room for more requests now.
        Overloaded,
        /// Control can't be reached, or has no leader.
        NoControl,
        /// No set of workers could ever hold the declared shape.
        Unplaceable,
        /// The deadline passed before the request was started.
        DeadlinePassed,
        /// The caller cancelled the request.
        Cancelled,
        /// The backend servers reported failure at every permitted attempt.
        Failed,
        /// A worker was lost while the request ran, and the request may not be repeated.
        WorkerLost,
        /// The answer was longer than the kind of work permits, or failed its checksum.
        BadAnswer,
        /// This process is stopping; send the request again with the same key.
        Stopping,
        /// The ticket's number was used before with other content.
        TicketReused,
        /// The ticket's number is not above the one that last set an object it touches.
        TicketStale,
        /// The guarantees of the ticket can't all be packed onto the workers.
        GuaranteeUnpackable,
    }
}

impl Verdict {
    /// The word used towards callers.
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

    /// The reason's number, as callers see it and as it travels between processes.
    pub const fn number(self) -> u16 {
        self as u16 + 1
    }

    /// The reason with this number.
    pub fn from_number(number: u16) -> Option<Reason> {
        let index = usize::from(number).checked_sub(1)?;
        Self::ALL.get(index).copied()
    }

    /// A sentence for the caller.
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

    /// Whether the same request under the same key may be sent again with a hope of success.
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
    /// An end without an answer: why, and whether the request may have run.
    pub struct Refusal {
        /// Whether a task may have run.
        pub verdict: Verdict,
        /// Why there is no answer.
        pub reason: Reason,
        /// What a person should know besides: the faulty field, the largest that would fit.
        pub detail: String,
    }
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::NotRun, reason, detail: detail.into() }
    }

    /// A refusal of a request that may have run.
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
