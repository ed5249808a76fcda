//! Which replicas a group that keeps itself at a number of voters should have.

use hemlockcleat::core::consensus::repair;
use hemlockcleat::core::ids;
use hemlockcleat::core::time;

const VOTERS: usize = 3;

/// A member: its number, whether its disk was lost, and how long it has been silent.
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

fn wanted(members: &[repair::ObservedMember], candidates: &[u64]) -> Vec<u64> {
    let candidates: Vec<_> =
        candidates.iter().map(|number| (ids::ReplicaKey(*number), addr(*number))).collect();
    let wanted = repair::desired_replicas(members, &candidates, VOTERS);
    wanted.into_iter().map(|(replica, _)| replica.0).collect()
}

const GONE: u64 = repair::REPLACEMENT_TIMEOUT.0 + 1;

#[rstest::rstest]
#[case::sound(&[(1, false, 0), (2, false, 9), (3, false, 0)], &[], &[1, 2, 3])]
#[case::sound_with_spare(&[(1, false, 0), (2, false, 9), (3, false, 0)], &[4], &[1, 2, 3])]
#[case::silent_without_spare(&[(1, false, 0), (2, false, GONE), (3, false, 0)], &[], &[1, 2, 3])]
#[case::silent_for_a_while(&[(1, false, 0), (2, false, 900), (3, false, 0)], &[4], &[1, 2, 3])]
#[case::lost(&[(1, false, 0), (2, false, GONE), (3, false, 0)], &[4], &[1, 3, 4])]
#[case::lost_with_two_spares(&[(1, false, 0), (2, false, GONE), (3, false, 0)], &[4, 5], &[1, 3, 4])]
#[case::two_lost(&[(1, false, 0), (2, false, GONE), (3, false, GONE)], &[4], &[1, 2, 4])]
#[case::wiped(&[(1, false, 0), (2, true, GONE), (3, false, 0)], &[], &[1, 2, 3])]
#[case::wiped_asks_itself(&[(1, false, 0), (2, true, GONE), (3, false, 0)], &[2], &[1, 2, 3])]
#[case::wiped_being_replaced(
    &[(1, false, 0), (2, true, GONE), (2, false, 0), (3, false, 0)], &[], &[1, 2, 3])]
#[case::too_few(&[(1, false, 0)], &[2, 3, 4], &[1, 2, 3])]
#[case::larger_than_asked(
    &[(1, false, 0), (2, false, 0), (3, false, 0), (4, false, 0)], &[5], &[1, 2, 3, 4])]
fn wanted_members(
    #[case] members: &[(u64, bool, u64)],
    #[case] candidates: &[u64],
    #[case] expected: &[u64],
) {
    let members: Vec<_> = members.iter().map(|(n, r, s)| member(*n, *r, *s)).collect();
    assert_eq!(wanted(&members, candidates), expected);
}
