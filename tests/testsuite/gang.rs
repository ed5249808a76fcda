//! The gang coordinator, with messages that are lost, duplicated or late, and with lost members.

use hemlockcleat::core::gang::coordinator;
use hemlockcleat::core::gang::step;
use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::command;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::time;
use rstest::rstest;

const ATTEMPT: ids::AttemptKey = ids::AttemptKey { job: ids::JobKey(5), number: 9 };

struct Bench {
    coordinator: coordinator::Coordinator,
    now: time::Tick,
}

impl Bench {
    fn placed() -> (Self, Vec<step::Output>) {
        let mut bench =
            Self { coordinator: coordinator::Coordinator::default(), now: time::Tick(1000) };
        let out = bench.step(step::Input::Place { attempt: ATTEMPT, members: members() });
        (bench, out)
    }

    fn released() -> Self {
        let (mut bench, _) = Self::placed();
        bench.prepared(1);
        bench.prepared(2);
        bench.step(step::Input::Released(ATTEMPT));
        bench
    }

    fn step(&mut self, input: step::Input) -> Vec<step::Output> {
        let mut out = Vec::new();
        self.coordinator.step(self.now, input, &mut out);
        out
    }

    fn prepared(&mut self, worker: u32) -> Vec<step::Output> {
        let worker = ids::WorkerKey(worker);
        self.step(step::Input::Prepared { attempt: ATTEMPT, worker, ok: true })
    }

    fn ended(&mut self, worker: u32, result: step::MemberResult) -> Vec<step::Output> {
        let worker = ids::WorkerKey(worker);
        self.step(step::Input::Ended { attempt: ATTEMPT, worker, result })
    }

    fn lost(&mut self, worker: u32) -> Vec<step::Output> {
        self.step(step::Input::WorkerLost(ids::WorkerKey(worker)))
    }

    fn wait(&mut self, span: time::Millis) -> Vec<step::Output> {
        self.now = self.now + span;
        self.step(step::Input::Tick)
    }
}

fn members() -> Vec<job::Member> {
    let member =
        |worker| job::Member { worker: ids::WorkerKey(worker), epoch: ids::Epoch(1), tasks: 2 };
    vec![member(1), member(2)]
}

fn answer() -> job::AnswerMeta {
    job::AnswerMeta { length: 3, sha256: [1; 32] }
}

fn done(worker: u32) -> step::MemberResult {
    step::MemberResult::Done((worker == 1).then(answer))
}

fn contains(out: &[step::Output], wanted: impl Fn(&step::Output) -> bool) -> bool {
    out.iter().any(wanted)
}

fn stops(out: &[step::Output], wanted: u32) -> bool {
    contains(
        out,
        |output| matches!(output, step::Output::Stop { worker, .. } if worker.0 == wanted),
    )
}

fn starts(out: &[step::Output]) -> usize {
    out.iter().filter(|output| matches!(output, step::Output::Start { .. })).count()
}

fn frees(out: &[step::Output]) -> bool {
    contains(out, |output| matches!(output, step::Output::Free(_)))
}

fn end(out: &[step::Output]) -> Option<command::AttemptResult> {
    out.iter().find_map(|output| match output {
        step::Output::End { result, .. } => Some(result.clone()),
        _ => None,
    })
}

#[test]
fn release_waits_for_every_member() {
    let (mut bench, out) = Bench::placed();
    assert_eq!(out.len(), 2, "one order to prepare for each member");
    assert!(bench.prepared(1).is_empty());
    assert!(bench.prepared(1).is_empty(), "a duplicate answer does not count for the other member");
    assert!(matches!(bench.prepared(2)[..], [step::Output::Release { .. }]));
    assert!(bench.prepared(2).is_empty(), "the release is proposed once");
}

#[test]
fn start_waits_for_the_commit() {
    let (mut bench, _) = Bench::placed();
    bench.prepared(1);
    bench.prepared(2);
    assert_eq!(starts(&bench.wait(time::Millis(5000))), 0);
    let out = bench.step(step::Input::Released(ATTEMPT));
    assert_eq!(starts(&out), 2);
}

#[test]
fn prepare_refused_aborts_all() {
    let (mut bench, _) = Bench::placed();
    bench.prepared(1);
    let worker = ids::WorkerKey(2);
    let out = bench.step(step::Input::Prepared { attempt: ATTEMPT, worker, ok: false });
    assert!(stops(&out, 1) && stops(&out, 2));
    assert!(contains(&out, |output| matches!(output, step::Output::PlaceFailed { .. })));
    assert!(bench.prepared(2).is_empty(), "a late answer to an aborted attempt has no effect");
    assert!(bench.coordinator.is_empty());
}

#[test]
fn prepare_lost_is_resent_then_aborted() {
    let (mut bench, _) = Bench::placed();
    bench.prepared(1);
    let again = bench.wait(coordinator::RESEND_INTERVAL);
    assert!(matches!(again[..], [step::Output::Prepare { member, .. }] if member.worker.0 == 2));
    let out = bench.wait(coordinator::PREPARE_TIMEOUT);
    assert!(contains(&out, |output| matches!(
        output,
        step::Output::PlaceFailed { worker: Some(ids::WorkerKey(2)), .. }
    )));
    assert!(stops(&out, 1));
}

#[test]
fn start_lost_is_resent_until_answered() {
    let mut bench = Bench::released();
    bench.step(step::Input::Started { attempt: ATTEMPT, worker: ids::WorkerKey(1) });
    assert_eq!(starts(&bench.wait(coordinator::RESEND_INTERVAL)), 1);
    bench.step(step::Input::Started { attempt: ATTEMPT, worker: ids::WorkerKey(2) });
    assert_eq!(starts(&bench.wait(coordinator::RESEND_INTERVAL)), 0);
}

#[rstest]
#[case::failed(step::MemberResult::Failed("x".to_owned()))]
#[case::unknown(step::MemberResult::Unknown("x".to_owned()))]
#[case::stopped_of_itself(step::MemberResult::Stopped)]
fn end_of_one_stops_all(#[case] result: step::MemberResult) {
    let mut bench = Bench::released();
    let out = bench.ended(2, result);
    assert!(end(&out).is_some());
    assert!(stops(&out, 1) && !stops(&out, 2));
    let out = bench.step(step::Input::EndCommitted(ATTEMPT));
    assert!(!frees(&out), "member 1 has not confirmed its stop");
    assert!(stops(&bench.wait(coordinator::RESEND_INTERVAL), 1), "the stop is resent");
    assert!(frees(&bench.ended(1, step::MemberResult::Stopped)));
}

#[test]
fn member_never_started_stops_the_gang() {
    let mut bench = Bench::released();
    let out = bench.ended(2, step::MemberResult::NotStarted);
    assert!(end(&out).is_none(), "member 1 may have started");
    assert!(stops(&out, 1));
    let out = bench.ended(1, step::MemberResult::Stopped);
    assert!(matches!(end(&out), Some(command::AttemptResult::Lost(_))));
}

#[test]
fn no_member_started_is_not_started() {
    let mut bench = Bench::released();
    bench.ended(2, step::MemberResult::NotStarted);
    let out = bench.ended(1, step::MemberResult::NotStarted);
    assert_eq!(end(&out), Some(command::AttemptResult::NotStarted));
}

#[rstest]
#[case::before_release(false)]
#[case::after_release(true)]
fn worker_lost_stops_the_others(#[case] after: bool) {
    let (mut bench, _) = Bench::placed();
    if after {
        bench = Bench::released();
    }
    let out = bench.lost(2);
    assert!(stops(&out, 1));
    match after {
        true => assert!(matches!(end(&out), Some(command::AttemptResult::Lost(_)))),
        false => {
            assert!(contains(&out, |output| matches!(output, step::Output::PlaceFailed { .. })))
        }
    }
}

#[test]
fn worker_lost_frees_only_when_the_others_confirm() {
    let mut bench = Bench::released();
    bench.lost(2);
    assert!(!frees(&bench.step(step::Input::EndCommitted(ATTEMPT))));
    assert!(frees(&bench.lost(1)), "an expired lease confirms the stop too");
}

#[test]
fn all_done_ends_with_the_first_members_answer() {
    let mut bench = Bench::released();
    assert_eq!(end(&bench.ended(2, done(2))), None);
    let out = bench.ended(1, done(1));
    assert_eq!(end(&out), Some(command::AttemptResult::Done(answer())));
    assert!(bench.ended(1, done(1)).is_empty(), "a duplicate end changes nothing");
    let out = bench.step(step::Input::Freed(ATTEMPT));
    assert_eq!(out.len(), 2, "both members may drop their records");
    let late = bench.ended(1, done(1));
    assert!(
        matches!(late[..], [step::Output::ConfirmEnd { .. }]),
        "a late end is answered, so that the worker may drop it"
    );
}

#[test]
fn stop_waits_for_every_member() {
    let mut bench = Bench::released();
    let out = bench.step(step::Input::Stop { attempt: ATTEMPT, grace: time::Millis(300) });
    assert!(stops(&out, 1) && stops(&out, 2));
    assert_eq!(end(&bench.ended(1, step::MemberResult::Stopped)), None);
    let out = bench.ended(2, step::MemberResult::Stopped);
    assert_eq!(end(&out), Some(command::AttemptResult::Preempted));
}

#[test]
fn stop_after_the_end_keeps_the_answer() {
    let mut bench = Bench::released();
    bench.step(step::Input::Stop { attempt: ATTEMPT, grace: time::Millis(300) });
    bench.ended(1, done(1));
    let out = bench.ended(2, done(2));
    assert_eq!(end(&out), Some(command::AttemptResult::Done(answer())));
}

#[test]
fn reported_but_unknown_is_stopped() {
    let mut bench =
        Bench { coordinator: coordinator::Coordinator::default(), now: time::Tick(1000) };
    let worker = ids::WorkerKey(3);
    let out = bench.step(step::Input::Reported { attempt: ATTEMPT, worker });
    assert!(stops(&out, 3));
}

#[rstest]
#[case::running(false)]
#[case::stopping(true)]
fn recover_resumes(#[case] stopping: bool) {
    let mut bench =
        Bench { coordinator: coordinator::Coordinator::default(), now: time::Tick(1000) };
    let recover =
        step::Input::Recover { attempt: ATTEMPT, members: members(), lost: Vec::new(), stopping };
    let out = bench.step(recover);
    match stopping {
        true => assert!(stops(&out, 1) && stops(&out, 2)),
        false => assert_eq!(starts(&out), 2, "the previous leader's start may have been lost"),
    }
}
