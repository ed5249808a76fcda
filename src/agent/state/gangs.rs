//! The part of the state that handles control's messages about gangs.

use crate::agent::contract;
use crate::agent::state::Presence;
use crate::agent::state::State;
use crate::agent::state::member;
use crate::agent::state::step;
use crate::agent::state::task;
use crate::core::ids;
use crate::core::time;
use crate::telemetry::event;
use crate::wire::agent;

/// How long after the worker began to leave a prepared attempt may still start.
const LEAVING_GRACE: time::Millis = time::Millis::from_secs(2);

/// How long a preparation is kept without a start or another request for the preparation.
const PREPARE_TIMEOUT: time::Millis = time::Millis::from_secs(10);

/// Limit of members, including ended attempts whose end control has not stored yet.
const MAX_MEMBERS: usize = 1024;

type Out = Vec<step::Output>;

impl State {
    pub(super) fn prepare(&mut self, now: time::Tick, prepare: agent::Prepare, out: &mut Out) {
        let attempt = prepare.attempt.clone();
        let key = ids::AttemptKey::from(attempt.clone());
        let refusal = self.check_prepare(now, prepare).err();
        if let Some(detail) = &refusal {
            let details = format!("attempt={key} reason={detail:?}");
            out.push(step::Output::Log(event::agent::PREPARE_REFUSED, details));
        }
        let ok = refusal.is_none();
        let detail = refusal.unwrap_or_default();
        out.push(step::Output::Send(agent::ClientMessage::Prepared { attempt, ok, detail }));
    }

    /// Reserves capacity for an attempt, or returns the reason of a refusal.
    fn check_prepare(&mut self, now: time::Tick, prepare: agent::Prepare) -> Result<(), String> {
        let attempt = ids::AttemptKey::from(prepare.attempt.clone());
        if let Some(member) = self.members.get_mut(&attempt) {
            member.touch(now);
            return match member.phase() {
                task::Phase::Ended(_) => Err("the attempt has ended here".to_owned()),
                task::Phase::Prepared if *member.prepare() != prepare => {
                    Err("the attempt was prepared here in another form".to_owned())
                }
                _ => Ok(()),
            };
        }
        contract::check_prepare(&prepare).map_err(|error| error.to_string())?;
        self.check_accepting(now, &prepare)?;
        self.check_job(attempt)?;
        self.check_capacity(&prepare)?;
        self.members.insert(attempt, member::Member::new(now, prepare));
        Ok(())
    }

    fn check_accepting(&self, now: time::Tick, prepare: &agent::Prepare) -> Result<(), String> {
        if !self.holder.is_valid(now) {
            return Err("the worker holds no lease".to_owned());
        }
        if prepare.epoch != self.holder.epoch().0 {
            return Err(format!("the worker's epoch is {}", self.holder.epoch()));
        }
        if self.leaving_since.is_some() || self.presence != Presence::Present {
            return Err("the worker is leaving or its backend server is gone".to_owned());
        }
        Ok(())
    }

    /// Refuses an attempt that is older than a known one, and one while another attempt of the same
    /// job occupies capacity.
    fn check_job(&self, attempt: ids::AttemptKey) -> Result<(), String> {
        if self.tombstones.contains(attempt) || self.tombstones.has_later(attempt) {
            return Err("the attempt is over".to_owned());
        }
        let first = ids::AttemptKey { job: attempt.job, number: 0 };
        let last = ids::AttemptKey { job: attempt.job, number: u32::MAX };
        for (known, member) in self.members.range(first..=last) {
            if *known > attempt || member.occupies_capacity() {
                return Err(format!("attempt {known} is here"));
            }
        }
        Ok(())
    }

    fn check_capacity(&self, prepare: &agent::Prepare) -> Result<(), String> {
        let Some(backend) = &self.backend else { return Err("no backend server".to_owned()) };
        let spec = &backend.spec;
        if !spec.services.contains(&prepare.service) {
            return Err(format!("service {} is not offered here", prepare.service));
        }
        let occupied = self.members.values().filter(|member| member.occupies_capacity());
        let prepares = occupied.map(member::Member::prepare).chain([prepare]);
        let (mut tasks, mut accelerators) = (0_u64, 0_u64);
        for prepare in prepares {
            tasks += u64::from(prepare.tasks);
            accelerators += u64::from(prepare.tasks) * u64::from(prepare.accelerators);
        }
        // Each running task uses one slot and one connection.
        let slots = u64::from(spec.slots.min(spec.connections));
        if tasks > slots || accelerators > u64::from(spec.accelerators) {
            return Err("no room for the tasks".to_owned());
        }
        if self.members.len() >= MAX_MEMBERS {
            return Err("too many attempts wait to be forgotten".to_owned());
        }
        Ok(())
    }

    pub(super) fn start(
        &mut self,
        now: time::Tick,
        attempt: ids::AttemptKey,
        epoch: ids::Epoch,
        out: &mut Out,
    ) {
        let late = self.leaving_since.is_some_and(|since| now - since >= LEAVING_GRACE);
        let expires = self.holder.expires().filter(|_| self.holder.is_valid(now));
        let lease = expires.map(|until| step::Lease { until, fence: self.fence });
        let Some(member) = self.members.get_mut(&attempt) else {
            self.start_unknown(attempt, epoch, out);
            return;
        };
        match member.phase() {
            task::Phase::Prepared => match lease {
                Some(lease) if !late && epoch.0 == member.prepare().epoch => {
                    member.start(lease, out);
                }
                _ => member.halt(now, task::Cause::Ordered, time::Millis(0), out),
            },
            task::Phase::Active | task::Phase::Fetching => {
                if member.started() {
                    out.push(step::Output::Send(agent::ClientMessage::Started {
                        attempt: attempt.into(),
                    }));
                }
            }
            task::Phase::Ended(_) => member.report(now, out),
        }
    }

    /// Answers the start of an unknown attempt, which is not carried out, now or later. The attempt
    /// was certainly never started if its epoch was given to this agent process and this process
    /// has not started the attempt and removed it since.
    fn start_unknown(&mut self, attempt: ids::AttemptKey, epoch: ids::Epoch, out: &mut Out) {
        let is_ours = self.first_epoch.is_some_and(|first| epoch >= first);
        let never_started = is_ours && self.tombstones.never_started(attempt);
        self.tombstones.insert(attempt, never_started);
        let result = if never_started {
            agent::TaskResult::NotStarted
        } else {
            agent::TaskResult::Unknown("nothing is known of the attempt here".to_owned())
        };
        out.push(ended(attempt, result));
    }

    pub(super) fn stop(
        &mut self,
        now: time::Tick,
        attempt: ids::AttemptKey,
        grace: time::Millis,
        out: &mut Out,
    ) {
        match self.members.get_mut(&attempt) {
            Some(member) => match member.phase() {
                task::Phase::Ended(_) => member.report(now, out),
                _ => member.halt(now, task::Cause::Ordered, grace, out),
            },
            None => {
                let never_started = self.tombstones.never_started(attempt);
                self.tombstones.insert(attempt, never_started);
                out.push(ended(attempt, agent::TaskResult::Stopped));
            }
        }
    }

    pub(super) fn throttle(&mut self, attempt: ids::AttemptKey, percent: u32, out: &mut Out) {
        if let Some(member) = self.members.get(&attempt) {
            member.throttle(percent.clamp(1, 100), out);
        }
    }

    /// Removes an attempt whose end control has stored. One that may still run is stopped instead
    /// and stays a member.
    pub(super) fn end_stored(&mut self, now: time::Tick, attempt: ids::AttemptKey, out: &mut Out) {
        let Some(member) = self.members.get_mut(&attempt) else { return };
        let task::Phase::Ended(result) = member.phase() else {
            member.halt(now, task::Cause::Ordered, time::Millis(0), out);
            return;
        };
        let never_started = *result == agent::TaskResult::NotStarted;
        let tasks = member.keys().collect();
        self.members.remove(&attempt);
        self.tombstones.insert(attempt, never_started);
        out.push(step::Output::Discard { attempt, tasks });
    }

    pub(super) fn start_finished(
        &mut self,
        now: time::Tick,
        task: contract::TaskKey,
        outcome: task::StartOutcome,
        out: &mut Out,
    ) {
        if let Some(member) = self.members.get_mut(&task.attempt) {
            member.start_finished(now, task.index, outcome, out);
        }
    }

    pub(super) fn watched(
        &mut self,
        now: time::Tick,
        task: contract::TaskKey,
        status: task::TaskStatus,
        out: &mut Out,
    ) {
        if let Some(member) = self.members.get_mut(&task.attempt) {
            member.watched(now, task.index, status, out);
        }
    }

    pub(super) fn stopped(
        &mut self,
        now: time::Tick,
        task: contract::TaskKey,
        status: task::TaskStatus,
        out: &mut Out,
    ) {
        if let Some(member) = self.members.get_mut(&task.attempt) {
            member.stopped(now, task.index, status, out);
        }
    }

    pub(super) fn fetched(
        &mut self,
        now: time::Tick,
        attempt: ids::AttemptKey,
        outcome: task::FetchOutcome,
        out: &mut Out,
    ) {
        if let Some(member) = self.members.get_mut(&attempt) {
            member.fetched(now, outcome, out);
        }
    }

    pub(super) fn delivered(&mut self, now: time::Tick, attempt: ids::AttemptKey) {
        if let Some(member) = self.members.get_mut(&attempt) {
            member.touch(now);
        }
    }

    /// Stops all attempts immediately after the loss of the lease or of the backend server.
    pub(super) fn fail_all(&mut self, now: time::Tick, detail: &str, out: &mut Out) {
        self.increment_fence();
        for member in self.members.values_mut() {
            member.halt(now, task::Cause::Lost(detail.to_owned()), time::Millis(0), out);
        }
    }

    /// Stops all attempts after a grace period, because the agent itself has to stop.
    pub(super) fn stop_all(&mut self, now: time::Tick, grace: time::Millis, out: &mut Out) {
        for member in self.members.values_mut() {
            member.halt(now, task::Cause::Ordered, grace, out);
        }
    }

    /// Reports to a new leader every end that no leader has stored yet.
    pub(super) fn report_all(&mut self, now: time::Tick, out: &mut Out) {
        for member in self.members.values_mut() {
            member.report(now, out);
        }
    }

    /// Increments the fencing token, so that the backend server refuses every start in flight.
    fn increment_fence(&mut self) {
        self.fence = self.fence.wrapping_add(1);
    }

    pub(super) fn tick_members(&mut self, now: time::Tick, out: &mut Out) {
        let mut presumed = false;
        for member in self.members.values_mut() {
            let idle_for = now - member.last_activity();
            match member.phase() {
                task::Phase::Prepared if idle_for >= PREPARE_TIMEOUT => {
                    member.halt(now, task::Cause::Ordered, time::Millis(0), out);
                }
                task::Phase::Prepared => {}
                task::Phase::Active | task::Phase::Fetching => {
                    member.send_stops(now, out);
                    presumed |= member.presume_stopped(now, self.granted_until, out);
                }
                task::Phase::Ended(_) if self.connected && now >= member.next_report() => {
                    member.report(now, out);
                }
                task::Phase::Ended(_) => {}
            }
        }
        if presumed {
            self.increment_fence();
        }
    }
}

fn ended(attempt: ids::AttemptKey, result: agent::TaskResult) -> step::Output {
    step::Output::Send(agent::ClientMessage::Ended { attempt: attempt.into(), result })
}
