//! The entry while control fails: silent, slow, crossed, half answered, never leading.

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

/// What becomes of one call.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// No answer, the stream stays.
    Silent,
    /// The stream closes.
    Closed,
    /// The replica says that it does not lead.
    NotLeader,
    /// The answer goes to a call nobody made.
    Crossed,
    /// The answer is of another kind.
    Misfit,
    /// Control can't tell.
    Undecided,
}

impl Fault {
    fn act(self, id: u64, shared: &fake_control::Shared, call: &wire::Call) -> fake_control::Act {
        use fake_control::Act;
        match self {
            Fault::Silent => Act::Send(Vec::new()),
            Fault::Closed => Act::Close,
            Fault::NotLeader => Act::Send(vec![wire::ServerMessage::NotLeader { leader: None }]),
            Fault::Crossed => Act::Send(shared.usual(id + 1000, call)),
            Fault::Misfit => {
                let body = wire::Reply::Workers(Vec::new());
                Act::Send(vec![wire::ServerMessage::Reply { id, body }])
            }
            Fault::Undecided => {
                let body = fake_control::refused(1, 7);
                Act::Send(vec![wire::ServerMessage::Reply { id, body }])
            }
        }
    }
}

/// Fails the first `count` submissions, or all of them.
fn fail_submits(control: &fake_control::FakeControl, fault: Fault, count: usize) {
    let shared = rc::Rc::downgrade(&control.shared);
    let seen = cell::Cell::new(0);
    control.script(move |id, call| {
        let wire::Call::Submit(_) = call else { return fake_control::Act::Usual };
        seen.set(seen.get() + 1);
        if seen.get() > count {
            return fake_control::Act::Usual;
        }
        let shared = shared.upgrade().expect("the fake lives");
        fault.act(id, &shared, call)
    });
}

#[rstest]
#[case::closed(Fault::Closed)]
#[case::not_leader(Fault::NotLeader)]
#[case::undecided(Fault::Undecided)]
fn submit_sent_again_after_one(#[case] fault: Fault) {
    cases::with_entry(async |control, entry| {
        fail_submits(control, fault, 1);
        let reply = cases::submit(entry, cases::REQUEST).await;
        assert_eq!(reply.status, 202, "{reply:?}");
        assert_eq!(control.submissions(), 2);
    });
}

#[rstest]
#[case::silent(Fault::Silent)]
#[case::closed(Fault::Closed)]
#[case::not_leader(Fault::NotLeader)]
#[case::crossed(Fault::Crossed)]
#[case::misfit(Fault::Misfit)]
#[case::undecided(Fault::Undecided)]
fn submit_may_have_run(#[case] fault: Fault) {
    cases::with_entry(async |control, entry| {
        fail_submits(control, fault, usize::MAX);
        let reply = cases::submit(entry, cases::REQUEST).await;
        assert_eq!(reply.status, 503, "{reply:?}");
        assert_eq!(reply.json()["verdict"], "may-have-run");
        assert_eq!(reply.json()["reason"], 7);
        assert!(reply.header("retry-after").is_some());
    });
}

#[test]
fn submit_not_run_where_none_leads() {
    cases::with_entry(async |control, entry| {
        control.shared.leads.set(false);
        // The session ends with the next call; then no replica leads.
        while cases::get(entry, "/v1/status").await.status != 503 {}
        let reply = cases::submit(entry, cases::REQUEST).await;
        assert_eq!(reply.status, 503, "{reply:?}");
        assert_eq!(reply.json()["verdict"], "not-run");
        assert_eq!(control.submissions(), 0);
        let reply = cases::submit(entry, &format!("{}?resend=true", cases::REQUEST)).await;
        assert_eq!(reply.json()["verdict"], "may-have-run");
        control.shared.leads.set(true);
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
fn submit_refused_after_silence_is_doubted() {
    cases::with_entry(async |control, entry| {
        let mut first = true;
        control.script(move |id, call| {
            let wire::Call::Submit(_) = call else { return fake_control::Act::Usual };
            if std::mem::take(&mut first) {
                return fake_control::Act::Close;
            }
            let body = fake_control::refused(0, 6);
            fake_control::Act::Send(vec![wire::ServerMessage::Reply { id, body }])
        });
        let reply = cases::submit(entry, cases::REQUEST).await;
        assert_eq!(reply.status, 429, "{reply:?}");
        assert_eq!(reply.json()["verdict"], "may-have-run");
    });
}

#[test]
fn replies_out_of_order_reach_their_callers() {
    cases::with_entry(async |control, entry| {
        let held = rc::Rc::new(cell::RefCell::new(Vec::new()));
        let shared = rc::Rc::downgrade(&control.shared);
        control.script(move |id, call| {
            let wire::Call::Submit(_) = call else { return fake_control::Act::Usual };
            let mut held = held.borrow_mut();
            let mut replies = shared.upgrade().expect("the fake lives").usual(id, call);
            // A doubled reply is dropped.
            replies.push(replies[0].clone());
            held.push(replies);
            if held.len() < 3 {
                return fake_control::Act::Send(Vec::new());
            }
            fake_control::Act::Send(held.drain(..).rev().flatten().collect())
        });
        let paths = ["a", "b", "c"].map(|key| format!("/v1/accounts/swan-coast/requests/{key}"));
        let submits = paths.iter().map(|path| cases::submit(entry, path));
        let replies = futures_util::future::join_all(submits).await;
        let keys: Vec<_> = replies.iter().map(|reply| reply.json()["key"].clone()).collect();
        assert_eq!(keys, ["a", "b", "c"]);
    });
}

#[derive(Clone, Copy, Debug)]
enum Cut {
    /// A chunk is left out.
    Hole,
    /// Two chunks come in the wrong order.
    Swapped,
    /// The last chunk says that more follows.
    Endless,
    /// The answer ends early.
    Short,
    /// A byte differs.
    Corrupt,
    /// Nothing comes.
    Silent,
    /// The stream closes after the first chunk.
    Closed,
}

fn cut(cut: Cut, id: u64, bytes: &[u8], offset: usize) -> fake_control::Act {
    let mut chunks = fake_control::chunks(id, bytes, offset, 1000);
    match cut {
        Cut::Hole => {
            chunks.remove(1.min(chunks.len() - 1));
        }
        Cut::Swapped => {
            let last = chunks.len() - 1;
            chunks.swap(0, 1.min(last));
        }
        Cut::Endless | Cut::Short | Cut::Corrupt => {
            let last = chunks.pop();
            if let Some(wire::ServerMessage::Reply {
                body: wire::Reply::Chunk { offset, bytes, .. },
                ..
            }) = last
            {
                chunks.push(tail(cut, id, offset, bytes));
            }
        }
        Cut::Silent => chunks.clear(),
        Cut::Closed => return fake_control::Act::Close,
    }
    fake_control::Act::Send(chunks)
}

fn tail(cut: Cut, id: u64, offset: u64, mut bytes: Vec<u8>) -> wire::ServerMessage {
    match cut {
        Cut::Short => drop(bytes.pop()),
        Cut::Corrupt => bytes[0] ^= 1,
        _ => {}
    }
    let last = !matches!(cut, Cut::Endless);
    wire::ServerMessage::Reply { id, body: wire::Reply::Chunk { offset, bytes, last } }
}

/// An answer of five chunks, no two of them equal.
fn answer() -> Vec<u8> {
    (0..4500u32).map(|index| (index / 7) as u8).collect()
}

/// Damages the first `count` answers, or all of them.
fn damage(control: &fake_control::FakeControl, fault: Cut, answer: Vec<u8>, count: usize) {
    control.finish("swan-coast", "r1", &answer);
    let mut seen = 0;
    control.script(move |id, call| {
        let wire::Call::Answer { offset, .. } = call else { return fake_control::Act::Usual };
        seen += 1;
        if seen > count {
            return fake_control::Act::Usual;
        }
        cut(fault, id, &answer, *offset as usize)
    });
}

#[rstest]
#[case::hole(Cut::Hole)]
#[case::swapped(Cut::Swapped)]
#[case::endless(Cut::Endless)]
#[case::short(Cut::Short)]
#[case::corrupt(Cut::Corrupt)]
#[case::silent(Cut::Silent)]
#[case::closed(Cut::Closed)]
fn answer_damaged_is_never_whole(#[case] fault: Cut) {
    cases::with_entry(async |control, entry| {
        damage(control, fault, answer(), usize::MAX);
        let reply = cases::get(entry, &format!("{}/answer", cases::REQUEST)).await;
        assert_eq!(reply.status, 200);
        assert!(!reply.whole, "a damaged answer of {} bytes passed", reply.body.len());
    });
}

#[rstest]
#[case::hole(Cut::Hole)]
#[case::swapped(Cut::Swapped)]
#[case::short(Cut::Short)]
#[case::endless(Cut::Endless)]
#[case::closed(Cut::Closed)]
fn answer_damaged_once_is_asked_for_again(#[case] fault: Cut) {
    cases::with_entry(async |control, entry| {
        damage(control, fault, answer(), 1);
        let reply = cases::get(entry, &format!("{}/answer", cases::REQUEST)).await;
        assert!(reply.whole);
        assert_eq!(reply.body, answer());
    });
}

#[test]
fn leader_found_by_hint_and_after_change() {
    support::run(async {
        let follower = fake_control::FakeControl::start().await;
        let leader = fake_control::FakeControl::start().await;
        follower.shared.leads.set(false);
        *follower.shared.leader.borrow_mut() = Some(leader.addr().to_string());
        let settings = cases::settings(&[follower.addr()]);
        let entry = entry::Entry::start(settings).await.expect("an entry");
        cases::ready(&entry).await;
        assert_eq!(cases::submit(&entry, cases::REQUEST).await.status, 202);
        assert_eq!((follower.submissions(), leader.submissions()), (0, 1));
        leader.shared.leads.set(false);
        follower.shared.leads.set(true);
        assert_eq!(cases::submit(&entry, cases::REQUEST).await.status, 202);
        assert_eq!(follower.submissions(), 1);
        entry.stop().await;
        follower.stop().await;
        leader.stop().await;
    });
}

#[test]
fn leader_frozen_is_left() {
    support::run(async {
        let frozen = fake_control::FakeControl::start().await;
        let other = fake_control::FakeControl::start().await;
        other.shared.leads.set(false);
        let mut settings = cases::settings(&[frozen.addr(), other.addr()]);
        settings.limits.patience_ms = 8_000;
        let entry = entry::Entry::start(settings).await.expect("an entry");
        cases::ready(&entry).await;
        frozen.script(|_, _| fake_control::Act::Send(Vec::new()));
        other.shared.leads.set(true);
        let started = time::Instant::now();
        assert_eq!(cases::submit(&entry, cases::REQUEST).await.status, 202);
        assert!(started.elapsed() < time::Duration::from_secs(6));
        assert_eq!(other.submissions(), 1);
        entry.stop().await;
        frozen.stop().await;
        other.stop().await;
    });
}

#[test]
fn config_never_goes_back() {
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
        while control.shared.pushed.get() != 2 {
            tokio::task::yield_now().await;
        }
        // Its answer comes behind the push.
        assert_eq!(cases::get(entry, "/v1/status").await.json()["entry_revision"], 3);
        assert_eq!(cases::get(entry, path).await.status, 404);
        let older = "/v1/accounts/older/requests/x";
        assert_eq!(cases::get(entry, older).await.status, 401);
    });
}

#[test]
fn stop_gives_waiting_callers_a_word() {
    support::run(async {
        let control = fake_control::FakeControl::start().await;
        let settings = cases::settings(&[control.addr()]);
        let entry = entry::Entry::start(settings).await.expect("an entry");
        cases::ready(&entry).await;
        control.script(|_, call| match call {
            wire::Call::Fetch { .. } => fake_control::Act::Send(Vec::new()),
            _ => fake_control::Act::Usual,
        });
        let path = format!("{}?wait=60000", cases::REQUEST);
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
        assert!(reply.whole);
        assert_eq!(reply.json()["reason"], 14);
        assert_eq!(reply.json()["verdict"], "may-have-run");
        control.stop().await;
    });
}

#[test]
fn refusals_reported_again_until_stored() {
    cases::with_entry(async |control, entry| {
        control.shared.confirms.set(false);
        let mut config = fake_control::config(2);
        config.accounts = vec![fake_control::account("swan-coast", 0)];
        control.shared.config.send_replace(config);
        // Each under a key of its own: one that was accepted is shown, not refused.
        let sent = cell::Cell::new(0);
        let refused = async || {
            sent.set(sent.get() + 1);
            let path = format!("{}-{}", cases::REQUEST, sent.get());
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
        control.shared.confirms.set(true);
        let wire::ClientMessage::Refusals { sequence, counts } = seen(4).await else {
            panic!("no report");
        };
        assert_eq!((sequence, counts[0].2), (2, 1));
    });
}

/// Answers the first submission after a while, the others at once.
fn delay_first(control: &fake_control::FakeControl, after: time::Duration) {
    let shared = rc::Rc::downgrade(&control.shared);
    let mut first = true;
    control.script(move |id, call| {
        let wire::Call::Submit(_) = call else { return fake_control::Act::Usual };
        if !std::mem::take(&mut first) {
            return fake_control::Act::Usual;
        }
        let replies = shared.upgrade().expect("the fake lives").usual(id, call);
        fake_control::Act::Later(after, replies)
    });
}

#[test]
fn submit_answered_late_crosses_nobody() {
    cases::with_entry(async |control, entry| {
        // Later than the patience of the test's entry.
        delay_first(control, time::Duration::from_millis(1700));
        let reply = cases::submit(entry, cases::REQUEST).await;
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
        let submit = http_client::send(addr, "PUT", cases::REQUEST, token, &body);
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
fn resends_bounded_by_one_budget() {
    const CALLERS: usize = 60;
    cases::with_entry(async |control, entry| {
        fail_submits(control, Fault::Undecided, usize::MAX);
        let keys = (0..CALLERS).map(|key| format!("/v1/accounts/swan-coast/requests/{key}"));
        let submits = keys.map(async |path| cases::submit(entry, &path).await.status);
        let statuses = futures_util::future::join_all(submits).await;
        assert_eq!(statuses, [503; CALLERS]);
        // Ten resends to begin with, and one for each ten first sends.
        let bound = CALLERS + 10 + CALLERS / 10;
        let seen = control.submissions();
        assert!(seen <= bound, "{seen} sends for {CALLERS} requests");
    });
}
