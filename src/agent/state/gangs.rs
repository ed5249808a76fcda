//! The part of the state that carries out what control says of gangs.

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

/// How long a preparation is kept without a start and without being asked for again.
const PREPARE_LIMIT: time::Millis = time::Millis::from_secs(10);

/// Attempts that may be remembered as ended before control forgets them.
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

    /// Keeps room for an attempt, or says why not.
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
        self.check_open(now, &prepare)?;
        self.check_job(attempt)?;
        self.check_room(&prepare)?;
        self.members.insert(attempt, member::Member::new(now, prepare));
        Ok(())
    }

    fn check_open(&self, now: time::Tick, prepare: &agent::Prepare) -> Result<(), String> {
        if !self.holder.is_valid(now) {
            return Err("the worker holds no lease".to_owned());
        }
        if prepare.epoch != self.holder.epoch().0 {
            return Err(format!("the worker's epoch is {}", self.holder.epoch()));
        }
        if self.leaving.is_some() || self.presence != Presence::Present {
            return Err("the worker is leaving or its backend server is gone".to_owned());
        }
        Ok(())
    }

    /// Refuses what is older than something known here, and a second attempt beside a first one.
    fn check_job(&self, attempt: ids::AttemptKey) -> Result<(), String> {
        if self.tombstones.contains(attempt) || self.tombstones.has_later(attempt) {
            return Err("the attempt is over".to_owned());
        }
        let first = ids::AttemptKey { job: attempt.job, number: 0 };
        let last = ids::AttemptKey { job: attempt.job, number: u32::MAX };
        for (known, member) in self.members.range(first..=last) {
            if *known > attempt || member.occupies() {
                return Err(format!("attempt {known} is here"));
            }
        }
        Ok(())
    }

    fn check_room(&self, prepare: &agent::Prepare) -> Result<(), String> {
        let Some(backend) = &self.backend else { return Err("no backend server".to_owned()) };
        let spec = &backend.spec;
        if !spec.services.contains(&prepare.service) {
            return Err(format!("service {} is not offered here", prepare.service));
        }
        let occupied = self.members.values().filter(|member| member.occupies());
        let prepares = occupied.map(member::Member::prepare).chain([prepare]);
        let (mut tasks, mut accelerators) = (0_u64, 0_u64);
        for prepare in prepares {
            tasks += u64::from(prepare.tasks);
            accelerators += u64::from(prepare.tasks) * u64::from(prepare.accelerators);
        }
        // Each running task takes one slot and one connection.
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
        let late = self.leaving.is_some_and(|since| now - since >= LEAVING_GRACE);
        let expires = self.holder.expires().filter(|_| self.holder.is_valid(now));
        let lease = expires.map(|until| step::Lease { until, fence: self.fence });
        let Some(member) = self.members.get_mut(&attempt) else {
            self.start_unknown(attempt, epoch, out);
            return;
        };
        match member.phase() {
            task::Phase::Prepared => match lease {
                Some(lease) if !late && epoch.0 == member.prepare().epoch => {
                    member.begin(lease, out);
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
            task::Phase::Ended(result) => out.push(ended(attempt, result.clone())),
        }
    }

    /// Answers a start of which nothing is known here. It can't be carried out, now or later; it
    /// certainly never was where its epoch belongs to this run of the agent alone and this run
    /// has not started and forgotten it.
    fn start_unknown(&mut self, attempt: ids::AttemptKey, epoch: ids::Epoch, out: &mut Out) {
        let ours = self.first_epoch.is_some_and(|first| epoch >= first);
        let never = ours && self.tombstones.never_started(attempt);
        self.tombstones.insert(attempt, never);
        let result = if never {
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
                task::Phase::Ended(result) => out.push(ended(attempt, result.clone())),
                _ => member.halt(now, task::Cause::Ordered, grace, out),
            },
            None => {
                let never = self.tombstones.never_started(attempt);
                self.tombstones.insert(attempt, never);
                out.push(ended(attempt, agent::TaskResult::Stopped));
            }
        }
    }

    pub(super) fn throttle(&mut self, attempt: ids::AttemptKey, percent: u32, out: &mut Out) {
        if let Some(member) = self.members.get(&attempt) {
            member.throttle(percent.clamp(1, 100), out);
        }
    }

    /// Drops an attempt whose end is stored. One that still runs here is stopped and kept.
    pub(super) fn forget(&mut self, now: time::Tick, attempt: ids::AttemptKey, out: &mut Out) {
        let Some(member) = self.members.get_mut(&attempt) else { return };
        let task::Phase::Ended(result) = member.phase() else {
            member.halt(now, task::Cause::Ordered, time::Millis(0), out);
            return;
        };
        let never = *result == agent::TaskResult::NotStarted;
        let tasks = member.keys().collect();
        self.members.remove(&attempt);
        self.tombstones.insert(attempt, never);
        out.push(step::Output::Discard { attempt, tasks });
    }

    pub(super) fn begun(
        &mut self,
        now: time::Tick,
        task: contract::TaskKey,
        begun: task::StartOutcome,
        out: &mut Out,
    ) {
        if let Some(member) = self.members.get_mut(&task.attempt) {
            member.begun(now, task.index, begun, out);
        }
    }

    pub(super) fn watched(
        &mut self,
        now: time::Tick,
        task: contract::TaskKey,
        seen: task::TaskStatus,
        out: &mut Out,
    ) {
        if let Some(member) = self.members.get_mut(&task.attempt) {
            member.watched(now, task.index, seen, out);
        }
    }

    pub(super) fn stopped(
        &mut self,
        now: time::Tick,
        task: contract::TaskKey,
        seen: task::TaskStatus,
        out: &mut Out,
    ) {
        if let Some(member) = self.members.get_mut(&task.attempt) {
            member.stopped(now, task.index, seen, out);
        }
    }

    pub(super) fn fetched(
        &mut self,
        now: time::Tick,
        attempt: ids::AttemptKey,
        fetched: task::FetchOutcome,
        out: &mut Out,
    ) {
        if let Some(member) = self.members.get_mut(&attempt) {
            member.fetched(now, fetched, out);
        }
    }

    pub(super) fn delivered(&mut self, now: time::Tick, attempt: ids::AttemptKey) {
        if let Some(member) = self.members.get_mut(&attempt) {
            member.touch(now);
        }
    }

    /// Stops everything at once: nothing may run here any more.
    pub(super) fn lose_all(&mut self, now: time::Tick, detail: &str, out: &mut Out) {
        self.raise_fence();
        for member in self.members.values_mut() {
            member.halt(now, task::Cause::Lost(detail.to_owned()), time::Millis(0), out);
        }
    }

    /// Stops everything after the grace, because the agent itself must end.
    pub(super) fn stop_all(&mut self, now: time::Tick, grace: time::Millis, out: &mut Out) {
        for member in self.members.values_mut() {
            member.halt(now, task::Cause::Ordered, grace, out);
        }
    }

    /// Tells a new leader how every attempt ended that no leader has stored yet.
    pub(super) fn report_all(&mut self, now: time::Tick, out: &mut Out) {
        for member in self.members.values_mut() {
            member.report(now, out);
        }
    }

    /// Makes the backend server refuse every start that is still on its way.
    fn raise_fence(&mut self) {
        self.fence = self.fence.wrapping_add(1);
    }

    pub(super) fn tick_members(&mut self, now: time::Tick, out: &mut Out) {
        let mut abandoned = false;
        for member in self.members.values_mut() {
            let quiet = now - member.told();
            match member.phase() {
                task::Phase::Prepared if quiet >= PREPARE_LIMIT => {
                    member.halt(now, task::Cause::Ordered, time::Millis(0), out);
                }
                task::Phase::Prepared => {}
                task::Phase::Active | task::Phase::Fetching => {
                    member.press(now, out);
                    abandoned |= member.abandon(now, self.granted, out);
                }
                task::Phase::Ended(_) if self.connected && now >= member.due() => {
                    member.report(now, out);
                }
                task::Phase::Ended(_) => {}
            }
        }
        if abandoned {
            self.raise_fence();
        }
    }
}

fn ended(attempt: ids::AttemptKey, result: agent::TaskResult) -> step::Output {
    step::Output::Send(agent::ClientMessage::Ended { attempt: attempt.into(), result })
}
