//! What an agent holds and decides, without input or output.
//!
//! [`State::step`] takes one [`Input`] at a time, with the agent's own monotonic time, and appends
//! what is to be done. It looks at the lease before anything else, so that a process that was
//! frozen finds its lease ended before it acts on what it reads next.
//!
//! [`agent::ClientMessage::Ended`] is sent only when nothing of the attempt runs here any more, whatever the
//! result says.

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

/// How long the backend server may be silent before it is taken as gone.
pub const BACKEND_TIMEOUT: time::Millis = time::Millis::from_secs(3);

/// How soon a backend server is to repeat its announcement.
pub const ANNOUNCE_INTERVAL: time::Millis = time::Millis(500);

/// How long the leader may leave heartbeats and announcements unanswered.
pub const SESSION_TIMEOUT: time::Millis = time::Millis::from_secs(2);

/// How long the agent waits for a registration before it announces the worker again.
const ANNOUNCE_RESEND: time::Millis = time::Millis::from_secs(2);

/// Attempts without tasks that one heartbeat tells of at most; the others follow later.
const MAX_TOLD: usize = 64;

/// How long the agent waits after a failed look at the backend server's tasks.
const SWEEP_PAUSE: time::Millis = time::Millis::from_secs(1);

macros::value_types! {
    /// Whether the backend server is there.
    enum Presence {
        /// It has not announced itself, or has fallen silent.
        Absent,
        /// It is there; tasks that nothing here knows are being stopped.
        Sweeping,
        /// It is there, but looking at its tasks failed; tried again from then on.
        Unswept(time::Tick),
        /// It is there.
        Present,
    }
}

/// What the backend server announced last.
struct Backend {
    spec: common::WorkerSpec,
    usage: contract::Usage,
    leaving: bool,
    heard: time::Tick,
}

/// The state of an agent.
pub struct State {
    holder: lease::Holder,
    /// The fencing token for the backend server.
    fence: u64,
    /// The first epoch given to this run of the agent; an earlier run has held those below.
    first_epoch: Option<ids::Epoch>,
    /// Whether the lease was valid when last looked at.
    leased: bool,
    connected: bool,
    /// Since when something that was said has gone unanswered.
    unanswered: Option<time::Tick>,
    revision: ids::Revision,
    backend: Option<Backend>,
    presence: Presence,
    /// Until when the backend server was told that tasks may run.
    granted: time::Tick,
    /// The agent itself is stopping.
    stopping: bool,
    /// Since when no new work is wanted.
    leaving: Option<time::Tick>,
    /// Whether the leader is to be told of the worker.
    announce: bool,
    /// Since when a registration is awaited.
    awaiting: Option<time::Tick>,
    /// When the last heartbeat was sent.
    beaten: time::Tick,
    members: BTreeMap<ids::AttemptKey, member::Member>,
    tombstones: tombstones::Tombstones,
}

type Out = Vec<step::Output>;

impl State {
    /// Knows no backend server, holds no lease and no tasks. The fencing tokens are counted from
    /// `fence`, which is to be random, so that no other run of the agent has used them.
    pub fn new(fence: u64) -> Self {
        Self {
            holder: lease::Holder::new(),
            fence,
            first_epoch: None,
            leased: false,
            connected: false,
            unanswered: None,
            revision: ids::Revision(0),
            backend: None,
            presence: Presence::Absent,
            granted: time::Tick(0),
            stopping: false,
            leaving: None,
            announce: false,
            awaiting: None,
            beaten: time::Tick(0),
            members: BTreeMap::new(),
            tombstones: tombstones::Tombstones::default(),
        }
    }

    /// Takes one input and appends what is to be done.
    pub fn step(&mut self, now: time::Tick, input: step::Input, out: &mut Out) {
        self.check_lease(now, out);
        match input {
            step::Input::Connected => self.connected(now, out),
            step::Input::Disconnected => self.disconnected(),
            step::Input::Received(down) => self.down(now, down, out),
            step::Input::Announced(announcement) => self.announced(now, &announcement, out),
            step::Input::Swept(ok) => self.swept(now, ok, out),
            step::Input::StartFinished(task, begun) => self.begun(now, task, begun, out),
            step::Input::Watched(task, seen) => self.watched(now, task, seen, out),
            step::Input::Stopped(task, seen) => self.stopped(now, task, seen, out),
            step::Input::Fetched(attempt, fetched) => self.fetched(now, attempt, fetched, out),
            step::Input::Delivered(attempt) => self.delivered(now, attempt),
            step::Input::Leave => self.stopping = true,
            step::Input::StopAll(grace) => self.stop_all(now, grace, out),
            step::Input::Tick => self.tick(now, out),
        }
        self.check_leaving(now, out);
        self.check_announce(now, out);
    }

    /// The name of the worker; none before the first announcement.
    pub fn worker(&self) -> Option<&str> {
        self.backend.as_ref().map(|backend| backend.spec.name.as_str())
    }

    /// Whether the worker is registered and holds its lease.
    pub fn ready(&self, now: time::Tick) -> bool {
        self.holder.is_valid(now) && self.presence == Presence::Present
    }

    /// The epoch held or last held.
    pub fn epoch(&self) -> ids::Epoch {
        self.holder.epoch()
    }

    /// The revision of the configuration that this agent was told of last.
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }

    /// Whether every attempt has ended, and control has stored its end.
    pub fn idle(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether the leader has taken note of the worker as it stands.
    pub fn is_announced(&self) -> bool {
        let told = self.connected && !self.announce && self.awaiting.is_none();
        self.backend.is_none() || told
    }

    /// Tasks that take up room.
    pub fn occupied(&self) -> u32 {
        let members = self.members.values().filter(|member| member.occupies());
        members.map(|member| member.prepare().tasks).sum()
    }

    /// The lease to hand to the backend server, in answer to an announcement.
    ///
    /// It is withheld while a stop goes unconfirmed, so that the backend server stops the task
    /// itself when what it holds has run out.
    pub fn grant_lease(&mut self, now: time::Tick) -> contract::Lease {
        let withheld = self.members.values().any(|member| member.overdue(now, BACKEND_TIMEOUT));
        let valid = self.holder.is_valid(now) && !withheld;
        if let Some(expires) = self.holder.expires()
            && valid
        {
            self.granted = self.granted.max(expires);
        }
        let lease = if valid { self.holder.remaining(now) } else { time::Millis(0) };
        contract::Lease { fence: self.fence, lease_ms: lease.0, repeat_ms: ANNOUNCE_INTERVAL.0 }
    }

    fn connected(&mut self, now: time::Tick, out: &mut Out) {
        self.connected = true;
        self.unanswered = None;
        self.announce = true;
        self.beat(now, out);
        self.report_all(now, out);
    }

    fn disconnected(&mut self) {
        self.connected = false;
        self.unanswered = None;
        self.awaiting = None;
    }

    fn down(&mut self, now: time::Tick, down: agent::ServerMessage, out: &mut Out) {
        self.unanswered = None;
        match down {
            agent::ServerMessage::Welcome { .. } | agent::ServerMessage::NotLeader { .. } => {}
            agent::ServerMessage::Registered { epoch, .. } => {
                self.registered(now, ids::Epoch(epoch), out)
            }
            agent::ServerMessage::Lease { sequence, epoch, duration } => {
                self.holder.grant(sequence, ids::Epoch(epoch), time::Millis(duration));
                self.leased = self.holder.is_valid(now);
            }
            agent::ServerMessage::Fenced { epoch } => {
                if self.holder.fence(ids::Epoch(epoch)) {
                    out.push(step::Output::Log(event::agent::FENCED, format!("epoch={epoch}")));
                    self.announce = true;
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
            agent::ServerMessage::EndStored { attempt } => self.forget(now, attempt.into(), out),
        }
    }

    fn registered(&mut self, now: time::Tick, epoch: ids::Epoch, out: &mut Out) {
        self.awaiting = None;
        if self.holder.register(epoch) {
            self.first_epoch.get_or_insert(epoch);
            out.push(step::Output::Log(event::agent::REGISTERED, format!("epoch={epoch}")));
            self.check_lease(now, out);
        }
        self.beat(now, out);
    }

    /// Ends what runs under a lease that is over.
    fn check_lease(&mut self, now: time::Tick, out: &mut Out) {
        let valid = self.holder.is_valid(now);
        if self.leased && !valid {
            self.leased = false;
            let epoch = self.holder.epoch();
            out.push(step::Output::Log(event::agent::LEASE_LOST, format!("epoch={epoch}")));
            self.lose_all(now, "the lease ended", out);
        }
    }

    fn check_leaving(&mut self, now: time::Tick, out: &mut Out) {
        let gone = self.presence == Presence::Absent;
        let said = self.backend.as_ref().is_some_and(|backend| backend.leaving);
        let leaving = self.stopping || gone || said;
        match (leaving, self.leaving) {
            (true, None) => {
                self.leaving = Some(now);
                if self.backend.is_some() {
                    let details = format!("agent={} backend={said}", self.stopping);
                    out.push(step::Output::Log(event::agent::LEAVING, details));
                }
            }
            (false, Some(_)) => self.leaving = None,
            _ => return,
        }
        self.announce = true;
    }

    /// Announces the worker where that is due, but never while tasks of a lease that is over may
    /// still run: a registration means that they are gone.
    fn check_announce(&mut self, now: time::Tick, out: &mut Out) {
        let late = self.awaiting.is_some_and(|sent| now - sent >= ANNOUNCE_RESEND);
        if !self.connected || !(self.announce || late) {
            return;
        }
        let swept = matches!(self.presence, Presence::Present | Presence::Absent);
        let clean = self.holder.is_valid(now) || !self.members.values().any(member::Member::active);
        let Some(backend) = &self.backend else { return };
        if !swept || !clean {
            return;
        }
        self.announce = false;
        self.awaiting = Some(now);
        self.unanswered.get_or_insert(now);
        let leaving = self.leaving.is_some();
        out.push(step::Output::Send(agent::ClientMessage::Announce {
            spec: backend.spec.clone(),
            leaving,
        }));
    }

    fn announced(&mut self, now: time::Tick, announcement: &contract::Announcement, out: &mut Out) {
        let spec = common::WorkerSpec::from(announcement);
        if self.backend.as_ref().is_none_or(|backend| backend.spec != spec) {
            self.announce = true;
        }
        let (usage, leaving) = (announcement.usage, announcement.leaving);
        self.backend = Some(Backend { spec, usage, leaving, heard: now });
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
        self.presence = if ok { Presence::Present } else { Presence::Unswept(now + SWEEP_PAUSE) };
    }

    fn tick(&mut self, now: time::Tick, out: &mut Out) {
        self.check_silence(now, out);
        self.check_session(now, out);
        if let Presence::Unswept(until) = self.presence
            && now >= until
        {
            self.sweep(out);
        }
        if now - self.beaten >= lease::HEARTBEAT_INTERVAL {
            self.beat(now, out);
        }
        self.tick_members(now, out);
    }

    fn check_silence(&mut self, now: time::Tick, out: &mut Out) {
        let Some(backend) = &self.backend else { return };
        if self.presence == Presence::Absent || now - backend.heard < BACKEND_TIMEOUT {
            return;
        }
        self.presence = Presence::Absent;
        let worker = backend.spec.name.clone();
        out.push(step::Output::Log(event::agent::BACKEND_GONE, format!("worker={worker}")));
        self.lose_all(now, "the backend server fell silent", out);
    }

    /// Drops a session on which nothing is answered: the leader, or the way to it, may be gone
    /// without a sign, and the lease leaves time to find the next one.
    fn check_session(&mut self, now: time::Tick, out: &mut Out) {
        let silent = self.unanswered.is_some_and(|since| now - since >= SESSION_TIMEOUT);
        if self.connected && silent {
            self.disconnected();
            out.push(step::Output::Reconnect);
        }
    }

    /// Asks for the lease to be renewed, where there is one to renew.
    fn beat(&mut self, now: time::Tick, out: &mut Out) {
        if !self.connected || self.holder.is_fenced() {
            return;
        }
        self.beaten = now;
        self.unanswered.get_or_insert(now);
        let sequence = self.holder.heartbeat(now);
        let held = self.members.iter().filter(|(_, member)| member.occupies());
        let over = self.members.iter().filter(|(_, member)| !member.occupies()).take(MAX_TOLD);
        let attempts = held.chain(over).map(|(attempt, _)| (*attempt).into()).collect();
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
