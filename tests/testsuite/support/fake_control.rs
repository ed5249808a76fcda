//! A fake control replica for tests of the entry. It replies from memory or as a script tells it.

use std::cell;
use std::collections::BTreeMap;
use std::net;
use std::rc;
use std::time;

use futures_util::future::LocalBoxFuture;
use hemlockcleat::net::stream;
use hemlockcleat::wire::common;
use hemlockcleat::wire::entry as wire;
use hemlockcleat::wire::workflow;
use sha2::Digest as _;
use tokio::sync::watch;

/// The bearer token of the account `swan-coast` and of the entry's operator.
pub const TOKEN: &str = "correct-token";

/// The action that a script chooses for a call.
pub enum Action {
    /// Send the default replies.
    Default,
    /// Send these messages instead.
    Send(Vec<wire::ServerMessage>),
    /// Send these messages instead, after a delay during which the replica handles no message.
    Later(time::Duration, Vec<wire::ServerMessage>),
    /// Close the stream.
    Close,
}

type Script = Box<dyn FnMut(u64, &wire::Call) -> Action>;

pub struct Shared {
    /// Jobs by account and key.
    pub jobs: cell::RefCell<BTreeMap<(String, String), wire::Job>>,
    /// Answers by account and key.
    pub answers: cell::RefCell<BTreeMap<(String, String), Vec<u8>>>,
    /// All received calls, except for those that the entry makes by itself.
    pub calls: cell::RefCell<Vec<wire::Call>>,
    /// The trace identifier of each submission.
    pub traces: cell::RefCell<Vec<u128>>,
    /// Whether the replica confirms reports of refusals.
    pub confirms_reports: cell::Cell<bool>,
    /// All received reports of refusals.
    pub refusals: cell::RefCell<Vec<wire::ClientMessage>>,
    /// The leader's address, which the replica names while it is not the leader.
    pub leader: cell::RefCell<Option<String>>,
    pub is_leader: cell::Cell<bool>,
    pub script: cell::RefCell<Script>,
    /// The last configuration revision that was pushed.
    pub pushed_revision: cell::Cell<u64>,
    /// The configuration, pushed when it changes.
    pub config: watch::Sender<common::Config>,
    /// The reply to calls for the hours.
    pub hours: cell::RefCell<wire::Hours>,
}

pub struct FakeControl {
    server: stream::Server,
    pub shared: rc::Rc<Shared>,
}

struct Replica(rc::Rc<Shared>);

impl stream::Handler for Replica {
    fn handle(&self, incoming: stream::Incoming) -> LocalBoxFuture<'static, ()> {
        Box::pin(serve(self.0.clone(), incoming))
    }
}

pub fn account(name: &str, queue_limit: u32) -> common::Account {
    common::Account {
        name: name.to_owned(),
        guarantees: Vec::new(),
        weight: 1,
        queue_limit,
        tokens: vec![sha2::Sha256::digest(TOKEN).into()],
    }
}

pub fn config(revision: u64) -> common::Config {
    let kind = |name: &str, class| common::Kind {
        name: name.to_owned(),
        class,
        repeatable: true,
        checkpoint: None,
        answer_limit: 1024 * 1024,
        deadline: 60_000,
    };
    common::Config {
        revision,
        accounts: vec![account("swan-coast", 100)],
        services: vec![common::Service {
            name: "booking".to_owned(),
            kinds: vec![kind("rebuild", 1), kind("confirm", 0)],
        }],
        drained: Vec::new(),
    }
}

/// Workflow 7, with one step that is a gang.
fn workflow(phase: u8) -> workflow::Workflow {
    let step = workflow::Step { gang: true, waiting: 0, placed: 3, done: 0, failures: 1 };
    workflow::Workflow {
        number: 7,
        id: "round-7".to_owned(),
        queue: "queues.example/rounds/".to_owned(),
        account: "swan-coast".to_owned(),
        pool: "pool".to_owned(),
        rank: 0,
        phase,
        accepted: 1_772_445_601_500,
        ended: 0,
        occurrences: 1,
        finished: 0,
        steps: vec![step],
    }
}

fn task() -> workflow::Task {
    let incarnation = Some((0x0a00_0001, 5));
    workflow::Task { occurrence: 0, step: 0, index: 2, run: 4, failures: 1, incarnation }
}

pub fn hours(as_of: u64, hours: Vec<wire::Hour>) -> wire::Hours {
    wire::Hours { as_of, hours }
}

impl FakeControl {
    pub async fn start() -> Self {
        let shared = rc::Rc::new(Shared {
            jobs: cell::RefCell::default(),
            answers: cell::RefCell::default(),
            calls: cell::RefCell::default(),
            traces: cell::RefCell::default(),
            confirms_reports: cell::Cell::new(true),
            pushed_revision: cell::Cell::new(0),
            refusals: cell::RefCell::default(),
            leader: cell::RefCell::default(),
            is_leader: cell::Cell::new(true),
            script: cell::RefCell::new(Box::new(|_, _| Action::Default)),
            config: watch::Sender::new(config(1)),
            hours: cell::RefCell::new(hours(0, Vec::new())),
        });
        let addr = "127.0.0.1:0".parse().expect("an address");
        let handler = rc::Rc::new(Replica(shared.clone()));
        let server = stream::Server::bind(addr, 16, handler).await.expect("a port");
        Self { server, shared }
    }

    pub fn addr(&self) -> net::SocketAddr {
        self.server.addr()
    }

    pub async fn stop(self) {
        self.server.stop().await;
    }

    pub fn script(&self, script: impl FnMut(u64, &wire::Call) -> Action + 'static) {
        *self.shared.script.borrow_mut() = Box::new(script);
    }

    /// Ends a job with `answer`; creates the job if it does not exist.
    pub fn finish(&self, account: &str, key: &str, answer: &[u8]) {
        let name = (account.to_owned(), key.to_owned());
        let meta = common::AnswerMeta {
            length: answer.len() as u64,
            sha256: sha2::Sha256::digest(answer).into(),
        };
        self.shared.answers.borrow_mut().insert(name.clone(), answer.to_vec());
        let mut jobs = self.shared.jobs.borrow_mut();
        let job = jobs.entry(name).or_insert_with(|| job(account, key, 1));
        job.phase = 2;
        job.end = Some(common::End::Done(meta));
    }

    /// The number of received submissions.
    pub fn submissions(&self) -> usize {
        let calls = self.shared.calls.borrow();
        calls.iter().filter(|call| matches!(call, wire::Call::Submit(_))).count()
    }
}

pub fn job(account: &str, key: &str, number: u64) -> wire::Job {
    wire::Job {
        job: number,
        account: account.to_owned(),
        service: "booking".to_owned(),
        kind: "rebuild".to_owned(),
        key: key.to_owned(),
        shape: common::Shape { tasks: 1, accelerators: 0, adjacency: 0 },
        submitted: 1_000,
        deadline: 2_000,
        phase: 0,
        attempts: 0,
        placements: Vec::new(),
        end: None,
    }
}

pub fn refusal(verdict: u8, reason: u16) -> wire::Reply {
    wire::Reply::Refused(common::Refusal { verdict, reason, detail: "by control".to_owned() })
}

async fn serve(shared: rc::Rc<Shared>, incoming: stream::Incoming) {
    let (sender, mut receiver) = incoming.split::<wire::ClientMessage, wire::ServerMessage>();
    let mut config = shared.config.subscribe();
    loop {
        let message = tokio::select! {
            message = receiver.receive() => message,
            Ok(()) = config.changed() => {
                let pushed = config.borrow_and_update().clone();
                shared.pushed_revision.set(pushed.revision);
                sender.send(&wire::ServerMessage::Config(pushed)).await;
                continue;
            }
        };
        let Some(message) = message else { return };
        if !shared.is_leader.get() {
            let leader = shared.leader.borrow().clone();
            sender.send(&wire::ServerMessage::NotLeader { leader }).await;
            continue;
        }
        match message {
            wire::ClientMessage::Hello { .. } => {
                sender.send(&wire::ServerMessage::Welcome { replica: 1 }).await;
            }
            wire::ClientMessage::Call { id, body, trace } => {
                if let wire::Call::Submit(_) = body {
                    shared.traces.borrow_mut().push(trace.trace_id);
                }
                if !matches!(body, wire::Call::Config | wire::Call::Hours { .. }) {
                    shared.calls.borrow_mut().push(body.clone());
                }
                let action = (shared.script.borrow_mut())(id, &body);
                let replies = match action {
                    Action::Default => shared.default_replies(id, &body),
                    Action::Send(messages) => messages,
                    Action::Later(after, messages) => {
                        tokio::time::sleep(after).await;
                        messages
                    }
                    Action::Close => return,
                };
                for reply in replies {
                    sender.send(&reply).await;
                }
            }
            wire::ClientMessage::CancelCall { .. } => {}
            wire::ClientMessage::Refusals { sequence, .. } => {
                shared.refusals.borrow_mut().push(message);
                if !shared.confirms_reports.get() {
                    continue;
                }
                sender.send(&wire::ServerMessage::RefusalsStored { sequence }).await;
            }
        }
    }
}

impl Shared {
    /// The replies to a call without a script.
    pub fn default_replies(&self, id: u64, call: &wire::Call) -> Vec<wire::ServerMessage> {
        if let wire::Call::Answer { account, key, offset } = call {
            let answers = self.answers.borrow();
            let bytes = &answers[&(account.clone(), key.clone())];
            return chunks(id, bytes, *offset as usize, 1000);
        }
        vec![wire::ServerMessage::Reply { id, body: self.reply(call) }]
    }

    fn reply(&self, call: &wire::Call) -> wire::Reply {
        let unknown = || refusal(0, 3);
        match call {
            wire::Call::Submit(spec) => {
                let mut jobs = self.jobs.borrow_mut();
                let number = jobs.len() as u64 + 1;
                let name = (spec.account.clone(), spec.key.clone());
                let job = jobs.entry(name).or_insert_with(|| job(&spec.account, &spec.key, number));
                wire::Reply::Job(job.clone())
            }
            wire::Call::Fetch { account, key, .. } | wire::Call::Cancel { account, key } => {
                let jobs = self.jobs.borrow();
                let job = jobs.get(&(account.clone(), key.clone()));
                job.map_or_else(unknown, |job| wire::Reply::Job(job.clone()))
            }
            wire::Call::JobShow(number) => {
                let jobs = self.jobs.borrow();
                let job = jobs.values().find(|job| job.job == *number);
                job.map_or_else(unknown, |job| wire::Reply::Job(job.clone()))
            }
            wire::Call::Jobs { .. } => {
                wire::Reply::Jobs(self.jobs.borrow().values().cloned().collect())
            }
            wire::Call::Config => wire::Reply::Config(self.config.borrow().clone()),
            wire::Call::Hours { .. } => wire::Reply::Hours(self.hours.borrow().clone()),
            wire::Call::Ticket(ticket) => wire::Reply::Ticket { revision: ticket.number },
            wire::Call::Workflows { .. } => wire::Reply::Workflows(vec![workflow(0)]),
            wire::Call::WorkflowShow(7) => wire::Reply::Workflow(workflow(1), vec![task()]),
            wire::Call::WorkflowCancel(7) => wire::Reply::Workflow(workflow(4), Vec::new()),
            wire::Call::WorkflowShow(_) | wire::Call::WorkflowCancel(_) => refusal(0, 11),
            wire::Call::Workers => wire::Reply::Workers(Vec::new()),
            wire::Call::Status => wire::Reply::Status(wire::Status {
                leader: 1,
                term: 1,
                revision: self.config.borrow().revision,
                committed: 7,
                replicas: Vec::new(),
                lagging: Vec::new(),
                shortfall: Vec::new(),
                queued: 0,
                running: 0,
            }),
            wire::Call::TicketShow(_) | wire::Call::Answer { .. } => unknown(),
        }
    }
}

/// The chunks of an answer from an offset on, each of at most `size` bytes.
pub fn chunks(id: u64, bytes: &[u8], offset: usize, size: usize) -> Vec<wire::ServerMessage> {
    let starts = (offset..bytes.len()).step_by(size);
    let chunk = |start: usize| {
        let end = bytes.len().min(start + size);
        let last = end == bytes.len();
        let bytes = bytes[start..end].to_vec();
        let body = wire::Reply::Chunk { offset: start as u64, bytes, last };
        wire::ServerMessage::Reply { id, body }
    };
    starts.map(chunk).collect()
}
