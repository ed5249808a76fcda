//! Tests of the status page: complete hours, their age, escaping and look-ups of other spans.

use std::time;

use hemlockcleat::entry::hours;
use hemlockcleat::wire::entry as wire;
use rstest::rstest;
use serde_json::json;

use crate::entry as cases;
use crate::support::fake_control;
use crate::support::http_client;

const HOUR: u64 = 3_600_000;

fn hour(service: &str, hour: u64, gaps: Vec<(u64, u64)>) -> wire::Hour {
    wire::Hour {
        service: service.to_owned(),
        hour,
        promised: 5,
        done: 2,
        late: 1,
        refused: 3,
        uncertain: 4,
        gaps,
    }
}

fn span(from: u64, until: u64) -> hours::Span {
    hours::Span::checked(from * HOUR, until * HOUR).expect("a span")
}

#[test]
fn rows_show_hours_that_control_left_out() {
    let recorded = vec![hour("booking", HOUR, Vec::new()), hour("booking", 4 * HOUR, Vec::new())];
    let as_of = 5 * HOUR + 7;
    let rows = &hours::rows(&wire::Hours { as_of, hours: recorded }, span(0, 9))["booking"];
    let starts: Vec<_> = rows.iter().map(|row| row.hour / HOUR).collect();
    assert_eq!(starts, [1, 2, 3, 4, 5]);
    let missing =
        |row: &hours::Row| row.not_recorded.iter().any(|gap| gap.reason == hours::MISSING);
    let missing_hours: Vec<_> =
        rows.iter().filter(|row| missing(row)).map(|row| row.hour / HOUR).collect();
    assert_eq!(missing_hours, [2, 3, 5]);
    assert_eq!(rows[4].not_recorded[0].until, as_of);
}

#[rstest]
#[case::one(0, 1, Some(1))]
#[case::part_of_an_hour(HOUR + 1, HOUR + 2, Some(1))]
#[case::empty(HOUR, HOUR, None)]
#[case::reversed(2 * HOUR, HOUR, None)]
#[case::a_month(0, hours::MAX_SPAN_HOURS * HOUR, Some(hours::MAX_SPAN_HOURS))]
#[case::too_long(0, hours::MAX_SPAN_HOURS * HOUR + 1, None)]
fn span_checked(#[case] from: u64, #[case] until: u64, #[case] hours: Option<u64>) {
    let span = hours::Span::checked(from, until);
    assert_eq!(span.map(|span| (span.until - span.from).0 / HOUR), hours);
}

#[test]
fn page_escaped_and_without_script() {
    cases::with_entry(async |control, entry| {
        let name = "<script>alert(1)</script>";
        let gaps = vec![(HOUR, HOUR + 1000)];
        *control.shared.hours.borrow_mut() =
            fake_control::hours(2 * HOUR, vec![hour(name, HOUR, gaps)]);
        let path = format!("/?from={HOUR}&until={}", 2 * HOUR);
        let reply = cases::get(entry, &path).await;
        assert_eq!(reply.status, 200);
        let page = String::from_utf8(reply.body.clone()).expect("text");
        assert!(!page.contains("<script"), "{page}");
        assert!(page.contains("&lt;script&gt;"));
        assert!(page.contains("Not recorded from 1970-01-01 01:00:00 to 1970-01-01 01:00:01"));
        assert!(page.contains("As of 1970-01-01 02:00:00 UTC"));
        let policy = reply.header("content-security-policy").expect("a policy");
        assert!(policy.starts_with("default-src 'none'"));
        for outside in ["http://", "https://", "src=", "@import", "url("] {
            assert!(!page.contains(outside), "the page loads {outside}");
        }
    });
}

#[test]
fn page_shows_last_copy_and_its_age() {
    cases::with_entry(async |control, entry| {
        let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).expect("after 1970");
        let now = now.as_millis() as u64;
        let current = now - now % HOUR;
        *control.shared.hours.borrow_mut() =
            fake_control::hours(now, vec![hour("booking", current, Vec::new())]);
        while cases::get(entry, "/v1/hours").await.json()["services"] == json!({}) {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        let fresh = cases::get(entry, "/v1/hours").await.json();
        assert_eq!((&fresh["fresh"], &fresh["as_of"]), (&json!(true), &json!(now)));
        let row = &fresh["services"]["booking"][0];
        assert_eq!((&row["promised"], &row["may_have_run"]), (&json!(5), &json!(4)));
        control.shared.is_leader.set(false);
        while cases::get(entry, "/v1/hours").await.json()["control_reachable"] == true {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        let old = cases::get(entry, "/v1/hours").await.json();
        assert_eq!((&old["fresh"], &old["services"]), (&json!(false), &fresh["services"]));
        let page = http_client::send(entry.addr(), "GET", "/", "", "").await;
        let page = String::from_utf8(page.body).expect("text");
        assert!(page.contains("control hosts can't be reached now. This is the last copy"));
    });
}

#[test]
fn page_before_any_record() {
    crate::support::run(async {
        let closed = "127.0.0.1:1".parse().expect("an address");
        let settings = cases::settings(&[closed]);
        let entry = hemlockcleat::entry::Entry::start(settings).await.expect("an entry");
        let page = cases::get(&entry, "/").await;
        assert_eq!(page.status, 200);
        let page = String::from_utf8(page.body).expect("text");
        assert!(page.contains("Nothing has been received from the control hosts yet"));
        assert_eq!(cases::get(&entry, "/readyz").await.status, 503);
        let refused = cases::submit(&entry, cases::REQUEST_PATH).await;
        assert_eq!((refused.status, &refused.json()["verdict"]), (503, &json!("not-run")));
        entry.stop().await;
    });
}
