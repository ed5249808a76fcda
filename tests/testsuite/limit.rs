//! Admission control at an entry, and the retry budget.

use hemlockcleat::core::account;
use hemlockcleat::core::limit;
use hemlockcleat::core::time;
use hemlockcleat::core::verdict;

fn account(weight: u32, queue_limit: u32) -> account::Account {
    let name = "rounds".to_owned();
    account::Account { name, guarantees: Vec::new(), weight, queue_limit, tokens: Vec::new() }
}

#[test]
fn admit_rate_refills() {
    let account = account(1, 100_000);
    let mut admission = limit::Admission::new();
    let mut admit = |now| admission.admit(time::Tick(now), &account, account::Class::Urgent, 1);
    let admitted = (0..1000).take_while(|_| admit(0).is_ok()).count();
    let refusal = admit(0).unwrap_err();
    assert!(admitted > 0 && admitted < 1000);
    assert_eq!(refusal.refusal.verdict, verdict::Verdict::NotRun);
    assert_eq!(refusal.refusal.reason, verdict::Reason::Overloaded);
    assert!(admit(refusal.retry_after.0 - 1).is_err());
    assert!(admit(refusal.retry_after.0).is_ok());
}

#[test]
fn admit_queue_bounded() {
    let account = account(1, 10);
    let mut admission = limit::Admission::new();
    let now = time::Tick(0);
    for _ in 0..9 {
        admission.admit(now, &account, account::Class::Idle, 1).unwrap();
    }
    assert!(admission.admit(now, &account, account::Class::Idle, 1).is_err());
    admission.admit(now, &account, account::Class::Urgent, 1).unwrap();
    assert!(admission.admit(now, &account, account::Class::Urgent, 1).is_err());
    admission.finish("rounds");
    admission.admit(now, &account, account::Class::Urgent, 1).unwrap();
    assert_eq!(admission.waiting("rounds"), 10);
}

#[test]
fn retry_budget_exhausted() {
    let mut budget = limit::RetryBudget::new();
    let first = (0..1000).take_while(|_| budget.withdraw()).count();
    assert!(first < 1000);
    for _ in 0..100 {
        budget.deposit();
    }
    let more = (0..1000).take_while(|_| budget.withdraw()).count();
    assert!(more > 0 && more < 100);
}
