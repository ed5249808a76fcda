//! Tests of the entry with control faults: silence, delays, mismatched or partial replies, no
//! leader.

use std::cell;
use std::rc;
use std::time;

use hemlockcleat::entry;
use hemlockcleat::wire::entry as wire;
use rstest::rstest;

use crate::entry as cases;
use crate::support;
use crate::support::fake_control;
use crate::support::http_client;

/// A fault in the handling of one call.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Control sends no reply and leaves the stream open.
    Silent,
    /// Control closes the stream.
    Closed,
    /// The replica replies that it is not the leader.
    NotLeader,
    /// The reply has the identifier of a call that was never made.
    WrongId,
    /// The reply is of a kind that does not match the call.
    WrongKind,
    /// Control can't decide the call.
    Undecided,
}

impl Fault {
    fn action(
        self,
        id: u64,
        shared: &fake_control::Shared,
        call: &wire::Call,
    ) -> fake_control::Action {
        use fake_control::Action;
        match self {
            Fault::Silent => Action::Send(Vec::new()),
            Fault::Closed => Action::Close,
            Fault::NotLeader => Action::Send(vec![wire::ServerMessage::NotLeader { leader: None }]),
            Fault::WrongId => Action::Send(shared.default_replies(id + 1000, call)),
            Fault::WrongKind => {
                let body = wire::Reply::Workers(Vec::new());
                Action::Send(vec![wire::ServerMessage::Reply { id, body }])
            }
            Fault::Undecided => {
                let body = fake_control::refusal(1, 7);
                Action::Send(vec![wire::ServerMessage::Reply { id, body }])
            }
        }
    }
}

/// Injects `fault` into the first `count` submissions.
fn fail_submits(control: &fake_control::FakeControl, fault: Fault, count: usize) {
    let shared = rc::Rc::downgrade(&control.shared);
    let seen = cell::Cell::new(0);
    control.script(move |id, call| {
        let wire::Call::Submit(_) = call else { return fake_control::Action::Default };
        seen.set(seen.get() + 1);
        if seen.get() > count {
            return fake_control::Action::Default;
        }
        let shared = shared.upgrade().expect("the fake replica is running");
        fault.action(id, &shared, call)
    });
}

#[rstest]
#[case::closed(Fault::Closed)]
#[case::not_leader(Fault::NotLeader)]
#[case::undecided(Fault::Undecided)]
fn submit_retried_after_one_fault(#[case] fault: Fault) {
    cases::with_entry(async |control, entry| {
        fail_submits(control, fault, 1);
        let reply = cases::submit(entry, cases::REQUEST_PATH).await;
        assert_eq!(reply.status, 202, "{reply:?}");
        assert_eq!(control.submissions(), 2);
    });
}

#[rstest]
#[case::silent(Fault::Silent)]
#[case::closed(Fault::Closed)]
#[case::not_leader(Fault::NotLeader)]
#[case::wrong_id(Fault::WrongId)]
#[case::wrong_kind(Fault::WrongKind)]
#[case::undecided(Fault::Undecided)]
fn submit_may_have_run(#[case] fault: Fault) {
    cases::with_entry(async |control, entry| {
        fail_submits(control, fault, usize::MAX);
        let reply = cases::submit(entry, cases::REQUEST_PATH).await;
        assert_eq!(reply.status, 503, "{reply:?}");
        assert_eq!(reply.json()["verdict"], "may-have-run");
        assert_eq!(reply.json()["reason"], 7);
        assert!(reply.header("retry-after").is_some());
    });
}

#[test]
fn submit_not_run_without_leader() {
    cases::with_entry(async |control, entry| {
        control.shared.is_leader.set(false);
        // The next call ends the session; then no replica is the leader.
        while cases::get(entry, "/v1/status").await.status != 503 {}
        let reply = cases::submit(entry, cases::REQUEST_PATH).await;
        assert_eq!(reply.status, 503, "{reply:?}");
        assert_eq!(reply.json()["verdict"], "not-run");
        assert_eq!(control.submissions(), 0);
        let reply = cases::submit(entry, &format!("{}?resend=true", cases::REQUEST_PATH)).await;
        assert_eq!(reply.json()["verdict"], "may-have-run");
        control.shared.is_leader.set(true);
        while control.shared.refusals.borrow().is_empty() {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        let refusals = control.shared.refusals.borrow();
        let wire::ClientMessage::Refusals { sequence: 1, counts } = &refusals[0] else {
            panic!("another report: {refusals:?}");
        };
        assert_eq!((counts[0].0.as_str(), counts[0].2), ("booking", 1));
    });
}

#[test]
fn submit_refused_on_retry_may_have_run() {
    cases::with_entry(async |control, entry| {
        let mut first = true;
        control.script(move |id, call| {
            let wire::Call::Submit(_) = call else { return fake_control::Action::Default };
            if std::mem::take(&mut first) {
                return fake_control::Action::Close;
            }
            let body = fake_control::refusal(0, 6);
            fake_control::Action::Send(vec![wire::ServerMessage::Reply { id, body }])
        });
        let reply = cases::submit(entry, cases::REQUEST_PATH).await;
        assert_eq!(reply.status, 429, "{reply:?}");
        assert_eq!(reply.json()["verdict"], "may-have-run");
    });
}

#[test]
fn replies_out_of_order_reach_their_callers() {
    cases::with_entry(async |control, entry| {
        let withheld = rc::Rc::new(cell::RefCell::new(Vec::new()));
        let shared = rc::Rc::downgrade(&control.shared);
        control.script(move |id, call| {
            let wire::Call::Submit(_) = call else { return fake_control::Action::Default };
            let mut withheld = withheld.borrow_mut();
            let mut replies =
                shared.upgrade().expect("the fake replica is running").default_replies(id, call);
            // The entry must drop the duplicate reply.
            replies.push(replies[0].clone());
            withheld.push(replies);
            if withheld.len() < 3 {
                return fake_control::Action::Send(Vec::new());
            }
            fake_control::Action::Send(withheld.drain(..).rev().flatten().collect())
        });
        let paths = ["a", "b", "c"].map(|key| format!("/v1/accounts/swan-coast/requests/{key}"));
        let submits = paths.iter().map(|path| cases::submit(entry, path));
        let replies = futures_util::future::join_all(submits).await;
        let keys: Vec<_> = replies.iter().map(|reply| reply.json()["key"].clone()).collect();
        assert_eq!(keys, ["a", "b", "c"]);
    });
}

/// A fault in the chunks of an answer.
#[derive(Clone, Copy, Debug)]
enum AnswerFault {
    /// A chunk is missing.
    MissingChunk,
    /// Two chunks are in the wrong order.
    Reordered,
    /// The last chunk is not marked as the last.
    NoLastChunk,
    /// The last chunk lacks a byte.
    Truncated,
    /// A byte is altered.
    Corrupt,
    /// No chunk is sent.
    Silent,
    /// The stream closes.
    Closed,
}

fn faulty_chunks(fault: AnswerFault, id: u64, bytes: &[u8], offset: usize) -> fake_control::Action {
    let mut chunks = fake_control::chunks(id, bytes, offset, 1000);
    match fault {
        AnswerFault::MissingChunk => {
            chunks.remove(1.min(chunks.len() - 1));
        }
        AnswerFault::Reordered => {
            let last = chunks.len() - 1;
            chunks.swap(0, 1.min(last));
        }
        AnswerFault::NoLastChunk | AnswerFault::Truncated | AnswerFault::Corrupt => {
            let last = chunks.pop();
            if let Some(wire::ServerMessage::Reply {
                body: wire::Reply::Chunk { offset, bytes, .. },
                ..
            }) = last
            {
                chunks.push(faulty_last_chunk(fault, id, offset, bytes));
            }
        }
        AnswerFault::Silent => chunks.clear(),
        AnswerFault::Closed => return fake_control::Action::Close,
    }
    fake_control::Action::Send(chunks)
}

fn faulty_last_chunk(
    fault: AnswerFault,
    id: u64,
    offset: u64,
    mut bytes: Vec<u8>,
) -> wire::ServerMessage {
    match fault {
        AnswerFault::Truncated => drop(bytes.pop()),
        AnswerFault::Corrupt => bytes[0] ^= 1,
        _ => {}
    }
    let last = !matches!(fault, AnswerFault::NoLastChunk);
    wire::ServerMessage::Reply { id, body: wire::Reply::Chunk { offset, bytes, last } }
}

/// An answer of five different chunks.
fn answer() -> Vec<u8> {
    (0..4500u32).map(|index| (index / 7) as u8).collect()
}

/// Injects `fault` into the first `count` replies with the answer.
fn inject_answer_faults(
    control: &fake_control::FakeControl,
    fault: AnswerFault,
    answer: Vec<u8>,
    count: usize,
) {
    control.finish("swan-coast", "r1", &answer);
    let mut seen = 0;
    control.script(move |id, call| {
        let wire::Call::Answer { offset, .. } = call else { return fake_control::Action::Default };
        seen += 1;
        if seen > count {
            return fake_control::Action::Default;
        }
        faulty_chunks(fault, id, &answer, *offset as usize)
    });
}

#[rstest]
#[case::missing_chunk(AnswerFault::MissingChunk)]
#[case::reordered(AnswerFault::Reordered)]
#[case::no_last_chunk(AnswerFault::NoLastChunk)]
#[case::truncated(AnswerFault::Truncated)]
#[case::corrupt(AnswerFault::Corrupt)]
#[case::silent(AnswerFault::Silent)]
#[case::closed(AnswerFault::Closed)]
fn answer_damaged_is_never_complete(#[case] fault: AnswerFault) {
    cases::with_entry(async |control, entry| {
        inject_answer_faults(control, fault, answer(), usize::MAX);
        let reply = cases::get(entry, &format!("{}/answer", cases::REQUEST_PATH)).await;
        assert_eq!(reply.status, 200);
        assert!(!reply.complete, "a damaged answer of {} bytes passed", reply.body.len());
    });
}

#[rstest]
#[case::missing_chunk(AnswerFault::MissingChunk)]
#[case::reordered(AnswerFault::Reordered)]
#[case::truncated(AnswerFault::Truncated)]
#[case::no_last_chunk(AnswerFault::NoLastChunk)]
#[case::closed(AnswerFault::Closed)]
fn answer_damaged_once_is_retried(#[case] fault: AnswerFault) {
    cases::with_entry(async |control, entry| {
        inject_answer_faults(control, fault, answer(), 1);
        let reply = cases::get(entry, &format!("{}/answer", cases::REQUEST_PATH)).await;
        assert!(reply.complete);
        assert_eq!(reply.body, answer());
    });
}

#[test]
fn leader_found_by_redirect_and_after_change() {
    support::run(async {
        let follower = fake_control::FakeControl::start().await;
        let leader = fake_control::FakeControl::start().await;
        follower.shared.is_leader.set(false);
        *follower.shared.leader.borrow_mut() = Some(leader.addr().to_string());
        let settings = cases::settings(&[follower.addr()]);
        let entry = entry::Entry::start(settings).await.expect("an entry");
        cases::ready(&entry).await;
        assert_eq!(cases::submit(&entry, cases::REQUEST_PATH).await.status, 202);
        assert_eq!((follower.submissions(), leader.submissions()), (0, 1));
        leader.shared.is_leader.set(false);
        follower.shared.is_leader.set(true);
        assert_eq!(cases::submit(&entry, cases::REQUEST_PATH).await.status, 202);
        assert_eq!(follower.submissions(), 1);
        entry.stop().await;
        follower.stop().await;
        leader.stop().await;
    });
}

#[test]
fn leader_unresponsive_is_replaced() {
    support::run(async {
        let unresponsive = fake_control::FakeControl::start().await;
        let other = fake_control::FakeControl::start().await;
        other.shared.is_leader.set(false);
        let mut settings = cases::settings(&[unresponsive.addr(), other.addr()]);
        settings.limits.patience_ms = 8_000;
        let entry = entry::Entry::start(settings).await.expect("an entry");
        cases::ready(&entry).await;
        unresponsive.script(|_, _| fake_control::Action::Send(Vec::new()));
        other.shared.is_leader.set(true);
        let started = time::Instant::now();
        assert_eq!(cases::submit(&entry, cases::REQUEST_PATH).await.status, 202);
        assert!(started.elapsed() < time::Duration::from_secs(6));
        assert_eq!(other.submissions(), 1);
        entry.stop().await;
        unresponsive.stop().await;
        other.stop().await;
    });
}

#[test]
fn config_revision_never_decreases() {
    cases::with_entry(async |control, entry| {
        let push = |revision: u64, name: &str| {
            let mut config = fake_control::config(revision);
            config.accounts.push(fake_control::account(name, 1));
            control.shared.config.send_replace(config);
        };
        push(3, "newer");
        let path = "/v1/accounts/newer/requests/x";
        while cases::get(entry, path).await.status != 404 {}
        push(2, "older");
        while control.shared.pushed_revision.get() != 2 {
            tokio::task::yield_now().await;
        }
        // The reply to this call arrives after the pushed configuration.
        assert_eq!(cases::get(entry, "/v1/status").await.json()["entry_revision"], 3);
        assert_eq!(cases::get(entry, path).await.status, 404);
        let older = "/v1/accounts/older/requests/x";
        assert_eq!(cases::get(entry, older).await.status, 401);
    });
}

#[test]
fn stop_replies_to_waiting_callers() {
    support::run(async {
        let control = fake_control::FakeControl::start().await;
        let settings = cases::settings(&[control.addr()]);
        let entry = entry::Entry::start(settings).await.expect("an entry");
        cases::ready(&entry).await;
        control.script(|_, call| match call {
            wire::Call::Fetch { .. } => fake_control::Action::Send(Vec::new()),
            _ => fake_control::Action::Default,
        });
        let path = format!("{}?wait=60000", cases::REQUEST_PATH);
        let addr = entry.addr();
        let body = cases::submission().to_string();
        let waiting = http_client::send(addr, "PUT", &path, fake_control::TOKEN, &body);
        let stop = async {
            while control.shared.calls.borrow().len() < 2 {
                tokio::time::sleep(time::Duration::from_millis(5)).await;
            }
            entry.stop().await;
        };
        let (reply, ()) = tokio::join!(waiting, stop);
        assert_eq!(reply.status, 503, "{reply:?}");
        assert!(reply.complete);
        assert_eq!(reply.json()["reason"], 14);
        assert_eq!(reply.json()["verdict"], "may-have-run");
        control.stop().await;
    });
}

#[test]
fn refusals_reported_again_until_stored() {
    cases::with_entry(async |control, entry| {
        control.shared.confirms_reports.set(false);
        let mut config = fake_control::config(2);
        config.accounts = vec![fake_control::account("swan-coast", 0)];
        control.shared.config.send_replace(config);
        // Each submission has its own key, since an accepted one would be shown, not refused.
        let sent = cell::Cell::new(0);
        let refused = async || {
            sent.set(sent.get() + 1);
            let path = format!("{}-{}", cases::REQUEST_PATH, sent.get());
            cases::submit(entry, &path).await.status == 429
        };
        while !refused().await {}
        let seen = async |count: usize| {
            while control.shared.refusals.borrow().len() < count {
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
            control.shared.refusals.borrow()[count - 1].clone()
        };
        let first = seen(1).await;
        assert!(refused().await);
        assert_eq!(seen(2).await, first, "the open report is sent again as it was");
        control.shared.confirms_reports.set(true);
        let wire::ClientMessage::Refusals { sequence, counts } = seen(4).await else {
            panic!("no report");
        };
        assert_eq!((sequence, counts[0].2), (2, 1));
    });
}

/// Delays the reply to the first submission by `after`.
fn delay_first(control: &fake_control::FakeControl, after: time::Duration) {
    let shared = rc::Rc::downgrade(&control.shared);
    let mut first = true;
    control.script(move |id, call| {
        let wire::Call::Submit(_) = call else { return fake_control::Action::Default };
        if !std::mem::take(&mut first) {
            return fake_control::Action::Default;
        }
        let replies =
            shared.upgrade().expect("the fake replica is running").default_replies(id, call);
        fake_control::Action::Later(after, replies)
    });
}

#[test]
fn submit_answered_late_reaches_no_other_caller() {
    cases::with_entry(async |control, entry| {
        // This exceeds the entry's call timeout of 1500 ms.
        delay_first(control, time::Duration::from_millis(1700));
        let reply = cases::submit(entry, cases::REQUEST_PATH).await;
        assert_eq!((reply.status, &reply.json()["verdict"]), (503, &"may-have-run".into()));
        let other = "/v1/accounts/swan-coast/requests/other";
        let reply = cases::submit(entry, other).await;
        assert_eq!((reply.status, &reply.json()["key"]), (202, &"other".into()));
    });
}

#[test]
fn stop_lets_open_requests_end() {
    support::run(async {
        let control = fake_control::FakeControl::start().await;
        let settings = cases::settings(&[control.addr()]);
        let entry = entry::Entry::start(settings).await.expect("an entry");
        cases::ready(&entry).await;
        delay_first(&control, time::Duration::from_millis(300));
        let addr = entry.addr();
        let body = cases::submission().to_string();
        let token = fake_control::TOKEN;
        let submit = http_client::send(addr, "PUT", cases::REQUEST_PATH, token, &body);
        let stop = async {
            while control.submissions() == 0 {
                tokio::time::sleep(time::Duration::from_millis(5)).await;
            }
            entry.stop().await;
        };
        let (reply, ()) = tokio::join!(submit, stop);
        assert_eq!(reply.status, 202, "{reply:?}");
        assert!(tokio::net::TcpStream::connect(addr).await.is_err());
        control.stop().await;
    });
}

#[test]
fn retries_bounded_by_one_budget() {
    const CALLERS: usize = 60;
    cases::with_entry(async |control, entry| {
        fail_submits(control, Fault::Undecided, usize::MAX);
        let keys = (0..CALLERS).map(|key| format!("/v1/accounts/swan-coast/requests/{key}"));
        let submits = keys.map(async |path| cases::submit(entry, &path).await.status);
        let statuses = futures_util::future::join_all(submits).await;
        assert_eq!(statuses, [503; CALLERS]);
        // The budget starts with ten retries and gains one for each ten first sends.
        let bound = CALLERS + 10 + CALLERS / 10;
        let seen = control.submissions();
        assert!(seen <= bound, "{seen} sends for {CALLERS} requests");
    });
}
