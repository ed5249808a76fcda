//! The coordinator of gangs: a state machine for each attempt.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::gang::step::Input;
use crate::core::gang::step::MemberResult;
use crate::core::gang::step::Output;
use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::job;
use crate::core::time;

/// The time after which a message without an answer is sent again.
pub const RESEND_INTERVAL: time::Millis = time::Millis(400);

/// The time within which all members must have prepared, counted from the placement.
pub const PREPARE_TIMEOUT: time::Millis = time::Millis(1200);

/// The stage of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Members are ordered to prepare.
    Preparing,
    /// The release is proposed.
    Releasing,
    /// The release is committed; members start, run and end.
    Running,
    /// The end is proposed; members that have not ended are ordered to stop.
    Ending,
    /// The end is committed; members that have not ended are ordered to stop.
    Ended,
    /// It is proposed that the accelerators are free.
    Freeing,
}

/// The state of one member.
#[derive(Clone, Debug)]
struct MemberState {
    member: job::Member,
    /// The index of its first task within the gang.
    first_task: u32,
    prepared: bool,
    started: bool,
    lost: bool,
    result: Option<MemberResult>,
}

impl MemberState {
    /// Whether none of the member's tasks can run any more.
    fn has_ended(&self) -> bool {
        self.lost || self.result.is_some()
    }
}

#[derive(Clone, Debug)]
struct Gang {
    stage: Stage,
    members: Vec<MemberState>,
    /// The time at which the stage began.
    stage_start: time::Tick,
    /// The time at which messages were last sent.
    last_sent: time::Tick,
    /// The time to checkpoint, once the gang is ordered to stop.
    stop_grace: Option<time::Millis>,
    stop_sent: bool,
    /// Whether a member will never start, so that the others must not run without it.
    incomplete: bool,
}

/// The attempts whose gangs are being started, run or stopped.
#[derive(Debug, Default)]
pub struct Coordinator {
    gangs: BTreeMap<ids::AttemptKey, Gang>,
    by_worker: BTreeMap<ids::WorkerKey, BTreeSet<ids::AttemptKey>>,
}

type Outputs = Vec<Output>;

impl Coordinator {
    /// Handles one input and appends the actions that it causes.
    pub fn step(&mut self, now: time::Tick, input: Input, out: &mut Outputs) {
        match input {
            Input::Place { attempt, members } => {
                self.insert(now, attempt, &members, Stage::Preparing);
                self.advance(now, attempt, out);
            }
            Input::Recover { attempt, members, lost, stopping } => {
                let stage = if stopping { Stage::Ended } else { Stage::Running };
                self.insert(now, attempt, &members, stage);
                for worker in lost {
                    self.mark_lost(attempt, worker);
                }
                self.advance(now, attempt, out);
            }
            Input::Prepared { attempt, worker, ok } => {
                self.prepared(now, attempt, worker, ok, out);
            }
            Input::Released(attempt) => self.released(now, attempt, out),
            Input::ReleaseRefused(attempt) => self.abort(attempt, None, out),
            Input::Started { attempt, worker } => {
                if let Some(member) = self.member(attempt, worker) {
                    member.started = true;
                }
            }
            Input::Ended { attempt, worker, result } => {
                self.ended(now, attempt, worker, result, out);
            }
            Input::WorkerLost(worker) => self.worker_lost(now, worker, out),
            Input::Stop { attempt, grace } => self.stop(now, attempt, grace, out),
            Input::Withdraw(job) => self.withdraw(job, out),
            Input::EndCommitted(attempt) => self.end_committed(now, attempt, out),
            Input::Freed(attempt) => self.freed(attempt, out),
            Input::Reported { attempt, worker } => self.reported(attempt, worker, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// The number of attempts that are coordinated.
    pub fn len(&self) -> usize {
        self.gangs.len()
    }

    /// Whether no attempt is coordinated.
    pub fn is_empty(&self) -> bool {
        self.gangs.is_empty()
    }

    fn insert(
        &mut self,
        now: time::Tick,
        attempt: ids::AttemptKey,
        members: &[job::Member],
        stage: Stage,
    ) {
        let mut first_task = 0;
        let mut states = Vec::with_capacity(members.len());
        for member in members {
            self.by_worker.entry(member.worker).or_default().insert(attempt);
            states.push(MemberState {
                member: *member,
                first_task,
                prepared: stage != Stage::Preparing,
                started: false,
                lost: false,
                result: None,
            });
            first_task += member.tasks;
        }
        let gang = Gang {
            stage,
            members: states,
            stage_start: now,
            last_sent: now,
            stop_grace: None,
            stop_sent: false,
            incomplete: false,
        };
        self.gangs.insert(attempt, gang);
    }

    fn remove(&mut self, attempt: ids::AttemptKey) -> Option<Gang> {
        let gang = self.gangs.remove(&attempt)?;
        for state in &gang.members {
            if let Some(attempts) = self.by_worker.get_mut(&state.member.worker) {
                attempts.remove(&attempt);
            }
        }
        Some(gang)
    }

    fn member(
        &mut self,
        attempt: ids::AttemptKey,
        worker: ids::WorkerKey,
    ) -> Option<&mut MemberState> {
        let gang = self.gangs.get_mut(&attempt)?;
        gang.members.iter_mut().find(|state| state.member.worker == worker)
    }

    fn prepared(
        &mut self,
        now: time::Tick,
        attempt: ids::AttemptKey,
        worker: ids::WorkerKey,
        ok: bool,
        out: &mut Outputs,
    ) {
        let Some(gang) = self.gangs.get(&attempt) else { return };
        if gang.stage != Stage::Preparing {
            return;
        }
        if !ok {
            self.abort(attempt, Some(worker), out);
            return;
        }
        if let Some(member) = self.member(attempt, worker) {
            member.prepared = true;
        }
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        if gang.members.iter().all(|state| state.prepared) {
            gang.stage = Stage::Releasing;
            gang.stage_start = now;
            let members = gang.members.iter().map(|state| state.member).collect();
            out.push(Output::Release { attempt, members });
        }
    }

    /// Drops an attempt that was not released and orders its members to stop.
    fn abort(
        &mut self,
        attempt: ids::AttemptKey,
        worker: Option<ids::WorkerKey>,
        out: &mut Outputs,
    ) {
        let unreleased = self
            .gangs
            .get(&attempt)
            .is_some_and(|gang| matches!(gang.stage, Stage::Preparing | Stage::Releasing));
        if !unreleased {
            return;
        }
        let Some(gang) = self.remove(attempt) else { return };
        for state in gang.members.iter().filter(|state| !state.lost) {
            let worker = state.member.worker;
            out.push(Output::Stop { attempt, worker, grace: time::Millis(0) });
        }
        out.push(Output::PlaceFailed { job: attempt.job, worker });
    }

    fn withdraw(&mut self, job: ids::JobKey, out: &mut Outputs) {
        let first = ids::AttemptKey { job, number: 0 };
        let last = ids::AttemptKey { job, number: u32::MAX };
        let found = self.gangs.range(first..=last).find(|(_, gang)| gang.stage == Stage::Preparing);
        let Some((attempt, _)) = found else { return };
        let attempt = *attempt;
        let Some(gang) = self.remove(attempt) else { return };
        for state in gang.members.iter().filter(|state| !state.lost) {
            let worker = state.member.worker;
            out.push(Output::Stop { attempt, worker, grace: time::Millis(0) });
        }
    }

    fn released(&mut self, now: time::Tick, attempt: ids::AttemptKey, out: &mut Outputs) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        if gang.stage == Stage::Releasing {
            gang.stage = Stage::Running;
            gang.stage_start = now;
            self.advance(now, attempt, out);
        }
    }

    fn ended(
        &mut self,
        now: time::Tick,
        attempt: ids::AttemptKey,
        worker: ids::WorkerKey,
        result: MemberResult,
        out: &mut Outputs,
    ) {
        let Some(member) = self.member(attempt, worker) else {
            // The ledger already holds the end of an unknown attempt, so the worker may drop it.
            out.push(Output::ConfirmEnd { attempt, worker });
            return;
        };
        if member.result.is_none() {
            member.result = Some(result);
        }
        self.advance(now, attempt, out);
    }

    fn worker_lost(&mut self, now: time::Tick, worker: ids::WorkerKey, out: &mut Outputs) {
        let attempts: Vec<_> = self.by_worker.get(&worker).into_iter().flatten().copied().collect();
        for attempt in attempts {
            self.mark_lost(attempt, worker);
            self.abort(attempt, Some(worker), out);
            self.advance(now, attempt, out);
        }
    }

    fn mark_lost(&mut self, attempt: ids::AttemptKey, worker: ids::WorkerKey) {
        if let Some(member) = self.member(attempt, worker) {
            member.lost = true;
        }
    }

    fn stop(
        &mut self,
        now: time::Tick,
        attempt: ids::AttemptKey,
        grace: time::Millis,
        out: &mut Outputs,
    ) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        if matches!(gang.stage, Stage::Releasing | Stage::Running) && gang.stop_grace.is_none() {
            gang.stop_grace = Some(grace);
            self.advance(now, attempt, out);
        }
    }

    fn end_committed(&mut self, now: time::Tick, attempt: ids::AttemptKey, out: &mut Outputs) {
        if let Some(gang) = self.gangs.get_mut(&attempt)
            && gang.stage == Stage::Ending
        {
            gang.stage = Stage::Ended;
            self.advance(now, attempt, out);
        }
    }

    fn freed(&mut self, attempt: ids::AttemptKey, out: &mut Outputs) {
        let Some(gang) = self.remove(attempt) else { return };
        for state in gang.members.iter().filter(|state| !state.lost) {
            out.push(Output::ConfirmEnd { attempt, worker: state.member.worker });
        }
    }

    /// Orders a worker that reports an unknown attempt to stop it.
    fn reported(&mut self, attempt: ids::AttemptKey, worker: ids::WorkerKey, out: &mut Outputs) {
        if self.member(attempt, worker).is_none() {
            out.push(Output::Stop { attempt, worker, grace: time::Millis(0) });
        }
    }

    fn tick(&mut self, now: time::Tick, out: &mut Outputs) {
        let due: Vec<_> = self
            .gangs
            .iter()
            .filter(|(_, gang)| now - gang.last_sent >= RESEND_INTERVAL)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in due {
            self.resend(now, attempt, out);
        }
    }

    fn resend(&mut self, now: time::Tick, attempt: ids::AttemptKey, out: &mut Outputs) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        let timed_out = gang.stage == Stage::Preparing && now - gang.stage_start >= PREPARE_TIMEOUT;
        if timed_out {
            let missing = gang.members.iter().find(|state| !state.prepared);
            let worker = missing.map(|state| state.member.worker);
            self.abort(attempt, worker, out);
            return;
        }
        gang.stop_sent = false;
        gang.last_sent = now;
        self.advance(now, attempt, out);
    }

    /// Sends the messages of the attempt's stage, and enters the next stage if the states of the
    /// members permit it.
    fn advance(&mut self, now: time::Tick, attempt: ids::AttemptKey, out: &mut Outputs) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        gang.last_sent = now;
        match gang.stage {
            Stage::Preparing => gang.send_prepares(attempt, out),
            Stage::Releasing | Stage::Freeing => {}
            Stage::Running => gang.advance_running(attempt, out),
            Stage::Ending => gang.send_stops(attempt, time::Millis(0), out),
            Stage::Ended => gang.free_or_stop(attempt, out),
        }
    }
}

impl Gang {
    fn send_prepares(&self, attempt: ids::AttemptKey, out: &mut Outputs) {
        for state in self.members.iter().filter(|state| !state.prepared) {
            out.push(Output::Prepare { attempt, member: state.member, first: state.first_task });
        }
    }

    fn send_starts(&self, attempt: ids::AttemptKey, out: &mut Outputs) {
        for state in self.members.iter().filter(|state| !state.started && !state.has_ended()) {
            out.push(Output::Start { attempt, member: state.member });
        }
    }

    fn send_stops(&mut self, attempt: ids::AttemptKey, grace: time::Millis, out: &mut Outputs) {
        if self.stop_sent {
            return;
        }
        self.stop_sent = true;
        for state in self.members.iter().filter(|state| !state.has_ended()) {
            out.push(Output::Stop { attempt, worker: state.member.worker, grace });
        }
    }

    fn advance_running(&mut self, attempt: ids::AttemptKey, out: &mut Outputs) {
        if let Some((result, worker)) = self.result() {
            self.stage = Stage::Ending;
            out.push(Output::End { attempt, result, worker });
            self.stop_sent = false;
            self.send_stops(attempt, time::Millis(0), out);
            return;
        }
        self.stop_incomplete();
        match self.stop_grace {
            Some(grace) => self.send_stops(attempt, grace, out),
            None => self.send_starts(attempt, out),
        }
    }

    /// Orders the stop of a gang of which a member will never start.
    fn stop_incomplete(&mut self) {
        let not_started = |state: &MemberState| state.result == Some(MemberResult::NotStarted);
        if !self.incomplete && self.members.iter().any(not_started) {
            self.incomplete = true;
            self.stop_grace = Some(time::Millis(0));
            self.stop_sent = false;
        }
    }

    /// The result of the attempt and the worker that caused it, as soon as the result is certain.
    fn result(&self) -> Option<(command::AttemptResult, Option<ids::WorkerKey>)> {
        let all_ended = self.members.iter().all(MemberState::has_ended);
        if all_ended && let Some(meta) = self.all_done() {
            return Some((command::AttemptResult::Done(meta), None));
        }
        if all_ended && self.none_started() {
            return Some((command::AttemptResult::NotStarted, None));
        }
        if self.incomplete {
            let detail = "a member of the gang never started".to_owned();
            return all_ended.then_some((command::AttemptResult::Lost(detail), None));
        }
        if self.stop_grace.is_some() {
            return all_ended.then_some((command::AttemptResult::Preempted, None));
        }
        let failure = self.members.iter().find_map(MemberState::failure);
        match failure {
            Some(failure) => Some(failure),
            None => all_ended.then(|| {
                let detail = "the members' ends do not fit together".to_owned();
                (command::AttemptResult::Lost(detail), None)
            }),
        }
    }

    /// The answer of the gang, if all members have completed their tasks.
    fn all_done(&self) -> Option<job::AnswerMeta> {
        let mut answer = None;
        for state in &self.members {
            match &state.result {
                Some(MemberResult::Done(meta)) => {
                    if state.first_task == 0 {
                        answer = meta.clone();
                    }
                }
                _ => return None,
            }
        }
        answer
    }

    fn none_started(&self) -> bool {
        let not_started = |state: &MemberState| state.result == Some(MemberResult::NotStarted);
        self.members.iter().all(not_started)
    }

    /// Proposes that the accelerators are free if all members have ended; orders the others to
    /// stop.
    fn free_or_stop(&mut self, attempt: ids::AttemptKey, out: &mut Outputs) {
        if self.members.iter().all(MemberState::has_ended) {
            self.stage = Stage::Freeing;
            out.push(Output::Free(attempt));
        } else {
            self.send_stops(attempt, time::Millis(0), out);
        }
    }
}

impl MemberState {
    /// The result of the whole attempt, if this member's end alone determines it. The end of a
    /// member that never started doesn't, until the others have ended too.
    fn failure(&self) -> Option<(command::AttemptResult, Option<ids::WorkerKey>)> {
        let worker = self.member.worker;
        if self.lost {
            let detail = format!("worker {worker} was lost");
            return Some((command::AttemptResult::Lost(detail), Some(worker)));
        }
        match self.result.as_ref()? {
            MemberResult::Failed(detail) => {
                Some((command::AttemptResult::Failed(detail.clone()), Some(worker)))
            }
            MemberResult::Unknown(detail) => {
                Some((command::AttemptResult::Lost(detail.clone()), Some(worker)))
            }
            MemberResult::Stopped => {
                let detail = format!("worker {worker} stopped its tasks");
                Some((command::AttemptResult::Lost(detail), Some(worker)))
            }
            MemberResult::Done(_) | MemberResult::NotStarted => None,
        }
    }
}
