//! Leases, on the agent's side and on control's side.
//!
//! Control must not consider a lease as ended while the agent may still rely on it, whichever
//! heartbeats and grants are late, duplicated or lost, and after a change of the leader.

use hemlockcleat::core::ids;
use hemlockcleat::core::lease;
use hemlockcleat::core::time;
use rstest::rstest;

const WORKER: ids::WorkerKey = ids::WorkerKey(7);
const EPOCH: ids::Epoch = ids::Epoch(3);
const START: time::Tick = time::Tick(10_000);

fn at(millis: u64) -> time::Tick {
    START + time::Millis(millis)
}

/// A holder that sent its first heartbeat at the start and has no grant yet.
fn holder() -> (lease::Holder, u64) {
    let mut holder = lease::Holder::new();
    assert!(holder.register(EPOCH));
    let sequence = holder.heartbeat(START);
    (holder, sequence)
}

#[test]
fn holder_counts_from_sending() {
    let (mut holder, sequence) = holder();
    assert!(!holder.is_valid(START));
    assert!(holder.grant(sequence, EPOCH, lease::DURATION));
    assert_eq!(holder.expires(), Some(START + lease::DURATION));
    assert!(holder.is_valid(at(lease::DURATION.0 - 1)));
    assert!(!holder.is_valid(at(lease::DURATION.0)));
}

#[rstest]
#[case::unknown_sequence(99, EPOCH)]
#[case::older_epoch(1, ids::Epoch(2))]
#[case::newer_epoch(1, ids::Epoch(4))]
fn holder_ignores_grant(#[case] sequence: u64, #[case] epoch: ids::Epoch) {
    let (mut holder, _) = holder();
    assert!(!holder.grant(sequence, epoch, lease::DURATION));
    assert!(!holder.is_valid(START));
}

#[test]
fn holder_ignores_duplicate_and_older_grants() {
    let (mut holder, first) = holder();
    let second = holder.heartbeat(at(1000));
    assert!(holder.grant(second, EPOCH, lease::DURATION));
    let expires = holder.expires();
    assert!(!holder.grant(second, EPOCH, lease::DURATION));
    assert!(!holder.grant(first, EPOCH, lease::DURATION));
    assert_eq!(holder.expires(), expires);
}

#[test]
fn holder_grant_after_suspension_has_ended() {
    let (mut holder, sequence) = holder();
    // The process is suspended for a minute between the heartbeat and the answer.
    assert!(holder.grant(sequence, EPOCH, lease::DURATION));
    assert!(!holder.is_valid(at(60_000)));
    assert_eq!(holder.remaining(at(60_000)), time::Millis(0));
}

#[test]
fn holder_caps_duration() {
    let (mut holder, sequence) = holder();
    assert!(holder.grant(sequence, EPOCH, time::Millis::from_secs(3600)));
    assert_eq!(holder.expires(), Some(START + lease::DURATION));
}

#[test]
fn holder_fenced_epoch_stays_ended() {
    let (mut holder, sequence) = holder();
    assert!(!holder.fence(ids::Epoch(2)));
    assert!(holder.fence(EPOCH));
    assert!(!holder.grant(sequence, EPOCH, lease::DURATION));
    assert!(!holder.register(EPOCH));
    assert!(holder.register(ids::Epoch(4)));
    assert!(!holder.is_valid(START));
}

#[test]
fn holder_bounds_outstanding() {
    let (mut holder, first) = holder();
    for second in 1..1000 {
        holder.heartbeat(at(second * 1000));
    }
    assert!(!holder.grant(first, EPOCH, lease::DURATION));
}

#[test]
fn grantor_outlives_holder() {
    let mut grantor = lease::Grantor::new(START);
    grantor.track(WORKER, EPOCH, START);
    let (mut holder, sequence) = holder();
    // The heartbeat takes 300 ms to arrive and its answer 500 ms.
    let reply = grantor.heartbeat(WORKER, EPOCH, at(300));
    let lease::Reply::Grant { epoch, duration } = reply else { panic!("no grant") };
    assert!(holder.grant(sequence, epoch, duration));
    let mut ended = None;
    for millis in 800..10_000 {
        if !grantor.expired(at(millis)).is_empty() {
            assert!(!holder.is_valid(at(millis)));
            ended = Some(millis);
            break;
        }
    }
    assert_eq!(ended, Some(300 + lease::DURATION.0 + lease::CLOCK_DRIFT_MARGIN.0));
}

#[test]
fn grantor_inherits_predecessor() {
    let mut grantor = lease::Grantor::new(START);
    // Whenever a worker is tracked, it does not expire before a predecessor's lease has ended.
    grantor.track(WORKER, EPOCH, time::Tick(0));
    let last = lease::DURATION.0 + lease::CLOCK_DRIFT_MARGIN.0;
    assert!(grantor.expired(at(last - 1)).is_empty());
    assert_eq!(grantor.expired(at(last)), [(WORKER, EPOCH)]);
}

#[rstest]
#[case::unknown_worker(ids::WorkerKey(8), EPOCH, 0)]
#[case::older_epoch(WORKER, ids::Epoch(2), 0)]
#[case::newer_epoch(WORKER, ids::Epoch(4), 0)]
#[case::ended_unnoticed(WORKER, EPOCH, 5000)]
fn grantor_fences(#[case] worker: ids::WorkerKey, #[case] epoch: ids::Epoch, #[case] late: u64) {
    let mut grantor = lease::Grantor::new(START);
    grantor.track(WORKER, EPOCH, START);
    assert_eq!(grantor.heartbeat(worker, epoch, at(late)), lease::Reply::Fenced);
}

#[test]
fn grantor_remove_then_track() {
    let mut grantor = lease::Grantor::new(START);
    grantor.track(WORKER, EPOCH, START);
    grantor.remove(WORKER);
    assert_eq!(grantor.heartbeat(WORKER, EPOCH, START), lease::Reply::Fenced);
    assert!(grantor.expired(at(60_000)).is_empty());
    let next = ids::Epoch(4);
    grantor.track(WORKER, next, at(60_000));
    assert!(matches!(grantor.heartbeat(WORKER, next, at(60_001)), lease::Reply::Grant { .. }));
}

#[test]
fn grantor_track_never_goes_back() {
    let mut grantor = lease::Grantor::new(START);
    grantor.track(WORKER, EPOCH, START);
    grantor.track(WORKER, ids::Epoch(2), at(1));
    assert!(matches!(grantor.heartbeat(WORKER, EPOCH, at(2)), lease::Reply::Grant { .. }));
    // A clock read before an earlier heartbeat does not shorten the lease.
    grantor.heartbeat(WORKER, EPOCH, at(3000));
    grantor.heartbeat(WORKER, EPOCH, at(1000));
    assert!(
        grantor.expired(at(3000 + lease::DURATION.0 + lease::CLOCK_DRIFT_MARGIN.0 - 1)).is_empty()
    );
}
