//! Answers that the agent has fetched and holds until control has stored them.

use std::cell;
use std::collections::BTreeMap;
use std::rc;
use std::sync;
use std::time;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt as _;
use sha2::Digest as _;

use crate::agent::backend;
use crate::agent::contract;
use crate::agent::state;
use crate::core::ids;
use crate::core::ledger::job;
use crate::net::stream;
use crate::wire::agent;
use crate::wire::common;

/// Bytes of answers held at once; further answers wait at the backend server.
const BUDGET_BYTES: usize = 16 * 1024 * 1024;

/// Bytes of the budget that one permit covers.
const PERMIT_BYTES: usize = 1024;

/// Attempts to fetch an answer.
const FETCH_TRIES: u32 = 3;

/// Delay between two attempts to fetch an answer.
const FETCH_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// How long to wait for the next bytes of an answer.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Limit of messages queued on the session; a further chunk waits until fewer are queued, so that
/// heartbeats do not wait behind a long answer.
const MAX_QUEUED_MESSAGES: usize = 4;

/// Interval at which a full session queue is polled.
const QUEUE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(2);

/// An answer in memory with its share of the budget.
struct StoredAnswer {
    bytes: Bytes,
    _permit: tokio::sync::OwnedSemaphorePermit,
}

/// The held answers, by attempt.
#[derive(Clone)]
pub struct Answers {
    stored: rc::Rc<cell::RefCell<BTreeMap<ids::AttemptKey, StoredAnswer>>>,
    budget: sync::Arc<tokio::sync::Semaphore>,
}

impl Default for Answers {
    fn default() -> Self {
        Self {
            stored: rc::Rc::default(),
            budget: sync::Arc::new(tokio::sync::Semaphore::new(BUDGET_BYTES / PERMIT_BYTES)),
        }
    }
}

impl Answers {
    /// Drops the answer of an attempt.
    pub fn drop(&self, attempt: ids::AttemptKey) {
        self.stored.borrow_mut().remove(&attempt);
    }

    /// Fetches an answer once the budget allows it, and holds it if it is complete.
    pub async fn fetch(
        &self,
        client: backend::Shared,
        task: contract::TaskKey,
        meta: common::AnswerMeta,
        limit: u64,
    ) -> state::FetchOutcome {
        if meta.length > limit.min(job::MAX_ANSWER_BYTES) {
            let detail = format!("the answer has {} bytes; {limit} are allowed", meta.length);
            return state::FetchOutcome::Invalid(detail);
        }
        let permits = (meta.length as usize).div_ceil(PERMIT_BYTES) as u32;
        let Ok(permit) = self.budget.clone().acquire_many_owned(permits).await else {
            return state::FetchOutcome::Lost("the agent is stopping".to_owned());
        };
        let mut tries = 0;
        loop {
            tries += 1;
            let failed = match fetch_once(&client, task, &meta).await {
                Ok(bytes) => {
                    let stored = StoredAnswer { bytes, _permit: permit };
                    self.stored.borrow_mut().insert(task.attempt, stored);
                    return state::FetchOutcome::Complete(meta);
                }
                Err(failed) => failed,
            };
            if tries == FETCH_TRIES {
                return failed;
            }
            tokio::time::sleep(FETCH_RETRY_DELAY).await;
        }
    }

    fn chunk(&self, attempt: ids::AttemptKey, offset: usize) -> Option<Bytes> {
        let stored = self.stored.borrow();
        let bytes = &stored.get(&attempt)?.bytes;
        (offset < bytes.len())
            .then(|| bytes.slice(offset..bytes.len().min(offset + job::CHUNK_BYTES)))
    }

    /// Sends the held answer in chunks, then the attempt's end. Returns false if the session ended
    /// before that, or the answer was dropped.
    pub async fn deliver(
        &self,
        sender: stream::Sender<agent::ClientMessage>,
        attempt: ids::AttemptKey,
        meta: common::AnswerMeta,
    ) -> bool {
        let mut offset = 0;
        while let Some(bytes) = self.chunk(attempt, offset) {
            while sender.queued() >= MAX_QUEUED_MESSAGES {
                tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
            }
            let chunk = agent::ClientMessage::Chunk {
                attempt: attempt.into(),
                offset: offset as u64,
                bytes: bytes.to_vec(),
            };
            offset += bytes.len();
            if !sender.send(&chunk).await {
                return false;
            }
        }
        if offset as u64 != meta.length {
            return false;
        }
        let result = agent::TaskResult::Done(Some(meta));
        sender.send(&agent::ClientMessage::Ended { attempt: attempt.into(), result }).await
    }
}

/// Reads an answer and checks it against the length and checksum that the backend server reported.
async fn fetch_once(
    client: &backend::Client,
    task: contract::TaskKey,
    meta: &common::AnswerMeta,
) -> Result<Bytes, state::FetchOutcome> {
    let bad = |detail: &str| state::FetchOutcome::Invalid(format!("bad answer: {detail}"));
    let answer = client.answer(task).await.map_err(state::FetchOutcome::Lost)?;
    if !answer.is_for_task {
        return Err(bad("it names another task"));
    }
    if answer.status == awc::http::StatusCode::NOT_FOUND {
        return Err(state::FetchOutcome::Lost("the backend server has lost the answer".to_owned()));
    }
    if !answer.status.is_success() {
        return Err(bad(&format!("status {}", answer.status)));
    }
    let mut body = answer.body;
    let mut bytes = BytesMut::with_capacity(meta.length as usize);
    // Hashed incrementally, so that a long answer does not delay a heartbeat.
    let mut sha256 = sha2::Sha256::new();
    loop {
        let piece = match tokio::time::timeout(READ_TIMEOUT, body.next()).await {
            Ok(Some(Ok(piece))) => piece,
            Ok(None) => break,
            Ok(Some(Err(error))) => return Err(state::FetchOutcome::Lost(error.to_string())),
            Err(_) => return Err(state::FetchOutcome::Lost("the answer stalled".to_owned())),
        };
        if (bytes.len() + piece.len()) as u64 > meta.length {
            return Err(bad("it is longer than promised"));
        }
        sha256.update(&piece);
        bytes.extend_from_slice(&piece);
    }
    if bytes.len() as u64 != meta.length {
        return Err(bad("it is shorter than promised"));
    }
    if <[u8; 32]>::from(sha256.finalize()) != meta.sha256 {
        return Err(bad("its checksum does not match"));
    }
    Ok(bytes.freeze())
}
