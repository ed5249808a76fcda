//! What the agent's state says and does at each step of a gang's life, message by message: each
//! lost, doubled, late or crossed; leases that end; freezes; leader changes.

use hemlockcleat::agent::contract;
use hemlockcleat::agent::state;
use hemlockcleat::core::ids;
use hemlockcleat::core::lease;
use hemlockcleat::core::time;
use hemlockcleat::wire::agent;
use hemlockcleat::wire::common;
use rstest::rstest;

use crate::support::agents;

/// A state with its time and what it wanted last.
struct Bench {
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

impl Bench {
    /// A registered worker under epoch 1 that holds its lease.
    fn new() -> Self {
        let mut bench = Self { state: state::State::new(0), now: 1000, out: Vec::new() };
        bench.feed(state::Input::Connected);
        bench.announce(false);
        bench.feed(state::Input::Swept(true));
        bench.down(agent::ServerMessage::Registered { worker: 1, epoch: 1 });
        bench.grant(1);
        bench.announce(false);
        bench
    }

    fn feed(&mut self, input: state::Input) {
        self.out.clear();
        self.state.step(time::Tick(self.now), input, &mut self.out);
    }

    fn down(&mut self, down: agent::ServerMessage) {
        self.feed(state::Input::Received(down));
    }

    fn announce(&mut self, leaving: bool) {
        let announcement = contract::Announcement { leaving, ..agents::announcement() };
        self.feed(state::Input::Announced(announcement));
        self.state.grant_lease(time::Tick(self.now));
    }

    /// Grants the lease that the last heartbeat asked for.
    fn grant(&mut self, epoch: u64) {
        let sequence = self.out.iter().find_map(|output| match output {
            state::Output::Send(agent::ClientMessage::Heartbeat { sequence, .. }) => {
                Some(*sequence)
            }
            _ => None,
        });
        let sequence = sequence.expect("a heartbeat");
        self.down(agent::ServerMessage::Lease { sequence, epoch, duration: lease::DURATION.0 });
    }

    /// Prepares the first attempt with two tasks.
    fn prepare(&mut self) -> bool {
        self.prepare_with(agents::prepare(FIRST, 2))
    }

    fn prepare_with(&mut self, prepare: agent::Prepare) -> bool {
        self.down(agent::ServerMessage::Prepare(prepare));
        let said = self.out.iter().find_map(|output| match output {
            state::Output::Send(agent::ClientMessage::Prepared { ok, .. }) => Some(*ok),
            _ => None,
        });
        said.expect("an answer to the preparation")
    }

    /// Prepares and starts the first attempt; both tasks are accepted.
    fn run(&mut self) {
        assert!(self.prepare());
        self.down(start(1));
        self.begun(state::StartOutcome::Accepted);
    }

    fn begun(&mut self, begun: state::StartOutcome) {
        self.feed(state::Input::StartFinished(task(0), begun.clone()));
        self.feed(state::Input::StartFinished(task(1), begun));
    }

    /// The backend server says so of both tasks.
    fn watched(&mut self, seen: state::TaskStatus) {
        self.feed(state::Input::Watched(task(0), seen.clone()));
        self.feed(state::Input::Watched(task(1), seen));
    }

    fn tick(&mut self, millis: u64) {
        self.now += millis;
        self.feed(state::Input::Tick);
    }

    /// Lets time pass while the backend server and control go on answering. Returns an end that
    /// was said.
    fn live(&mut self, millis: u64) -> Option<agent::TaskResult> {
        let until = self.now + millis;
        let mut said = None;
        while self.now < until {
            self.tick(100);
            said = said.or(self.ended());
            let beat = self.out.iter().any(|output| {
                matches!(output, state::Output::Send(agent::ClientMessage::Heartbeat { .. }))
            });
            if beat {
                self.grant(1);
            }
            self.announce(false);
        }
        said
    }

    /// The end that was said in the last step.
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

    fn begins(&self) -> usize {
        self.out.iter().filter(|output| matches!(output, state::Output::Start { .. })).count()
    }

    fn says_started(&self) -> bool {
        let started = state::Output::Send(agent::ClientMessage::Started { attempt: FIRST });
        self.out.contains(&started)
    }
}

fn unknown(result: Option<agent::TaskResult>) -> bool {
    matches!(result, Some(agent::TaskResult::Unknown(_)))
}

#[test]
fn start_doubled_starts_once() {
    let mut bench = Bench::new();
    assert!(bench.prepare() && bench.prepare());
    bench.down(start(1));
    assert_eq!(bench.begins(), 2);
    bench.down(start(1));
    assert_eq!((bench.begins(), bench.says_started()), (0, false));
    bench.begun(state::StartOutcome::Accepted);
    assert!(bench.says_started());
    bench.down(start(1));
    assert_eq!((bench.begins(), bench.says_started()), (0, true));
    assert!(bench.prepare());
}

#[test]
fn start_without_prepare_is_refused_for_good() {
    let mut bench = Bench::new();
    bench.down(start(1));
    assert_eq!(bench.ended(), Some(agent::TaskResult::NotStarted));
    // The lost preparation comes after all.
    assert!(!bench.prepare());
    bench.down(start(1));
    assert_eq!((bench.ended(), bench.begins()), (Some(agent::TaskResult::NotStarted), 0));
}

#[test]
fn start_of_another_run_is_unknown() {
    let mut bench = Bench::new();
    bench.down(start(0));
    assert!(unknown(bench.ended()));
    // A run of the agent that was never registered can't tell either.
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
    let mut bench = Bench::new();
    assert!(!prepared || bench.prepare());
    bench.down(stop(0));
    assert!(bench.ended().is_some());
    assert!(!bench.prepare());
    bench.down(start(1));
    assert_eq!((bench.ended(), bench.begins()), (Some(agent::TaskResult::NotStarted), 0));
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
    let mut bench = Bench::new();
    assert!(!bench.prepare_with(prepare));
    assert_eq!(bench.state.occupied(), 0);
}

#[test]
fn prepare_refused_where_others_hold_the_room() {
    let mut bench = Bench::new();
    assert!(bench.prepare_with(agents::prepare(common::AttemptKey { job: 8, number: 1 }, 7)));
    assert!(!bench.prepare());
    bench.down(agent::ServerMessage::Stop {
        attempt: common::AttemptKey { job: 8, number: 1 },
        grace: 0,
    });
    assert!(!bench.prepare_with(agents::prepare(common::AttemptKey { job: 8, number: 1 }, 1)));
    assert!(bench.prepare_with(agents::prepare(SECOND, 2)));
    // An older attempt of the same job comes late.
    assert!(!bench.prepare());
}

#[test]
fn prepare_without_start_is_dropped() {
    let mut bench = Bench::new();
    assert!(bench.prepare());
    bench.live(9_900);
    assert_eq!(bench.state.occupied(), 2);
    bench.live(200);
    assert_eq!(bench.state.occupied(), 0);
    bench.down(start(1));
    assert_eq!(bench.ended(), Some(agent::TaskResult::NotStarted));
}

#[rstest]
#[case::tick(None)]
#[case::message(Some(start(1)))]
fn lease_end_stops_tasks(#[case] first: Option<agent::ServerMessage>) {
    let mut bench = Bench::new();
    bench.run();
    // The process is frozen; what it reads first does not matter.
    bench.now += lease::DURATION.0;
    match first {
        Some(down) => bench.down(down),
        None => bench.tick(0),
    }
    assert_eq!(bench.stops(), 2);
    bench.watched(state::TaskStatus::Ended(state::TaskEnd::Stopped));
    assert!(unknown(bench.ended()));
}

#[test]
fn lease_end_drops_preparation() {
    let mut bench = Bench::new();
    assert!(bench.prepare());
    // Frozen between the preparation and the start.
    bench.now += lease::DURATION.0;
    bench.down(start(1));
    assert_eq!((bench.ended(), bench.begins()), (Some(agent::TaskResult::NotStarted), 0));
}

#[test]
fn lease_end_late_grant_revives_nothing() {
    let mut bench = Bench::new();
    assert!(bench.prepare());
    bench.tick(1000);
    bench.now += lease::DURATION.0 + 1;
    // The grant for the heartbeat of before the freeze comes first.
    bench.down(agent::ServerMessage::Lease { sequence: 2, epoch: 1, duration: lease::DURATION.0 });
    bench.down(start(1));
    assert_eq!((bench.ended(), bench.begins()), (Some(agent::TaskResult::NotStarted), 0));
}

#[test]
fn fenced_stops_and_registers_anew() {
    let mut bench = Bench::new();
    bench.run();
    bench.down(agent::ServerMessage::Fenced { epoch: 1 });
    assert_eq!(bench.stops(), 2);
    let announces = |bench: &Bench| {
        let announce = |output: &state::Output| {
            matches!(output, state::Output::Send(agent::ClientMessage::Announce { .. }))
        };
        bench.out.iter().any(announce)
    };
    // A registration means that the tasks are gone, so it waits until they are.
    assert!(!announces(&bench));
    bench.feed(state::Input::Stopped(task(0), state::TaskStatus::Ended(state::TaskEnd::Stopped)));
    assert!(!announces(&bench));
    bench.feed(state::Input::Stopped(task(1), state::TaskStatus::Ended(state::TaskEnd::Stopped)));
    assert!(unknown(bench.ended()) && announces(&bench));
    bench.down(agent::ServerMessage::Registered { worker: 1, epoch: 1 });
    bench.tick(1000);
    assert!(!bench.prepare());
    bench.down(agent::ServerMessage::Registered { worker: 1, epoch: 2 });
    bench.grant(2);
    assert!(bench.prepare_with(agent::Prepare { epoch: 2, ..agents::prepare(SECOND, 2) }));
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
fn start_not_whole(#[case] one: state::StartOutcome, #[case] other: state::StartOutcome) {
    let mut bench = Bench::new();
    assert!(bench.prepare());
    bench.down(start(1));
    let unsure = matches!(other, state::StartOutcome::Unknown(_));
    let none = matches!(
        (&one, &other),
        (state::StartOutcome::Refused(_), state::StartOutcome::Refused(_))
    );
    bench.feed(state::Input::StartFinished(task(0), one));
    let stops = bench.stops();
    bench.feed(state::Input::StartFinished(task(1), other));
    let stops = stops + bench.stops();
    assert!(!bench.says_started());
    if none {
        assert_eq!(bench.ended(), Some(agent::TaskResult::NotStarted));
        return;
    }
    // What runs is stopped; not knowing a task that may still arrive ends nothing.
    assert!(stops > 0 && bench.ended().is_none());
    let gone = state::TaskStatus::Ended(state::TaskEnd::Gone(String::new()));
    bench.feed(state::Input::Watched(task(0), state::TaskStatus::Ended(state::TaskEnd::Stopped)));
    if unsure {
        bench.feed(state::Input::Watched(task(1), gone.clone()));
        assert_eq!(bench.ended(), None);
        bench.feed(state::Input::Stopped(task(1), gone));
        assert!(unknown(bench.ended()));
    } else {
        assert!(matches!(bench.ended(), Some(agent::TaskResult::Failed(_))));
    }
}

#[rstest]
#[case::failed(state::TaskEnd::Failed("no".to_owned()))]
#[case::gone(state::TaskEnd::Gone("restarted".to_owned()))]
#[case::stopped_by_itself(state::TaskEnd::Stopped)]
fn task_end_stops_the_rest(#[case] end: state::TaskEnd) {
    let mut bench = Bench::new();
    bench.run();
    let failed = matches!(end, state::TaskEnd::Failed(_));
    bench.feed(state::Input::Watched(task(1), state::TaskStatus::Ended(end)));
    assert_eq!((bench.stops(), bench.ended()), (1, None));
    bench.feed(state::Input::Watched(task(0), state::TaskStatus::Ended(state::TaskEnd::Stopped)));
    match bench.ended() {
        Some(agent::TaskResult::Failed(_)) => assert!(failed),
        Some(agent::TaskResult::Unknown(_)) => assert!(!failed),
        other => panic!("{other:?}"),
    }
}

#[test]
fn answer_is_kept_until_forgotten() {
    let mut bench = Bench::new();
    bench.run();
    bench.watched(done());
    let meta = common::AnswerMeta { length: 3, sha256: [7; 32] };
    let fetch = state::Output::Fetch { task: task(0), meta: meta.clone(), limit: 8 * 1024 * 1024 };
    assert!(bench.out.contains(&fetch) && bench.ended().is_none());
    bench.feed(state::Input::Fetched(task(0).attempt, state::FetchOutcome::Complete(meta.clone())));
    assert_eq!(bench.ended(), Some(agent::TaskResult::Done(Some(meta.clone()))));
    // The leader changes before it has stored the end.
    bench.feed(state::Input::Disconnected);
    assert_eq!(bench.live(10_000), None);
    bench.feed(state::Input::Connected);
    assert_eq!(bench.ended(), Some(agent::TaskResult::Done(Some(meta))));
    bench.down(agent::ServerMessage::EndStored { attempt: FIRST });
    assert!(bench.out.iter().any(|output| matches!(output, state::Output::Discard { .. })));
    bench.down(agent::ServerMessage::EndStored { attempt: FIRST });
    assert!(bench.out.is_empty() && bench.state.idle());
    bench.down(start(1));
    assert!(unknown(bench.ended()) && bench.begins() == 0);
}

#[rstest]
#[case::bad(state::FetchOutcome::Invalid("crossed".to_owned()), false)]
#[case::lost(state::FetchOutcome::Lost("gone".to_owned()), true)]
fn answer_not_whole(#[case] fetched: state::FetchOutcome, #[case] lost: bool) {
    let mut bench = Bench::new();
    bench.run();
    bench.watched(done());
    bench.feed(state::Input::Fetched(task(0).attempt, fetched));
    match bench.ended() {
        Some(agent::TaskResult::Failed(_)) => assert!(!lost),
        other => assert!(lost && unknown(other)),
    }
}

#[rstest]
#[case::at_once(0, 1)]
#[case::after_checkpoint(500, 5)]
fn stop_ordered(#[case] grace: u64, #[case] ticks: u64) {
    let mut bench = Bench::new();
    bench.run();
    bench.down(stop(grace));
    let checkpoints =
        bench.out.iter().filter(|o| matches!(o, state::Output::Checkpoint { .. })).count();
    assert_eq!(checkpoints, if grace > 0 { 2 } else { 0 });
    if grace > 0 {
        assert_eq!(bench.stops(), 0);
        (1..ticks).for_each(|_| bench.tick(100));
        assert_eq!(bench.stops(), 0);
        bench.tick(100);
    }
    assert_eq!(bench.stops(), 2);
    // Lost: the order is given again.
    bench.tick(500);
    assert_eq!(bench.stops(), 2);
    bench.watched(state::TaskStatus::Ended(state::TaskEnd::Stopped));
    assert_eq!(bench.ended(), Some(agent::TaskResult::Stopped));
    bench.down(stop(0));
    assert_eq!(bench.ended(), Some(agent::TaskResult::Stopped));
}

#[test]
fn leader_change_keeps_tasks() {
    let mut bench = Bench::new();
    bench.run();
    bench.feed(state::Input::Disconnected);
    bench.tick(1500);
    bench.announce(false);
    bench.feed(state::Input::Connected);
    assert_eq!(bench.stops(), 0);
    bench.grant(1);
    bench.down(agent::ServerMessage::Registered { worker: 1, epoch: 1 });
    bench.down(start(1));
    assert_eq!((bench.begins(), bench.says_started()), (0, true));
    assert_eq!(bench.live(10_000), None);
    assert_eq!(bench.state.occupied(), 2);
}

#[rstest]
#[case::just_in_time(1900, false)]
#[case::too_late(2100, true)]
fn silent_leader_is_left(#[case] millis: u64, #[case] left: bool) {
    let mut bench = Bench::new();
    bench.run();
    bench.tick(1000);
    bench.now += millis;
    bench.announce(false);
    bench.tick(0);
    assert_eq!(bench.out.contains(&state::Output::Reconnect), left);
    // The lease goes on meanwhile.
    assert_eq!(bench.stops(), 0);
}

#[test]
fn silent_backend_is_given_up() {
    let mut bench = Bench::new();
    bench.run();
    bench.tick(1000);
    bench.grant(1);
    bench.tick(2000);
    assert_eq!(bench.stops(), 2);
    assert!(!bench.state.ready(time::Tick(bench.now)));
    let leaving = bench.out.iter().any(|output| {
        matches!(output, state::Output::Send(agent::ClientMessage::Announce { leaving: true, .. }))
    });
    assert!(leaving);
    // Its tasks may run until the lease it was told of has ended.
    bench.tick(500);
    assert_eq!(bench.ended(), None);
    bench.tick(1000);
    assert!(unknown(bench.ended()));
    // It comes back: what it may still hold is cleared before the worker is offered again.
    bench.announce(false);
    assert!(bench.out.iter().any(|output| matches!(output, state::Output::Sweep { .. })));
    assert!(!bench.prepare_with(agents::prepare(SECOND, 1)));
}

#[rstest]
#[case::backend(true)]
#[case::agent(false)]
fn leaving_refuses_new_work(#[case] backend: bool) {
    let mut bench = Bench::new();
    bench.run();
    let waiting = common::AttemptKey { job: 9, number: 1 };
    let late = common::AttemptKey { job: 10, number: 1 };
    assert!(bench.prepare_with(agents::prepare(waiting.clone(), 1)));
    assert!(bench.prepare_with(agents::prepare(late.clone(), 1)));
    if backend {
        bench.announce(true);
    } else {
        bench.feed(state::Input::Leave);
    }
    let told = bench.out.iter().any(|output| {
        matches!(output, state::Output::Send(agent::ClientMessage::Announce { leaving: true, .. }))
    });
    assert!(told);
    assert!(!bench.prepare_with(agents::prepare(common::AttemptKey { job: 11, number: 1 }, 1)));
    // What was prepared before may start for a short while; what runs goes on.
    bench.down(agent::ServerMessage::Start { attempt: waiting, epoch: 1 });
    assert_eq!(bench.begins(), 1);
    bench.tick(2000);
    bench.down(agent::ServerMessage::Start { attempt: late, epoch: 1 });
    assert_eq!((bench.begins(), bench.ended()), (0, Some(agent::TaskResult::NotStarted)));
    assert_eq!(bench.stops(), 0);
}

#[test]
fn unconfirmed_stop_withholds_the_lease() {
    let mut bench = Bench::new();
    bench.run();
    bench.down(stop(0));
    bench.live(2500);
    assert!(bench.state.grant_lease(time::Tick(bench.now)).lease_ms > 0);
    bench.live(1000);
    assert_eq!(bench.state.grant_lease(time::Tick(bench.now)).lease_ms, 0);
    let fence = bench.state.grant_lease(time::Tick(bench.now)).fence;
    assert!(unknown(bench.live(6000)));
    // A start that is still on its way is refused from now on.
    assert_ne!(bench.state.grant_lease(time::Tick(bench.now)).fence, fence);
}

#[test]
fn tombs_are_bounded_and_stay_honest() {
    let mut bench = Bench::new();
    for job in 100..100 + 5000 {
        bench.down(agent::ServerMessage::Stop {
            attempt: common::AttemptKey { job, number: 1 },
            grace: 0,
        });
    }
    // The oldest are no longer remembered, and nothing is claimed of them.
    let forgotten = common::AttemptKey { job: 100, number: 1 };
    bench.down(agent::ServerMessage::Start { attempt: forgotten, epoch: 1 });
    assert!(unknown(bench.ended()));
    let fresh = common::AttemptKey { job: 9000, number: 1 };
    bench.down(agent::ServerMessage::Start { attempt: fresh, epoch: 1 });
    assert_eq!(bench.ended(), Some(agent::TaskResult::NotStarted));
}
