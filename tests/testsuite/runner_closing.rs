//! When a stopped run counts as ended: only by a list that was asked for after the stop was
//! answered.

use std::collections::BTreeSet;

use hemlockcleat::core::time;
use hemlockcleat::core::workflow::model;
use hemlockcleat::runner::closing;

fn run(index: u32) -> closing::RunName {
    (model::TaskName { id: "aa".to_owned(), occurrence: 0, step: 0, index }, 4)
}

fn tick(millis: u64) -> time::Tick {
    time::Tick(millis)
}

fn poll(number: u64, sent_at: u64) -> closing::Poll {
    closing::Poll { number, sent_at: tick(sent_at) }
}

/// Two runs are started and stopped at once. The stop of the first is answered, and a poll is sent;
/// within the same millisecond the worker answers the poll, then starts the second run, and answers
/// its stop. The list lacks the second run, which is in progress.
#[test]
fn listing_of_an_earlier_poll_closes_nothing_within_a_millisecond() {
    let mut closing = closing::Closing::default();
    closing.stop_answered(run(1), tick(100));
    let number = closing.next_poll();
    closing.stop_answered(run(2), tick(100));
    let closed = closing.listed(poll(number, 100), &BTreeSet::new(), false);
    assert_eq!(closed, [run(1)]);
    assert!(closing.contains(&run(2)));
    let number = closing.next_poll();
    let listed = BTreeSet::from([run(2)]);
    assert!(closing.listed(poll(number, 100), &listed, false).is_empty());
}

#[test]
fn listing_of_a_later_poll_closes_a_run_that_it_lacks() {
    let mut closing = closing::Closing::default();
    closing.stop_answered(run(1), tick(100));
    let number = closing.next_poll();
    assert_eq!(closing.listed(poll(number, 100), &BTreeSet::new(), false), [run(1)]);
    assert!(!closing.contains(&run(1)));
}

#[test]
fn answer_that_overtakes_a_later_one_closes_nothing() {
    let mut closing = closing::Closing::default();
    let early = closing.next_poll();
    closing.stop_answered(run(1), tick(100));
    let late = closing.next_poll();
    assert_eq!(closing.listed(poll(late, 101), &BTreeSet::from([run(2)]), false), [run(1)]);
    closing.stop_answered(run(1), tick(102));
    assert!(closing.listed(poll(early, 99), &BTreeSet::new(), false).is_empty());
    assert!(closing.listed(poll(late, 101), &BTreeSet::new(), false).is_empty());
}

#[rstest::rstest]
#[case::before_a_stop_surely_took_effect(3099, false)]
#[case::after_that(3100, true)]
fn partial_listing_closes_a_run(#[case] sent_at: u64, #[case] closes: bool) {
    let mut closing = closing::Closing::default();
    closing.stop_answered(run(1), tick(100));
    let number = closing.next_poll();
    let closed = closing.listed(poll(number, sent_at), &BTreeSet::new(), true);
    assert_eq!(!closed.is_empty(), closes);
}
