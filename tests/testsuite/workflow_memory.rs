//! The bound on the memory of all workflows together.

use hemlockcleat::core::ids;
use hemlockcleat::core::limit;
use hemlockcleat::core::time;
use hemlockcleat::core::workflow::command;
use hemlockcleat::core::workflow::model;
use hemlockcleat::core::workflow::registry;

use crate::support::flow;

/// The memory of a host that serves control at the users' sites, in MB.
const HOST_MB: u64 = 260;

fn submission(id: &str, step: model::Step) -> command::Submission {
    let queue = flow::queue(1);
    command::Submission {
        queue: queue.address(),
        id: id.to_owned(),
        account: "couriers".to_owned(),
        pool: queue.pool,
        priority: 1,
        attempts: 2,
        workflow: model::Workflow { spec: "spec".to_owned(), steps: vec![step], schedule: None },
    }
}

/// A leader that admits submissions and applies them at once.
struct Leader {
    memory: limit::Memory,
    world: flow::World,
}

impl Leader {
    fn new() -> Self {
        Self { memory: limit::Memory::of_host(Some(HOST_MB)), world: flow::World::default() }
    }

    fn submit(&mut self, submission: command::Submission) -> Result<ids::JobKey, time::Millis> {
        let now = time::Wall(self.world.now);
        let reservation = self.memory.reserve(&self.world.registry, &submission, now)?;
        let outcome = self.world.apply(command::Command::Submit(submission));
        self.memory.release(reservation);
        match outcome {
            command::Outcome::Accepted(key) => Ok(ids::JobKey(key)),
            other => panic!("not accepted: {other:?}"),
        }
    }

    /// Submits jobs until one is refused. Returns the accepted ones, and the time to wait.
    fn fill(&mut self, step: &model::Step) -> (Vec<ids::JobKey>, time::Millis) {
        let mut accepted = Vec::new();
        loop {
            match self.submit(submission(&format!("{:016x}", accepted.len()), step.clone())) {
                Ok(key) => accepted.push(key),
                Err(wait) => return (accepted, wait),
            }
        }
    }

    fn cancel(&mut self, id: &str) {
        let cancel = command::Command::Cancel(flow::queue(1).address(), id.to_owned());
        self.world.apply(cancel);
    }
}

/// Small jobs without end, and jobs with long texts, would use up the memory of all replicas.
#[rstest::rstest]
#[case::small(flow::step(1, 1), 10_000)]
#[case::long_texts(model::Step { image: "i".repeat(200_000), ..flow::step(1, 1) }, 150)]
fn jobs_beyond_the_memory_of_a_host_are_refused(#[case] step: model::Step, #[case] least: usize) {
    let mut leader = Leader::new();
    let (accepted, wait) = leader.fill(&step);
    assert!(accepted.len() >= least, "{} jobs", accepted.len());
    assert!(leader.world.registry.size() <= leader.memory.limit());
    assert_eq!(leader.memory.limit(), HOST_MB * 1024 * 1024 / 8);
    assert!(wait >= time::Millis::from_secs(1));
    for key in accepted {
        assert!(leader.world.registry.jobs[&key].is_active(), "what was accepted is kept");
    }
}

/// The refusal must be true: a job that is known, or proposed and not decided, may run.
#[test]
fn known_or_proposed_job_is_admitted_again() {
    let mut leader = Leader::new();
    let step = model::Step { image: "i".repeat(200_000), ..flow::step(1, 1) };
    let proposed = submission("proposed", step.clone());
    let now = time::Wall(0);
    let first = leader.memory.reserve(&leader.world.registry, &proposed, now).expect("memory");
    leader.fill(&step);
    let known = submission(&format!("{:016x}", 0), step.clone());
    assert!(leader.submit(known).is_ok());
    let again = leader.memory.reserve(&leader.world.registry, &proposed, now).expect("proposed");
    leader.memory.release(first);
    assert!(leader.submit(submission("new", step.clone())).is_err(), "one is still proposed");
    leader.memory.release(again);
    assert!(leader.submit(submission("new", step)).is_ok());
}

/// Ended jobs take little, and the time after which to try again is that of their expiry.
#[test]
fn memory_is_free_after_the_time_that_is_told() {
    let mut leader = Leader::new();
    let step = flow::step(1, 1);
    let (accepted, _) = leader.fill(&step);
    for number in 0..accepted.len() {
        leader.cancel(&format!("{number:016x}"));
    }
    while leader.submit(submission(&format!("more-{}", leader.world.now), step.clone())).is_ok() {
        leader.world.now += 1;
    }
    leader.world.now += registry::RETENTION.0 - 20_000;
    let refused = submission("refused", step);
    let wait = leader.submit(refused.clone()).expect_err("ended jobs are still remembered");
    assert!(wait < time::Millis::from_secs(30), "{wait}");
    leader.world.now += wait.0 - 1000;
    assert!(leader.submit(refused.clone()).is_err());
    leader.world.now += 1000;
    // Expired jobs are dropped with the next entry of the log.
    leader.cancel("unknown");
    assert!(leader.submit(refused).is_ok());
}

/// A client that cancels identifiers without end, before they are ever handed in.
#[test]
fn early_cancels_are_bounded() {
    let mut leader = Leader::new();
    let count = registry::MAX_EARLY_CANCELS + 100;
    for number in 0..count {
        leader.world.now += 1;
        leader.cancel(&format!("{number:016x}"));
    }
    assert_eq!(leader.world.registry.early_cancels().count(), registry::MAX_EARLY_CANCELS);
    assert!(leader.world.registry.size() < 10_000_000);
    let late = leader.submit(submission(&format!("{:016x}", count - 1), flow::step(1, 1)));
    let job = &leader.world.registry.jobs[&late.expect("memory")];
    assert!(!job.is_active(), "the latest cancels are remembered");
}

/// A step may name the same dependency thousands of times within the length of a call.
#[test]
fn repeated_dependencies_are_dropped() {
    let steps = vec![
        flow::step(1, 1),
        flow::step(1, 1),
        model::Step { after: [1, 0].repeat(50_000), ..flow::step(1, 1) },
    ];
    let mut workflow = model::Workflow { spec: String::new(), steps, schedule: None };
    workflow.normalize();
    assert_eq!(workflow.steps[2].after, [0, 1]);
}
