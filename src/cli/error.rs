//! Why a subcommand failed, and its exit code.

use std::path;

use quick_error::quick_error;

use crate::entry::view;

/// Done.
pub const EXIT_OK: u8 = 0;
/// Failed in another way than the codes below tell.
pub const EXIT_FAILED: u8 = 1;
/// The arguments, a file or settings can't be used; nothing was sent.
pub const EXIT_USAGE: u8 = 2;
/// Refused: it did not run, or the ticket was not applied.
pub const EXIT_NOT_RUN: u8 = 3;
/// In doubt: it may have run, or the ticket may have been applied.
pub const EXIT_MAY_HAVE_RUN: u8 = 4;
/// It ran, but there is no answer.
pub const EXIT_RAN: u8 = 5;
/// The entry can't be reached; nothing was sent.
pub const EXIT_UNREACHABLE: u8 = 6;
/// The request has not ended yet.
pub const EXIT_PENDING: u8 = 7;

quick_error! {
    /// Why a subcommand failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file can't be read or written.
        File(file: path::PathBuf, source: std::io::Error) {
            display("{}: {}", file.display(), source)
            source(source)
        }
        /// The arguments can't be used.
        Usage(detail: String) {
            display("{}", detail)
        }
        /// Settings were refused.
        Settings(file: path::PathBuf, source: crate::settings::Error) {
            display("{}: {}", file.display(), source)
            source(source)
        }
        /// The entry can't be reached.
        Unreachable(url: String, detail: String) {
            display("can't reach the entry at {}: {}; check --entry, or try another entry host",
                    url, detail)
        }
        /// The request was sent, but the response did not arrive whole.
        Unanswered(detail: String) {
            display("sent, but not answered: {}; run the same command again: the key or number \
                     makes that safe", detail)
        }
        /// The entry refused.
        Refused(status: u16, refusal: view::Refusal) {
            display("{}: {}{}{}", refusal.verdict, refusal.message, detail(refusal), advice(refusal))
        }
        /// The entry answered with something that is no refusal.
        Response(status: u16, detail: String) {
            display("unexpected response with status {}: {}", status, detail)
        }
        /// The request has not ended.
        Pending(phase: String) {
            display("the request has not ended: {}; wait with --wait or ask again", phase)
        }
        /// No line of the logs names the request.
        Untold(id: String) {
            display("no line names {}; give the logs of all entries, control replicas and agents", id)
        }
        /// The demo failed.
        Demo(detail: String) {
            display("the demo failed: {}", detail)
        }
        /// The stand-in backend server failed.
        StandIn(detail: String) {
            display("the stand-in failed: {}", detail)
        }
        /// Anything of the system.
        System(source: std::io::Error) {
            display("{}", source)
            source(source)
            from()
        }
    }
}

fn detail(refusal: &view::Refusal) -> String {
    match refusal.detail.as_str() {
        "" => String::new(),
        detail => format!(" ({detail})"),
    }
}

fn advice(refusal: &view::Refusal) -> &'static str {
    if refusal.retryable { "; it may be sent again under the same key or number" } else { "" }
}

impl Error {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            Error::File(..) | Error::Usage(_) | Error::Settings(..) => EXIT_USAGE,
            Error::Unreachable(..) => EXIT_UNREACHABLE,
            Error::Unanswered(_) => EXIT_MAY_HAVE_RUN,
            Error::Refused(_, refusal) => verdict_code(&refusal.verdict),
            Error::Pending(_) => EXIT_PENDING,
            Error::Response(..)
            | Error::Untold(_)
            | Error::Demo(_)
            | Error::StandIn(_)
            | Error::System(_) => EXIT_FAILED,
        }
    }
}

/// The exit code of a verdict.
pub fn verdict_code(verdict: &str) -> u8 {
    match verdict {
        "not-run" => EXIT_NOT_RUN,
        "ran" => EXIT_RAN,
        _ => EXIT_MAY_HAVE_RUN,
    }
}
