//! Inputs that wait for their turn, and callers who wait for an answer.

use std::collections::BTreeMap;

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::control::machine;
use crate::core::consensus::entry;
use crate::core::consensus::message;
use crate::core::ids;

/// Reads or proposals that may wait.
const QUEUE: usize = 8192;

type Answer<T> = oneshot::Sender<Result<T, machine::ProposeError>>;

/// Where a caller gets its answer.
pub(super) type Answered<T> = oneshot::Receiver<Result<T, machine::ProposeError>>;

/// Inputs that wait for their turn, and callers who wait for an answer.
#[derive(Default)]
pub(super) struct Calls {
    inputs: Vec<message::Input>,
    commands: Vec<(u64, Bytes)>,
    queued_reads: Vec<u64>,
    next_token: u64,
    /// Proposals, by token until they have a place in the log.
    proposed: BTreeMap<u64, Answer<Vec<u8>>>,
    /// Proposals in the log, with the term they were accepted in.
    accepted: BTreeMap<ids::LogIndex, (ids::Term, Answer<Vec<u8>>)>,
    reads: BTreeMap<u64, Answer<()>>,
}

impl Calls {
    /// Queues an input.
    pub(super) fn push(&mut self, input: message::Input) {
        self.inputs.push(input);
    }

    pub(super) fn propose(&mut self, command: Bytes) -> Answered<Vec<u8>> {
        let (answer, answered) = oneshot::channel();
        if self.commands.len() >= QUEUE {
            let _ = answer.send(Err(machine::ProposeError::Busy));
            return answered;
        }
        let token = self.token();
        self.commands.push((token, command));
        self.proposed.insert(token, answer);
        answered
    }

    pub(super) fn read(&mut self) -> Answered<()> {
        let (answer, answered) = oneshot::channel();
        if self.reads.len() >= QUEUE {
            let _ = answer.send(Err(machine::ProposeError::Busy));
            return answered;
        }
        let token = self.token();
        self.queued_reads.push(token);
        self.reads.insert(token, answer);
        answered
    }

    pub(super) fn reconfigure(&mut self, membership: entry::Membership) -> Answered<Vec<u8>> {
        let (answer, answered) = oneshot::channel();
        let token = self.token();
        self.inputs.push(message::Input::Reconfigure { token, membership });
        self.proposed.insert(token, answer);
        answered
    }

    fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    /// Takes what waits: other inputs first, then reads, then proposals, each kind together.
    pub(super) fn take(&mut self) -> Vec<message::Input> {
        let mut inputs = std::mem::take(&mut self.inputs);
        let reads = std::mem::take(&mut self.queued_reads);
        if !reads.is_empty() {
            inputs.push(message::Input::Read(reads));
        }
        let commands = std::mem::take(&mut self.commands);
        if !commands.is_empty() {
            inputs.push(message::Input::Propose(commands));
        }
        inputs
    }

    /// A proposal has its place in the log.
    pub(super) fn accepted(&mut self, token: u64, index: ids::LogIndex, term: ids::Term) {
        if let Some(answer) = self.proposed.remove(&token) {
            self.accepted.insert(index, (term, answer));
        }
    }

    pub(super) fn refused(&mut self, token: u64, reason: message::Refusal) {
        let refusal = || match reason {
            message::Refusal::NotLeader => machine::ProposeError::NotLeader,
            message::Refusal::Busy => machine::ProposeError::Busy,
        };
        if let Some(answer) = self.proposed.remove(&token) {
            let _ = answer.send(Err(refusal()));
        }
        if let Some(answer) = self.reads.remove(&token) {
            let _ = answer.send(Err(refusal()));
        }
    }

    /// A read is confirmed.
    pub(super) fn ready(&mut self, token: u64) {
        if let Some(answer) = self.reads.remove(&token) {
            let _ = answer.send(Ok(()));
        }
    }

    /// An entry is applied. Its proposer hears of it, unless another leader's entry is there.
    pub(super) fn applied(&mut self, index: ids::LogIndex, term: ids::Term, answer: Vec<u8>) {
        if let Some((accepted, waiter)) = self.accepted.remove(&index) {
            let same = accepted == term;
            let _ = waiter.send(same.then_some(answer).ok_or(machine::ProposeError::Unknown));
        }
    }

    /// Nobody here will learn what becomes of the proposals in the log.
    pub(super) fn stood_down(&mut self) {
        for (_, answer) in std::mem::take(&mut self.accepted).into_values() {
            let _ = answer.send(Err(machine::ProposeError::Unknown));
        }
        // Reads that are queued still have their turn before them.
        let queued = &self.queued_reads;
        let lost = self.reads.extract_if(.., |token, _| !queued.contains(token));
        for (_, answer) in lost {
            let _ = answer.send(Err(machine::ProposeError::NotLeader));
        }
    }
}
