//! The registry of workflows: configuration, submissions, placements and ends of runs.

use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::command as ledger_command;
use hemlockcleat::core::ledger::state;
use hemlockcleat::core::time;
use hemlockcleat::core::workflow::command;
use hemlockcleat::core::workflow::directory;
use hemlockcleat::core::workflow::job;
use hemlockcleat::core::workflow::model;
use hemlockcleat::core::workflow::registry;
use hemlockcleat::wire::codec;
use hemlockcleat::wire::snapshot;

use crate::support::flow;

fn placement(job: ids::JobKey, step: u32, index: u32, run: u32) -> command::Placement {
    let incarnation = flow::incarnation(1, 1);
    command::Placement { job: job.0, occurrence: 0, step, index, run, incarnation }
}

fn place(world: &mut flow::World, job: ids::JobKey, step: u32, index: u32, run: u32) {
    world.apply(command::Command::Place(vec![placement(job, step, index, run)]));
}

fn end(
    world: &mut flow::World,
    job: ids::JobKey,
    numbers: (u32, u32, u32),
    reason: model::EndReason,
) {
    let (step, index, run) = numbers;
    let key = placement(job, step, index, run).key();
    let ending = command::Ending::new(key, reason, String::new());
    world.apply(command::Command::End(vec![ending]));
}

fn phase(world: &flow::World, job: ids::JobKey) -> job::Phase {
    world.registry.jobs[&job].phase
}

#[test]
fn submission_is_one_job() {
    let mut world = flow::World::default();
    let first = world.submit(1, "aa", vec![flow::step(1, 1)]);
    let again = world.submit(1, "aa", vec![flow::step(1, 1)]);
    let other = world.submit(2, "aa", vec![flow::step(1, 1)]);
    assert_eq!(first, again);
    assert_ne!(first, other, "a job is identified by its queue and the caller's identifier");
}

#[test]
fn completed_only_with_every_task() {
    let mut world = flow::World::default();
    let after = model::Step { after: vec![0], ..flow::step(1, 1) };
    let job = world.submit(1, "aa", vec![flow::step(2, 1), after]);
    for index in 0..2 {
        place(&mut world, job, 0, index, 1);
        end(&mut world, job, (0, index, 1), model::EndReason::Done);
    }
    assert_eq!(phase(&world, job), job::Phase::Running);
    place(&mut world, job, 1, 0, 1);
    end(&mut world, job, (1, 0, 1), model::EndReason::Done);
    assert_eq!(phase(&world, job), job::Phase::Completed);
}

#[test]
fn gang_done_by_any_member() {
    let mut world = flow::World::default();
    let job = world.submit(1, "aa", vec![flow::gang(3, 1)]);
    for index in 0..3 {
        place(&mut world, job, 0, index, 1);
    }
    end(&mut world, job, (0, 2, 1), model::EndReason::Done);
    assert_eq!(phase(&world, job), job::Phase::Completed);
}

#[rstest::rstest]
#[case::task(flow::step(1, 1))]
#[case::gang(flow::gang(3, 1))]
fn fails_after_its_attempts(#[case] step: model::Step) {
    let mut world = flow::World::default();
    let count = step.count;
    let job = world.submit(1, "aa", vec![step]);
    for run in 1..=2 {
        assert_ne!(phase(&world, job), job::Phase::Failed, "run {run}");
        for index in 0..count {
            place(&mut world, job, 0, index, run);
        }
        // Every member reports the failure of the run, which counts as one attempt.
        for index in 0..count {
            end(&mut world, job, (0, index, run), model::EndReason::Failed);
        }
    }
    assert_eq!(phase(&world, job), job::Phase::Failed);
}

#[rstest::rstest]
#[case::stopped(model::EndReason::Stopped, job::Phase::Running)]
#[case::lapsed(model::EndReason::Lapsed, job::Phase::Running)]
#[case::lost(model::EndReason::Lost, job::Phase::Running)]
#[case::refused(model::EndReason::Refused, job::Phase::Pending)]
#[case::unstarted(model::EndReason::Unstarted, job::Phase::Pending)]
#[case::broken(model::EndReason::Broken, job::Phase::Running)]
fn only_failures_count_as_attempts(#[case] reason: model::EndReason, #[case] expected: job::Phase) {
    let mut world = flow::World::default();
    let job = world.submit(1, "aa", vec![flow::step(1, 1)]);
    for run in 1..=5 {
        place(&mut world, job, 0, 0, run);
        assert_eq!(phase(&world, job), job::Phase::Running);
        end(&mut world, job, (0, 0, run), reason);
        assert_eq!(phase(&world, job), expected);
    }
}

#[test]
fn second_concurrent_run_is_rejected() {
    let mut world = flow::World::default();
    let job = world.submit(1, "aa", vec![flow::step(1, 1)]);
    place(&mut world, job, 0, 0, 1);
    place(&mut world, job, 0, 0, 2);
    let task = model::TaskKey { job, occurrence: 0, step: 0, index: 0 };
    assert_eq!(world.registry.jobs[&job].task(task).map(|task| task.run), Some(1));
}

#[test]
fn run_numbers_are_never_reused() {
    let mut world = flow::World::default();
    let job = world.submit(1, "aa", vec![flow::step(1, 1)]);
    place(&mut world, job, 0, 0, 3);
    end(&mut world, job, (0, 0, 3), model::EndReason::Lost);
    place(&mut world, job, 0, 0, 3);
    let task = model::TaskKey { job, occurrence: 0, step: 0, index: 0 };
    let state = world.registry.jobs[&job].task(task).map(|task| task.state);
    assert_eq!(state, Some(job::TaskState::Waiting));
}

#[test]
fn late_end_of_an_earlier_run_changes_nothing() {
    let mut world = flow::World::default();
    let job = world.submit(1, "aa", vec![flow::step(1, 1)]);
    place(&mut world, job, 0, 0, 1);
    end(&mut world, job, (0, 0, 1), model::EndReason::Lost);
    place(&mut world, job, 0, 0, 2);
    end(&mut world, job, (0, 0, 1), model::EndReason::Done);
    assert_eq!(phase(&world, job), job::Phase::Running);
}

#[test]
fn cancelled_job_starts_nothing() {
    let mut world = flow::World::default();
    let job = world.submit(1, "aa", vec![flow::step(1, 1)]);
    let queue = flow::queue(1).address();
    let cancel = command::Command::Cancel(queue.clone(), "aa".to_owned());
    assert_eq!(world.apply(cancel), command::Outcome::Applied);
    place(&mut world, job, 0, 0, 1);
    assert_eq!(phase(&world, job), job::Phase::Cancelled);
    assert!(!world.registry.jobs[&job].has_runs());
    let unknown = command::Command::Cancel(queue, "bb".to_owned());
    assert_eq!(world.apply(unknown), command::Outcome::Unknown);
}

/// Guards against a cancelled job that starts after all: its submission was held up on the way and
/// reached the registry after the cancel.
#[test]
fn submission_after_its_cancel_starts_nothing() {
    let mut world = flow::World::with_workers(1);
    let queue = flow::queue(1).address();
    let cancel = command::Command::Cancel(queue, "aa".to_owned());
    assert_eq!(world.apply(cancel), command::Outcome::Unknown);
    let cancelled = world.submit(1, "aa", vec![flow::step(1, 1)]);
    let elsewhere = world.submit(2, "aa", vec![flow::step(1, 1)]);
    let other = world.submit(1, "bb", vec![flow::step(1, 1)]);
    world.tick(1);
    assert_eq!(phase(&world, cancelled), job::Phase::Cancelled);
    assert_eq!(world.submit(1, "aa", vec![flow::step(1, 1)]), cancelled, "it remains one job");
    assert_eq!(phase(&world, elsewhere), job::Phase::Running, "the cancel names another queue");
    assert_eq!(phase(&world, other), job::Phase::Running);
    assert_eq!(world.take_starts().len(), 2);
}

#[test]
fn cancel_of_an_unknown_job_expires_after_the_retention() {
    let mut world = flow::World::default();
    let queue = flow::queue(1).address();
    for id in ["aa", "bb"] {
        world.apply(command::Command::Cancel(queue.clone(), id.to_owned()));
        world.now += registry::RETENTION.0 / 2 + 1;
    }
    let expired = world.submit(1, "aa", vec![flow::step(1, 1)]);
    let kept = world.submit(1, "bb", vec![flow::step(1, 1)]);
    assert_eq!(phase(&world, expired), job::Phase::Pending);
    assert_eq!(phase(&world, kept), job::Phase::Cancelled);
}

#[test]
fn checkpoint_of_a_member_is_valid_for_its_gang() {
    let mut world = flow::World::default();
    let job = world.submit(1, "aa", vec![flow::gang(2, 1)]);
    for index in 0..2 {
        place(&mut world, job, 0, index, 1);
    }
    let key = placement(job, 0, 1, 1).key();
    let ending = command::Ending::new(key, model::EndReason::Stopped, "half".to_owned());
    world.apply(command::Command::End(vec![ending]));
    for index in 0..2 {
        let task = model::TaskKey { job, occurrence: 0, step: 0, index };
        let task = world.registry.jobs[&job].task(task).expect("the task exists");
        assert_eq!(task.checkpoint, "half", "member {index}");
    }
}

#[rstest::rstest]
#[case::older(1, false)]
#[case::same(2, false)]
#[case::newer(3, true)]
fn configuration_by_version(#[case] version: u64, #[case] replaces: bool) {
    let mut world = flow::World::default();
    world.apply(command::Command::Configure(flow::directory(2)));
    let mut other = flow::directory(version);
    other.document = b"other".to_vec();
    let outcome = world.apply(command::Command::Configure(other));
    assert_eq!(outcome, command::Outcome::Applied, "a stale configuration is acknowledged");
    let document = world.registry.directory.as_ref().map(|current| current.document.clone());
    assert_eq!(document == Some(b"other".to_vec()), replaces);
}

fn duplicate_queue(directory: &mut directory::Directory) {
    directory.queues.push(flow::queue(0));
}

fn unknown_pool(directory: &mut directory::Directory) {
    directory.queues[0].pool = "elsewhere".to_owned();
}

fn no_timeout(directory: &mut directory::Directory) {
    directory.queues[0].timeout = 0;
}

fn shared_credential(directory: &mut directory::Directory) {
    let other = directory::Account { name: "others".to_owned(), ..directory.accounts[0].clone() };
    directory.accounts.push(other);
}

#[rstest::rstest]
#[case::duplicate_queue(duplicate_queue)]
#[case::unknown_pool(unknown_pool)]
#[case::no_timeout(no_timeout)]
#[case::shared_credential(shared_credential)]
fn invalid_configuration_changes_nothing(#[case] invalidate: fn(&mut directory::Directory)) {
    let mut world = flow::World::default();
    let mut invalid = flow::directory(9);
    invalidate(&mut invalid);
    let outcome = world.apply(command::Command::Configure(invalid));
    assert!(matches!(outcome, command::Outcome::Invalid(_)), "{outcome:?}");
    assert_eq!(world.registry.directory.as_ref().map(|current| current.version), Some(1));
}

#[test]
fn longest_prefix_wins() {
    let mut directory = flow::directory(1);
    let deep = directory::Queue { prefix: "/p0/deep/".to_owned(), ..flow::queue(0) };
    directory.queues.push(deep);
    let rest = |path| directory.resolve(flow::HOST, path).map(|found| found.rest.to_owned());
    assert_eq!(rest("/p0/deep/aa"), Some("aa".to_owned()));
    assert_eq!(rest("/p0/aa"), Some("aa".to_owned()));
    assert_eq!(rest("/q/aa"), None);
}

#[test]
fn ended_jobs_expire_after_their_retention() {
    let mut world = flow::World::default();
    let job = world.submit(1, "aa", vec![flow::step(1, 1)]);
    place(&mut world, job, 0, 0, 1);
    end(&mut world, job, (0, 0, 1), model::EndReason::Done);
    world.now += registry::RETENTION.0 + 1;
    let again = world.submit(1, "aa", vec![flow::step(1, 1)]);
    assert_ne!(again, job);
    assert!(!world.registry.jobs.contains_key(&job));
}

#[test]
fn snapshot_restores_the_registry() {
    let mut ledger = state::Ledger::default();
    let mut apply = |index, command| {
        let command = ledger_command::Command::Workflow(command);
        let entry = ledger_command::Entry { at: time::Wall(index), command };
        ledger.apply(ids::LogIndex(index), entry, &mut Vec::new());
    };
    apply(1, command::Command::Configure(flow::directory(4)));
    let queue = flow::queue(1);
    let submission = command::Submission {
        queue: queue.address(),
        id: "aa".to_owned(),
        account: "couriers".to_owned(),
        pool: queue.pool,
        priority: 1,
        attempts: 2,
        workflow: model::Workflow {
            spec: "spec".to_owned(),
            steps: vec![flow::step(2, 1)],
            schedule: None,
        },
    };
    apply(2, command::Command::Submit(submission));
    apply(3, command::Command::Place(vec![placement(ids::JobKey(2), 0, 0, 1)]));
    apply(4, command::Command::Cancel(flow::queue(1).address(), "bb".to_owned()));
    let bytes = codec::encode(&snapshot::Ledger::from(&ledger));
    let restored = codec::decode_snapshot::<snapshot::Ledger>(&bytes).expect("a snapshot");
    let restored = state::Ledger::try_from(restored).expect("a ledger");
    assert_eq!(restored.workflows, ledger.workflows);
}

#[rstest::rstest]
#[case::plain("5c0e7a21d94b36f8.0.1.17", Some(("5c0e7a21d94b36f8", 0, 1, 17)))]
#[case::dotted("a.b.2.0.3", Some(("a.b", 2, 0, 3)))]
#[case::short("1.2.3", None)]
#[case::letters("aa.0.x.1", None)]
fn task_names(#[case] text: &str, #[case] expected: Option<(&str, u32, u32, u32)>) {
    let name = text.parse::<model::TaskName>().ok();
    let parts = name.as_ref().map(|n| (n.id.as_str(), n.occurrence, n.step, n.index));
    assert_eq!(parts, expected);
    if let Some(name) = name {
        assert_eq!(name.to_string(), text);
    }
}
