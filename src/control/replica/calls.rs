//! Queued inputs of the consensus core, and callers that wait for results.

use std::collections::BTreeMap;

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::control::machine;
use crate::core::consensus::entry;
use crate::core::consensus::message;
use crate::core::ids;

/// Maximum number of reads, and of proposals, that may wait.
const MAX_QUEUED_CALLS: usize = 8192;

/// Sends the result of a call to its caller.
type ResultSender<T> = oneshot::Sender<Result<T, machine::ProposeError>>;

/// Receives the result of a call.
pub(super) type ResultReceiver<T> = oneshot::Receiver<Result<T, machine::ProposeError>>;

/// Queued inputs of the consensus core, and callers that wait for results.
#[derive(Default)]
pub(super) struct Calls {
    inputs: Vec<message::Input>,
    commands: Vec<(u64, Bytes)>,
    queued_reads: Vec<u64>,
    next_token: u64,
    /// Proposals by token, until they have an index in the log.
    proposed: BTreeMap<u64, ResultSender<Vec<u8>>>,
    /// Proposals in the log, with the term in which they were accepted.
    accepted: BTreeMap<ids::LogIndex, (ids::Term, ResultSender<Vec<u8>>)>,
    reads: BTreeMap<u64, ResultSender<()>>,
    closed: bool,
}

impl Calls {
    /// Queues an input.
    pub(super) fn push(&mut self, input: message::Input) {
        self.inputs.push(input);
    }

    pub(super) fn propose(&mut self, command: Bytes) -> ResultReceiver<Vec<u8>> {
        let (sender, receiver) = oneshot::channel();
        if let Some(refusal) = self.refusal(self.commands.len()) {
            let _ = sender.send(Err(refusal));
            return receiver;
        }
        let token = self.new_token();
        self.commands.push((token, command));
        self.proposed.insert(token, sender);
        receiver
    }

    pub(super) fn read(&mut self) -> ResultReceiver<()> {
        let (sender, receiver) = oneshot::channel();
        if let Some(refusal) = self.refusal(self.reads.len()) {
            let _ = sender.send(Err(refusal));
            return receiver;
        }
        let token = self.new_token();
        self.queued_reads.push(token);
        self.reads.insert(token, sender);
        receiver
    }

    pub(super) fn reconfigure(&mut self, membership: entry::Membership) -> ResultReceiver<Vec<u8>> {
        let (sender, receiver) = oneshot::channel();
        if let Some(refusal) = self.refusal(0) {
            let _ = sender.send(Err(refusal));
            return receiver;
        }
        let token = self.new_token();
        self.inputs.push(message::Input::Reconfigure { token, membership });
        self.proposed.insert(token, sender);
        receiver
    }

    /// The error of a new call if the calls are closed or too many are waiting.
    fn refusal(&self, waiting: usize) -> Option<machine::ProposeError> {
        match self.closed {
            true => Some(machine::ProposeError::NotLeader),
            false => (waiting >= MAX_QUEUED_CALLS).then_some(machine::ProposeError::Busy),
        }
    }

    /// Rejects further calls. Waiting calls fail as in [`Calls::stepped_down`] or are dropped, which
    /// leaves their outcome unknown to the callers.
    pub(super) fn close(&mut self) {
        self.stepped_down();
        *self = Self { closed: true, ..Self::default() };
    }

    fn new_token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    /// Takes the queued inputs: reads and proposals come last, the reads as one input, the proposals
    /// as one with `group_commit` and otherwise one by one.
    pub(super) fn take_inputs(&mut self, group_commit: bool) -> Vec<message::Input> {
        let mut inputs = std::mem::take(&mut self.inputs);
        let reads = std::mem::take(&mut self.queued_reads);
        if !reads.is_empty() {
            inputs.push(message::Input::Read(reads));
        }
        let mut commands = std::mem::take(&mut self.commands);
        let size = if group_commit { MAX_QUEUED_CALLS } else { 1 };
        while !commands.is_empty() {
            let rest = commands.split_off(size.min(commands.len()));
            inputs.push(message::Input::Propose(commands));
            commands = rest;
        }
        inputs
    }

    /// Records the log index and term of an accepted proposal.
    pub(super) fn accepted(&mut self, token: u64, index: ids::LogIndex, term: ids::Term) {
        if let Some(sender) = self.proposed.remove(&token) {
            self.accepted.insert(index, (term, sender));
        }
    }

    pub(super) fn refused(&mut self, token: u64, reason: message::Refusal) {
        let refusal = || match reason {
            message::Refusal::NotLeader => machine::ProposeError::NotLeader,
            message::Refusal::Busy => machine::ProposeError::Busy,
        };
        if let Some(sender) = self.proposed.remove(&token) {
            let _ = sender.send(Err(refusal()));
        }
        if let Some(sender) = self.reads.remove(&token) {
            let _ = sender.send(Err(refusal()));
        }
    }

    /// Completes a confirmed read.
    pub(super) fn read_ready(&mut self, token: u64) {
        if let Some(sender) = self.reads.remove(&token) {
            let _ = sender.send(Ok(()));
        }
    }

    /// Completes the proposal of an applied entry; its outcome is unknown if the entry is another
    /// leader's.
    pub(super) fn applied(&mut self, index: ids::LogIndex, term: ids::Term, result: Vec<u8>) {
        if let Some((accepted_term, sender)) = self.accepted.remove(&index) {
            let same = accepted_term == term;
            let _ = sender.send(same.then_some(result).ok_or(machine::ProposeError::Unknown));
        }
    }

    /// Fails the proposals in the log, whose outcome can't be learnt here any more, and the reads that
    /// have been passed to the core.
    pub(super) fn stepped_down(&mut self) {
        for (_, sender) in std::mem::take(&mut self.accepted).into_values() {
            let _ = sender.send(Err(machine::ProposeError::Unknown));
        }
        // Queued reads have not been passed to the core yet.
        let queued = &self.queued_reads;
        let lost = self.reads.extract_if(.., |token, _| !queued.contains(token));
        for (_, sender) in lost {
            let _ = sender.send(Err(machine::ProposeError::NotLeader));
        }
    }
}
