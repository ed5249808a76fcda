//! The runner of gangs: one small state machine an attempt.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::gang::step::Input;
use crate::core::gang::step::MemberResult;
use crate::core::gang::step::Output;
use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::job;
use crate::core::time;

/// How long a message waits for its answer before it is sent again.
pub const RESEND_INTERVAL: time::Millis = time::Millis(400);

/// How long all members together may take to prepare.
pub const PREPARE_TIMEOUT: time::Millis = time::Millis(1200);

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Members are asked to prepare.
    Preparing,
    /// The release is proposed.
    Releasing,
    /// Members start, run and end.
    Running,
    /// The end is proposed; members that have not ended are told to stop.
    Ending,
    /// The end is committed; members that have not ended are told to stop.
    Ended,
    /// The clearing is proposed.
    Clearing,
}

/// What is known of one member.
#[derive(Clone, Debug)]
struct MemberState {
    member: job::Member,
    first: u32,
    prepared: bool,
    started: bool,
    lost: bool,
    result: Option<MemberResult>,
}

impl MemberState {
    fn over(&self) -> bool {
        self.lost || self.result.is_some()
    }
}

#[derive(Clone, Debug)]
struct Gang {
    stage: Stage,
    members: Vec<MemberState>,
    since: time::Tick,
    sent: time::Tick,
    stop: Option<time::Millis>,
    stop_sent: bool,
    /// A member will never start, so the others must not go on without it.
    broken: bool,
}

/// The gangs in hand, by attempt.
#[derive(Debug, Default)]
pub struct Coordinator {
    gangs: BTreeMap<ids::AttemptKey, Gang>,
    by_worker: BTreeMap<ids::WorkerKey, BTreeSet<ids::AttemptKey>>,
}

type Outputs = Vec<Output>;

impl Coordinator {
    /// Takes one input and appends what is to be done.
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
            Input::Cleared(attempt) => self.cleared(attempt, out),
            Input::Held { attempt, worker } => self.held(attempt, worker, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Attempts in hand.
    pub fn len(&self) -> usize {
        self.gangs.len()
    }

    /// Whether no attempt is in hand.
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
        let mut first = 0;
        let mut states = Vec::with_capacity(members.len());
        for member in members {
            self.by_worker.entry(member.worker).or_default().insert(attempt);
            states.push(MemberState {
                member: *member,
                first,
                prepared: stage != Stage::Preparing,
                started: false,
                lost: false,
                result: None,
            });
            first += member.tasks;
        }
        let gang = Gang {
            stage,
            members: states,
            since: now,
            sent: now,
            stop: None,
            stop_sent: false,
            broken: false,
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
            gang.since = now;
            let members = gang.members.iter().map(|state| state.member).collect();
            out.push(Output::Release { attempt, members });
        }
    }

    /// Drops an attempt that was not released.
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
            gang.since = now;
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
            // Not in hand any more: the ledger has its end, so the worker may drop it.
            out.push(Output::Forget { attempt, worker });
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
        if matches!(gang.stage, Stage::Releasing | Stage::Running) && gang.stop.is_none() {
            gang.stop = Some(grace);
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

    fn cleared(&mut self, attempt: ids::AttemptKey, out: &mut Outputs) {
        let Some(gang) = self.remove(attempt) else { return };
        for state in gang.members.iter().filter(|state| !state.lost) {
            out.push(Output::Forget { attempt, worker: state.member.worker });
        }
    }

    /// A worker that holds an attempt nobody here knows is told to stop it.
    fn held(&mut self, attempt: ids::AttemptKey, worker: ids::WorkerKey, out: &mut Outputs) {
        if self.member(attempt, worker).is_none() {
            out.push(Output::Stop { attempt, worker, grace: time::Millis(0) });
        }
    }

    fn tick(&mut self, now: time::Tick, out: &mut Outputs) {
        let due: Vec<_> = self
            .gangs
            .iter()
            .filter(|(_, gang)| now - gang.sent >= RESEND_INTERVAL)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in due {
            self.resend(now, attempt, out);
        }
    }

    fn resend(&mut self, now: time::Tick, attempt: ids::AttemptKey, out: &mut Outputs) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        let late = gang.stage == Stage::Preparing && now - gang.since >= PREPARE_TIMEOUT;
        if late {
            let missing = gang.members.iter().find(|state| !state.prepared);
            let worker = missing.map(|state| state.member.worker);
            self.abort(attempt, worker, out);
            return;
        }
        gang.stop_sent = false;
        gang.sent = now;
        self.advance(now, attempt, out);
    }

    /// Sends what the attempt's stage asks for, and moves it on where its members permit.
    fn advance(&mut self, now: time::Tick, attempt: ids::AttemptKey, out: &mut Outputs) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        gang.sent = now;
        match gang.stage {
            Stage::Preparing => gang.send_prepares(attempt, out),
            Stage::Releasing | Stage::Clearing => {}
            Stage::Running => gang.run(attempt, out),
            Stage::Ending => gang.send_stops(attempt, time::Millis(0), out),
            Stage::Ended => gang.clear(attempt, out),
        }
    }
}

impl Gang {
    fn send_prepares(&self, attempt: ids::AttemptKey, out: &mut Outputs) {
        for state in self.members.iter().filter(|state| !state.prepared) {
            out.push(Output::Prepare { attempt, member: state.member, first: state.first });
        }
    }

    fn send_starts(&self, attempt: ids::AttemptKey, out: &mut Outputs) {
        for state in self.members.iter().filter(|state| !state.started && !state.over()) {
            out.push(Output::Start { attempt, member: state.member });
        }
    }

    fn send_stops(&mut self, attempt: ids::AttemptKey, grace: time::Millis, out: &mut Outputs) {
        if self.stop_sent {
            return;
        }
        self.stop_sent = true;
        for state in self.members.iter().filter(|state| !state.over()) {
            out.push(Output::Stop { attempt, worker: state.member.worker, grace });
        }
    }

    fn run(&mut self, attempt: ids::AttemptKey, out: &mut Outputs) {
        if let Some((result, worker)) = self.verdict() {
            self.stage = Stage::Ending;
            out.push(Output::End { attempt, result, worker });
            self.stop_sent = false;
            self.send_stops(attempt, time::Millis(0), out);
            return;
        }
        self.break_up();
        match self.stop {
            Some(grace) => self.send_stops(attempt, grace, out),
            None => self.send_starts(attempt, out),
        }
    }

    /// Orders the stop of a gang of which a member will never start.
    fn break_up(&mut self) {
        let missing = |state: &MemberState| state.result == Some(MemberResult::NotStarted);
        if !self.broken && self.members.iter().any(missing) {
            self.broken = true;
            self.stop = Some(time::Millis(0));
            self.stop_sent = false;
        }
    }

    /// How the attempt ended, as soon as that is certain.
    fn verdict(&self) -> Option<(command::AttemptResult, Option<ids::WorkerKey>)> {
        let over = self.members.iter().all(MemberState::over);
        if over && let Some(meta) = self.all_done() {
            return Some((command::AttemptResult::Done(meta), None));
        }
        if over && self.none_started() {
            return Some((command::AttemptResult::NotStarted, None));
        }
        if self.broken {
            let detail = "a member of the gang never started".to_owned();
            return over.then_some((command::AttemptResult::Lost(detail), None));
        }
        if self.stop.is_some() {
            return over.then_some((command::AttemptResult::Preempted, None));
        }
        let failure = self.members.iter().find_map(MemberState::failure);
        match failure {
            Some(failure) => Some(failure),
            None => over.then(|| {
                let detail = "the members' ends do not fit together".to_owned();
                (command::AttemptResult::Lost(detail), None)
            }),
        }
    }

    fn all_done(&self) -> Option<job::AnswerMeta> {
        let mut answer = None;
        for state in &self.members {
            match &state.result {
                Some(MemberResult::Done(meta)) => {
                    if state.first == 0 {
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

    fn clear(&mut self, attempt: ids::AttemptKey, out: &mut Outputs) {
        if self.members.iter().all(MemberState::over) {
            self.stage = Stage::Clearing;
            out.push(Output::Clear(attempt));
        } else {
            self.send_stops(attempt, time::Millis(0), out);
        }
    }
}

impl MemberState {
    /// The end of the whole attempt that this member's end makes certain. A member that never
    /// started decides nothing until the others have ended too.
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
