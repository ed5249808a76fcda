//! Streaming of an answer, such that a client never takes a partial answer for a complete one.
//!
//! Chunks must be contiguous. The last chunk is sent only if the checksum of the whole answer
//! matches; otherwise the body ends before its declared length and the connection closes.

use std::io;
use std::rc;

use actix_http::StatusCode;
use actix_http::body;
use actix_http::header;
use futures_util::stream;
use sha2::Digest as _;

use crate::core::verdict;
use crate::entry::caller;
use crate::entry::document;
use crate::entry::link;
use crate::entry::reply;
use crate::entry::session;
use crate::entry::state;
use crate::net::http;
use crate::telemetry::event;
use crate::telemetry::trace;
use crate::wire::common;
use crate::wire::entry as wire;

/// The header with the answer's SHA-256 digest in hexadecimal.
pub const DIGEST_HEADER: &str = "hemlockcleat-sha256";

/// The most consecutive faults, without a byte of progress, before the stream of an answer is
/// aborted.
const MAX_CONSECUTIVE_FAULTS: u32 = 4;

/// The response that streams the answer of a finished job.
pub fn respond(
    state: &rc::Rc<state::State>,
    target: &caller::Target,
    job: &wire::Job,
    meta: &common::AnswerMeta,
    hop: &trace::Hop,
) -> http::Response {
    if meta.length == 0 && meta.sha256 != <[u8; 32]>::from(sha2::Sha256::digest([])) {
        let refusal = verdict::Refusal {
            verdict: verdict::Verdict::Ran,
            reason: verdict::Reason::BadAnswer,
            detail: "empty, against its checksum".to_owned(),
        };
        return reply::refused(&refusal);
    }
    let reader = Reader {
        state: state.clone(),
        hop: hop.clone(),
        request: (target.account.clone(), target.key.clone()),
        job: job.job,
        meta: meta.clone(),
        offset: 0,
        hash: sha2::Sha256::new(),
        exchange: None,
        faults: 0,
        deadline: tokio::time::Instant::now() + state.call_timeout(),
    };
    let body =
        body::SizedStream::new(meta.length, Box::pin(stream::unfold(Some(reader), next_item)));
    let mut response = actix_http::Response::build(StatusCode::OK);
    response.insert_header((header::CONTENT_TYPE, "application/octet-stream"));
    response.insert_header((header::CACHE_CONTROL, "no-store"));
    response.insert_header((header::X_CONTENT_TYPE_OPTIONS, "nosniff"));
    response.insert_header((DIGEST_HEADER, document::hex(&meta.sha256)));
    response.body(body).map_into_boxed_body()
}

/// Returns the next item of the body's stream.
async fn next_item(reader: Option<Reader>) -> Option<(io::Result<bytes::Bytes>, Option<Reader>)> {
    let mut reader = reader?;
    if reader.offset == reader.meta.length {
        return None;
    }
    match reader.next().await {
        Ok(bytes) => Some((Ok(bytes), Some(reader))),
        Err(detail) => {
            let (job, offset) = (reader.job, reader.offset);
            event::entry::ANSWER_TRUNCATED
                .log(format_args!("job={job} offset={offset} error={detail}"));
            Some((Err(io::Error::other(detail)), None))
        }
    }
}

/// The result of reading one chunk.
enum ChunkOutcome {
    Valid(Vec<u8>),
    Fault(&'static str),
}

/// Reads one answer from control and resumes at the current offset after a fault.
struct Reader {
    state: rc::Rc<state::State>,
    hop: trace::Hop,
    request: (String, String),
    job: u64,
    meta: common::AnswerMeta,
    offset: u64,
    hash: sha2::Sha256,
    exchange: Option<session::Exchange>,
    faults: u32,
    /// The deadline for the next bytes.
    deadline: tokio::time::Instant,
}

impl Reader {
    /// Returns the next bytes. The last bytes are returned only if the answer's checksum matches.
    async fn next(&mut self) -> Result<bytes::Bytes, &'static str> {
        // The time starts here, so that a slow client does not use it up.
        self.deadline = tokio::time::Instant::now() + self.state.call_timeout();
        loop {
            match self.next_chunk().await? {
                ChunkOutcome::Valid(bytes) => return self.accept(bytes),
                ChunkOutcome::Fault(detail) => self.count_fault(detail)?,
            }
        }
    }

    fn accept(&mut self, bytes: Vec<u8>) -> Result<bytes::Bytes, &'static str> {
        self.faults = 0;
        self.hash.update(&bytes);
        self.offset += bytes.len() as u64;
        let complete = self.offset == self.meta.length;
        if complete && self.hash.clone().finalize().as_slice() != self.meta.sha256 {
            return Err("the checksum does not match");
        }
        Ok(bytes.into())
    }

    fn count_fault(&mut self, detail: &'static str) -> Result<(), &'static str> {
        self.exchange = None;
        self.faults += 1;
        if self.faults > MAX_CONSECUTIVE_FAULTS { Err(detail) } else { Ok(()) }
    }

    async fn next_chunk(&mut self) -> Result<ChunkOutcome, &'static str> {
        if self.exchange.is_none() {
            self.exchange = Some(self.start_exchange().await?);
        }
        let exchange = self.exchange.as_mut().ok_or("no call")?;
        let limit = self.deadline.min(tokio::time::Instant::now() + link::REPLY_TIMEOUT);
        let reply = match tokio::time::timeout_at(limit, exchange.reply()).await {
            Ok(Some(reply)) => reply,
            // The session ended, or the client read too slowly: resume at the current offset.
            Ok(None) => return Ok(ChunkOutcome::Fault("the answer breaks off")),
            Err(_) if limit < self.deadline => {
                self.state.link.end_silent_session();
                return Ok(ChunkOutcome::Fault("control is silent"));
            }
            Err(_) => return Err("control stopped sending"),
        };
        let wire::Reply::Chunk { offset, bytes, last } = reply else {
            return Ok(ChunkOutcome::Fault("control refused the answer"));
        };
        let end = offset.saturating_add(bytes.len() as u64);
        if offset != self.offset || bytes.is_empty() || end > self.meta.length {
            return Ok(ChunkOutcome::Fault("a chunk does not follow the one before"));
        }
        if last != (end == self.meta.length) {
            return Ok(ChunkOutcome::Fault("the answer has another length"));
        }
        Ok(ChunkOutcome::Valid(bytes))
    }

    async fn start_exchange(&self) -> Result<session::Exchange, &'static str> {
        let (account, key) = self.request.clone();
        let body = wire::Call::Answer { account, key, offset: self.offset };
        // Each exchange asks for other bytes, so none counts as a retry in the retry budget;
        // `MAX_CONSECUTIVE_FAULTS` bounds exchanges after faults.
        let mut unanswered = link::Unanswered { sent: false };
        let trace = self.hop.context().into();
        let exchange =
            self.state.link.exchange(&trace, &body, self.deadline, &mut unanswered).await;
        exchange.map_err(|_| "control can't be reached")
    }
}
