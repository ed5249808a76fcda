//! Tests of the entry with a healthy control replica: routes, authorization, refusals and answers.

use hemlockcleat::entry;
use hemlockcleat::settings;
use rstest::rstest;
use serde_json::json;

use crate::support;
use crate::support::fake_control;
use crate::support::http_client;

pub const REQUEST_PATH: &str = "/v1/accounts/swan-coast/requests/r1";

/// Settings of an entry with the given control replicas.
pub fn settings(control: &[std::net::SocketAddr]) -> settings::entry::Settings {
    use sha2::Digest as _;
    let digest = sha2::Sha256::digest(fake_control::TOKEN);
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let settings = json!({
        "name": "entry-1",
        "data_center": "perth-1",
        "listen": "127.0.0.1:0",
        "control": control,
        "operators": [digest],
        "limits": {"patience_ms": 1500, "head_ms": 400, "body_ms": 400, "write_ms": 400},
    });
    settings::parse(&settings.to_string()).expect("valid settings")
}

/// Runs a test body with a fake control replica and a ready entry.
pub fn with_entry(body: impl AsyncFnOnce(&fake_control::FakeControl, &entry::Entry)) {
    support::run(async {
        let control = fake_control::FakeControl::start().await;
        let entry = entry::Entry::start(settings(&[control.addr()])).await.expect("an entry");
        ready(&entry).await;
        body(&control, &entry).await;
        entry.stop().await;
        control.stop().await;
    });
}

/// Waits until the entry is ready.
pub async fn ready(entry: &entry::Entry) {
    while http_client::send(entry.addr(), "GET", "/readyz", "", "").await.status != 200 {
        tokio::task::yield_now().await;
    }
}

pub fn submission() -> serde_json::Value {
    json!({"service": "booking", "kind": "rebuild", "tasks": 2, "accelerators": 4,
           "adjacency": "rack", "run_time_ms": 1000, "payload": "round 7"})
}

pub async fn submit(entry: &entry::Entry, path: &str) -> http_client::Reply {
    let body = submission().to_string();
    http_client::send(entry.addr(), "PUT", path, fake_control::TOKEN, &body).await
}

pub async fn get(entry: &entry::Entry, path: &str) -> http_client::Reply {
    http_client::send(entry.addr(), "GET", path, fake_control::TOKEN, "").await
}

#[test]
fn submit_accepted() {
    with_entry(async |control, entry| {
        let reply = submit(entry, REQUEST_PATH).await;
        assert_eq!(reply.status, 202, "{reply:?}");
        assert_eq!(reply.json()["phase"], "queued");
        assert_eq!(submit(entry, REQUEST_PATH).await.json()["job"], 1);
        assert_eq!(control.submissions(), 2);
    });
}

#[test]
fn answer_complete_with_digest() {
    with_entry(async |control, entry| {
        let answer: Vec<u8> = (0..70_001u32).map(|byte| byte as u8).collect();
        control.finish("swan-coast", "r1", &answer);
        let reply = get(entry, &format!("{REQUEST_PATH}/answer?wait=1000")).await;
        assert_eq!(reply.status, 200);
        assert!(reply.complete);
        assert_eq!(reply.body, answer);
        assert_eq!(reply.header("hemlockcleat-sha256").map(str::len), Some(64));
    });
}

#[test]
fn answer_pending_is_no_success() {
    with_entry(async |_, entry| {
        submit(entry, REQUEST_PATH).await;
        let reply = get(entry, &format!("{REQUEST_PATH}/answer")).await;
        assert_eq!(reply.status, 409);
        assert_eq!(reply.json()["phase"], "queued");
    });
}

#[rstest]
#[case::wrong_token("/v1/accounts/swan-coast/requests/r1", "wrong")]
#[case::unknown_account("/v1/accounts/abyssinia/requests/r1", fake_control::TOKEN)]
#[case::empty_token("/v1/accounts/swan-coast/requests/r1", "")]
#[case::operator("/v1/status", "wrong")]
fn access_refused(#[case] path: &str, #[case] token: &str) {
    with_entry(async |control, entry| {
        let reply = http_client::send(entry.addr(), "GET", path, token, "").await;
        assert_eq!(reply.status, 401);
        let refusal = json!({"verdict": "not-run", "reason": 2,
                             "message": "the token does not permit this",
                             "detail": "send a bearer token that does", "retryable": false});
        assert_eq!(reply.json(), refusal);
        assert!(control.shared.calls.borrow().is_empty());
    });
}

#[rstest]
#[case::valid("00-000000000000000000000000000000aa-00000000000000bb-01", Some(0xaa))]
#[case::malformed("00-aa-bb-01", None)]
fn trace_passed_on(#[case] traceparent: &str, #[case] trace: Option<u128>) {
    with_entry(async |control, entry| {
        let body = submission().to_string();
        let text = format!(
            "PUT {REQUEST_PATH} HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\
             authorization: Bearer {}\r\ntraceparent: {traceparent}\r\n\
             content-length: {}\r\n\r\n{body}",
            fake_control::TOKEN,
            body.len()
        );
        let reply = http_client::raw(entry.addr(), text.as_bytes()).await.expect("a response");
        assert_eq!(reply.status, 202);
        let seen = control.shared.traces.borrow()[0];
        assert_ne!(seen, 0, "a request without a trace gets a new one");
        assert!(trace.is_none_or(|trace| trace == seen));
    });
}

#[test]
fn metrics_rendered() {
    hemlockcleat::telemetry::metrics::start();
    with_entry(async |_, entry| {
        let text = get(entry, "/metrics").await;
        let text = String::from_utf8(text.body).expect("text");
        assert!(text.contains("hemlockcleat_control_reachable 1"), "{text}");
        assert!(text.contains("hemlockcleat_http_responses_total{status=\"200\"}"), "{text}");
    });
}
