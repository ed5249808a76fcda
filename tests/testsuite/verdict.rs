//! Verdicts and numbered reasons, which are part of the caller interface.

use hemlockcleat::core::verdict;

#[test]
fn reason_number_round_trip() {
    for (index, reason) in verdict::Reason::ALL.into_iter().enumerate() {
        assert_eq!(usize::from(reason.number()), index + 1);
        assert_eq!(verdict::Reason::from_number(reason.number()), Some(reason));
    }
}

#[test]
fn reason_number_unknown() {
    assert_eq!(verdict::Reason::from_number(0), None);
    assert_eq!(verdict::Reason::from_number(9999), None);
}
