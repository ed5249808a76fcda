//! Workflows over real sockets, with gates, control replicas, agents and simulated workers.

use std::cell;
use std::net;
use std::rc;
use std::time;

use hemlockcleat::control;
use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::workflow::job;
use hemlockcleat::core::workflow::model;
use hemlockcleat::gate;
use hemlockcleat::runner;
use hemlockcleat::runner::agent;
use hemlockcleat::settings;
use hemlockcleat::wire::gate as wire;

use crate::support;
use crate::support::flow;
use crate::support::worker;

/// How long a condition may take to come true on a busy machine.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// How long one run of a task takes.
const RUN_TIME: time::Duration = time::Duration::from_millis(300);

/// The lease on a worker, in milliseconds: short, so that lost workers are detected soon.
const LEASE_MS: u64 = 2500;

/// Control replicas, a gate, and workers with their agents.
pub struct Site {
    replicas: Vec<Option<control::Control>>,
    settings: Vec<settings::control::Settings>,
    link: rc::Rc<gate::Link>,
    pub runners: Vec<runner::Runner>,
    pub workers: Vec<rc::Rc<worker::Worker>>,
    pub checker: rc::Rc<worker::Checker>,
    _folder: tempfile::TempDir,
}

/// The ports of a control replica, which has a loopback address of its own.
const PORTS: (u16, u16) = (7000, 7002);

impl Site {
    pub async fn start(replicas: usize, workers: u32) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let hosts: Vec<_> = (0..replicas).map(|_| support::own_host()).collect();
        let addr = |n: usize, port| net::SocketAddr::from((hosts[n], port));
        let peers: Vec<_> = (0..replicas)
            .map(|n| serde_json::json!({ "replica": n + 1, "addr": addr(n, PORTS.0) }))
            .collect();
        let settings: Vec<settings::control::Settings> = (0..replicas)
            .map(|n| {
                let text = serde_json::json!({
                    "replica": n + 1,
                    "data_center": "dc",
                    "data_folder": folder.path().join(n.to_string()),
                    "listen": addr(n, PORTS.0),
                    "http": addr(n, PORTS.1),
                    "hold_ms": LEASE_MS,
                    "peers": peers,
                });
                settings::parse(&text.to_string()).expect("sound settings")
            })
            .collect();
        let mut running = Vec::new();
        for settings in &settings {
            running.push(Some(control::Control::start(settings.clone()).await.expect("starts")));
        }
        let seeds: Vec<_> = (0..replicas).map(|n| addr(n, PORTS.0)).collect();
        let link = gate::Link::start(seeds.clone(), 0);
        let checker = rc::Rc::<worker::Checker>::default();
        let mut site = Self {
            replicas: running,
            settings,
            link,
            runners: Vec::new(),
            workers: Vec::new(),
            checker,
            _folder: folder,
        };
        for host in 0..workers {
            site.runners.push(runner::Runner::start(seeds.clone(), 0, host));
            site.workers.push(worker::Worker::new(host, 1, RUN_TIME, site.checker.clone()));
            site.announce(host as usize).await;
        }
        site
    }

    /// Returns the address at which a control replica serves its streams.
    pub fn control_addr(&self, replica: usize) -> net::SocketAddr {
        self.settings[replica].listen
    }

    /// Announces the worker of a host to its agent.
    pub async fn announce(&self, host: usize) {
        let worker = &self.workers[host];
        let announcement = self.announcement(host);
        let incarnation = announcement.incarnation;
        let backend = rc::Rc::new(worker::Client(worker.clone()));
        self.runners[host]
            .update(agent::WorkerUpdate {
                announcement: Some(announcement),
                drain_left: None,
                incarnation,
                backend,
            })
            .await;
    }

    /// Returns the announcement of the worker of a host.
    pub fn announcement(&self, host: usize) -> order::Announcement {
        let worker = &self.workers[host];
        order::Announcement {
            capacity: order::Resources { cpu: 8000, memory: 1000, accelerators: 8 },
            ..flow::worker(worker.host, worker.incarnation_start())
        }
    }

    async fn call(&self, call: wire::Call) -> wire::Reply {
        self.link.call(call, WAIT_TIMEOUT).await.expect("a reply in time")
    }

    pub async fn configure(&self) {
        let call = wire::Call::Configure(flow::directory(1));
        assert_eq!(self.call(call).await, wire::Reply::Configured);
    }

    pub async fn submit(&self, priority: u32, id: &str, step: model::Step) {
        let workflow =
            model::Workflow { spec: "spec".to_owned(), steps: vec![step], schedule: None };
        let call = wire::Call::Submit(address(priority, id), workflow);
        assert_eq!(self.call(call).await, wire::Reply::Accepted);
    }

    /// Waits until a job has ended, and returns its phase.
    pub async fn wait_for_end(&self, priority: u32, id: &str) -> job::Phase {
        let give_up = time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let reply = self.call(wire::Call::Show(address(priority, id))).await;
            let wire::Reply::Job(phase) = reply else { panic!("{reply:?}") };
            if !matches!(phase, job::Phase::Pending | job::Phase::Running) {
                return phase;
            }
            assert!(time::Instant::now() < give_up, "{id} has not ended: {phase:?}");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Stops the leader and returns its position among the replicas.
    pub async fn stop_leader(&mut self) -> usize {
        let leads = |replica: &Option<control::Control>| {
            replica.as_ref().is_some_and(control::Control::leads)
        };
        let found = cell::Cell::new(None);
        let give_up = time::Instant::now() + WAIT_TIMEOUT;
        while found.get().is_none() {
            found.set(self.replicas.iter().position(leads));
            assert!(time::Instant::now() < give_up, "no leader");
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        let position = found.get().expect("found");
        self.replicas[position].take().expect("it runs").stop().await;
        position
    }

    pub async fn start_replica(&mut self, position: usize) {
        let settings = self.settings[position].clone();
        self.replicas[position] = Some(control::Control::start(settings).await.expect("starts"));
    }

    pub async fn stop(self) {
        for runner in &self.runners {
            runner.stop().await;
        }
        self.link.stop().await;
        for replica in self.replicas.into_iter().flatten() {
            replica.stop().await;
        }
        assert_eq!(*self.checker.violations.borrow(), Vec::<String>::new());
    }
}

/// Waits until a condition holds.
pub async fn wait_until(holds: impl Fn() -> bool) {
    let give_up = time::Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(time::Instant::now() < give_up, "the condition does not hold in time");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

pub fn address(priority: u32, id: &str) -> wire::Target {
    wire::Target {
        host: flow::HOST.to_owned(),
        path: format!("/p{priority}/{id}"),
        credential: Some("key".to_owned()),
    }
}

#[test]
fn job_runs_to_its_end() {
    support::run(async {
        let site = Site::start(1, 2).await;
        assert_eq!(site.call(wire::Call::Configuration).await, wire::Reply::NoConfiguration);
        site.configure().await;
        let document = wire::Reply::Configuration(b"version 1".to_vec());
        assert_eq!(site.call(wire::Call::Configuration).await, document);
        let after = model::Step { after: vec![0], ..flow::step(2, 1) };
        let steps = vec![flow::step(6, 1), after];
        let workflow = model::Workflow { spec: String::new(), steps, schedule: None };
        let call = wire::Call::Submit(address(1, "aa"), workflow);
        assert_eq!(site.call(call.clone()).await, wire::Reply::Accepted);
        assert_eq!(
            site.call(call).await,
            wire::Reply::Accepted,
            "a repeated submission is one job"
        );
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        assert_eq!(site.checker.starts.get(), 8);
        site.stop().await;
    });
}

fn no_credential(address: &mut wire::Target) {
    address.credential = None;
}

fn wrong_credential(address: &mut wire::Target) {
    address.credential = Some("other".to_owned());
}

fn wrong_path(address: &mut wire::Target) {
    address.path = "/elsewhere/aa".to_owned();
}

fn wrong_host(address: &mut wire::Target) {
    address.host = "elsewhere.example".to_owned();
}

#[rstest::rstest]
#[case::no_credential(no_credential, wire::Reply::NoCredential)]
#[case::wrong_credential(wrong_credential, wire::Reply::NoCredential)]
#[case::wrong_path(wrong_path, wire::Reply::NoQueue)]
#[case::wrong_host(wrong_host, wire::Reply::NoQueue)]
fn calls_are_refused(#[case] modify: fn(&mut wire::Target), #[case] expected: wire::Reply) {
    support::run(async {
        let site = Site::start(1, 0).await;
        site.configure().await;
        let mut target = address(1, "aa");
        modify(&mut target);
        let workflow =
            model::Workflow { spec: String::new(), steps: vec![flow::step(1, 1)], schedule: None };
        for call in [
            wire::Call::Submit(target.clone(), workflow),
            wire::Call::Show(target.clone()),
            wire::Call::Cancel(target),
        ] {
            assert_eq!(site.call(call).await, expected);
        }
        site.stop().await;
    });
}

#[test]
fn unknown_job_is_reported() {
    support::run(async {
        let site = Site::start(1, 0).await;
        site.configure().await;
        assert_eq!(site.call(wire::Call::Show(address(1, "aa"))).await, wire::Reply::NoJob);
        assert_eq!(site.call(wire::Call::Cancel(address(1, "aa"))).await, wire::Reply::NoJob);
        site.submit(1, "bb", flow::step(1, 1)).await;
        assert_eq!(site.call(wire::Call::Show(address(1, ""))).await, wire::Reply::Pending(1));
        site.stop().await;
    });
}

/// Guards against jobs that are missing from the count of pending ones: they were placed on a worker
/// that doesn't start them.
#[test]
fn job_is_pending_until_a_task_has_started() {
    support::run(async {
        let site = Site::start(1, 1).await;
        site.configure().await;
        site.workers[0].drops_orders.set(true);
        site.submit(1, "aa", flow::step(1, 1)).await;
        for _ in 0..50 {
            let pending = site.call(wire::Call::Show(address(1, ""))).await;
            assert_eq!(pending, wire::Reply::Pending(1));
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        site.workers[0].drops_orders.set(false);
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        assert_eq!(site.call(wire::Call::Show(address(1, ""))).await, wire::Reply::Pending(0));
        site.stop().await;
    });
}

#[test]
fn cancelled_job_stops() {
    support::run(async {
        let site = Site::start(1, 1).await;
        site.configure().await;
        site.submit(1, "aa", flow::step(1, 1)).await;
        let cancel = wire::Call::Cancel(address(1, "aa"));
        assert_eq!(site.call(cancel).await, wire::Reply::Cancelled);
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Cancelled);
        site.stop().await;
    });
}

/// Guards against a job that runs although its caller has cancelled it: the submission was held up
/// at an entry, and arrives after the cancel and a change of leader.
#[test]
fn submission_after_its_cancel_runs_nothing() {
    support::run(async {
        let mut site = Site::start(3, 1).await;
        site.configure().await;
        let cancel = wire::Call::Cancel(address(1, "aa"));
        assert_eq!(site.call(cancel).await, wire::Reply::NoJob);
        site.stop_leader().await;
        site.submit(1, "aa", flow::step(1, 1)).await;
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Cancelled);
        // A job that is accepted later runs.
        site.submit(1, "bb", flow::step(1, 1)).await;
        assert_eq!(site.wait_for_end(1, "bb").await, job::Phase::Completed);
        assert_eq!(site.checker.starts.get(), 1);
        site.stop().await;
    });
}

#[test]
fn orders_without_answer_run_once() {
    support::run(async {
        let site = Site::start(1, 3).await;
        for worker in &site.workers {
            worker.late_every.set(3);
        }
        site.configure().await;
        for number in 0..6 {
            site.submit(1, &format!("job{number}"), flow::step(4, 1)).await;
        }
        for number in 0..6 {
            let ended = site.wait_for_end(1, &format!("job{number}")).await;
            assert_eq!(ended, job::Phase::Completed);
        }
        // Orders that are carried out late may still follow.
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        site.stop().await;
    });
}

#[test]
fn leader_changes_while_tasks_run() {
    support::run(async {
        let mut site = Site::start(3, 3).await;
        site.configure().await;
        for round in 0..3 {
            for number in 0..4 {
                site.submit(1, &format!("r{round}n{number}"), flow::step(4, 1)).await;
            }
            let stopped = site.stop_leader().await;
            for number in 0..4 {
                let ended = site.wait_for_end(1, &format!("r{round}n{number}")).await;
                assert_eq!(ended, job::Phase::Completed);
            }
            site.start_replica(stopped).await;
        }
        site.stop().await;
    });
}

/// A start and the stop that is to close it get lost while the leader changes. The worker has then
/// received a higher fencing token than the one that the stop was first sent with, so that the stop
/// must be repeated with the current token.
#[test]
fn stop_is_repeated_after_a_leader_change() {
    support::run(async {
        let mut site = Site::start(3, 1).await;
        site.configure().await;
        let worker = site.workers[0].clone();
        worker.drops_orders.set(true);
        site.submit(1, "aa", flow::step(1, 1)).await;
        wait_until(|| worker.lost_stops.get() > 0).await;
        let fence = worker.fence();
        let stopped = site.stop_leader().await;
        wait_until(|| worker.fence() > fence).await;
        worker.drops_orders.set(false);
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        site.start_replica(stopped).await;
        site.stop().await;
    });
}

#[test]
fn restarted_worker_reruns_lost_tasks() {
    support::run(async {
        let mut site = Site::start(1, 1).await;
        site.configure().await;
        site.submit(1, "aa", flow::step(2, 1)).await;
        let give_up = time::Instant::now() + WAIT_TIMEOUT;
        while site.checker.starts.get() < 2 {
            assert!(time::Instant::now() < give_up, "nothing has started");
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        site.workers[0].crash();
        site.workers[0] = worker::Worker::new(0, 2, RUN_TIME, site.checker.clone());
        site.announce(0).await;
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        assert!(site.checker.starts.get() >= 3);
        site.stop().await;
    });
}

#[test]
fn restarted_agent_takes_over_runs() {
    support::run(async {
        let mut site = Site::start(1, 1).await;
        site.configure().await;
        site.submit(1, "aa", flow::step(4, 1)).await;
        let give_up = time::Instant::now() + WAIT_TIMEOUT;
        while site.checker.starts.get() < 4 {
            assert!(time::Instant::now() < give_up, "nothing has started");
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        site.runners[0].stop().await;
        let seeds = vec![site.settings[0].listen];
        site.runners[0] = runner::Runner::start(seeds, 0, 0);
        site.announce(0).await;
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        assert_eq!(site.checker.starts.get(), 4, "no task was started again");
        site.stop().await;
    });
}

/// The start of a run gets no answer, its stop is answered before the run has ended, and the
/// worker's lists do not name the run.
#[test]
fn run_in_an_unreadable_row_is_not_placed_elsewhere() {
    support::run(async {
        let site = Site::start(1, 2).await;
        for worker in &site.workers {
            worker.drops_start_replies.set(true);
            worker.stops_late.set(true);
            worker.hides_runs.set(true);
        }
        site.configure().await;
        site.submit(1, "aa", flow::step(1, 1)).await;
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        assert_eq!(site.checker.starts.get(), 1);
        site.stop().await;
    });
}

#[test]
fn unreadable_row_blocks_no_run_permanently() {
    support::run(async {
        let site = Site::start(1, 1).await;
        site.configure().await;
        let worker = site.workers[0].clone();
        worker.unreadable_row.set(true);
        worker.drops_orders.set(true);
        site.submit(1, "aa", flow::step(1, 1)).await;
        wait_until(|| worker.lost_stops.get() > 0).await;
        worker.drops_orders.set(false);
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        site.stop().await;
    });
}

#[test]
fn clock_jump_does_not_end_later_runs() {
    support::run(async {
        let site = Site::start(1, 1).await;
        site.configure().await;
        site.submit(1, "aa", flow::step(1, 1)).await;
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        site.workers[0].clock_jumps.set(true);
        wait_until(|| !site.workers[0].clock_jumps.get()).await;
        for number in 0..4 {
            let id = format!("job{number}");
            site.submit(1, &id, flow::step(4, 1)).await;
            assert_eq!(site.wait_for_end(1, &id).await, job::Phase::Completed);
        }
        site.stop().await;
    });
}
