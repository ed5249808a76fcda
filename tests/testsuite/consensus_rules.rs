//! Single rules of the replicated log, on one core that is spoken to by hand.

use bytes::Bytes;
use hemlockcleat::core::consensus;
use hemlockcleat::core::consensus::entry;
use hemlockcleat::core::consensus::message;
use hemlockcleat::core::consensus::replica;
use hemlockcleat::core::ids;
use hemlockcleat::core::time;

const GROUP: ids::GroupKey = ids::GroupKey(7);

/// A time at which no vote is withheld and every election timeout has run out.
const LATER: time::Tick = time::Tick(5000);

fn id(number: u64) -> entry::Identity {
    let store = ids::StoreKey(u128::from(number));
    entry::Identity { replica: ids::ReplicaKey(number), store }
}

fn command(index: u64, term: u64) -> entry::Entry {
    let payload = entry::Payload::Command(Bytes::from_static(b"command"));
    entry::Entry { index: ids::LogIndex(index), term: ids::Term(term), payload }
}

/// Replica 1 of three, with entry 1 of term 1 and these entries on its disk.
fn core(entries: Vec<entry::Entry>) -> replica::Core {
    let member = |number| entry::Member { id: id(number), addr: String::new(), voter: true };
    let membership = entry::Membership::new((1..=3).map(member).collect());
    let payload = entry::Payload::Membership(membership);
    let mut all = vec![entry::Entry { index: ids::LogIndex(1), term: ids::Term(1), payload }];
    all.extend(entries);
    let term = all[all.len() - 1].term;
    let boot = replica::InitialState {
        id: id(1),
        hard_state: entry::HardState { group: Some(GROUP), term, vote: None },
        snapshot: None,
        entries: all,
        seed: 1,
        rules: consensus::SafetyRules::ALL,
    };
    replica::Core::new(time::Tick(0), boot)
}

fn step(core: &mut replica::Core, input: message::Input) -> Vec<message::Output> {
    let mut out = Vec::new();
    core.step(LATER, input, &mut out);
    out
}

fn receive(
    core: &mut replica::Core,
    from: u64,
    term: u64,
    body: message::Body,
) -> Vec<message::Output> {
    let (from, to, term) = (id(from), id(1), ids::Term(term));
    step(core, message::Input::Receive(message::Envelope { group: GROUP, from, to, term, body }))
}

fn sync(core: &mut replica::Core) -> Vec<message::Output> {
    step(core, message::Input::Persisted(u64::MAX))
}

/// What the core confirms to its leader.
fn matched(outputs: &[message::Output]) -> Vec<u64> {
    let confirmed = |output: &message::Output| match output {
        message::Output::Send(message::Envelope {
            body: message::Body::AppendResponse { matched, .. },
            ..
        }) => Some(matched.0),
        _ => None,
    };
    outputs.iter().filter_map(confirmed).collect()
}

fn committed(outputs: &[message::Output]) -> Vec<u64> {
    let entries = |output: &message::Output| match output {
        message::Output::Commit(entries) => entries.iter().map(|entry| entry.index.0).collect(),
        _ => Vec::new(),
    };
    outputs.iter().flat_map(entries).collect()
}

#[test]
fn entries_that_replace_others_count_once_synced() {
    let mut core = core(vec![command(2, 1), command(3, 1)]);
    let append = |entries| message::Body::Append {
        prev: ids::LogIndex(1),
        prev_term: ids::Term(1),
        entries,
        commit: ids::LogIndex(0),
        round: 1,
    };
    // The new term is durable first, so that only the entries are waited for.
    receive(&mut core, 2, 2, append(Vec::new()));
    sync(&mut core);
    let body = append(vec![command(2, 2), command(3, 2)]);
    let before = receive(&mut core, 2, 2, body);
    assert!(matched(&before).iter().all(|&matched| matched <= 1), "{before:?}");
    let after = sync(&mut core);
    assert_eq!(matched(&after).last(), Some(&3));
}

/// Elects the core in term 3; its first own entry is the third.
fn elected() -> replica::Core {
    let mut core = core(vec![command(2, 2)]);
    step(&mut core, message::Input::Tick);
    receive(&mut core, 2, 3, message::Body::PreVoteResponse { granted: true });
    sync(&mut core);
    receive(&mut core, 2, 3, message::Body::VoteResponse { granted: true });
    sync(&mut core);
    core
}

fn confirmation(matched: u64) -> message::Body {
    message::Body::AppendResponse { matched: ids::LogIndex(matched), round: 1, mismatch: None }
}

#[test]
fn entries_of_earlier_terms_wait_for_one_of_the_leaders_own() {
    let mut core = elected();
    let earlier = receive(&mut core, 2, 3, confirmation(2));
    assert_eq!(committed(&earlier), [0_u64; 0]);
    let own = receive(&mut core, 2, 3, confirmation(3));
    assert_eq!(committed(&own), [1, 2, 3]);
}

#[test]
fn hand_over_ends_the_lease_before_the_heir_stands() {
    let mut core = elected();
    receive(&mut core, 2, 3, confirmation(3));
    assert!(core.leads(LATER));
    step(&mut core, message::Input::TransferLeadership);
    let out = step(&mut core, message::Input::Tick);
    let told = |output: &message::Output| match output {
        message::Output::Send(envelope) => envelope.body == message::Body::TimeoutNow,
        _ => false,
    };
    assert!(out.iter().any(told) && !core.leads(LATER));
}

/// It may have confirmed a lease just before it stopped.
#[test]
fn restarted_replica_withholds_its_vote() {
    let ask = |now: time::Tick| {
        let mut core = core(vec![command(2, 2)]);
        let (last, last_term) = (ids::LogIndex(2), ids::Term(2));
        let body = message::Body::Vote { last, last_term, transfer: false };
        let (from, to, term) = (id(2), id(1), ids::Term(5));
        let envelope = message::Envelope { group: GROUP, from, to, term, body };
        core.step(now, message::Input::Receive(envelope), &mut Vec::new());
        core.hard_state().vote
    };
    assert_eq!(ask(time::Tick(consensus::ELECTION_TIMEOUT.0 - 1)), None);
    assert_eq!(ask(time::Tick(consensus::ELECTION_TIMEOUT.0)), Some(id(2)));
}

#[rstest::rstest]
#[case::older_term(9, 1, false)]
#[case::shorter(2, 2, false)]
#[case::equal(3, 2, true)]
#[case::newer_term(1, 3, true)]
fn vote_needs_a_log_as_good(#[case] last: u64, #[case] last_term: u64, #[case] granted: bool) {
    let mut core = core(vec![command(2, 2), command(3, 2)]);
    let (last, last_term) = (ids::LogIndex(last), ids::Term(last_term));
    let mut out =
        receive(&mut core, 2, 5, message::Body::Vote { last, last_term, transfer: false });
    out.extend(sync(&mut core));
    let answer = |output: &message::Output| match output {
        message::Output::Send(envelope) => Some(envelope.body.clone()),
        _ => None,
    };
    let answers: Vec<_> = out.iter().filter_map(answer).collect();
    assert_eq!(answers, [message::Body::VoteResponse { granted }]);
}

#[test]
fn leader_without_quorum_stands_down() {
    let mut core = elected();
    receive(&mut core, 2, 3, confirmation(3));
    let mut out = Vec::new();
    core.step(LATER + consensus::ELECTION_TIMEOUT, message::Input::Tick, &mut out);
    assert!(out.contains(&message::Output::SteppedDown), "{out:?}");
}

/// Asks for a membership of these voters. True if it is taken.
fn reconfigure(core: &mut replica::Core, voters: &[u64]) -> bool {
    let member = |&number: &u64| entry::Member { id: id(number), addr: String::new(), voter: true };
    let membership = entry::Membership::new(voters.iter().map(member).collect());
    let out = step(core, message::Input::Reconfigure { token: 1, membership });
    out.iter().any(|output| matches!(output, message::Output::Accepted { .. }))
}

#[test]
fn membership_changes_one_voter_at_a_time() {
    let mut core = elected();
    assert!(!reconfigure(&mut core, &[1, 2]), "nothing of its own term is committed");
    receive(&mut core, 2, 3, confirmation(3));
    assert!(!reconfigure(&mut core, &[1]), "two voters fewer");
    assert!(!reconfigure(&mut core, &[1, 2, 4]), "one voter for another");
    assert!(!reconfigure(&mut core, &[]), "no voter at all");
    assert!(reconfigure(&mut core, &[1, 2]));
    assert!(!reconfigure(&mut core, &[1]), "the change before is not committed");
    sync(&mut core);
    receive(&mut core, 2, 3, confirmation(4));
    assert!(reconfigure(&mut core, &[1]));
}

#[test]
fn read_waits_for_the_leaders_own_first_entry() {
    let mut core = elected();
    step(&mut core, message::Input::Read(vec![4]));
    let answer = |matched| message::Body::AppendResponse {
        matched: ids::LogIndex(matched),
        round: u64::MAX,
        mismatch: None,
    };
    let ready = |out: &[message::Output]| {
        let is_ready = |output: &message::Output| {
            matches!(output, message::Output::ReadReady { token: 4, .. })
        };
        out.iter().any(is_ready)
    };
    assert!(!ready(&receive(&mut core, 2, 3, answer(2))));
    assert!(ready(&receive(&mut core, 2, 3, answer(3))));
}
