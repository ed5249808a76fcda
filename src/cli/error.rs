//! Errors of subcommands, and their exit codes.

use std::path;

use quick_error::quick_error;

use crate::entry::view;

/// The command succeeded.
pub const EXIT_OK: u8 = 0;
/// The command failed for a reason that no other code describes.
pub const EXIT_FAILED: u8 = 1;
/// The arguments, a file or the settings are invalid; nothing was sent.
pub const EXIT_USAGE: u8 = 2;
/// The request was refused and did not run, or the ticket was not applied.
pub const EXIT_NOT_RUN: u8 = 3;
/// The outcome is unknown: the request may have run, or the ticket may have been applied.
pub const EXIT_MAY_HAVE_RUN: u8 = 4;
/// The request ran, but its answer is not available.
pub const EXIT_RAN: u8 = 5;
/// The entry can't be reached; nothing was sent.
pub const EXIT_UNREACHABLE: u8 = 6;
/// The request has not ended yet.
pub const EXIT_PENDING: u8 = 7;

quick_error! {
    /// An error of a subcommand.
    #[derive(Debug)]
    pub enum Error {
        /// A file can't be read or written.
        File(file: path::PathBuf, source: std::io::Error) {
            display("{}: {}", file.display(), source)
            source(source)
        }
        /// The arguments are invalid.
        Usage(detail: String) {
            display("{}", detail)
        }
        /// A settings file is invalid.
        Settings(file: path::PathBuf, source: crate::settings::Error) {
            display("{}: {}", file.display(), source)
            source(source)
        }
        /// The entry can't be reached.
        Unreachable(url: String, detail: String) {
            display("can't reach the entry at {}: {}; check --entry, or try another entry host",
                    url, detail)
        }
        /// The request was sent, but no complete response arrived.
        Unanswered(detail: String) {
            display("sent, but not answered: {}; run the same command again: the key or number \
                     makes that safe", detail)
        }
        /// The entry refused the request.
        Refused(status: u16, refusal: view::Refusal) {
            display("{}: {}{}{}", refusal.verdict, refusal.message, detail(refusal), advice(refusal))
        }
        /// The entry sent a response that is neither the expected one nor a refusal.
        Response(status: u16, detail: String) {
            display("unexpected response with status {}: {}", status, detail)
        }
        /// The request has not ended.
        Pending(phase: String) {
            display("the request has not ended: {}; wait with --wait or ask again", phase)
        }
        /// No line of the logs belongs to the request.
        NotInLogs(id: String) {
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
        /// Another I/O error, such as of standard output.
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
    /// The exit code for the error.
    pub fn code(&self) -> u8 {
        match self {
            Error::File(..) | Error::Usage(_) | Error::Settings(..) => EXIT_USAGE,
            Error::Unreachable(..) => EXIT_UNREACHABLE,
            Error::Unanswered(_) => EXIT_MAY_HAVE_RUN,
            Error::Refused(_, refusal) => verdict_code(&refusal.verdict),
            Error::Pending(_) => EXIT_PENDING,
            Error::Response(..)
            | Error::NotInLogs(_)
            | Error::Demo(_)
            | Error::StandIn(_)
            | Error::System(_) => EXIT_FAILED,
        }
    }
}

/// The exit code for a refusal's verdict; a verdict that is unknown here counts as in doubt.
pub fn verdict_code(verdict: &str) -> u8 {
    match verdict {
        "not-run" => EXIT_NOT_RUN,
        "ran" => EXIT_RAN,
        _ => EXIT_MAY_HAVE_RUN,
    }
}
