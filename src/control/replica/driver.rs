//! The event loop around the consensus core, which queues its inputs and handles its outputs.

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
use crate::control::replica::addresses;
use crate::control::replica::calls;
use crate::control::replica::candidates;
use crate::control::replica::peer;
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

/// Size of the applied entries after which a snapshot is taken, unless the last snapshot is larger.
const SNAPSHOT_INTERVAL_BYTES: u64 = 8 * 1024 * 1024;

/// Bytes added to the size of each entry's command.
const ENTRY_OVERHEAD_BYTES: u64 = 64;

/// The last applied entry, and the entries applied since the last snapshot.
struct Applied {
    index: ids::LogIndex,
    term: ids::Term,
    /// Size of the entries applied since the last snapshot.
    bytes: u64,
    /// Size of the last snapshot.
    snapshot_bytes: u64,
    /// Whether a snapshot is being saved.
    saving: bool,
}

/// The consensus core with its state machine, writer and streams.
pub(super) struct Driver {
    core: cell::RefCell<replica::Core>,
    machine: rc::Rc<cell::RefCell<dyn machine::Machine>>,
    addresses: addresses::Addresses,
    calls: cell::RefCell<calls::Calls>,
    /// Whether waiting proposals are appended together.
    group_commit: bool,
    applied: cell::RefCell<Applied>,
    links: cell::RefCell<BTreeMap<entry::Identity, peer::Link>>,
    /// Links to former members that have not ended yet.
    retired: cell::RefCell<Vec<peer::Link>>,
    /// Streams that peers have opened, which carry the responses to them.
    reply_streams: cell::RefCell<BTreeMap<entry::Identity, peer::ReplyStream>>,
    writer: cell::RefCell<Option<writer::Writer>>,
    candidates: cell::RefCell<candidates::Candidates>,
    disk: sync::Arc<dyn disk::Disk>,
    started: Millis,
    wake: tokio::sync::Notify,
    stopping: watch::Sender<bool>,
    failure: watch::Sender<Option<String>>,
    /// Incremented by each iteration of the event loop.
    iterations: watch::Sender<u64>,
}

impl Driver {
    pub(super) fn new(
        initial: replica::InitialState,
        store: folder::Store,
        disk: sync::Arc<dyn disk::Disk>,
        options: Options,
        machine: rc::Rc<cell::RefCell<dyn machine::Machine>>,
        addresses: addresses::Addresses,
    ) -> (rc::Rc<Self>, mpsc::UnboundedReceiver<writer::Completion>) {
        let (completion_sender, completions) = mpsc::unbounded_channel();
        let snapshot = initial.snapshot.as_ref();
        let applied = Applied {
            index: snapshot.map_or(ids::LogIndex(0), |snapshot| snapshot.index),
            term: snapshot.map_or(ids::Term(0), |snapshot| snapshot.term),
            bytes: 0,
            snapshot_bytes: snapshot.map_or(0, |snapshot| snapshot.length),
            saving: false,
        };
        let driver = Self {
            core: cell::RefCell::new(replica::Core::new(Tick(0), initial)),
            machine,
            addresses,
            calls: cell::RefCell::default(),
            group_commit: options.group_commit,
            applied: cell::RefCell::new(applied),
            links: cell::RefCell::default(),
            retired: cell::RefCell::default(),
            candidates: cell::RefCell::default(),
            reply_streams: cell::RefCell::default(),
            writer: cell::RefCell::new(Some(writer::Writer::start(
                store,
                options.group_commit,
                completion_sender,
            ))),
            disk,
            started: clock::since_boot(),
            wake: tokio::sync::Notify::new(),
            stopping: watch::Sender::new(false),
            failure: watch::Sender::new(None),
            iterations: watch::Sender::new(0),
        };
        (rc::Rc::new(driver), completions)
    }

    fn now(&self) -> Tick {
        Tick(clock::since_boot().0 - self.started.0)
    }

    /// Queues an input for the next iteration.
    pub(super) fn push(&self, input: message::Input) {
        self.calls.borrow_mut().push(input);
        self.wake.notify_one();
    }

    pub(super) fn propose(&self, command: Bytes) -> calls::ResultReceiver<Vec<u8>> {
        self.wake.notify_one();
        self.calls.borrow_mut().propose(command)
    }

    pub(super) fn read(&self) -> calls::ResultReceiver<()> {
        self.wake.notify_one();
        self.calls.borrow_mut().read()
    }

    /// Proposes the next membership change towards the targets; none if the group matches them or
    /// waits for a learner to catch up.
    pub(super) fn reconfigure(
        &self,
        targets: &[membership::Target],
    ) -> Option<calls::ResultReceiver<Vec<u8>>> {
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

    /// The group that this replica has durably joined, if any.
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
            // A store that another store has replaced does not vote.
            voter: member.voter && !replaced(member.id),
            matched: core.matched(member.id),
            replaced: replaced(member.id),
            silent_for: core.last_response(member.id).map_or(Millis(0), |last| self.now() - last),
        };
        machine::GroupView {
            role: machine_role(&core, core.role()),
            term: core.hard_state().term,
            committed: core.committed(),
            peers: core.membership().members.iter().map(view).collect(),
            candidates: self.candidates.borrow_mut().active(self.now()),
        }
    }

    /// Records that a replica asks to be admitted.
    pub(super) fn add_candidate(&self, replica: ids::ReplicaKey, addr: String) {
        self.candidates.borrow_mut().add(replica, addr, self.now());
    }

    /// The number of voters.
    pub(super) fn voters(&self) -> usize {
        self.core.borrow().membership().voters().count()
    }

    /// The addresses of all members.
    pub(super) fn member_addrs(&self) -> Vec<String> {
        let core = self.core.borrow();
        core.membership().members.iter().map(|member| member.addr.clone()).collect()
    }

    /// The addresses of the members and, while this replica neither leads nor hears from a leader, of
    /// the replicas that other processes have reported.
    pub(super) fn known_addrs(&self) -> Vec<String> {
        let mut known = self.member_addrs();
        if !self.is_led() {
            let reported = self.addresses.reported();
            known.extend(reported.iter().map(net::SocketAddr::to_string));
        }
        known
    }

    /// The addresses that this replica knows apart from the members'.
    pub(super) fn addresses(&self) -> &addresses::Addresses {
        &self.addresses
    }

    /// Whether this replica leads or hears from a leader.
    pub(super) fn is_led(&self) -> bool {
        !matches!(self.core.borrow().role(), message::Role::Follower(None))
    }

    /// Resolves once another replica is known to lead, or when this replica stops.
    pub(super) async fn successor_elected(&self) {
        let follows = |role| matches!(role, message::Role::Follower(Some(_)));
        self.wait_until(|driver| follows(driver.core.borrow().role())).await;
    }

    /// Resolves after an iteration in which the condition holds, or when the replica stops.
    pub(super) async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        let mut iterations = self.iterations.subscribe();
        let mut stopping = self.stopping.subscribe();
        while !condition(self) && !*stopping.borrow() {
            tokio::select! {
                changed = iterations.changed() => if changed.is_err() { return },
                _ = stopping.changed() => return,
            }
        }
    }

    /// Resolves when this replica does not lead, or when it stops.
    pub(super) async fn stepped_down(&self) {
        self.wait_until(|driver| !matches!(driver.core.borrow().role(), message::Role::Leader(_)))
            .await;
    }

    pub(super) fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Resolves when the replica stops.
    pub(super) async fn stopped(&self) {
        let _ = self.stopping.subscribe().wait_for(|stopping| *stopping).await;
    }

    /// Resolves when the store fails, with the cause.
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

    /// Sets the stream that carries the responses to a peer: the last on which the peer has sent a
    /// message.
    pub(super) fn add_reply_stream(&self, id: entry::Identity, stream: &peer::ReplyStream) {
        let reply_streams = &mut *self.reply_streams.borrow_mut();
        if !reply_streams.get(&id).is_some_and(|known| known.is_same(stream)) {
            reply_streams.retain(|_, stream| !stream.is_closed());
            reply_streams.insert(id, stream.clone());
        }
    }

    /// Passes one input to the core and handles its outputs.
    fn step(self: &rc::Rc<Self>, input: message::Input) {
        let mut out = Vec::new();
        self.core.borrow_mut().step(self.now(), input, &mut out);
        for output in out {
            self.handle_output(output);
        }
    }

    /// Passes all queued inputs to the core.
    fn process_inputs(self: &rc::Rc<Self>) {
        let inputs = self.calls.borrow_mut().take_inputs(self.group_commit);
        for input in inputs {
            self.step(input);
        }
        if self.now() >= self.core.borrow().deadline() {
            self.step(message::Input::Tick);
        }
        self.update_links();
        self.iterations.send_modify(|iteration| *iteration += 1);
    }

    fn handle_output(&self, output: message::Output) {
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
            message::Output::ReadReady { token, .. } => self.calls.borrow_mut().read_ready(token),
            message::Output::SteppedDown => self.calls.borrow_mut().stepped_down(),
            message::Output::RoleChanged(role) => {
                let role = machine_role(&self.core.borrow(), role);
                event::store::ROLE_CHANGED.log(format_args!("role={role:?}"));
                self.machine.borrow_mut().role_changed(role);
            }
        }
    }

    fn apply(&self, entries: Vec<entry::Entry>) {
        for entry in entries {
            let result = match &entry.payload {
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
            applied.bytes += entry.size() as u64 + ENTRY_OVERHEAD_BYTES;
            self.calls.borrow_mut().applied(entry.index, entry.term, result);
        }
        self.snapshot_if_due();
    }

    /// Takes a snapshot if enough was applied since the last one and none is being saved.
    fn snapshot_if_due(&self) {
        let applied = &mut *self.applied.borrow_mut();
        if applied.saving || applied.bytes < SNAPSHOT_INTERVAL_BYTES.max(applied.snapshot_bytes) {
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
        applied.snapshot_bytes = snapshot.length;
        if let Some(writer) = &*self.writer.borrow() {
            writer.save_snapshot(snapshot, bytes);
        }
    }

    fn restore(&self, snapshot: &entry::Snapshot, bytes: &[u8]) {
        event::store::SNAPSHOT_RECEIVED.log(format_args!("index={}", snapshot.index));
        self.machine.borrow_mut().restore(bytes);
        let applied = &mut *self.applied.borrow_mut();
        applied.index = snapshot.index;
        applied.term = snapshot.term;
        applied.bytes = 0;
        applied.snapshot_bytes = snapshot.length;
    }

    fn send(&self, mut envelope: message::Envelope) {
        if let message::Body::SnapshotChunk { snapshot, offset, bytes } = &mut envelope.body {
            let store = self.id().store;
            let length = consensus::CHUNK_BYTES;
            match snapshot::read_chunk(self.disk.as_ref(), store, snapshot, *offset, length) {
                Ok(read) => *bytes = read,
                // A newer snapshot has replaced this one; the next attempt sends the newer one.
                Err(_) => return,
            }
        }
        let to = envelope.to;
        if let Some(stream) = self.reply_streams.borrow().get(&to)
            && peer::is_response(&envelope.body)
            && stream.send(envelope.clone())
        {
            return;
        }
        if let Some(link) = self.links.borrow().get(&to) {
            link.send(envelope);
        }
    }

    /// Opens a link to each other member and retires the links to former members and addresses.
    fn update_links(self: &rc::Rc<Self>) {
        let core = self.core.borrow();
        let id = core.id();
        let members = &core.membership().members;
        let links = &mut *self.links.borrow_mut();
        let is_current = |id, link: &peer::Link| {
            members.iter().any(|member| member.id == id && link.dials(&member.addr))
        };
        let retired = &mut *self.retired.borrow_mut();
        retired.retain(|link| !link.has_ended());
        retired.extend(
            links.extract_if(.., |id, link| !is_current(*id, link)).map(|(_, link)| link.retire()),
        );
        for member in members.iter().filter(|member| member.id != id) {
            links.entry(member.id).or_insert_with(|| peer::Link::open(self.clone(), member));
        }
    }

    fn handle_completion(self: &rc::Rc<Self>, completion: writer::Completion) {
        match completion {
            writer::Completion::Persisted(sequence) => {
                self.calls.borrow_mut().push(message::Input::Persisted(sequence));
            }
            writer::Completion::SnapshotSaved(snapshot) => {
                event::store::SNAPSHOT_SAVED
                    .log(format_args!("index={} bytes={}", snapshot.index, snapshot.length));
                self.applied.borrow_mut().saving = false;
                self.calls.borrow_mut().push(message::Input::Compact(snapshot));
            }
            writer::Completion::Failed(error) => {
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

/// Runs the event loop until the replica stops.
pub(super) async fn run(
    driver: rc::Rc<Driver>,
    mut completions: mpsc::UnboundedReceiver<writer::Completion>,
) {
    let mut stopping = driver.stopping.subscribe();
    loop {
        let deadline = driver.core.borrow().deadline();
        let time_left = (deadline - driver.now()).to_duration();
        tokio::select! {
            biased;
            _ = stopping.wait_for(|stopping| *stopping) => break,
            Some(first) = completions.recv() => {
                driver.handle_completion(first);
                while let Ok(next) = completions.try_recv() {
                    driver.handle_completion(next);
                }
            }
            () = driver.wake.notified() => {}
            () = tokio::time::sleep(time_left) => {}
        }
        driver.process_inputs();
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
    event::store::MEMBERSHIP_CHANGED.log(format_args!("members={}", members.join(",")));
}
