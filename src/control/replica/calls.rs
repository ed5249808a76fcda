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
    closed: bool,
}

impl Calls {
    /// Queues an input.
    pub(super) fn push(&mut self, input: message::Input) {
        self.inputs.push(input);
    }

    pub(super) fn propose(&mut self, command: Bytes) -> Answered<Vec<u8>> {
        let (answer, answered) = oneshot::channel();
        if let Some(refusal) = self.refusal(self.commands.len()) {
            let _ = answer.send(Err(refusal));
            return answered;
        }
        let token = self.token();
        self.commands.push((token, command));
        self.proposed.insert(token, answer);
        answered
    }

    pub(super) fn read(&mut self) -> Answered<()> {
        let (answer, answered) = oneshot::channel();
        if let Some(refusal) = self.refusal(self.reads.len()) {
            let _ = answer.send(Err(refusal));
            return answered;
        }
        let token = self.token();
        self.queued_reads.push(token);
        self.reads.insert(token, answer);
        answered
    }

    pub(super) fn reconfigure(&mut self, membership: entry::Membership) -> Answered<Vec<u8>> {
        let (answer, answered) = oneshot::channel();
        if let Some(refusal) = self.refusal(0) {
            let _ = answer.send(Err(refusal));
            return answered;
        }
        let token = self.token();
        self.inputs.push(message::Input::Reconfigure { token, membership });
        self.proposed.insert(token, answer);
        answered
    }

    /// Why a call can't be taken while so many wait.
    fn refusal(&self, waiting: usize) -> Option<machine::ProposeError> {
        match self.closed {
            true => Some(machine::ProposeError::NotLeader),
            false => (waiting >= QUEUE).then_some(machine::ProposeError::Busy),
        }
    }

    /// Takes no more calls; those that wait learn nothing more.
    pub(super) fn close(&mut self) {
        self.stood_down();
        *self = Self { closed: true, ..Self::default() };
    }

    fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    /// Takes what waits: other inputs first, then reads together, then proposals, together or, if
    /// they are not to be `grouped`, one by one.
    pub(super) fn take(&mut self, grouped: bool) -> Vec<message::Input> {
        let mut inputs = std::mem::take(&mut self.inputs);
        let reads = std::mem::take(&mut self.queued_reads);
        if !reads.is_empty() {
            inputs.push(message::Input::Read(reads));
        }
        let mut commands = std::mem::take(&mut self.commands);
        let size = if grouped { QUEUE } else { 1 };
        while !commands.is_empty() {
            let rest = commands.split_off(size.min(commands.len()));
            inputs.push(message::Input::Propose(commands));
            commands = rest;
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
