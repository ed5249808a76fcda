//! Tests of the ledger: tickets, requests, attempts, workers and hourly counts.

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

fn answer_meta(answer: &[u8]) -> job::AnswerMeta {
    let sha256 = sha2::Sha256::digest(answer).into();
    job::AnswerMeta { length: answer.len() as u64, sha256 }
}

fn drain(name: &str, drain: bool) -> command::Change {
    command::Change::Worker { name: name.to_owned(), drain }
}

fn apply_ticket(harness: &mut support::Harness, ticket: command::Ticket) -> outcome::Outcome {
    harness.apply(command::Command::Ticket(ticket))
}

#[test]
fn ticket_resent_gives_first_outcome() {
    let mut harness = support::Harness::new();
    let first = apply_ticket(&mut harness, support::ticket(7, 0, vec![drain("w1", true)]));
    let newer = apply_ticket(&mut harness, support::ticket(8, 0, vec![drain("w1", false)]));
    assert_eq!(newer, outcome::Outcome::Ticket(ids::Revision(3)));
    let again = apply_ticket(&mut harness, support::ticket(7, 0, vec![drain("w1", true)]));
    assert_eq!(again, first);
    assert!(!harness.ledger.config.drained.contains("w1"), "the newer ticket remains in force");
}

#[test]
fn ticket_same_number_other_content() {
    let mut harness = support::Harness::new();
    apply_ticket(&mut harness, support::ticket(7, 0, vec![drain("w1", true)]));
    let outcome = apply_ticket(&mut harness, support::ticket(7, 1, vec![drain("w2", true)]));
    let refusal = refusal(outcome);
    assert_eq!(refusal.reason, verdict::Reason::TicketReused);
    assert!(
        refusal.detail.contains("0700000000000000"),
        "names the accepted digest: {}",
        refusal.detail
    );
    assert!(!harness.ledger.config.drained.contains("w2"));
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
    let mut harness = support::Harness::new();
    apply_ticket(&mut harness, support::ticket(7, 0, vec![drain("w1", true)]));
    let before = harness.ledger.config.clone();
    let outcome = apply_ticket(&mut harness, support::ticket(number, 0, changes));
    assert_eq!(refusal(outcome).reason, reason);
    assert_eq!(harness.ledger.config, before);
}

#[test]
fn ticket_unpackable_guarantee_refused() {
    let mut harness = support::Harness::new();
    let mut account = support::account("a");
    let shape = hemlockcleat::core::shape::Shape {
        tasks: 4,
        accelerators: 8,
        adjacency: hemlockcleat::core::shape::Adjacency::Cell,
    };
    account.guarantees = vec![account::Guarantee { shape, count: 1 }];
    let changes = vec![command::Change::Account(account)];
    let outcome = apply_ticket(&mut harness, support::ticket(2, 0, changes));
    assert_eq!(refusal(outcome).reason, verdict::Reason::GuaranteeUnpackable);
}

#[rstest]
#[case::checkpoint_without_repeat(|service: &mut account::Service| {
    let kind = service.kinds.get_mut("confirm").expect("a kind");
    kind.checkpoint = Some(time::Millis(100));
})]
#[case::repeatable_changed(|service: &mut account::Service| {
    service.kinds.get_mut("confirm").expect("a kind").repeatable = true;
})]
#[case::kind_dropped(|service: &mut account::Service| {
    service.kinds.remove("confirm");
})]
fn ticket_service_in_use_refused(#[case] change: fn(&mut account::Service)) {
    let mut harness = support::Harness::new();
    harness.submit(support::spec("k", "confirm", 1, 1));
    let mut service = support::service();
    change(&mut service);
    let changes = vec![command::Change::Service(service)];
    let outcome = apply_ticket(&mut harness, support::ticket(2, 0, changes));
    assert_eq!(refusal(outcome).reason, verdict::Reason::BadRequest);
}

#[test]
fn submit_resent_is_same_job() {
    let mut harness = support::Harness::new();
    let job = harness.submit(support::spec("k", "confirm", 1, 1));
    let mut later = support::spec("k", "confirm", 1, 1);
    later.deadline = later.deadline + time::Millis(5);
    assert_eq!(harness.submit(later), job);
    assert_eq!(harness.ledger.table.jobs.len(), 1);
}

#[rstest]
#[case::key_reused(|spec: &mut job::Spec| spec.payload = b"other".to_vec(), verdict::Reason::KeyReused)]
#[case::no_account(|spec: &mut job::Spec| spec.account = "z".to_owned(), verdict::Reason::Unknown)]
#[case::no_kind(|spec: &mut job::Spec| { spec.kind = "z".to_owned(); spec.key = "n".to_owned(); }, verdict::Reason::Unknown)]
#[case::deadline_passed(|spec: &mut job::Spec| { spec.deadline = support::START; spec.key = "n".to_owned(); }, verdict::Reason::DeadlinePassed)]
fn submit_refused(#[case] change: fn(&mut job::Spec), #[case] reason: verdict::Reason) {
    let mut harness = support::Harness::new();
    harness.submit(support::spec("k", "confirm", 1, 1));
    let mut spec = support::spec("k", "confirm", 1, 1);
    change(&mut spec);
    let refusal = refusal(harness.apply(command::Command::Submit(spec)));
    assert_eq!((refusal.verdict, refusal.reason), (verdict::Verdict::NotRun, reason));
}

#[test]
fn submit_key_past_retention_never_runs_again() {
    let mut harness = support::Harness::new();
    let job = harness.submit(support::spec("k", "confirm", 1, 0));
    harness.release(job, 1);
    harness.end(job, command::AttemptResult::Done(answer_meta(b"")));
    harness.at = harness.at + table::JOB_RETENTION;
    harness.apply(command::Command::Clock);
    assert!(harness.ledger.table.jobs.is_empty());
    let mut spec = support::spec("k", "confirm", 1, 0);
    spec.deadline = harness.at + time::Millis::from_secs(60);
    let refusal = refusal(harness.apply(command::Command::Submit(spec)));
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
    let mut harness = support::Harness::new();
    let job = harness.submit(support::spec("k", "confirm", 1, 1));
    assert_eq!(harness.release(job, 1), outcome::Outcome::Applied);
    harness.end(job, result);
    let attempt = harness.attempt(job);
    harness.apply(command::Command::AttemptStopped { attempt });
    let Some(job::End::Refused(refusal)) = harness.ended(job) else { panic!("not refused") };
    assert_eq!(Some(refusal.verdict), verdict);
    assert_eq!(harness.release(job, 2), outcome::Outcome::Stale);
}

#[test]
fn attempt_of_repeatable_is_bounded() {
    let mut harness = support::Harness::new();
    let job = harness.submit(support::spec("k", "rebuild", 1, 1));
    for _ in 0..job::MAX_ATTEMPTS {
        assert_eq!(harness.release(job, 1), outcome::Outcome::Applied);
        harness.end(job, command::AttemptResult::Failed("x".to_owned()));
        let attempt = harness.attempt(job);
        harness.apply(command::Command::AttemptStopped { attempt });
    }
    let Some(job::End::Refused(refusal)) = harness.ended(job) else { panic!("not refused") };
    assert_eq!(refusal.reason, verdict::Reason::Failed);
}

#[test]
fn attempt_end_of_old_attempt_is_stale() {
    let mut harness = support::Harness::new();
    let job = harness.submit(support::spec("k", "rebuild", 1, 1));
    harness.release(job, 1);
    let old = harness.attempt(job);
    harness.end(job, command::AttemptResult::Lost("x".to_owned()));
    harness.apply(command::Command::AttemptStopped { attempt: old });
    harness.release(job, 2);
    let late = command::Command::Chunk { attempt: old, offset: 0, bytes: b"late".to_vec() };
    assert_eq!(harness.apply(late), outcome::Outcome::Stale);
    let result = command::AttemptResult::Done(answer_meta(b"late"));
    let end = command::Command::AttemptEnd { attempt: old, result };
    assert_eq!(harness.apply(end), outcome::Outcome::Stale);
    assert_eq!(harness.ended(job), None);
}

#[rstest]
#[case::whole(&[(0, "abc"), (3, "de")], "abcde", true)]
#[case::duplicated(&[(0, "abc"), (0, "abc"), (3, "de"), (3, "de")], "abcde", true)]
#[case::missing_bytes(&[(0, "abc"), (4, "e")], "abcde", false)]
#[case::short(&[(0, "abc")], "abcde", false)]
#[case::altered(&[(0, "abc"), (3, "dx")], "abcde", false)]
fn answer_is_whole_or_refused(
    #[case] chunks: &[(u64, &str)],
    #[case] answer: &str,
    #[case] whole: bool,
) {
    let mut harness = support::Harness::new();
    let job = harness.submit(support::spec("k", "confirm", 1, 1));
    harness.release(job, 1);
    let attempt = harness.attempt(job);
    for (offset, bytes) in chunks {
        let bytes = bytes.as_bytes().to_vec();
        harness.apply(command::Command::Chunk { attempt, offset: *offset, bytes });
    }
    harness.end(job, command::AttemptResult::Done(answer_meta(answer.as_bytes())));
    match harness.ended(job).expect("the job has ended") {
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
    let mut harness = support::Harness::new();
    let first = harness.submit(support::spec("k1", "rebuild", 1, 6));
    let second = harness.submit(support::spec("k2", "rebuild", 1, 6));
    assert_eq!(harness.release(first, 1), outcome::Outcome::Applied);
    assert_eq!(harness.release(second, 1), outcome::Outcome::Stale);
    assert_eq!(harness.release(second, 2), outcome::Outcome::Applied);
}

#[rstest]
#[case::drained(|harness: &mut support::Harness| { apply_ticket(harness, support::ticket(2, 0, vec![drain("w1", true)])); })]
#[case::leaving(|harness: &mut support::Harness| {
    let spec = support::worker("w1", "r1");
    harness.apply(command::Command::Announce { spec, incarnation: 1, leaving: true });
})]
#[case::lost(|harness: &mut support::Harness| {
    let (worker, epoch) = (ids::WorkerKey(1), ids::Epoch(1));
    harness.apply(command::Command::WorkerLost { worker, epoch });
})]
fn release_on_unavailable_worker_is_stale(#[case] disable: fn(&mut support::Harness)) {
    let mut harness = support::Harness::new();
    let job = harness.submit(support::spec("k", "rebuild", 1, 1));
    disable(&mut harness);
    assert_eq!(harness.release(job, 1), outcome::Outcome::Stale);
}

#[test]
fn release_under_old_epoch_is_stale() {
    let mut harness = support::Harness::new();
    let job = harness.submit(support::spec("k", "rebuild", 1, 1));
    harness.announce(support::worker("w1", "r1"), 2);
    let attempt = ids::AttemptKey { job, number: 1 };
    let members = vec![job::Member { worker: ids::WorkerKey(1), epoch: ids::Epoch(1), tasks: 1 }];
    let release = command::Command::Release { attempt, members };
    assert_eq!(harness.apply(release), outcome::Outcome::Stale);
}

#[test]
fn cancel_waiting_never_runs() {
    let mut harness = support::Harness::new();
    let job = harness.submit(support::spec("k", "confirm", 1, 1));
    harness.apply(command::Command::Cancel { account: "a".to_owned(), key: "k".to_owned() });
    assert_eq!(harness.release(job, 1), outcome::Outcome::Stale);
    let Some(job::End::Refused(refusal)) = harness.ended(job) else { panic!("not refused") };
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
}

/// Guards against a cancelled request that runs after all: its submission was held up on the way and
/// reached the ledger after the cancel.
#[test]
fn submission_after_its_cancel_never_runs() {
    let mut harness = support::Harness::new();
    let cancel = command::Command::Cancel { account: "a".to_owned(), key: "k".to_owned() };
    let unknown = refusal(harness.apply(cancel));
    assert_eq!(unknown.reason, verdict::Reason::Unknown);
    let spec = support::spec("k", "confirm", 1, 1);
    let cancelled = refusal(harness.apply(command::Command::Submit(spec.clone())));
    assert_eq!(cancelled.reason, verdict::Reason::Cancelled);
    assert_eq!(cancelled.verdict, verdict::Verdict::NotRun);
    harness.submit(support::spec("other", "confirm", 1, 1));
    harness.submit(job::Spec { account: "b".to_owned(), ..spec.clone() });
    harness.at = harness.at + table::JOB_RETENTION + time::Millis(1);
    harness.submit(job::Spec { deadline: harness.at + time::Millis::from_secs(600), ..spec });
}

#[test]
fn cancel_running_ends_as_may_have_run() {
    let mut harness = support::Harness::new();
    let job = harness.submit(support::spec("k", "rebuild", 1, 1));
    harness.release(job, 1);
    harness.events.clear();
    harness.apply(command::Command::Cancel { account: "a".to_owned(), key: "k".to_owned() });
    assert_eq!(harness.events, [outcome::Event::CancelRequested(harness.attempt(job))]);
    harness.end(job, command::AttemptResult::Preempted);
    let Some(job::End::Refused(refusal)) = harness.ended(job) else { panic!("not refused") };
    assert_eq!(refusal.verdict, verdict::Verdict::MayHaveRun);
    assert_eq!(refusal.reason, verdict::Reason::Cancelled);
}

fn hours(harness: &support::Harness) -> Vec<outcome::Hour> {
    let (from, now) = (support::START, harness.ledger.now);
    let view = harness.ledger.stats.view(from, now + time::HOUR, now);
    view.into_iter().map(|(_, _, hour)| hour).collect()
}

#[test]
fn hours_cover_an_outage() {
    let mut harness = support::Harness::new();
    harness.at = harness.at + time::Millis(5 * time::HOUR.0);
    harness.apply(command::Command::Clock);
    let hours = hours(&harness);
    assert_eq!(hours.len(), 6);
    let covered: u64 =
        hours.iter().flat_map(|hour| &hour.gaps).map(|gap| (gap.until - gap.from).0).sum();
    assert_eq!(covered, 5 * time::HOUR.0 + 1, "the gaps cover the outage to the millisecond");
}

#[test]
fn hours_count_each_request_once() {
    let mut harness = support::Harness::new();
    let done = harness.submit(support::spec("done", "confirm", 1, 0));
    let late = harness.submit(support::spec("late", "confirm", 1, 0));
    let uncertain = harness.submit(support::spec("doubt", "confirm", 1, 0));
    for job in [done, late, uncertain] {
        harness.release(job, 1);
    }
    harness.end(done, command::AttemptResult::Done(answer_meta(b"")));
    for _ in 0..30 {
        harness.at = harness.at + time::Millis::from_secs(25);
        harness.apply(command::Command::Clock);
    }
    harness.end(late, command::AttemptResult::Done(answer_meta(b"")));
    harness.end(uncertain, command::AttemptResult::Lost("x".to_owned()));
    let hours = hours(&harness);
    let sum = |count: fn(&outcome::Hour) -> u64| hours.iter().map(count).sum::<u64>();
    assert_eq!(sum(|hour| hour.promised), 3);
    assert_eq!(
        (sum(|hour| hour.done), sum(|hour| hour.late), sum(|hour| hour.uncertain)),
        (1, 1, 1)
    );
}

#[test]
fn refusals_report_counts_once() {
    let mut harness = support::Harness::new();
    for _ in 0..2 {
        let counts = vec![command::RefusalCount {
            service: "orders".to_owned(),
            hour: harness.at.start_of_hour(),
            count: 3,
        }];
        harness.apply(command::Command::Refusals { entry: 9, sequence: 1, counts });
    }
    assert_eq!(hours(&harness).iter().map(|hour| hour.refused).sum::<u64>(), 3);
}

#[test]
fn snapshot_round_trip() {
    let mut harness = support::Harness::new();
    let first = harness.submit(support::spec("k1", "rebuild", 1, 2));
    let second = harness.submit(support::spec("k2", "confirm", 1, 2));
    harness.submit(support::spec("k3", "confirm", 1, 2));
    harness.release(first, 1);
    harness.release(second, 2);
    let attempt = harness.attempt(second);
    harness.apply(command::Command::Chunk { attempt, offset: 0, bytes: b"abc".to_vec() });
    harness.end(second, command::AttemptResult::Done(answer_meta(b"abc")));
    harness.apply(command::Command::Cancel { account: "a".to_owned(), key: "k4".to_owned() });
    let bytes = codec::encode(&snapshot::Ledger::from(&harness.ledger));
    let wire: snapshot::Ledger = codec::decode_snapshot(&bytes).expect("a snapshot");
    let restored = state::Ledger::try_from(wire).expect("a ledger");
    assert_eq!(restored, harness.ledger);
}

#[test]
fn release_of_unrepeatable_needs_a_new_job() {
    let mut harness = support::Harness::new();
    let job = harness.submit(support::spec("k", "confirm", 1, 1));
    harness.release(job, 1);
    harness.end(job, command::AttemptResult::NotStarted);
    let attempt = harness.attempt(job);
    harness.apply(command::Command::AttemptStopped { attempt });
    // No command leads to this state; the check must not rely on that.
    harness.ledger.table.jobs.get_mut(&job).expect("the job is known").phase = job::Phase::Queued;
    assert_eq!(harness.release(job, 2), outcome::Outcome::Stale);
}

#[test]
fn chunk_after_missing_bytes_is_stale() {
    let mut harness = support::Harness::new();
    let job = harness.submit(support::spec("k", "confirm", 1, 1));
    harness.release(job, 1);
    let attempt = harness.attempt(job);
    let chunk = command::Command::Chunk { attempt, offset: 3, bytes: b"de".to_vec() };
    assert_eq!(harness.apply(chunk), outcome::Outcome::Stale);
    assert_eq!(harness.ledger.table.answer_bytes, 0);
}

#[test]
fn hours_include_later_deadlines() {
    let mut harness = support::Harness::new();
    let mut spec = support::spec("k", "confirm", 1, 0);
    spec.deadline = support::START + time::Millis(3 * time::HOUR.0);
    harness.submit(spec);
    let until = support::START + time::Millis(5 * time::HOUR.0);
    let view = harness.ledger.stats.view(support::START, until, harness.ledger.now);
    let promised: Vec<u64> = view.iter().map(|(_, _, hour)| hour.promised).collect();
    assert_eq!(promised, [0, 1], "the current hour, and the later one in which a request is due");
}
