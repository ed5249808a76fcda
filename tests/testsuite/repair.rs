//! The choice of the replicas that a group should have to maintain its number of voters.

use hemlockcleat::core::consensus::repair;
use hemlockcleat::core::ids;
use hemlockcleat::core::time;

const VOTERS: usize = 3;

/// A member; `replaced` means that its disk was lost, `silent_for` is in milliseconds.
fn member(number: u64, replaced: bool, silent_for: u64) -> repair::ObservedMember {
    let silent_for = time::Millis(silent_for);
    repair::ObservedMember {
        replica: ids::ReplicaKey(number),
        addr: addr(number),
        replaced,
        silent_for,
    }
}

fn addr(number: u64) -> String {
    format!("10.0.0.{number}:7000")
}

fn desired(members: &[repair::ObservedMember], candidates: &[u64]) -> Vec<u64> {
    let candidates: Vec<_> =
        candidates.iter().map(|number| (ids::ReplicaKey(*number), addr(*number))).collect();
    let desired = repair::desired_replicas(members, &candidates, VOTERS);
    desired.into_iter().map(|(replica, _)| replica.0).collect()
}

/// Milliseconds of silence after which a member counts as lost.
const LOST: u64 = repair::REPLACEMENT_TIMEOUT.0 + 1;

#[rstest::rstest]
#[case::healthy(&[(1, false, 0), (2, false, 9), (3, false, 0)], &[], &[1, 2, 3])]
#[case::healthy_with_candidate(&[(1, false, 0), (2, false, 9), (3, false, 0)], &[4], &[1, 2, 3])]
#[case::silent_without_candidate(
    &[(1, false, 0), (2, false, LOST), (3, false, 0)], &[], &[1, 2, 3])]
#[case::silent_briefly(&[(1, false, 0), (2, false, 900), (3, false, 0)], &[4], &[1, 2, 3])]
#[case::lost(&[(1, false, 0), (2, false, LOST), (3, false, 0)], &[4], &[1, 3, 4])]
#[case::lost_with_two_candidates(
    &[(1, false, 0), (2, false, LOST), (3, false, 0)], &[4, 5], &[1, 3, 4])]
#[case::two_lost(&[(1, false, 0), (2, false, LOST), (3, false, LOST)], &[4], &[1, 2, 4])]
#[case::wiped(&[(1, false, 0), (2, true, LOST), (3, false, 0)], &[], &[1, 2, 3])]
#[case::wiped_is_candidate(&[(1, false, 0), (2, true, LOST), (3, false, 0)], &[2], &[1, 2, 3])]
#[case::wiped_being_replaced(
    &[(1, false, 0), (2, true, LOST), (2, false, 0), (3, false, 0)], &[], &[1, 2, 3])]
#[case::too_few(&[(1, false, 0)], &[2, 3, 4], &[1, 2, 3])]
#[case::more_than_configured(
    &[(1, false, 0), (2, false, 0), (3, false, 0), (4, false, 0)], &[5], &[1, 2, 3, 4])]
fn desired_replicas(
    #[case] members: &[(u64, bool, u64)],
    #[case] candidates: &[u64],
    #[case] expected: &[u64],
) {
    let members: Vec<_> = members.iter().map(|(n, r, s)| member(*n, *r, *s)).collect();
    assert_eq!(desired(&members, candidates), expected);
}
