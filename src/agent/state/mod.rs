//! The state machine of an agent, without input or output.
//!
//! [`State::step`] takes one [`Input`] at a time, with the agent's own monotonic time, and appends
//! the resulting [`Output`]s. It checks the lease first, so that a process that was suspended finds
//! that its lease has ended before it acts on the next input.
//!
//! [`agent::ClientMessage::Ended`] is sent only when no task of the attempt runs on this worker any
//! more, whatever the result is.

use std::collections::BTreeMap;

use crate::agent::contract;
use crate::core::ids;
use crate::core::lease;
use crate::core::time;
use crate::macros;
use crate::telemetry::event;
use crate::wire::agent;
use crate::wire::common;

mod gangs;
mod member;
mod step;
mod task;
mod tombstones;

pub use step::Input;
pub use step::Lease;
pub use step::Output;
pub use task::FetchOutcome;
pub use task::StartOutcome;
pub use task::TaskEnd;
pub use task::TaskStatus;

/// How long the backend server may go without an announcement before it is considered absent.
pub const BACKEND_TIMEOUT: time::Millis = time::Millis::from_secs(3);

/// Interval at which a backend server has to repeat its announcement.
pub const ANNOUNCE_INTERVAL: time::Millis = time::Millis(500);

/// How long the leader may leave heartbeats and announcements unanswered before the session is
/// dropped.
pub const SESSION_TIMEOUT: time::Millis = time::Millis::from_secs(2);

/// How long the agent waits for a registration before it announces the worker again.
const ANNOUNCE_RESEND: time::Millis = time::Millis::from_secs(2);

/// Limit of attempts with ended tasks that one heartbeat reports; the others follow in later ones.
const MAX_ENDED_REPORTED: usize = 64;

/// Delay before a failed sweep of the backend server's tasks is retried.
const SWEEP_RETRY_DELAY: time::Millis = time::Millis::from_secs(1);

macros::value_types! {
    /// Whether the backend server is present.
    enum Presence {
        /// The backend server has not announced itself, or has stopped repeating its announcement.
        Absent,
        /// The backend server is present; tasks unknown to the agent are being stopped.
        Sweeping,
        /// The backend server is present, but the sweep of its tasks failed and is retried at this
        /// time.
        SweepFailed(time::Tick),
        /// The backend server is present and holds only known tasks.
        Present,
    }
}

/// The latest announcement of the backend server.
struct Backend {
    spec: common::WorkerSpec,
    usage: contract::Usage,
    leaving: bool,
    last_announced: time::Tick,
}

/// The state of an agent.
pub struct State {
    holder: lease::Holder,
    /// The current fencing token for the backend server.
    fence: u64,
    /// The first epoch given to this agent process; lower epochs belong to earlier processes.
    first_epoch: Option<ids::Epoch>,
    /// Whether the lease was valid at the last check.
    had_lease: bool,
    connected: bool,
    /// When the oldest unanswered message was sent on the session.
    unanswered_since: Option<time::Tick>,
    revision: ids::Revision,
    backend: Option<Backend>,
    presence: Presence,
    /// The latest end of a lease granted to the backend server.
    granted_until: time::Tick,
    /// Whether the agent itself is stopping.
    stopping: bool,
    /// When the worker began to leave; `None` while it accepts new work.
    leaving_since: Option<time::Tick>,
    /// Whether an announcement to the leader is due.
    announce_due: bool,
    /// When the announcement was sent that has not led to a registration yet.
    announce_sent: Option<time::Tick>,
    /// When the last heartbeat was sent.
    last_heartbeat: time::Tick,
    members: BTreeMap<ids::AttemptKey, member::Member>,
    tombstones: tombstones::Tombstones,
}

type Out = Vec<step::Output>;

impl State {
    /// Creates a state without backend server, lease and tasks. Fencing tokens are counted from
    /// `fence`, which has to be random, so that no other agent process has used the same tokens.
    pub fn new(fence: u64) -> Self {
        Self {
            holder: lease::Holder::new(),
            fence,
            first_epoch: None,
            had_lease: false,
            connected: false,
            unanswered_since: None,
            revision: ids::Revision(0),
            backend: None,
            presence: Presence::Absent,
            granted_until: time::Tick(0),
            stopping: false,
            leaving_since: None,
            announce_due: false,
            announce_sent: None,
            last_heartbeat: time::Tick(0),
            members: BTreeMap::new(),
            tombstones: tombstones::Tombstones::default(),
        }
    }

    /// Processes one input and appends the resulting outputs.
    pub fn step(&mut self, now: time::Tick, input: step::Input, out: &mut Out) {
        self.check_lease(now, out);
        match input {
            step::Input::Connected => self.connected(now, out),
            step::Input::Disconnected => self.disconnected(),
            step::Input::Received(message) => self.received(now, message, out),
            step::Input::Announced(announcement) => self.announced(now, &announcement, out),
            step::Input::Swept(ok) => self.swept(now, ok, out),
            step::Input::StartFinished(task, outcome) => {
                self.start_finished(now, task, outcome, out)
            }
            step::Input::Watched(task, status) => self.watched(now, task, status, out),
            step::Input::Stopped(task, status) => self.stopped(now, task, status, out),
            step::Input::Fetched(attempt, outcome) => self.fetched(now, attempt, outcome, out),
            step::Input::Delivered(attempt) => self.delivered(now, attempt),
            step::Input::Leave => self.stopping = true,
            step::Input::StopAll(grace) => self.stop_all(now, grace, out),
            step::Input::Tick => self.tick(now, out),
        }
        self.check_leaving(now, out);
        self.check_announce(now, out);
    }

    /// The name of the worker; `None` before the first announcement.
    pub fn worker(&self) -> Option<&str> {
        self.backend.as_ref().map(|backend| backend.spec.name.as_str())
    }

    /// Whether the worker is registered and holds its lease.
    pub fn ready(&self, now: time::Tick) -> bool {
        self.holder.is_valid(now) && self.presence == Presence::Present
    }

    /// The current or last epoch.
    pub fn epoch(&self) -> ids::Epoch {
        self.holder.epoch()
    }

    /// The latest revision of the configuration that the agent has received.
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }

    /// Whether every attempt has ended, and control has stored its end.
    pub fn idle(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether the leader has registered the worker's latest announcement. True without a backend
    /// server.
    pub fn is_announced(&self) -> bool {
        let is_registered = self.connected && !self.announce_due && self.announce_sent.is_none();
        self.backend.is_none() || is_registered
    }

    /// The number of tasks that use capacity or have it reserved.
    pub fn occupied(&self) -> u32 {
        let members = self.members.values().filter(|member| member.occupies_capacity());
        members.map(|member| member.prepare().tasks).sum()
    }

    /// The lease for the backend server, in response to an announcement.
    ///
    /// It is withheld while a stop remains unconfirmed, so that the backend server stops the task
    /// itself when its current lease has expired.
    pub fn grant_lease(&mut self, now: time::Tick) -> contract::Lease {
        let withheld =
            self.members.values().any(|member| member.is_stop_overdue(now, BACKEND_TIMEOUT));
        let valid = self.holder.is_valid(now) && !withheld;
        if let Some(expires) = self.holder.expires()
            && valid
        {
            self.granted_until = self.granted_until.max(expires);
        }
        let lease = if valid { self.holder.remaining(now) } else { time::Millis(0) };
        contract::Lease { fence: self.fence, lease_ms: lease.0, repeat_ms: ANNOUNCE_INTERVAL.0 }
    }

    fn connected(&mut self, now: time::Tick, out: &mut Out) {
        self.connected = true;
        self.unanswered_since = None;
        self.announce_due = true;
        self.send_heartbeat(now, out);
        self.report_all(now, out);
    }

    fn disconnected(&mut self) {
        self.connected = false;
        self.unanswered_since = None;
        self.announce_sent = None;
    }

    fn received(&mut self, now: time::Tick, message: agent::ServerMessage, out: &mut Out) {
        self.unanswered_since = None;
        match message {
            agent::ServerMessage::Welcome { .. } | agent::ServerMessage::NotLeader { .. } => {}
            agent::ServerMessage::Registered { epoch, .. } => {
                self.registered(now, ids::Epoch(epoch), out)
            }
            agent::ServerMessage::Lease { sequence, epoch, duration } => {
                self.holder.grant(sequence, ids::Epoch(epoch), time::Millis(duration));
                self.had_lease = self.holder.is_valid(now);
            }
            agent::ServerMessage::Fenced { epoch } => {
                if self.holder.fence(ids::Epoch(epoch)) {
                    out.push(step::Output::Log(event::agent::FENCED, format!("epoch={epoch}")));
                    self.announce_due = true;
                    self.check_lease(now, out);
                }
            }
            agent::ServerMessage::Config(config) => {
                self.revision = self.revision.max(ids::Revision(config.revision));
            }
            agent::ServerMessage::Prepare(prepare) => self.prepare(now, prepare, out),
            agent::ServerMessage::Start { attempt, epoch } => {
                self.start(now, attempt.into(), ids::Epoch(epoch), out);
            }
            agent::ServerMessage::Stop { attempt, grace } => {
                self.stop(now, attempt.into(), time::Millis(grace), out);
            }
            agent::ServerMessage::Throttle { attempt, percent } => {
                self.throttle(attempt.into(), percent, out);
            }
            agent::ServerMessage::EndStored { attempt } => {
                self.end_stored(now, attempt.into(), out)
            }
        }
    }

    fn registered(&mut self, now: time::Tick, epoch: ids::Epoch, out: &mut Out) {
        self.announce_sent = None;
        if self.holder.register(epoch) {
            self.first_epoch.get_or_insert(epoch);
            out.push(step::Output::Log(event::agent::REGISTERED, format!("epoch={epoch}")));
            self.check_lease(now, out);
        }
        self.send_heartbeat(now, out);
    }

    /// Stops all attempts when the lease has ended.
    fn check_lease(&mut self, now: time::Tick, out: &mut Out) {
        let valid = self.holder.is_valid(now);
        if self.had_lease && !valid {
            self.had_lease = false;
            let epoch = self.holder.epoch();
            out.push(step::Output::Log(event::agent::LEASE_EXPIRED, format!("epoch={epoch}")));
            self.fail_all(now, "the lease ended", out);
        }
    }

    fn check_leaving(&mut self, now: time::Tick, out: &mut Out) {
        let is_absent = self.presence == Presence::Absent;
        let backend_leaving = self.backend.as_ref().is_some_and(|backend| backend.leaving);
        let leaving = self.stopping || is_absent || backend_leaving;
        match (leaving, self.leaving_since) {
            (true, None) => {
                self.leaving_since = Some(now);
                if self.backend.is_some() {
                    let details = format!("agent={} backend={backend_leaving}", self.stopping);
                    out.push(step::Output::Log(event::agent::LEAVING, details));
                }
            }
            (false, Some(_)) => self.leaving_since = None,
            _ => return,
        }
        self.announce_due = true;
    }

    /// Announces the worker if that is due, but never while tasks of an ended lease may still run:
    /// a registration implies that they have ended.
    fn check_announce(&mut self, now: time::Tick, out: &mut Out) {
        let is_overdue = self.announce_sent.is_some_and(|sent| now - sent >= ANNOUNCE_RESEND);
        if !self.connected || !(self.announce_due || is_overdue) {
            return;
        }
        let sweep_done = matches!(self.presence, Presence::Present | Presence::Absent);
        let no_old_tasks =
            self.holder.is_valid(now) || !self.members.values().any(member::Member::active);
        let Some(backend) = &self.backend else { return };
        if !sweep_done || !no_old_tasks {
            return;
        }
        self.announce_due = false;
        self.announce_sent = Some(now);
        self.unanswered_since.get_or_insert(now);
        let leaving = self.leaving_since.is_some();
        out.push(step::Output::Send(agent::ClientMessage::Announce {
            spec: backend.spec.clone(),
            leaving,
        }));
    }

    fn announced(&mut self, now: time::Tick, announcement: &contract::Announcement, out: &mut Out) {
        let spec = common::WorkerSpec::from(announcement);
        if self.backend.as_ref().is_none_or(|backend| backend.spec != spec) {
            self.announce_due = true;
        }
        let (usage, leaving) = (announcement.usage, announcement.leaving);
        self.backend = Some(Backend { spec, usage, leaving, last_announced: now });
        if self.presence == Presence::Absent {
            self.sweep(out);
        }
    }

    fn sweep(&mut self, out: &mut Out) {
        self.presence = Presence::Sweeping;
        let keep = self.members.values().flat_map(member::Member::keys).collect();
        out.push(step::Output::Sweep { keep });
    }

    fn swept(&mut self, now: time::Tick, ok: bool, out: &mut Out) {
        if self.presence != Presence::Sweeping {
            return;
        }
        let event = if ok { event::agent::BACKEND_PRESENT } else { event::agent::SWEEP_FAILED };
        let worker = self.worker().unwrap_or_default();
        out.push(step::Output::Log(event, format!("worker={worker}")));
        self.presence =
            if ok { Presence::Present } else { Presence::SweepFailed(now + SWEEP_RETRY_DELAY) };
    }

    fn tick(&mut self, now: time::Tick, out: &mut Out) {
        self.check_backend(now, out);
        self.check_session(now, out);
        if let Presence::SweepFailed(until) = self.presence
            && now >= until
        {
            self.sweep(out);
        }
        if now - self.last_heartbeat >= lease::HEARTBEAT_INTERVAL {
            self.send_heartbeat(now, out);
        }
        self.tick_members(now, out);
    }

    fn check_backend(&mut self, now: time::Tick, out: &mut Out) {
        let Some(backend) = &self.backend else { return };
        if self.presence == Presence::Absent || now - backend.last_announced < BACKEND_TIMEOUT {
            return;
        }
        self.presence = Presence::Absent;
        let worker = backend.spec.name.clone();
        out.push(step::Output::Log(event::agent::BACKEND_SILENT, format!("worker={worker}")));
        self.fail_all(now, "the backend server fell silent", out);
    }

    /// Drops a session on which the leader does not respond. The leader or the network may have
    /// failed without closing the connection, and the lease leaves time to find the next leader.
    fn check_session(&mut self, now: time::Tick, out: &mut Out) {
        let silent = self.unanswered_since.is_some_and(|since| now - since >= SESSION_TIMEOUT);
        if self.connected && silent {
            self.disconnected();
            out.push(step::Output::Reconnect);
        }
    }

    /// Requests the renewal of the lease, unless its epoch was fenced.
    fn send_heartbeat(&mut self, now: time::Tick, out: &mut Out) {
        if !self.connected || self.holder.is_fenced() {
            return;
        }
        self.last_heartbeat = now;
        self.unanswered_since.get_or_insert(now);
        let sequence = self.holder.heartbeat(now);
        let occupying = self.members.iter().filter(|(_, member)| member.occupies_capacity());
        let ended = self
            .members
            .iter()
            .filter(|(_, member)| !member.occupies_capacity())
            .take(MAX_ENDED_REPORTED);
        let attempts = occupying.chain(ended).map(|(attempt, _)| (*attempt).into()).collect();
        let usage = self.backend.as_ref().map(|backend| backend.usage).unwrap_or_default();
        out.push(step::Output::Send(agent::ClientMessage::Heartbeat {
            sequence,
            epoch: self.holder.epoch().0,
            revision: self.revision.0,
            attempts,
            usage: usage.into(),
        }));
    }
}
