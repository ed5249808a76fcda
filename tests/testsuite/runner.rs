//! The agent beside a worker that runs the tasks of workflows: its lease, its fencing tokens and
//! orders that get no answer.

use std::cell;
use std::rc;

use futures_util::future;
use hemlockcleat::core::time;
use hemlockcleat::core::workflow::model;
use hemlockcleat::runner::backend;
use hemlockcleat::runner::fence;
use hemlockcleat::runner::launch;
use hemlockcleat::runner::lease;

use crate::support;

fn tick(millis: u64) -> time::Tick {
    time::Tick(millis)
}

#[test]
fn lease_counts_from_the_report() {
    let mut lease = lease::Lease::default();
    let sequence = lease.next_report(tick(1000));
    lease.grant(sequence, time::Millis(9000));
    assert!(lease.is_valid(tick(9999)));
    assert!(!lease.is_valid(tick(10_000)));
}

#[rstest::rstest]
#[case::unknown(false)]
#[case::earlier_session(true)]
fn grant_without_its_report_is_ignored(#[case] ended: bool) {
    let mut lease = lease::Lease::default();
    let sequence = lease.next_report(tick(1000));
    let granted = if ended {
        lease.session_ended();
        sequence
    } else {
        sequence + 1
    };
    lease.grant(granted, time::Millis(9000));
    assert!(!lease.is_valid(tick(1001)));
}

#[test]
fn grant_never_shortens_the_lease() {
    let mut lease = lease::Lease::default();
    let first = lease.next_report(tick(1000));
    let second = lease.next_report(tick(1500));
    lease.grant(second, time::Millis(9000));
    lease.grant(first, time::Millis(9000));
    assert!(lease.is_valid(tick(10_400)));
}

#[test]
fn worker_stops_before_the_lease_ends_even_with_a_slow_clock() {
    let mut lease = lease::Lease::default();
    let sequence = lease.next_report(tick(0));
    lease.grant(sequence, time::Millis(9000));
    lease.set_clock(50_000, tick(100));
    let deadline = lease.deadline().expect("a lease and a clock");
    // The time that passes while a clock that is 2% slow advances to the deadline.
    let real = (deadline - 50_000) as f64 / 0.98;
    assert!(100.0 + real <= 9000.0, "{real}");
    assert!(100.0 + real > 8900.0, "{real}");
}

#[test]
fn another_incarnation_has_another_clock() {
    let mut lease = lease::Lease::default();
    let sequence = lease.next_report(tick(0));
    lease.grant(sequence, time::Millis(9000));
    lease.set_clock(50_000, tick(100));
    lease.clear_clock();
    assert_eq!(lease.deadline(), None);
}

#[rstest::rstest]
#[case::later_incarnation(1, 1_800_000_000_000, 1, 1_800_000_000_016)]
#[case::later_term(1, 1_800_000_000_000, 2, 1_800_000_000_000)]
#[case::later_term_for_an_earlier_incarnation(1, 1_800_000_000_000, 2, 1_700_000_000_000)]
fn token_increases_with(
    #[case] term: u64,
    #[case] started: u64,
    #[case] next_term: u64,
    #[case] next_started: u64,
) {
    let (earlier, later) = (fence::Fence::default(), fence::Fence::default());
    earlier.observe_term(term);
    earlier.observe_incarnation(model::Incarnation { host: 1, started });
    later.observe_term(next_term);
    later.observe_incarnation(model::Incarnation { host: 1, started: next_started });
    assert!(earlier.token() < later.token());
}

#[test]
fn token_never_decreases() {
    let token = fence::Fence::default();
    token.observe_term(3);
    token.observe_incarnation(model::Incarnation { host: 1, started: 1_800_000_000_000 });
    let newest = token.token();
    token.observe_term(2);
    token.observe_incarnation(model::Incarnation { host: 1, started: 1_700_000_000_000 });
    assert_eq!(token.token(), newest);
}

#[test]
fn token_of_a_hundred_thousand_terms_fits_a_double() {
    let token = fence::Fence::default();
    token.observe_term(100_000);
    token.observe_incarnation(model::Incarnation { host: 1, started: 4_000_000_000_000 });
    assert!(token.token() < 1 << 53);
}

/// How a worker answers one order to start.
#[derive(Clone, Copy)]
enum Answer {
    Running,
    Refused,
    Unavailable,
    Silent,
}

/// A worker that gives predefined answers and counts its calls.
struct Scripted {
    answers: cell::RefCell<Vec<Answer>>,
    starts: cell::Cell<u32>,
    stops: cell::Cell<u32>,
    /// The number of stops that get no answer.
    lost_stops: u32,
}

impl Scripted {
    fn new(answers: &[Answer], lost_stops: u32) -> rc::Rc<Self> {
        let mut answers = answers.to_vec();
        answers.reverse();
        let answers = cell::RefCell::new(answers);
        rc::Rc::new(Self {
            answers,
            starts: Default::default(),
            stops: Default::default(),
            lost_stops,
        })
    }
}

impl backend::Backend for Scripted {
    fn poll(
        &self,
        _: backend::Poll,
    ) -> future::LocalBoxFuture<'static, Result<backend::Listing, backend::PollError>> {
        Box::pin(future::pending())
    }

    fn start(
        &self,
        _: backend::Launch,
    ) -> future::LocalBoxFuture<'static, Result<backend::LaunchReply, backend::CallError>> {
        self.starts.set(self.starts.get() + 1);
        let answer = self.answers.borrow_mut().pop().unwrap_or(Answer::Silent);
        Box::pin(future::ready(match answer {
            Answer::Running => Ok(backend::LaunchReply::Running),
            Answer::Refused => Ok(backend::LaunchReply::Refused("room".to_owned())),
            Answer::Unavailable => Ok(backend::LaunchReply::Unavailable),
            Answer::Silent => Err(backend::CallError("lost".to_owned())),
        }))
    }

    fn stop(
        &self,
        _: model::TaskName,
        _: u32,
        _: u64,
    ) -> future::LocalBoxFuture<'static, Result<(), backend::CallError>> {
        self.stops.set(self.stops.get() + 1);
        let lost = self.stops.get() <= self.lost_stops;
        Box::pin(future::ready(if lost {
            Err(backend::CallError("lost".to_owned()))
        } else {
            Ok(())
        }))
    }
}

fn task() -> model::TaskName {
    model::TaskName { id: "aa".to_owned(), occurrence: 0, step: 0, index: 0 }
}

fn launch_order() -> backend::Launch {
    let (spec, checkpoint) = (String::new(), String::new());
    backend::Launch { task: task(), run: 1, spec, checkpoint, fence: 1, deadline: 1000 }
}

#[rstest::rstest]
#[case::at_once(&[Answer::Running], 1, true, false)]
#[case::after_silence(&[Answer::Silent, Answer::Running], 2, true, false)]
#[case::after_unavailable(&[Answer::Unavailable, Answer::Unavailable, Answer::Running], 3, true, false)]
#[case::refused(&[Answer::Refused], 1, false, false)]
#[case::refused_after_silence(&[Answer::Silent, Answer::Refused], 2, false, true)]
#[case::never_available(&[Answer::Unavailable, Answer::Unavailable, Answer::Unavailable], 3, false, false)]
#[case::never_answered(&[], 3, false, true)]
fn start_outcome_is_known_or_in_doubt(
    #[case] answers: &[Answer],
    #[case] calls: u32,
    #[case] runs: bool,
    #[case] doubt: bool,
) {
    let worker = Scripted::new(answers, 0);
    let outcome = support::run(launch::start(worker.clone(), launch_order()));
    assert_eq!(worker.starts.get(), calls);
    match outcome {
        launch::Outcome::Running => assert!(runs),
        launch::Outcome::Failed(doubted, _) => assert_eq!((false, doubt), (runs, doubted)),
    }
}

#[test]
fn stop_is_repeated_until_it_is_answered() {
    let worker = Scripted::new(&[], 4);
    assert!(support::run(launch::stop(worker.clone(), task(), 1, || Some(1))));
    assert_eq!(worker.stops.get(), 5);
}

#[test]
fn stop_is_abandoned_when_the_incarnation_ends() {
    let worker = Scripted::new(&[], u32::MAX);
    let stops = worker.clone();
    let alive = move || (stops.stops.get() < 3).then_some(1);
    assert!(!support::run(launch::stop(worker.clone(), task(), 1, alive)));
    assert_eq!(worker.stops.get(), 3);
}
