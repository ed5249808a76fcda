//! When a stopped run counts as ended: only by a list that was asked for after the stop was
//! answered, and that isn't truncated.

use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::time;
use hemlockcleat::core::workflow::model;
use hemlockcleat::runner::backend;
use hemlockcleat::runner::closing;

use crate::support::flow;

fn run(index: u32) -> closing::RunName {
    (model::TaskName { id: "aa".to_owned(), occurrence: 0, step: 0, index }, 4)
}

fn tick(millis: u64) -> time::Tick {
    time::Tick(millis)
}

fn poll(number: u64, sent_at: u64) -> closing::Poll {
    closing::Poll { number, sent_at: tick(sent_at) }
}

/// Returns a listing of runs in progress.
fn listing(runs: &[closing::RunName]) -> backend::Listing {
    let running = runs.iter().map(|(task, run)| order::Running {
        task: task.clone(),
        run: *run,
        checkpoint: String::new(),
        percent: 50,
    });
    backend::Listing {
        clock: 1000,
        started: Some(1),
        running: running.collect(),
        finished: Vec::new(),
        partial: false,
    }
}

/// Returns a listing of this many ends, of the runs from index 1000.
fn listing_of_ends(count: usize) -> backend::Listing {
    let end = |number: usize| {
        let (task, run) = run(1000 + number as u32);
        flow::finished(number as u64 + 1, &task, run, model::EndReason::Done)
    };
    backend::Listing { finished: (0..count).map(end).collect(), ..listing(&[]) }
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
    let closed = closing.listed(poll(number, 100), &listing(&[]));
    assert_eq!(closed, [run(1)]);
    assert!(closing.contains(&run(2)));
    let number = closing.next_poll();
    assert!(closing.listed(poll(number, 100), &listing(&[run(2)])).is_empty());
}

#[test]
fn listing_of_a_later_poll_closes_a_run_that_it_lacks() {
    let mut closing = closing::Closing::default();
    closing.stop_answered(run(1), tick(100));
    let number = closing.next_poll();
    assert_eq!(closing.listed(poll(number, 100), &listing(&[])), [run(1)]);
    assert!(!closing.contains(&run(1)));
}

#[test]
fn answer_that_overtakes_a_later_one_closes_nothing() {
    let mut closing = closing::Closing::default();
    let early = closing.next_poll();
    closing.stop_answered(run(1), tick(100));
    let late = closing.next_poll();
    assert_eq!(closing.listed(poll(late, 101), &listing(&[run(2)])), [run(1)]);
    closing.stop_answered(run(1), tick(102));
    assert!(closing.listed(poll(early, 99), &listing(&[])).is_empty());
    assert!(closing.listed(poll(late, 101), &listing(&[])).is_empty());
}

#[rstest::rstest]
#[case::before_a_stop_surely_took_effect(3099, false)]
#[case::after_that(3100, true)]
fn partial_listing_closes_a_run(#[case] sent_at: u64, #[case] closes: bool) {
    let mut closing = closing::Closing::default();
    closing.stop_answered(run(1), tick(100));
    let number = closing.next_poll();
    let partial = backend::Listing { partial: true, ..listing(&[]) };
    let closed = closing.listed(poll(number, sent_at), &partial);
    assert_eq!(!closed.is_empty(), closes);
}

/// The end of the run may be the next one that the worker lists.
#[rstest::rstest]
#[case::all_rows_readable(false)]
#[case::a_row_unreadable(true)]
fn truncated_listing_closes_nothing(#[case] partial: bool) {
    let mut closing = closing::Closing::default();
    closing.stop_answered(run(1), tick(100));
    let number = closing.next_poll();
    let full = listing_of_ends(order::MAX_LISTED_ENDS);
    let full = backend::Listing { partial, ..full };
    assert!(closing.listed(poll(number, 100_000), &full).is_empty());
    assert!(closing.contains(&run(1)), "no start of the run is ordered meanwhile");
    let number = closing.next_poll();
    let whole = listing_of_ends(order::MAX_LISTED_ENDS - 1);
    assert_eq!(closing.listed(poll(number, 100_001), &whole), [run(1)]);
}
