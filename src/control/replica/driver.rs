//! The loop round the core: inputs are queued, taken in turns, and their outputs carried out.

use std::cell;
use std::collections::BTreeMap;
use std::net;
use std::rc;
use std::sync;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::control::clock;
use crate::control::machine;
use crate::control::replica::Options;
use crate::control::replica::calls;
use crate::control::replica::candidates;
use crate::control::replica::peer;
use crate::control::replica::place;
use crate::control::replica::writer;
use crate::core::consensus;
use crate::core::consensus::entry;
use crate::core::consensus::membership;
use crate::core::consensus::message;
use crate::core::consensus::replica;
use crate::core::ids;
use crate::core::time::Millis;
use crate::core::time::Tick;
use crate::store;
use crate::store::disk;
use crate::store::folder;
use crate::store::snapshot;
use crate::telemetry::event;

/// Bytes of commands applied after which a snapshot is made, unless the last snapshot was longer.
const SNAPSHOT_BYTES: u64 = 8 * 1024 * 1024;

/// Bytes that count for each entry besides its command.
const ENTRY_OVERHEAD: u64 = 64;

/// How much was applied since the last snapshot.
struct Applied {
    index: ids::LogIndex,
    term: ids::Term,
    bytes: u64,
    /// Length of the last snapshot.
    last_length: u64,
    saving: bool,
}

/// The core and what surrounds it.
pub(super) struct Driver {
    core: cell::RefCell<replica::Core>,
    machine: rc::Rc<cell::RefCell<dyn machine::Machine>>,
    place: place::Place,
    calls: cell::RefCell<calls::Calls>,
    /// Whether proposals that wait are appended together.
    grouped: bool,
    applied: cell::RefCell<Applied>,
    links: cell::RefCell<BTreeMap<entry::Identity, peer::Link>>,
    /// Links to former members, until they have ended.
    retired: cell::RefCell<Vec<peer::Link>>,
    /// Streams that peers have opened, for answers to them.
    routes: cell::RefCell<BTreeMap<entry::Identity, peer::Route>>,
    writer: cell::RefCell<Option<writer::Writer>>,
    candidates: cell::RefCell<candidates::Candidates>,
    disk: sync::Arc<dyn disk::Disk>,
    started: Millis,
    wake: tokio::sync::Notify,
    stopping: watch::Sender<bool>,
    failure: watch::Sender<Option<String>>,
    /// Changes with each turn.
    turns: watch::Sender<u64>,
}

impl Driver {
    pub(super) fn new(
        boot: replica::InitialState,
        store: folder::Store,
        disk: sync::Arc<dyn disk::Disk>,
        options: Options,
        machine: rc::Rc<cell::RefCell<dyn machine::Machine>>,
        place: place::Place,
    ) -> (rc::Rc<Self>, mpsc::UnboundedReceiver<writer::Done>) {
        let (done_sender, done) = mpsc::unbounded_channel();
        let snapshot = boot.snapshot.as_ref();
        let applied = Applied {
            index: snapshot.map_or(ids::LogIndex(0), |snapshot| snapshot.index),
            term: snapshot.map_or(ids::Term(0), |snapshot| snapshot.term),
            bytes: 0,
            last_length: snapshot.map_or(0, |snapshot| snapshot.length),
            saving: false,
        };
        let driver = Self {
            core: cell::RefCell::new(replica::Core::new(Tick(0), boot)),
            machine,
            place,
            calls: cell::RefCell::default(),
            grouped: options.grouped,
            applied: cell::RefCell::new(applied),
            links: cell::RefCell::default(),
            retired: cell::RefCell::default(),
            candidates: cell::RefCell::default(),
            routes: cell::RefCell::default(),
            writer: cell::RefCell::new(Some(writer::Writer::start(
                store,
                options.grouped,
                done_sender,
            ))),
            disk,
            started: clock::since_boot(),
            wake: tokio::sync::Notify::new(),
            stopping: watch::Sender::new(false),
            failure: watch::Sender::new(None),
            turns: watch::Sender::new(0),
        };
        (rc::Rc::new(driver), done)
    }

    fn now(&self) -> Tick {
        Tick(clock::since_boot().0 - self.started.0)
    }

    /// Queues an input for the next turn.
    pub(super) fn push(&self, input: message::Input) {
        self.calls.borrow_mut().push(input);
        self.wake.notify_one();
    }

    pub(super) fn propose(&self, command: Bytes) -> calls::Answered<Vec<u8>> {
        self.wake.notify_one();
        self.calls.borrow_mut().propose(command)
    }

    pub(super) fn read(&self) -> calls::Answered<()> {
        self.wake.notify_one();
        self.calls.borrow_mut().read()
    }

    /// Proposes the next step towards the targets; none if the group is there, or waits for a
    /// learner to catch up.
    pub(super) fn reconfigure(
        &self,
        targets: &[membership::Target],
    ) -> Option<calls::Answered<Vec<u8>>> {
        let (core, now) = (self.core.borrow(), self.now());
        let next =
            membership::next_step(core.membership(), targets, |id| core.member_state(now, id))?;
        self.wake.notify_one();
        Some(self.calls.borrow_mut().reconfigure(next))
    }

    pub(super) fn leads(&self) -> bool {
        self.core.borrow().leads(self.now())
    }

    pub(super) fn id(&self) -> entry::Identity {
        self.core.borrow().id()
    }

    /// The group, once joined durably.
    pub(super) fn group(&self) -> Option<ids::GroupKey> {
        self.core.borrow().group()
    }

    /// The last entry of the log.
    pub(super) fn last(&self) -> ids::LogIndex {
        self.core.borrow().last()
    }

    pub(super) fn view(&self) -> machine::GroupView {
        let core = self.core.borrow();
        let links = self.links.borrow();
        let replaced = |id| links.get(&id).is_some_and(peer::Link::is_replaced);
        let view = |member: &entry::Member| machine::PeerView {
            key: member.id.replica,
            addr: member.addr.clone(),
            // A store that another has taken the place of votes no more.
            voter: member.voter && !replaced(member.id),
            matched: core.matched(member.id),
            replaced: replaced(member.id),
            silent_for: core.last_response(member.id).map_or(Millis(0), |heard| self.now() - heard),
        };
        machine::GroupView {
            role: machine_role(&core, core.role()),
            term: core.hard_state().term,
            committed: core.committed(),
            peers: core.membership().members.iter().map(view).collect(),
            candidates: self.candidates.borrow_mut().present(self.now()),
        }
    }

    /// Takes note of a replica that waits to be admitted.
    pub(super) fn add_candidate(&self, replica: ids::ReplicaKey, addr: String) {
        self.candidates.borrow_mut().add(replica, addr, self.now());
    }

    /// How many members vote.
    pub(super) fn voters(&self) -> usize {
        self.core.borrow().membership().voters().count()
    }

    /// The addresses of all members.
    pub(super) fn member_addrs(&self) -> Vec<String> {
        let core = self.core.borrow();
        core.membership().members.iter().map(|member| member.addr.clone()).collect()
    }

    /// The addresses of all replicas known: of no others than the members while there is a leader.
    pub(super) fn known_addrs(&self) -> Vec<String> {
        let mut known = self.member_addrs();
        if !self.is_led() {
            let heard = self.place.heard();
            known.extend(heard.iter().map(net::SocketAddr::to_string));
        }
        known
    }

    /// Where it is found, and where it looks for others.
    pub(super) fn place(&self) -> &place::Place {
        &self.place
    }

    /// Whether this replica leads or hears from a leader.
    pub(super) fn is_led(&self) -> bool {
        !matches!(self.core.borrow().role(), message::Role::Follower(None))
    }

    /// Resolves once another replica is known to lead, or the replica stops.
    pub(super) async fn succeeded(&self) {
        let follows = |role| matches!(role, message::Role::Follower(Some(_)));
        self.until(|driver| follows(driver.core.borrow().role())).await;
    }

    /// Resolves after a turn in which the condition holds, or when the replica stops.
    pub(super) async fn until(&self, condition: impl Fn(&Self) -> bool) {
        let mut turns = self.turns.subscribe();
        let mut stopping = self.stopping.subscribe();
        while !condition(self) && !*stopping.borrow() {
            tokio::select! {
                changed = turns.changed() => if changed.is_err() { return },
                _ = stopping.changed() => return,
            }
        }
    }

    pub(super) async fn stood_down(&self) {
        self.until(|driver| !matches!(driver.core.borrow().role(), message::Role::Leader(_))).await;
    }

    pub(super) fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Resolves when the replica stops.
    pub(super) async fn stopped(&self) {
        let _ = self.stopping.subscribe().wait_for(|stopping| *stopping).await;
    }

    pub(super) async fn failed(&self) -> String {
        let mut failure = self.failure.subscribe();
        let failed = failure.wait_for(Option::is_some).await;
        failed.ok().and_then(|cause| cause.clone()).unwrap_or_default()
    }

    pub(super) fn take_links(&self) -> Vec<peer::Link> {
        let links = self.links.take().into_values();
        links.chain(self.retired.take()).collect()
    }

    pub(super) fn take_writer(&self) -> Option<writer::Writer> {
        self.writer.take()
    }

    /// Takes answers to a peer along the stream on which it has last spoken.
    pub(super) fn add_route(&self, id: entry::Identity, route: &peer::Route) {
        let routes = &mut *self.routes.borrow_mut();
        if !routes.get(&id).is_some_and(|known| known.is(route)) {
            routes.retain(|_, route| !route.is_closed());
            routes.insert(id, route.clone());
        }
    }

    /// Runs one input through the core and carries out its outputs.
    fn step(self: &rc::Rc<Self>, input: message::Input) {
        let mut out = Vec::new();
        self.core.borrow_mut().step(self.now(), input, &mut out);
        for output in out {
            self.carry_out(output);
        }
    }

    /// Takes everything that waits.
    fn turn(self: &rc::Rc<Self>) {
        let inputs = self.calls.borrow_mut().take(self.grouped);
        for input in inputs {
            self.step(input);
        }
        if self.now() >= self.core.borrow().deadline() {
            self.step(message::Input::Tick);
        }
        self.keep_links();
        self.turns.send_modify(|turn| *turn += 1);
    }

    fn carry_out(&self, output: message::Output) {
        match output {
            message::Output::Send(envelope) => self.send(envelope),
            message::Output::Persist(batch) => {
                if let Some(writer) = &*self.writer.borrow() {
                    writer.write(batch);
                }
            }
            message::Output::Commit(entries) => self.apply(entries),
            message::Output::Restore(snapshot, bytes) => self.restore(&snapshot, &bytes),
            message::Output::Accepted { token, index, term } => {
                self.calls.borrow_mut().accepted(token, index, term);
            }
            message::Output::Refused { token, reason } => {
                self.calls.borrow_mut().refused(token, reason);
            }
            message::Output::ReadReady { token, .. } => self.calls.borrow_mut().ready(token),
            message::Output::SteppedDown => self.calls.borrow_mut().stood_down(),
            message::Output::RoleChanged(role) => {
                let role = machine_role(&self.core.borrow(), role);
                event::store::ROLE.log(format_args!("role={role:?}"));
                self.machine.borrow_mut().role_changed(role);
            }
        }
    }

    fn apply(&self, entries: Vec<entry::Entry>) {
        for entry in entries {
            let answer = match &entry.payload {
                entry::Payload::Command(bytes) => {
                    self.machine.borrow_mut().apply(entry.index, bytes)
                }
                entry::Payload::Membership(membership) => {
                    log_membership(membership);
                    Vec::new()
                }
                entry::Payload::Noop => Vec::new(),
            };
            let applied = &mut *self.applied.borrow_mut();
            applied.index = entry.index;
            applied.term = entry.term;
            applied.bytes += entry.size() as u64 + ENTRY_OVERHEAD;
            self.calls.borrow_mut().applied(entry.index, entry.term, answer);
        }
        self.save_if_due();
    }

    /// Makes a snapshot once enough was applied since the last one.
    fn save_if_due(&self) {
        let applied = &mut *self.applied.borrow_mut();
        if applied.saving || applied.bytes < SNAPSHOT_BYTES.max(applied.last_length) {
            return;
        }
        let bytes = Bytes::from(self.machine.borrow().snapshot());
        let snapshot = entry::Snapshot {
            index: applied.index,
            term: applied.term,
            membership: self.core.borrow().membership_at(applied.index).clone(),
            length: bytes.len() as u64,
            checksum: crc32fast::hash(&bytes),
        };
        applied.bytes = 0;
        applied.saving = true;
        applied.last_length = snapshot.length;
        if let Some(writer) = &*self.writer.borrow() {
            writer.save(snapshot, bytes);
        }
    }

    fn restore(&self, snapshot: &entry::Snapshot, bytes: &[u8]) {
        event::store::SNAPSHOT_TAKEN.log(format_args!("index={}", snapshot.index));
        self.machine.borrow_mut().restore(bytes);
        let applied = &mut *self.applied.borrow_mut();
        applied.index = snapshot.index;
        applied.term = snapshot.term;
        applied.bytes = 0;
        applied.last_length = snapshot.length;
    }

    fn send(&self, mut envelope: message::Envelope) {
        if let message::Body::SnapshotChunk { snapshot, offset, bytes } = &mut envelope.body {
            let store = self.id().store;
            let length = consensus::CHUNK_BYTES;
            match snapshot::read_chunk(self.disk.as_ref(), store, snapshot, *offset, length) {
                Ok(read) => *bytes = read,
                // A newer snapshot has replaced it; the next try sends that one.
                Err(_) => return,
            }
        }
        let to = envelope.to;
        if let Some(route) = self.routes.borrow().get(&to)
            && peer::is_answer(&envelope.body)
            && route.send(envelope.clone())
        {
            return;
        }
        if let Some(link) = self.links.borrow().get(&to) {
            link.send(envelope);
        }
    }

    /// Keeps one link to each other member.
    fn keep_links(self: &rc::Rc<Self>) {
        let core = self.core.borrow();
        let id = core.id();
        let members = &core.membership().members;
        let links = &mut *self.links.borrow_mut();
        let leads = |id, link: &peer::Link| {
            members.iter().any(|member| member.id == id && link.leads_to(&member.addr))
        };
        let retired = &mut *self.retired.borrow_mut();
        retired.retain(|link| !link.has_ended());
        retired.extend(
            links.extract_if(.., |id, link| !leads(*id, link)).map(|(_, link)| link.retire()),
        );
        for member in members.iter().filter(|member| member.id != id) {
            links.entry(member.id).or_insert_with(|| peer::Link::open(self.clone(), member));
        }
    }

    fn take_done(self: &rc::Rc<Self>, done: writer::Done) {
        match done {
            writer::Done::Persisted(sequence) => {
                self.calls.borrow_mut().push(message::Input::Persisted(sequence));
            }
            writer::Done::Saved(snapshot) => {
                event::store::SNAPSHOT_SAVED
                    .log(format_args!("index={} bytes={}", snapshot.index, snapshot.length));
                self.applied.borrow_mut().saving = false;
                self.calls.borrow_mut().push(message::Input::Compact(snapshot));
            }
            writer::Done::Failed(error) => {
                match &error {
                    store::Error::Full(..) => event::store::DISK_FULL.log(format_args!("{error}")),
                    _ => event::store::WRITE_FAILED.log(format_args!("{error}")),
                }
                self.failure.send_replace(Some(error.to_string()));
                self.stop();
            }
        }
    }
}

/// Runs the loop until the replica stops.
pub(super) async fn run(driver: rc::Rc<Driver>, mut done: mpsc::UnboundedReceiver<writer::Done>) {
    let mut stopping = driver.stopping.subscribe();
    loop {
        let deadline = driver.core.borrow().deadline();
        let due = (deadline - driver.now()).to_duration();
        tokio::select! {
            biased;
            _ = stopping.wait_for(|stopping| *stopping) => break,
            Some(first) = done.recv() => {
                driver.take_done(first);
                while let Ok(next) = done.try_recv() {
                    driver.take_done(next);
                }
            }
            () = driver.wake.notified() => {}
            () = tokio::time::sleep(due) => {}
        }
        driver.turn();
    }
    driver.calls.borrow_mut().close();
}

fn machine_role(core: &replica::Core, role: message::Role) -> machine::Role {
    match role {
        message::Role::Leader(term) => machine::Role::Leader(term),
        message::Role::Follower(leader) => {
            let member = leader.and_then(|leader| core.membership().get(leader));
            let leader = member.map(|member| (member.id.replica, member.addr.clone()));
            machine::Role::Follower { leader }
        }
    }
}

fn log_membership(membership: &entry::Membership) {
    let members: Vec<String> = membership
        .members
        .iter()
        .map(|m| {
            format!("{}/{:08x}{}", m.id.replica, m.id.store.0 >> 96, if m.voter { "" } else { "?" })
        })
        .collect();
    event::store::MEMBERSHIP.log(format_args!("members={}", members.join(",")));
}
