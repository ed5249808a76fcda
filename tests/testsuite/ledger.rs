//! The ledger's rules: tickets, requests, attempts, workers and hours.

use hemlockcleat::core::account;
use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::command;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::ledger::outcome;
use hemlockcleat::core::ledger::state;
use hemlockcleat::core::ledger::table;
use hemlockcleat::core::time;
use hemlockcleat::core::verdict;
use hemlockcleat::wire::codec;
use hemlockcleat::wire::snapshot;
use rstest::rstest;
use sha2::Digest as _;

use crate::support::ledger as support;

fn refusal(outcome: outcome::Outcome) -> verdict::Refusal {
    match outcome {
        outcome::Outcome::Refused(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn meta(answer: &[u8]) -> job::AnswerMeta {
    let sha256 = sha2::Sha256::digest(answer).into();
    job::AnswerMeta { length: answer.len() as u64, sha256 }
}

fn drain(name: &str, drain: bool) -> command::Change {
    command::Change::Worker { name: name.to_owned(), drain }
}

fn apply_ticket(book: &mut support::Book, ticket: command::Ticket) -> outcome::Outcome {
    book.apply(command::Command::Ticket(ticket))
}

#[test]
fn ticket_resent_gives_first_outcome() {
    let mut book = support::Book::new();
    let first = apply_ticket(&mut book, support::ticket(7, 0, vec![drain("w1", true)]));
    let newer = apply_ticket(&mut book, support::ticket(8, 0, vec![drain("w1", false)]));
    assert_eq!(newer, outcome::Outcome::Ticket(ids::Revision(3)));
    let again = apply_ticket(&mut book, support::ticket(7, 0, vec![drain("w1", true)]));
    assert_eq!(again, first);
    assert!(!book.ledger.config.drained.contains("w1"), "the newer state stays");
}

#[test]
fn ticket_same_number_other_content() {
    let mut book = support::Book::new();
    apply_ticket(&mut book, support::ticket(7, 0, vec![drain("w1", true)]));
    let outcome = apply_ticket(&mut book, support::ticket(7, 1, vec![drain("w2", true)]));
    let refusal = refusal(outcome);
    assert_eq!(refusal.reason, verdict::Reason::TicketReused);
    assert!(refusal.detail.contains("0700000000000000"), "shows the winner: {}", refusal.detail);
    assert!(!book.ledger.config.drained.contains("w2"));
}

#[rstest]
#[case::lower_number(6, vec![drain("w1", false)], verdict::Reason::TicketStale)]
#[case::object_twice(9, vec![drain("w2", true), drain("w2", false)], verdict::Reason::BadRequest)]
#[case::one_of_two_stale(6, vec![drain("w2", true), drain("w1", false)], verdict::Reason::TicketStale)]
fn ticket_refused_whole(
    #[case] number: u64,
    #[case] changes: Vec<command::Change>,
    #[case] reason: verdict::Reason,
) {
    let mut book = support::Book::new();
    apply_ticket(&mut book, support::ticket(7, 0, vec![drain("w1", true)]));
    let before = book.ledger.config.clone();
    let outcome = apply_ticket(&mut book, support::ticket(number, 0, changes));
    assert_eq!(refusal(outcome).reason, reason);
    assert_eq!(book.ledger.config, before);
}

#[test]
fn ticket_unpackable_guarantee_refused() {
    let mut book = support::Book::new();
    let mut account = support::account("a");
    let shape = hemlockcleat::core::shape::Shape {
        tasks: 4,
        accelerators: 8,
        adjacency: hemlockcleat::core::shape::Adjacency::Cell,
    };
    account.guarantees = vec![account::Guarantee { shape, count: 1 }];
    let changes = vec![command::Change::Account(account)];
    let outcome = apply_ticket(&mut book, support::ticket(2, 0, changes));
    assert_eq!(refusal(outcome).reason, verdict::Reason::GuaranteeUnpackable);
}

#[rstest]
#[case::checkpoint_without_repeat(|service: &mut account::Service| {
    let kind = service.kinds.get_mut("confirm").expect("a kind");
    kind.checkpoint = Some(time::Millis(100));
})]
#[case::promise_changed(|service: &mut account::Service| {
    service.kinds.get_mut("confirm").expect("a kind").repeatable = true;
})]
#[case::kind_dropped(|service: &mut account::Service| {
    service.kinds.remove("confirm");
})]
fn ticket_service_relied_on(#[case] change: fn(&mut account::Service)) {
    let mut book = support::Book::new();
    book.submit(support::spec("k", "confirm", 1, 1));
    let mut service = support::service();
    change(&mut service);
    let changes = vec![command::Change::Service(service)];
    let outcome = apply_ticket(&mut book, support::ticket(2, 0, changes));
    assert_eq!(refusal(outcome).reason, verdict::Reason::BadRequest);
}

#[test]
fn submit_resent_is_same_job() {
    let mut book = support::Book::new();
    let job = book.submit(support::spec("k", "confirm", 1, 1));
    let mut later = support::spec("k", "confirm", 1, 1);
    later.deadline = later.deadline + time::Millis(5);
    assert_eq!(book.submit(later), job);
    assert_eq!(book.ledger.table.jobs.len(), 1);
}

#[rstest]
#[case::key_reused(|spec: &mut job::Spec| spec.payload = b"other".to_vec(), verdict::Reason::KeyReused)]
#[case::no_account(|spec: &mut job::Spec| spec.account = "z".to_owned(), verdict::Reason::Unknown)]
#[case::no_kind(|spec: &mut job::Spec| { spec.kind = "z".to_owned(); spec.key = "n".to_owned(); }, verdict::Reason::Unknown)]
#[case::due_in_the_past(|spec: &mut job::Spec| { spec.deadline = support::START; spec.key = "n".to_owned(); }, verdict::Reason::DeadlinePassed)]
fn submit_refused(#[case] change: fn(&mut job::Spec), #[case] reason: verdict::Reason) {
    let mut book = support::Book::new();
    book.submit(support::spec("k", "confirm", 1, 1));
    let mut spec = support::spec("k", "confirm", 1, 1);
    change(&mut spec);
    let refusal = refusal(book.apply(command::Command::Submit(spec)));
    assert_eq!((refusal.verdict, refusal.reason), (verdict::Verdict::NotRun, reason));
}

#[test]
fn submit_key_past_retention_never_runs_again() {
    let mut book = support::Book::new();
    let job = book.submit(support::spec("k", "confirm", 1, 0));
    book.release(job, 1);
    book.end(job, command::AttemptResult::Done(meta(b"")));
    book.at = book.at + table::JOB_RETENTION;
    book.apply(command::Command::Clock);
    assert!(book.ledger.table.jobs.is_empty());
    let mut spec = support::spec("k", "confirm", 1, 0);
    spec.deadline = book.at + time::Millis::from_secs(60);
    let refusal = refusal(book.apply(command::Command::Submit(spec)));
    assert_eq!(refusal.verdict, verdict::Verdict::MayHaveRun);
    assert_eq!(refusal.reason, verdict::Reason::KeyExpired);
}

#[rstest]
#[case::failed(command::AttemptResult::Failed("x".to_owned()), Some(verdict::Verdict::Ran))]
#[case::lost(command::AttemptResult::Lost("x".to_owned()), Some(verdict::Verdict::MayHaveRun))]
#[case::not_started(command::AttemptResult::NotStarted, Some(verdict::Verdict::NotRun))]
fn attempt_of_unrepeatable_is_the_only_one(
    #[case] result: command::AttemptResult,
    #[case] verdict: Option<verdict::Verdict>,
) {
    let mut book = support::Book::new();
    let job = book.submit(support::spec("k", "confirm", 1, 1));
    assert_eq!(book.release(job, 1), outcome::Outcome::Applied);
    book.end(job, result);
    let attempt = book.attempt(job);
    book.apply(command::Command::AttemptStopped { attempt });
    let Some(job::End::Refused(refusal)) = book.ended(job) else { panic!("not refused") };
    assert_eq!(Some(refusal.verdict), verdict);
    assert_eq!(book.release(job, 2), outcome::Outcome::Stale);
}

#[test]
fn attempt_of_repeatable_is_bounded() {
    let mut book = support::Book::new();
    let job = book.submit(support::spec("k", "rebuild", 1, 1));
    for _ in 0..job::MAX_ATTEMPTS {
        assert_eq!(book.release(job, 1), outcome::Outcome::Applied);
        book.end(job, command::AttemptResult::Failed("x".to_owned()));
        let attempt = book.attempt(job);
        book.apply(command::Command::AttemptStopped { attempt });
    }
    let Some(job::End::Refused(refusal)) = book.ended(job) else { panic!("not refused") };
    assert_eq!(refusal.reason, verdict::Reason::Failed);
}

#[test]
fn attempt_end_of_old_attempt_is_stale() {
    let mut book = support::Book::new();
    let job = book.submit(support::spec("k", "rebuild", 1, 1));
    book.release(job, 1);
    let old = book.attempt(job);
    book.end(job, command::AttemptResult::Lost("x".to_owned()));
    book.apply(command::Command::AttemptStopped { attempt: old });
    book.release(job, 2);
    let late = command::Command::Chunk { attempt: old, offset: 0, bytes: b"late".to_vec() };
    assert_eq!(book.apply(late), outcome::Outcome::Stale);
    let result = command::AttemptResult::Done(meta(b"late"));
    let end = command::Command::AttemptEnd { attempt: old, result };
    assert_eq!(book.apply(end), outcome::Outcome::Stale);
    assert_eq!(book.ended(job), None);
}

#[rstest]
#[case::whole(&[(0, "abc"), (3, "de")], "abcde", true)]
#[case::doubled(&[(0, "abc"), (0, "abc"), (3, "de"), (3, "de")], "abcde", true)]
#[case::hole(&[(0, "abc"), (4, "e")], "abcde", false)]
#[case::short(&[(0, "abc")], "abcde", false)]
#[case::altered(&[(0, "abc"), (3, "dx")], "abcde", false)]
fn answer_is_whole_or_refused(
    #[case] chunks: &[(u64, &str)],
    #[case] answer: &str,
    #[case] whole: bool,
) {
    let mut book = support::Book::new();
    let job = book.submit(support::spec("k", "confirm", 1, 1));
    book.release(job, 1);
    let attempt = book.attempt(job);
    for (offset, bytes) in chunks {
        let bytes = bytes.as_bytes().to_vec();
        book.apply(command::Command::Chunk { attempt, offset: *offset, bytes });
    }
    book.end(job, command::AttemptResult::Done(meta(answer.as_bytes())));
    match book.ended(job).expect("the job has ended") {
        job::End::Done(_) => assert!(whole),
        job::End::Refused(refusal) => {
            assert!(!whole);
            assert_eq!(refusal.verdict, verdict::Verdict::Ran);
            assert_eq!(refusal.reason, verdict::Reason::BadAnswer);
        }
    }
}

#[test]
fn release_beyond_capacity_is_stale() {
    let mut book = support::Book::new();
    let first = book.submit(support::spec("k1", "rebuild", 1, 6));
    let second = book.submit(support::spec("k2", "rebuild", 1, 6));
    assert_eq!(book.release(first, 1), outcome::Outcome::Applied);
    assert_eq!(book.release(second, 1), outcome::Outcome::Stale);
    assert_eq!(book.release(second, 2), outcome::Outcome::Applied);
}

#[rstest]
#[case::drained(|book: &mut support::Book| { apply_ticket(book, support::ticket(2, 0, vec![drain("w1", true)])); })]
#[case::leaving(|book: &mut support::Book| {
    let spec = support::worker("w1", "r1");
    book.apply(command::Command::Announce { spec, incarnation: 1, leaving: true });
})]
#[case::lost(|book: &mut support::Book| {
    let (worker, epoch) = (ids::WorkerKey(1), ids::Epoch(1));
    book.apply(command::Command::WorkerLost { worker, epoch });
})]
fn release_on_closed_worker_is_stale(#[case] close: fn(&mut support::Book)) {
    let mut book = support::Book::new();
    let job = book.submit(support::spec("k", "rebuild", 1, 1));
    close(&mut book);
    assert_eq!(book.release(job, 1), outcome::Outcome::Stale);
}

#[test]
fn release_under_old_epoch_is_stale() {
    let mut book = support::Book::new();
    let job = book.submit(support::spec("k", "rebuild", 1, 1));
    book.announce(support::worker("w1", "r1"), 2);
    let attempt = ids::AttemptKey { job, number: 1 };
    let members = vec![job::Member { worker: ids::WorkerKey(1), epoch: ids::Epoch(1), tasks: 1 }];
    let release = command::Command::Release { attempt, members };
    assert_eq!(book.apply(release), outcome::Outcome::Stale);
}

#[test]
fn cancel_waiting_never_runs() {
    let mut book = support::Book::new();
    let job = book.submit(support::spec("k", "confirm", 1, 1));
    book.apply(command::Command::Cancel { account: "a".to_owned(), key: "k".to_owned() });
    assert_eq!(book.release(job, 1), outcome::Outcome::Stale);
    let Some(job::End::Refused(refusal)) = book.ended(job) else { panic!("not refused") };
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
}

#[test]
fn cancel_running_ends_with_doubt() {
    let mut book = support::Book::new();
    let job = book.submit(support::spec("k", "rebuild", 1, 1));
    book.release(job, 1);
    book.events.clear();
    book.apply(command::Command::Cancel { account: "a".to_owned(), key: "k".to_owned() });
    assert_eq!(book.events, [outcome::Event::CancelRequested(book.attempt(job))]);
    book.end(job, command::AttemptResult::Preempted);
    let Some(job::End::Refused(refusal)) = book.ended(job) else { panic!("not refused") };
    assert_eq!(refusal.verdict, verdict::Verdict::MayHaveRun);
    assert_eq!(refusal.reason, verdict::Reason::Cancelled);
}

fn hours(book: &support::Book) -> Vec<outcome::Hour> {
    let (from, now) = (support::START, book.ledger.now);
    let view = book.ledger.stats.view(from, now + time::HOUR, now);
    view.into_iter().map(|(_, _, hour)| hour).collect()
}

#[test]
fn hours_have_no_holes() {
    let mut book = support::Book::new();
    book.at = book.at + time::Millis(5 * time::HOUR.0);
    book.apply(command::Command::Clock);
    let hours = hours(&book);
    assert_eq!(hours.len(), 6);
    let covered: u64 =
        hours.iter().flat_map(|hour| &hour.gaps).map(|gap| (gap.until - gap.from).0).sum();
    assert_eq!(covered, 5 * time::HOUR.0 + 1, "the outage is named to the millisecond");
}

#[test]
fn hours_count_each_promise_once() {
    let mut book = support::Book::new();
    let done = book.submit(support::spec("done", "confirm", 1, 0));
    let late = book.submit(support::spec("late", "confirm", 1, 0));
    let doubt = book.submit(support::spec("doubt", "confirm", 1, 0));
    for job in [done, late, doubt] {
        book.release(job, 1);
    }
    book.end(done, command::AttemptResult::Done(meta(b"")));
    for _ in 0..30 {
        book.at = book.at + time::Millis::from_secs(25);
        book.apply(command::Command::Clock);
    }
    book.end(late, command::AttemptResult::Done(meta(b"")));
    book.end(doubt, command::AttemptResult::Lost("x".to_owned()));
    let hours = hours(&book);
    let sum = |count: fn(&outcome::Hour) -> u64| hours.iter().map(count).sum::<u64>();
    assert_eq!(sum(|hour| hour.promised), 3);
    assert_eq!(
        (sum(|hour| hour.done), sum(|hour| hour.late), sum(|hour| hour.uncertain)),
        (1, 1, 1)
    );
}

#[test]
fn refusals_report_counts_once() {
    let mut book = support::Book::new();
    for _ in 0..2 {
        let counts = vec![command::RefusalCount {
            service: "orders".to_owned(),
            hour: book.at.start_of_hour(),
            count: 3,
        }];
        book.apply(command::Command::Refusals { entry: 9, sequence: 1, counts });
    }
    assert_eq!(hours(&book).iter().map(|hour| hour.refused).sum::<u64>(), 3);
}

#[test]
fn snapshot_round_trip() {
    let mut book = support::Book::new();
    let first = book.submit(support::spec("k1", "rebuild", 1, 2));
    let second = book.submit(support::spec("k2", "confirm", 1, 2));
    book.submit(support::spec("k3", "confirm", 1, 2));
    book.release(first, 1);
    book.release(second, 2);
    let attempt = book.attempt(second);
    book.apply(command::Command::Chunk { attempt, offset: 0, bytes: b"abc".to_vec() });
    book.end(second, command::AttemptResult::Done(meta(b"abc")));
    let bytes = codec::encode(&snapshot::Ledger::from(&book.ledger));
    let wire: snapshot::Ledger = codec::decode_snapshot(&bytes).expect("a snapshot");
    let restored = state::Ledger::try_from(wire).expect("a ledger");
    assert_eq!(restored, book.ledger);
}

#[test]
fn release_of_unrepeatable_needs_a_fresh_job() {
    let mut book = support::Book::new();
    let job = book.submit(support::spec("k", "confirm", 1, 1));
    book.release(job, 1);
    book.end(job, command::AttemptResult::NotStarted);
    let attempt = book.attempt(job);
    book.apply(command::Command::AttemptStopped { attempt });
    // No command leads here; the rule has to hold of itself.
    book.ledger.table.jobs.get_mut(&job).expect("the job is known").phase = job::Phase::Queued;
    assert_eq!(book.release(job, 2), outcome::Outcome::Stale);
}

#[test]
fn chunk_beyond_a_hole_is_stale() {
    let mut book = support::Book::new();
    let job = book.submit(support::spec("k", "confirm", 1, 1));
    book.release(job, 1);
    let attempt = book.attempt(job);
    let chunk = command::Command::Chunk { attempt, offset: 3, bytes: b"de".to_vec() };
    assert_eq!(book.apply(chunk), outcome::Outcome::Stale);
    assert_eq!(book.ledger.table.answer_bytes, 0);
}

#[test]
fn hours_show_what_is_due_later() {
    let mut book = support::Book::new();
    let mut spec = support::spec("k", "confirm", 1, 0);
    spec.deadline = support::START + time::Millis(3 * time::HOUR.0);
    book.submit(spec);
    let until = support::START + time::Millis(5 * time::HOUR.0);
    let view = book.ledger.stats.view(support::START, until, book.ledger.now);
    let promised: Vec<u64> = view.iter().map(|(_, _, hour)| hour.promised).collect();
    assert_eq!(promised, [0, 1], "this hour, and the later one in which something is due");
}
