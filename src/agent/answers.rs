//! Answers that the agent has fetched and keeps until control has stored them.

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

/// Bytes of answers that are kept at once; further ones wait at the backend server.
const BUDGET: usize = 16 * 1024 * 1024;

/// Bytes that one permit of the budget stands for.
const PERMIT: usize = 1024;

/// How often fetching an answer is tried.
const FETCH_TRIES: u32 = 3;

/// The pause between two tries.
const FETCH_PAUSE: time::Duration = time::Duration::from_millis(200);

/// How long the next bytes of an answer may take.
const PIECE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Messages that may wait on the session before the next chunk is added, so that heartbeats do not
/// wait behind a long answer.
const QUEUED: usize = 4;

/// The pause before the session's queue is looked at again.
const QUEUE_PAUSE: time::Duration = time::Duration::from_millis(2);

struct Kept {
    bytes: Bytes,
    _permit: tokio::sync::OwnedSemaphorePermit,
}

/// The kept answers, by attempt.
#[derive(Clone)]
pub struct Answers {
    kept: rc::Rc<cell::RefCell<BTreeMap<ids::AttemptKey, Kept>>>,
    budget: sync::Arc<tokio::sync::Semaphore>,
}

impl Default for Answers {
    fn default() -> Self {
        Self {
            kept: rc::Rc::default(),
            budget: sync::Arc::new(tokio::sync::Semaphore::new(BUDGET / PERMIT)),
        }
    }
}

impl Answers {
    /// Drops the answer of an attempt.
    pub fn drop(&self, attempt: ids::AttemptKey) {
        self.kept.borrow_mut().remove(&attempt);
    }

    /// Fetches an answer once there is room for it, and keeps it if it is whole.
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
        let permits = (meta.length as usize).div_ceil(PERMIT) as u32;
        let Ok(permit) = self.budget.clone().acquire_many_owned(permits).await else {
            return state::FetchOutcome::Lost("the agent is stopping".to_owned());
        };
        let mut tries = 0;
        loop {
            tries += 1;
            let failed = match fetch_once(&client, task, &meta).await {
                Ok(bytes) => {
                    let kept = Kept { bytes, _permit: permit };
                    self.kept.borrow_mut().insert(task.attempt, kept);
                    return state::FetchOutcome::Complete(meta);
                }
                Err(failed) => failed,
            };
            if tries == FETCH_TRIES {
                return failed;
            }
            tokio::time::sleep(FETCH_PAUSE).await;
        }
    }

    fn chunk(&self, attempt: ids::AttemptKey, offset: usize) -> Option<Bytes> {
        let kept = self.kept.borrow();
        let bytes = &kept.get(&attempt)?.bytes;
        (offset < bytes.len())
            .then(|| bytes.slice(offset..bytes.len().min(offset + job::CHUNK_BYTES)))
    }

    /// Sends the kept answer in chunks, then the attempt's end. False if the session ended before,
    /// or the answer was dropped.
    pub async fn deliver(
        &self,
        sender: stream::Sender<agent::ClientMessage>,
        attempt: ids::AttemptKey,
        meta: common::AnswerMeta,
    ) -> bool {
        let mut offset = 0;
        while let Some(bytes) = self.chunk(attempt, offset) {
            while sender.queued() >= QUEUED {
                tokio::time::sleep(QUEUE_PAUSE).await;
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

/// Reads an answer and holds it against what the backend server promised.
async fn fetch_once(
    client: &backend::Client,
    task: contract::TaskKey,
    meta: &common::AnswerMeta,
) -> Result<Bytes, state::FetchOutcome> {
    let bad = |detail: &str| state::FetchOutcome::Invalid(format!("bad answer: {detail}"));
    let answer = client.answer(task).await.map_err(state::FetchOutcome::Lost)?;
    if !answer.named {
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
    // Piece by piece, so that a long answer does not hold up a heartbeat.
    let mut sha256 = sha2::Sha256::new();
    loop {
        let piece = match tokio::time::timeout(PIECE_TIMEOUT, body.next()).await {
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
