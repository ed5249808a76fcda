//! Tests of the agent's state through preparation, start, stop and end of a gang, with lost,
//! duplicated, late and reordered messages, ended leases, suspended processes and leader changes.

use hemlockcleat::agent::contract;
use hemlockcleat::agent::state;
use hemlockcleat::core::ids;
use hemlockcleat::core::lease;
use hemlockcleat::core::time;
use hemlockcleat::wire::agent;
use hemlockcleat::wire::common;
use rstest::rstest;

use crate::support::agents;

/// A state with its time and the outputs of the last step.
struct Harness {
    state: state::State,
    now: u64,
    out: Vec<state::Output>,
}

const FIRST: common::AttemptKey = common::AttemptKey { job: 7, number: 1 };
const SECOND: common::AttemptKey = common::AttemptKey { job: 7, number: 2 };

fn task(index: u32) -> contract::TaskKey {
    contract::TaskKey { attempt: ids::AttemptKey { job: ids::JobKey(7), number: 1 }, index }
}

fn done() -> state::TaskStatus {
    let meta = common::AnswerMeta { length: 3, sha256: [7; 32] };
    state::TaskStatus::Ended(state::TaskEnd::Done(meta))
}

fn start(epoch: u64) -> agent::ServerMessage {
    agent::ServerMessage::Start { attempt: FIRST, epoch }
}

fn stop(grace: u64) -> agent::ServerMessage {
    agent::ServerMessage::Stop { attempt: FIRST, grace }
}

impl Harness {
    /// Creates a worker that is registered under epoch 1 and holds its lease.
    fn new() -> Self {
        let mut harness = Self { state: state::State::new(0), now: 1000, out: Vec::new() };
        harness.input(state::Input::Connected);
        harness.announce(false);
        harness.input(state::Input::Swept(true));
        harness.receive(agent::ServerMessage::Registered { worker: 1, epoch: 1 });
        harness.grant(1);
        harness.announce(false);
        harness
    }

    fn input(&mut self, input: state::Input) {
        self.out.clear();
        self.state.step(time::Tick(self.now), input, &mut self.out);
    }

    fn receive(&mut self, message: agent::ServerMessage) {
        self.input(state::Input::Received(message));
    }

    fn announce(&mut self, leaving: bool) {
        let announcement = contract::Announcement { leaving, ..agents::announcement() };
        self.input(state::Input::Announced(announcement));
        self.state.grant_lease(time::Tick(self.now));
    }

    /// Grants the lease that the last heartbeat requested.
    fn grant(&mut self, epoch: u64) {
        let sequence = self.out.iter().find_map(|output| match output {
            state::Output::Send(agent::ClientMessage::Heartbeat { sequence, .. }) => {
                Some(*sequence)
            }
            _ => None,
        });
        let sequence = sequence.expect("a heartbeat");
        self.receive(agent::ServerMessage::Lease { sequence, epoch, duration: lease::DURATION.0 });
    }

    /// Prepares the first attempt with two tasks; true if it was accepted.
    fn prepare(&mut self) -> bool {
        self.prepare_with(agents::prepare(FIRST, 2))
    }

    fn prepare_with(&mut self, prepare: agent::Prepare) -> bool {
        self.receive(agent::ServerMessage::Prepare(prepare));
        let accepted = self.out.iter().find_map(|output| match output {
            state::Output::Send(agent::ClientMessage::Prepared { ok, .. }) => Some(*ok),
            _ => None,
        });
        accepted.expect("an answer to the preparation")
    }

    /// Prepares and starts the first attempt; the backend server accepts both tasks.
    fn run(&mut self) {
        assert!(self.prepare());
        self.receive(start(1));
        self.start_finished(state::StartOutcome::Accepted);
    }

    fn start_finished(&mut self, outcome: state::StartOutcome) {
        self.input(state::Input::StartFinished(task(0), outcome.clone()));
        self.input(state::Input::StartFinished(task(1), outcome));
    }

    /// Reports this status for both tasks.
    fn watched(&mut self, status: state::TaskStatus) {
        self.input(state::Input::Watched(task(0), status.clone()));
        self.input(state::Input::Watched(task(1), status));
    }

    fn tick(&mut self, millis: u64) {
        self.now += millis;
        self.input(state::Input::Tick);
    }

    /// Advances time while the backend server and control keep responding. Returns the first
    /// reported end.
    fn advance(&mut self, millis: u64) -> Option<agent::TaskResult> {
        let until = self.now + millis;
        let mut ended = None;
        while self.now < until {
            self.tick(100);
            ended = ended.or(self.ended());
            let has_heartbeat = self.out.iter().any(|output| {
                matches!(output, state::Output::Send(agent::ClientMessage::Heartbeat { .. }))
            });
            if has_heartbeat {
                self.grant(1);
            }
            self.announce(false);
        }
        ended
    }

    /// The end that was reported in the last step.
    fn ended(&self) -> Option<agent::TaskResult> {
        self.out.iter().find_map(|output| match output {
            state::Output::Send(agent::ClientMessage::Ended { result, .. }) => Some(result.clone()),
            state::Output::Deliver { meta, .. } => {
                Some(agent::TaskResult::Done(Some(meta.clone())))
            }
            _ => None,
        })
    }

    fn stops(&self) -> usize {
        self.out.iter().filter(|output| matches!(output, state::Output::Stop { .. })).count()
    }

    fn starts(&self) -> usize {
        self.out.iter().filter(|output| matches!(output, state::Output::Start { .. })).count()
    }

    fn reports_started(&self) -> bool {
        let started = state::Output::Send(agent::ClientMessage::Started { attempt: FIRST });
        self.out.contains(&started)
    }
}

fn unknown(result: Option<agent::TaskResult>) -> bool {
    matches!(result, Some(agent::TaskResult::Unknown(_)))
}

#[test]
fn start_duplicated_starts_once() {
    let mut harness = Harness::new();
    assert!(harness.prepare() && harness.prepare());
    harness.receive(start(1));
    assert_eq!(harness.starts(), 2);
    harness.receive(start(1));
    assert_eq!((harness.starts(), harness.reports_started()), (0, false));
    harness.start_finished(state::StartOutcome::Accepted);
    assert!(harness.reports_started());
    harness.receive(start(1));
    assert_eq!((harness.starts(), harness.reports_started()), (0, true));
    assert!(harness.prepare());
}

#[test]
fn start_without_prepare_is_refused_permanently() {
    let mut harness = Harness::new();
    harness.receive(start(1));
    assert_eq!(harness.ended(), Some(agent::TaskResult::NotStarted));
    // The delayed preparation arrives after the start.
    assert!(!harness.prepare());
    harness.receive(start(1));
    assert_eq!((harness.ended(), harness.starts()), (Some(agent::TaskResult::NotStarted), 0));
}

#[test]
fn start_of_another_process_is_unknown() {
    let mut harness = Harness::new();
    harness.receive(start(0));
    assert!(unknown(harness.ended()));
    // An agent process that was never registered does not know either.
    let mut state = state::State::new(0);
    let mut out = Vec::new();
    state.step(time::Tick(0), state::Input::Received(start(1)), &mut out);
    assert!(matches!(
        out.as_slice(),
        [state::Output::Send(agent::ClientMessage::Ended {
            result: agent::TaskResult::Unknown(_),
            ..
        })]
    ));
}

#[rstest]
#[case::before_prepare(false)]
#[case::after_prepare(true)]
fn stop_overtakes_start(#[case] prepared: bool) {
    let mut harness = Harness::new();
    assert!(!prepared || harness.prepare());
    harness.receive(stop(0));
    assert!(harness.ended().is_some());
    assert!(!harness.prepare());
    harness.receive(start(1));
    assert_eq!((harness.ended(), harness.starts()), (Some(agent::TaskResult::NotStarted), 0));
}

#[rstest]
#[case::older_epoch(agent::Prepare { epoch: 0, ..agents::prepare(FIRST, 1) })]
#[case::newer_epoch(agent::Prepare { epoch: 2, ..agents::prepare(FIRST, 1) })]
#[case::other_service(agent::Prepare { service: "order".to_owned(), ..agents::prepare(FIRST, 1) })]
#[case::no_task(agents::prepare(FIRST, 0))]
#[case::outside_gang(agent::Prepare { first_task: 1, ..agents::prepare(FIRST, 1) })]
#[case::overflowing(agent::Prepare { first_task: u32::MAX, ..agents::prepare(FIRST, 1) })]
#[case::oversized_gang(agent::Prepare { gang_tasks: 1025, ..agents::prepare(FIRST, 1) })]
#[case::long_payload(agent::Prepare { payload: vec![0; 300_000], ..agents::prepare(FIRST, 1) })]
#[case::slots(agents::prepare(FIRST, 9))]
#[case::accelerators(agent::Prepare { accelerators: 5, ..agents::prepare(FIRST, 2) })]
fn prepare_refused(#[case] prepare: agent::Prepare) {
    let mut harness = Harness::new();
    assert!(!harness.prepare_with(prepare));
    assert_eq!(harness.state.occupied(), 0);
}

#[test]
fn prepare_refused_without_capacity() {
    let mut harness = Harness::new();
    assert!(harness.prepare_with(agents::prepare(common::AttemptKey { job: 8, number: 1 }, 7)));
    assert!(!harness.prepare());
    harness.receive(agent::ServerMessage::Stop {
        attempt: common::AttemptKey { job: 8, number: 1 },
        grace: 0,
    });
    assert!(!harness.prepare_with(agents::prepare(common::AttemptKey { job: 8, number: 1 }, 1)));
    assert!(harness.prepare_with(agents::prepare(SECOND, 2)));
    // A late preparation of an older attempt of the same job is refused.
    assert!(!harness.prepare());
}

#[test]
fn prepare_without_start_is_dropped() {
    let mut harness = Harness::new();
    assert!(harness.prepare());
    harness.advance(9_900);
    assert_eq!(harness.state.occupied(), 2);
    harness.advance(200);
    assert_eq!(harness.state.occupied(), 0);
    harness.receive(start(1));
    assert_eq!(harness.ended(), Some(agent::TaskResult::NotStarted));
}

#[rstest]
#[case::tick(None)]
#[case::message(Some(start(1)))]
fn lease_end_stops_tasks(#[case] first: Option<agent::ServerMessage>) {
    let mut harness = Harness::new();
    harness.run();
    // The process is suspended; the tasks are stopped on whichever input comes first.
    harness.now += lease::DURATION.0;
    match first {
        Some(message) => harness.receive(message),
        None => harness.tick(0),
    }
    assert_eq!(harness.stops(), 2);
    harness.watched(state::TaskStatus::Ended(state::TaskEnd::Stopped));
    assert!(unknown(harness.ended()));
}

#[test]
fn lease_end_drops_preparation() {
    let mut harness = Harness::new();
    assert!(harness.prepare());
    // The process is suspended between the preparation and the start.
    harness.now += lease::DURATION.0;
    harness.receive(start(1));
    assert_eq!((harness.ended(), harness.starts()), (Some(agent::TaskResult::NotStarted), 0));
}

#[test]
fn lease_end_late_grant_starts_nothing() {
    let mut harness = Harness::new();
    assert!(harness.prepare());
    harness.tick(1000);
    harness.now += lease::DURATION.0 + 1;
    // The first message is the grant for a heartbeat from before the suspension.
    harness.receive(agent::ServerMessage::Lease {
        sequence: 2,
        epoch: 1,
        duration: lease::DURATION.0,
    });
    harness.receive(start(1));
    assert_eq!((harness.ended(), harness.starts()), (Some(agent::TaskResult::NotStarted), 0));
}

#[test]
fn fenced_stops_and_registers_again() {
    let mut harness = Harness::new();
    harness.run();
    harness.receive(agent::ServerMessage::Fenced { epoch: 1 });
    assert_eq!(harness.stops(), 2);
    let announces = |harness: &Harness| {
        let announce = |output: &state::Output| {
            matches!(output, state::Output::Send(agent::ClientMessage::Announce { .. }))
        };
        harness.out.iter().any(announce)
    };
    // A registration implies that the tasks have ended, so the announcement waits for their end.
    assert!(!announces(&harness));
    harness
        .input(state::Input::Stopped(task(0), state::TaskStatus::Ended(state::TaskEnd::Stopped)));
    assert!(!announces(&harness));
    harness
        .input(state::Input::Stopped(task(1), state::TaskStatus::Ended(state::TaskEnd::Stopped)));
    assert!(unknown(harness.ended()) && announces(&harness));
    harness.receive(agent::ServerMessage::Registered { worker: 1, epoch: 1 });
    harness.tick(1000);
    assert!(!harness.prepare());
    harness.receive(agent::ServerMessage::Registered { worker: 1, epoch: 2 });
    harness.grant(2);
    assert!(harness.prepare_with(agent::Prepare { epoch: 2, ..agents::prepare(SECOND, 2) }));
}

#[rstest]
#[case::all_refused(
    state::StartOutcome::Refused(String::new()),
    state::StartOutcome::Refused(String::new())
)]
#[case::one_refused(state::StartOutcome::Accepted, state::StartOutcome::Refused(String::new()))]
#[case::one_unknown(state::StartOutcome::Accepted, state::StartOutcome::Unknown(String::new()))]
#[case::refused_and_unknown(
    state::StartOutcome::Refused(String::new()),
    state::StartOutcome::Unknown(String::new())
)]
fn start_incomplete(#[case] one: state::StartOutcome, #[case] other: state::StartOutcome) {
    let mut harness = Harness::new();
    assert!(harness.prepare());
    harness.receive(start(1));
    let is_unknown = matches!(other, state::StartOutcome::Unknown(_));
    let none_started = matches!(
        (&one, &other),
        (state::StartOutcome::Refused(_), state::StartOutcome::Refused(_))
    );
    harness.input(state::Input::StartFinished(task(0), one));
    let stops = harness.stops();
    harness.input(state::Input::StartFinished(task(1), other));
    let stops = stops + harness.stops();
    assert!(!harness.reports_started());
    if none_started {
        assert_eq!(harness.ended(), Some(agent::TaskResult::NotStarted));
        return;
    }
    // Running tasks are stopped; an unknown task whose start may still arrive has not ended.
    assert!(stops > 0 && harness.ended().is_none());
    let gone = state::TaskStatus::Ended(state::TaskEnd::Gone(String::new()));
    harness
        .input(state::Input::Watched(task(0), state::TaskStatus::Ended(state::TaskEnd::Stopped)));
    if is_unknown {
        harness.input(state::Input::Watched(task(1), gone.clone()));
        assert_eq!(harness.ended(), None);
        harness.input(state::Input::Stopped(task(1), gone));
        assert!(unknown(harness.ended()));
    } else {
        assert!(matches!(harness.ended(), Some(agent::TaskResult::Failed(_))));
    }
}

#[rstest]
#[case::failed(state::TaskEnd::Failed("no".to_owned()))]
#[case::gone(state::TaskEnd::Gone("restarted".to_owned()))]
#[case::stopped_by_itself(state::TaskEnd::Stopped)]
fn task_end_stops_the_rest(#[case] end: state::TaskEnd) {
    let mut harness = Harness::new();
    harness.run();
    let failed = matches!(end, state::TaskEnd::Failed(_));
    harness.input(state::Input::Watched(task(1), state::TaskStatus::Ended(end)));
    assert_eq!((harness.stops(), harness.ended()), (1, None));
    harness
        .input(state::Input::Watched(task(0), state::TaskStatus::Ended(state::TaskEnd::Stopped)));
    match harness.ended() {
        Some(agent::TaskResult::Failed(_)) => assert!(failed),
        Some(agent::TaskResult::Unknown(_)) => assert!(!failed),
        other => panic!("{other:?}"),
    }
}

#[test]
fn answer_is_held_until_its_end_is_stored() {
    let mut harness = Harness::new();
    harness.run();
    harness.watched(done());
    let meta = common::AnswerMeta { length: 3, sha256: [7; 32] };
    let fetch = state::Output::Fetch { task: task(0), meta: meta.clone(), limit: 8 * 1024 * 1024 };
    assert!(harness.out.contains(&fetch) && harness.ended().is_none());
    harness
        .input(state::Input::Fetched(task(0).attempt, state::FetchOutcome::Complete(meta.clone())));
    assert_eq!(harness.ended(), Some(agent::TaskResult::Done(Some(meta.clone()))));
    // The leader changes before the end is stored.
    harness.input(state::Input::Disconnected);
    assert_eq!(harness.advance(10_000), None);
    harness.input(state::Input::Connected);
    assert_eq!(harness.ended(), Some(agent::TaskResult::Done(Some(meta))));
    harness.receive(agent::ServerMessage::EndStored { attempt: FIRST });
    assert!(harness.out.iter().any(|output| matches!(output, state::Output::Discard { .. })));
    harness.receive(agent::ServerMessage::EndStored { attempt: FIRST });
    assert!(harness.out.is_empty() && harness.state.idle());
    harness.receive(start(1));
    assert!(unknown(harness.ended()) && harness.starts() == 0);
}

/// A new leader doesn't know that the attempt has ended. It accepts the end only after the bytes of
/// the answer.
#[rstest]
#[case::start(start(1))]
#[case::stop(stop(0))]
fn order_after_the_end_is_answered_with_the_answer(#[case] order: agent::ServerMessage) {
    let mut harness = Harness::new();
    harness.run();
    harness.watched(done());
    let meta = common::AnswerMeta { length: 3, sha256: [7; 32] };
    let fetched = state::FetchOutcome::Complete(meta.clone());
    harness.input(state::Input::Fetched(task(0).attempt, fetched));
    harness.input(state::Input::Disconnected);
    harness.input(state::Input::Connected);
    harness.receive(order);
    assert!(
        matches!(&harness.out[..], [state::Output::Deliver { meta: sent, .. }] if *sent == meta),
        "the end was sent without the answer: {:?}",
        harness.out
    );
}

#[rstest]
#[case::bad(state::FetchOutcome::Invalid("crossed".to_owned()), false)]
#[case::lost(state::FetchOutcome::Lost("gone".to_owned()), true)]
fn answer_incomplete(#[case] outcome: state::FetchOutcome, #[case] lost: bool) {
    let mut harness = Harness::new();
    harness.run();
    harness.watched(done());
    harness.input(state::Input::Fetched(task(0).attempt, outcome));
    match harness.ended() {
        Some(agent::TaskResult::Failed(_)) => assert!(!lost),
        other => assert!(lost && unknown(other)),
    }
}

#[rstest]
#[case::at_once(0, 1)]
#[case::after_checkpoint(500, 5)]
fn stop_ordered(#[case] grace: u64, #[case] ticks: u64) {
    let mut harness = Harness::new();
    harness.run();
    harness.receive(stop(grace));
    let checkpoints =
        harness.out.iter().filter(|o| matches!(o, state::Output::Checkpoint { .. })).count();
    assert_eq!(checkpoints, if grace > 0 { 2 } else { 0 });
    if grace > 0 {
        assert_eq!(harness.stops(), 0);
        (1..ticks).for_each(|_| harness.tick(100));
        assert_eq!(harness.stops(), 0);
        harness.tick(100);
    }
    assert_eq!(harness.stops(), 2);
    // The order is repeated in case it was lost.
    harness.tick(500);
    assert_eq!(harness.stops(), 2);
    harness.watched(state::TaskStatus::Ended(state::TaskEnd::Stopped));
    assert_eq!(harness.ended(), Some(agent::TaskResult::Stopped));
    harness.receive(stop(0));
    assert_eq!(harness.ended(), Some(agent::TaskResult::Stopped));
}

#[test]
fn leader_change_keeps_tasks() {
    let mut harness = Harness::new();
    harness.run();
    harness.input(state::Input::Disconnected);
    harness.tick(1500);
    harness.announce(false);
    harness.input(state::Input::Connected);
    assert_eq!(harness.stops(), 0);
    harness.grant(1);
    harness.receive(agent::ServerMessage::Registered { worker: 1, epoch: 1 });
    harness.receive(start(1));
    assert_eq!((harness.starts(), harness.reports_started()), (0, true));
    assert_eq!(harness.advance(10_000), None);
    assert_eq!(harness.state.occupied(), 2);
}

#[rstest]
#[case::just_in_time(1900, false)]
#[case::too_late(2100, true)]
fn silent_leader_is_left(#[case] millis: u64, #[case] left: bool) {
    let mut harness = Harness::new();
    harness.run();
    harness.tick(1000);
    harness.now += millis;
    harness.announce(false);
    harness.tick(0);
    assert_eq!(harness.out.contains(&state::Output::Reconnect), left);
    // The lease goes on meanwhile.
    assert_eq!(harness.stops(), 0);
}

#[test]
fn silent_backend_stops_its_tasks() {
    let mut harness = Harness::new();
    harness.run();
    harness.tick(1000);
    harness.grant(1);
    harness.tick(2000);
    assert_eq!(harness.stops(), 2);
    assert!(!harness.state.ready(time::Tick(harness.now)));
    let leaving = harness.out.iter().any(|output| {
        matches!(output, state::Output::Send(agent::ClientMessage::Announce { leaving: true, .. }))
    });
    assert!(leaving);
    // Its tasks may run until the lease granted to it has ended.
    harness.tick(500);
    assert_eq!(harness.ended(), None);
    harness.tick(1000);
    assert!(unknown(harness.ended()));
    // After its return, its unknown tasks are stopped before the worker accepts work again.
    harness.announce(false);
    assert!(harness.out.iter().any(|output| matches!(output, state::Output::Sweep { .. })));
    assert!(!harness.prepare_with(agents::prepare(SECOND, 1)));
}

#[rstest]
#[case::backend(true)]
#[case::agent(false)]
fn leaving_refuses_new_work(#[case] backend: bool) {
    let mut harness = Harness::new();
    harness.run();
    let waiting = common::AttemptKey { job: 9, number: 1 };
    let late = common::AttemptKey { job: 10, number: 1 };
    assert!(harness.prepare_with(agents::prepare(waiting.clone(), 1)));
    assert!(harness.prepare_with(agents::prepare(late.clone(), 1)));
    if backend {
        harness.announce(true);
    } else {
        harness.input(state::Input::Leave);
    }
    let announced = harness.out.iter().any(|output| {
        matches!(output, state::Output::Send(agent::ClientMessage::Announce { leaving: true, .. }))
    });
    assert!(announced);
    assert!(!harness.prepare_with(agents::prepare(common::AttemptKey { job: 11, number: 1 }, 1)));
    // A prepared attempt may still start for a short time; running tasks continue.
    harness.receive(agent::ServerMessage::Start { attempt: waiting, epoch: 1 });
    assert_eq!(harness.starts(), 1);
    harness.tick(2000);
    harness.receive(agent::ServerMessage::Start { attempt: late, epoch: 1 });
    assert_eq!((harness.starts(), harness.ended()), (0, Some(agent::TaskResult::NotStarted)));
    assert_eq!(harness.stops(), 0);
}

#[test]
fn unconfirmed_stop_withholds_the_lease() {
    let mut harness = Harness::new();
    harness.run();
    harness.receive(stop(0));
    harness.advance(2500);
    assert!(harness.state.grant_lease(time::Tick(harness.now)).lease_ms > 0);
    harness.advance(1000);
    assert_eq!(harness.state.grant_lease(time::Tick(harness.now)).lease_ms, 0);
    let fence = harness.state.grant_lease(time::Tick(harness.now)).fence;
    assert!(unknown(harness.advance(6000)));
    // From now on, the backend server refuses a start in flight with the old token.
    assert_ne!(harness.state.grant_lease(time::Tick(harness.now)).fence, fence);
}

#[test]
fn tombstones_are_bounded_and_evicted_are_unknown() {
    let mut harness = Harness::new();
    for job in 100..100 + 5000 {
        harness.receive(agent::ServerMessage::Stop {
            attempt: common::AttemptKey { job, number: 1 },
            grace: 0,
        });
    }
    // The oldest attempts are evicted, and their result is unknown.
    let evicted = common::AttemptKey { job: 100, number: 1 };
    harness.receive(agent::ServerMessage::Start { attempt: evicted, epoch: 1 });
    assert!(unknown(harness.ended()));
    let fresh = common::AttemptKey { job: 9000, number: 1 };
    harness.receive(agent::ServerMessage::Start { attempt: fresh, epoch: 1 });
    assert_eq!(harness.ended(), Some(agent::TaskResult::NotStarted));
}
