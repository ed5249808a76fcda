//! Single rules of the replicated log, tested on one core with hand-made inputs.

use bytes::Bytes;
use hemlockcleat::core::consensus;
use hemlockcleat::core::consensus::entry;
use hemlockcleat::core::consensus::message;
use hemlockcleat::core::consensus::replica;
use hemlockcleat::core::ids;
use hemlockcleat::core::time;

const GROUP: ids::GroupKey = ids::GroupKey(7);

/// A time at which no vote is withheld and every election timeout has expired.
const LATER: time::Tick = time::Tick(5000);

fn id(number: u64) -> entry::Identity {
    let store = ids::StoreKey(u128::from(number));
    entry::Identity { replica: ids::ReplicaKey(number), store }
}

fn command(index: u64, term: u64) -> entry::Entry {
    let payload = entry::Payload::Command(Bytes::from_static(b"command"));
    entry::Entry { index: ids::LogIndex(index), term: ids::Term(term), payload }
}

/// Replica 1 of a group of three; its disk holds entry 1 of term 1 and these entries.
fn core(entries: Vec<entry::Entry>) -> replica::Core {
    let member = |number| entry::Member { id: id(number), addr: String::new(), voter: true };
    let membership = entry::Membership::new((1..=3).map(member).collect());
    let payload = entry::Payload::Membership(membership);
    let mut all = vec![entry::Entry { index: ids::LogIndex(1), term: ids::Term(1), payload }];
    all.extend(entries);
    let term = all[all.len() - 1].term;
    let initial = replica::InitialState {
        id: id(1),
        hard_state: entry::HardState { group: Some(GROUP), term, vote: None },
        snapshot: None,
        entries: all,
        seed: 1,
        rules: consensus::SafetyRules::ALL,
    };
    replica::Core::new(time::Tick(0), initial)
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

/// The matched indexes in the append responses among these outputs.
fn matched_indexes(outputs: &[message::Output]) -> Vec<u64> {
    let confirmed = |output: &message::Output| match output {
        message::Output::Send(message::Envelope {
            body: message::Body::AppendResponse { matched, .. },
            ..
        }) => Some(matched.0),
        _ => None,
    };
    outputs.iter().filter_map(confirmed).collect()
}

fn committed_indexes(outputs: &[message::Output]) -> Vec<u64> {
    let entries = |output: &message::Output| match output {
        message::Output::Commit(entries) => entries.iter().map(|entry| entry.index.0).collect(),
        _ => Vec::new(),
    };
    outputs.iter().flat_map(entries).collect()
}

#[test]
fn replacing_entries_count_once_synced() {
    let mut core = core(vec![command(2, 1), command(3, 1)]);
    let append = |entries| message::Body::Append {
        prev: ids::LogIndex(1),
        prev_term: ids::Term(1),
        entries,
        commit: ids::LogIndex(0),
        round: 1,
    };
    // The new term is made durable first, so that the response depends only on the entries.
    receive(&mut core, 2, 2, append(Vec::new()));
    sync(&mut core);
    let body = append(vec![command(2, 2), command(3, 2)]);
    let before = receive(&mut core, 2, 2, body);
    assert!(matched_indexes(&before).iter().all(|&matched| matched <= 1), "{before:?}");
    let after = sync(&mut core);
    assert_eq!(matched_indexes(&after).last(), Some(&3));
}

/// A core that was elected in term 3; the first entry of its own term is the third.
fn elected_leader() -> replica::Core {
    let mut core = core(vec![command(2, 2)]);
    step(&mut core, message::Input::Tick);
    receive(&mut core, 2, 3, message::Body::PreVoteResponse { granted: true });
    sync(&mut core);
    receive(&mut core, 2, 3, message::Body::VoteResponse { granted: true });
    sync(&mut core);
    core
}

fn append_response(matched: u64) -> message::Body {
    message::Body::AppendResponse { matched: ids::LogIndex(matched), round: 1, mismatch: None }
}

#[test]
fn entries_of_earlier_terms_wait_for_one_of_the_leaders_own() {
    let mut core = elected_leader();
    let earlier = receive(&mut core, 2, 3, append_response(2));
    assert_eq!(committed_indexes(&earlier), [0_u64; 0]);
    let own = receive(&mut core, 2, 3, append_response(3));
    assert_eq!(committed_indexes(&own), [1, 2, 3]);
}

#[test]
fn transfer_ends_the_lease_before_the_election() {
    let mut core = elected_leader();
    receive(&mut core, 2, 3, append_response(3));
    assert!(core.leads(LATER));
    step(&mut core, message::Input::TransferLeadership);
    let out = step(&mut core, message::Input::Tick);
    let is_timeout_now = |output: &message::Output| match output {
        message::Output::Send(envelope) => envelope.body == message::Body::TimeoutNow,
        _ => false,
    };
    assert!(out.iter().any(is_timeout_now) && !core.leads(LATER));
}

/// A replica may have confirmed a leader's lease just before it stopped, so it must not vote for
/// another one within an election timeout after its restart.
#[test]
fn restarted_replica_withholds_its_vote() {
    let vote_at = |now: time::Tick| {
        let mut core = core(vec![command(2, 2)]);
        let (last, last_term) = (ids::LogIndex(2), ids::Term(2));
        let body = message::Body::Vote { last, last_term, transfer: false };
        let (from, to, term) = (id(2), id(1), ids::Term(5));
        let envelope = message::Envelope { group: GROUP, from, to, term, body };
        core.step(now, message::Input::Receive(envelope), &mut Vec::new());
        core.hard_state().vote
    };
    assert_eq!(vote_at(time::Tick(consensus::ELECTION_TIMEOUT.0 - 1)), None);
    assert_eq!(vote_at(time::Tick(consensus::ELECTION_TIMEOUT.0)), Some(id(2)));
}

#[rstest::rstest]
#[case::older_term(9, 1, false)]
#[case::shorter(2, 2, false)]
#[case::equal(3, 2, true)]
#[case::newer_term(1, 3, true)]
fn vote_needs_an_up_to_date_log(#[case] last: u64, #[case] last_term: u64, #[case] granted: bool) {
    let mut core = core(vec![command(2, 2), command(3, 2)]);
    let (last, last_term) = (ids::LogIndex(last), ids::Term(last_term));
    let mut out =
        receive(&mut core, 2, 5, message::Body::Vote { last, last_term, transfer: false });
    out.extend(sync(&mut core));
    let body = |output: &message::Output| match output {
        message::Output::Send(envelope) => Some(envelope.body.clone()),
        _ => None,
    };
    let sent: Vec<_> = out.iter().filter_map(body).collect();
    assert_eq!(sent, [message::Body::VoteResponse { granted }]);
}

#[test]
fn leader_without_quorum_steps_down() {
    let mut core = elected_leader();
    receive(&mut core, 2, 3, append_response(3));
    let mut out = Vec::new();
    core.step(LATER + consensus::ELECTION_TIMEOUT, message::Input::Tick, &mut out);
    assert!(out.contains(&message::Output::SteppedDown), "{out:?}");
}

/// Proposes a membership of these voters. Returns whether the core accepts it.
fn reconfigure(core: &mut replica::Core, voters: &[u64]) -> bool {
    let member = |&number: &u64| entry::Member { id: id(number), addr: String::new(), voter: true };
    let membership = entry::Membership::new(voters.iter().map(member).collect());
    let out = step(core, message::Input::Reconfigure { token: 1, membership });
    out.iter().any(|output| matches!(output, message::Output::Accepted { .. }))
}

#[test]
fn membership_changes_one_voter_at_a_time() {
    let mut core = elected_leader();
    assert!(!reconfigure(&mut core, &[1, 2]), "nothing of its own term is committed");
    receive(&mut core, 2, 3, append_response(3));
    assert!(!reconfigure(&mut core, &[1]), "two voters fewer");
    assert!(!reconfigure(&mut core, &[1, 2, 4]), "one voter for another");
    assert!(!reconfigure(&mut core, &[]), "no voter at all");
    assert!(reconfigure(&mut core, &[1, 2]));
    assert!(!reconfigure(&mut core, &[1]), "the change before is not committed");
    sync(&mut core);
    receive(&mut core, 2, 3, append_response(4));
    assert!(reconfigure(&mut core, &[1]));
}

#[test]
fn read_waits_for_the_leaders_own_first_entry() {
    let mut core = elected_leader();
    step(&mut core, message::Input::Read(vec![4]));
    let response = |matched| message::Body::AppendResponse {
        matched: ids::LogIndex(matched),
        round: u64::MAX,
        mismatch: None,
    };
    let read_ready = |out: &[message::Output]| {
        let is_ready = |output: &message::Output| {
            matches!(output, message::Output::ReadReady { token: 4, .. })
        };
        out.iter().any(is_ready)
    };
    assert!(!read_ready(&receive(&mut core, 2, 3, response(2))));
    assert!(read_ready(&receive(&mut core, 2, 3, response(3))));
}
