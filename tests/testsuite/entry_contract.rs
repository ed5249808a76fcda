//! Tests of the entry's HTTP interface with invalid requests and with slow or broken clients.

use std::time;

use hemlockcleat::entry;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use crate::entry as cases;
use crate::support::fake_control;
use crate::support::http_client;

/// A valid submission with one field set, or removed if the value is null.
fn with_field(field: &str, value: serde_json::Value) -> String {
    let mut body = cases::submission();
    let fields = body.as_object_mut().expect("an object");
    match value {
        serde_json::Value::Null => drop(fields.remove(field)),
        value => drop(fields.insert(field.to_owned(), value)),
    }
    body.to_string()
}

async fn put(entry: &entry::Entry, body: &str) -> http_client::Reply {
    let path = cases::REQUEST_PATH;
    http_client::send(entry.addr(), "PUT", path, fake_control::TOKEN, body).await
}

#[rstest]
#[case::empty("", "EOF")]
#[case::truncated(&cases::submission().to_string()[..30], "EOF")]
#[case::trailing(&(cases::submission().to_string() + "{}"), "trailing")]
#[case::not_an_object("[]", "expected struct")]
#[case::wrong_type(&with_field("tasks", json!("two")), "tasks: invalid type")]
#[case::negative(&with_field("tasks", json!(-1)), "tasks: invalid value")]
#[case::unknown_field(&with_field("version", json!(2)), "unknown field `version`")]
#[case::missing(&with_field("service", json!(null)), "missing field `service`")]
#[case::no_tasks(&with_field("tasks", json!(0)), "request.tasks: must be 1 to 1024")]
#[case::too_many_tasks(&with_field("tasks", json!(1025)), "request.tasks: must be 1 to 1024")]
#[case::no_run_time(&with_field("run_time_ms", json!(0)), "run_time_ms: must be 1 or more")]
#[case::unknown_adjacency(&with_field("adjacency", json!("near")), "adjacency: unknown variant")]
#[case::twice(r#"{"service": "a", "service": "b"}"#, "duplicate field `service`")]
#[case::payload(
&with_field("payload", json!("x".repeat(256 * 1024 + 1))),
"payload: must have at most"
)]
fn submission_refused(#[case] body: &str, #[case] words: &str) {
    cases::with_entry(async |control, entry| {
        let reply = put(entry, body).await;
        assert_eq!(reply.status, 400, "{reply:?}");
        let refusal = reply.json();
        assert_eq!((&refusal["verdict"], &refusal["reason"]), (&json!("not-run"), &json!(1)));
        let detail = refusal["detail"].as_str().expect("a detail");
        assert!(detail.contains(words), "{detail}");
        assert_eq!(control.submissions(), 0);
    });
}

#[rstest]
#[case::both_deadlines(json!({"deadline_ms": 5, "due": 5}), 400)]
#[case::deadline_zero(json!({"deadline_ms": 0}), 400)]
#[case::due(json!({"due": 99}), 202)]
#[case::payload_of_json(json!({"payload": {"b": 1, "a": [true, null]}}), 202)]
fn submission_fields(#[case] fields: serde_json::Value, #[case] status: u16) {
    cases::with_entry(async |_, entry| {
        let mut body = cases::submission();
        let object = body.as_object_mut().expect("an object");
        object.extend(fields.as_object().expect("an object").clone());
        assert_eq!(put(entry, &body.to_string()).await.status, status);
    });
}

#[rstest]
#[case::unknown_path("GET", "/v2/status", 404)]
#[case::wrong_method("POST", "/v1/status", 405)]
#[case::key_too_long("GET", &format!("/v1/accounts/swan-coast/requests/{}", "k".repeat(129)), 400)]
#[case::key_empty("GET", "/v1/accounts/swan-coast/requests/", 400)]
#[case::key_control("GET", "/v1/accounts/swan-coast/requests/%00", 404)]
#[case::key_no_unicode("GET", "/v1/accounts/swan-coast/requests/%ff", 404)]
#[case::query_unknown("GET", "/v1/accounts/swan-coast/requests/r1?weight=1", 400)]
#[case::query_type("GET", "/v1/accounts/swan-coast/requests/r1?wait=soon", 400)]
#[case::query_twice("GET", "/v1/accounts/swan-coast/requests/r1?wait=1&wait=2", 400)]
#[case::request_unknown("GET", "/v1/accounts/swan-coast/requests/none", 404)]
#[case::cancel_unknown("DELETE", "/v1/accounts/swan-coast/requests/none", 404)]
#[case::job_number("GET", "/v1/jobs/one", 404)]
#[case::jobs_limit("GET", "/v1/jobs?limit=0", 400)]
#[case::workflow_number("GET", "/v1/workflows/one", 404)]
#[case::workflows_limit("GET", "/v1/workflows?limit=1001", 400)]
#[case::account_unknown("GET", "/v1/accounts/none", 404)]
#[case::hours_without_end("GET", "/v1/hours?from=5", 400)]
#[case::hours_reversed("GET", "/v1/hours?from=7200000&until=0", 400)]
#[case::hours_too_long("GET", "/v1/hours?from=0&until=9999999999999", 400)]
#[case::hours_overflow("GET", "/v1/hours?from=0&until=18446744073709551615", 400)]
fn path_refused(#[case] method: &str, #[case] path: &str, #[case] status: u16) {
    cases::with_entry(async |_, entry| {
        let reply = http_client::send(entry.addr(), method, path, fake_control::TOKEN, "").await;
        assert_eq!(reply.status, status, "{reply:?}");
        assert_eq!(reply.json()["verdict"], "not-run");
    });
}

fn head(line: &str, fields: &str) -> String {
    format!("{line}\r\nhost: e\r\nauthorization: Bearer {}\r\n{fields}\r\n", fake_control::TOKEN)
}

fn put_head(fields: &str) -> String {
    head(&format!("PUT {} HTTP/1.1", cases::REQUEST_PATH), fields)
}

#[rstest]
#[case::not_http("hello\r\n\r\n".to_owned(), 400)]
#[case::version(head("GET / HTTP/3.7", ""), 400)]
#[case::head_oversized(head("GET / HTTP/1.1", &format!("x: {}\r\n", "y".repeat(20_000))), 431)]
#[case::length_no_number(put_head("content-length: x\r\n"), 400)]
#[case::length_twice(put_head("content-length: 1\r\ncontent-length: 2\r\n"), 400)]
#[case::length_and_chunks(put_head("content-length: 3\r\ntransfer-encoding: chunked\r\n"), 400)]
#[case::body_oversized(put_head("content-length: 9000000\r\n"), 400)]
#[case::head_slow("GET / HTTP/1.1\r\nhost: e".to_owned(), 408)]
#[case::body_slow(put_head("content-length: 100\r\n") + "{", 400)]
#[case::chunk_bad(put_head("transfer-encoding: chunked\r\n") + "zz\r\n", 400)]
fn bytes_refused(#[case] bytes: String, #[case] status: u16) {
    cases::with_entry(async |control, entry| {
        let reply = http_client::raw(entry.addr(), bytes.as_bytes()).await;
        assert_eq!(reply.expect("a response").status, status);
        assert_eq!(control.submissions(), 0);
    });
}

#[rstest]
#[case::in_head("PUT /v1/accounts/swan-coast/requests/r1 HTT".to_owned())]
#[case::before_body(put_head("content-length: 100\r\n"))]
#[case::in_body(put_head("content-length: 100\r\n") + r#"{"service": "#)]
#[case::in_chunk(put_head("transfer-encoding: chunked\r\n") + "40\r\n{")]
fn client_disconnects_within_request(#[case] bytes: String) {
    cases::with_entry(async |control, entry| {
        let mut socket = tokio::net::TcpStream::connect(entry.addr()).await.expect("a connection");
        socket.write_all(bytes.as_bytes()).await.expect("sent");
        drop(socket);
        assert_eq!(cases::get(entry, "/healthz").await.status, 200);
        assert_eq!(control.submissions(), 0);
    });
}

#[test]
fn client_that_reads_nothing_hurts_only_itself() {
    cases::with_entry(async |control, entry| {
        control.finish("swan-coast", "r1", &vec![7; 8 * 1024 * 1024]);
        let path = format!("{}/answer", cases::REQUEST_PATH);
        let bytes = head(&format!("GET {path} HTTP/1.1"), "");
        // The operating system could grow the receive buffer until it holds the whole answer.
        let slow = tokio::net::TcpSocket::new_v4().expect("a socket");
        slow.set_recv_buffer_size(64 * 1024).expect("a small buffer");
        let mut slow = slow.connect(entry.addr()).await.expect("a connection");
        slow.write_all(bytes.as_bytes()).await.expect("sent");
        let mut first = [0; 1];
        slow.read_exact(&mut first).await.expect("the response begins");
        let other = cases::get(entry, &path).await;
        assert!(other.complete);
        // This is more than twice the entry's write timeout of 400 ms.
        tokio::time::sleep(time::Duration::from_millis(900)).await;
        let mut rest = Vec::new();
        let _ = slow.read_to_end(&mut rest).await;
        let length = rest.len();
        assert!(length < 8 * 1024 * 1024, "the slow client was waited for: {length} bytes");
    });
}

#[test]
fn connections_bounded() {
    crate::support::run(async {
        let control = fake_control::FakeControl::start().await;
        let mut settings = cases::settings(&[control.addr()]);
        settings.limits.connections = 2;
        let entry = entry::Entry::start(settings).await.expect("an entry");
        cases::ready(&entry).await;
        let idle = async || tokio::net::TcpStream::connect(entry.addr()).await.expect("connected");
        let open = [idle().await, idle().await];
        let mut extra = idle().await;
        assert_eq!(extra.read(&mut [0]).await.ok(), Some(0), "the third is closed at once");
        // The entry accepts connections again once it has noticed that these are closed.
        drop(open);
        let bytes = b"GET /healthz HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n";
        while http_client::raw(entry.addr(), bytes).await.is_none() {}
        entry.stop().await;
        control.stop().await;
    });
}

#[test]
fn submissions_beyond_the_queue_refused() {
    cases::with_entry(async |control, entry| {
        let mut config = fake_control::config(2);
        config.accounts = vec![fake_control::account("swan-coast", 0)];
        control.shared.config.send_replace(config);
        while cases::get(entry, "/v1/status").await.json()["entry_revision"] != 2 {}
        let reply = cases::submit(entry, cases::REQUEST_PATH).await;
        assert_eq!(reply.status, 429);
        assert_eq!(reply.json()["verdict"], "not-run");
        assert!(reply.header("retry-after").is_some());
        assert_eq!(control.submissions(), 0);
        let again = cases::submit(entry, &format!("{}?resend=true", cases::REQUEST_PATH)).await;
        assert_eq!(again.json()["verdict"], "may-have-run");
    });
}

/// Guards against a `not-run` reply to an accepted request that is sent again, without `resend`,
/// while its account's queue is full. The response must be the job's state.
#[rstest]
#[case::in_flight(false, 202)]
#[case::ended(true, 200)]
fn resend_beyond_the_queue_shows_the_job(#[case] ended: bool, #[case] status: u16) {
    cases::with_entry(async |control, entry| {
        let first = cases::submit(entry, cases::REQUEST_PATH).await;
        assert_eq!(first.status, 202);
        if ended {
            control.finish("swan-coast", "r1", b"an answer");
        }
        let mut config = fake_control::config(2);
        config.accounts = vec![fake_control::account("swan-coast", 0)];
        control.shared.config.send_replace(config);
        while cases::get(entry, "/v1/status").await.json()["entry_revision"] != 2 {}
        let again = cases::submit(entry, cases::REQUEST_PATH).await;
        assert_eq!(again.status, status, "{again:?}");
        assert_eq!(control.submissions(), 1);
    });
}

/// Guards against a `not-run` refusal for a full queue while control does not reply, so that the
/// entry can't tell whether an earlier send was accepted.
#[test]
fn refusal_without_control_may_have_run() {
    cases::with_entry(async |control, entry| {
        let mut config = fake_control::config(2);
        config.accounts = vec![fake_control::account("swan-coast", 0)];
        control.shared.config.send_replace(config);
        while cases::get(entry, "/v1/status").await.json()["entry_revision"] != 2 {}
        control.script(|_, _| fake_control::Action::Send(Vec::new()));
        let reply = cases::submit(entry, cases::REQUEST_PATH).await;
        assert_eq!(reply.json()["verdict"], "may-have-run");
    });
}

#[rstest]
#[case::unknown_field(r#"{"number": 1, "tickets": {}}"#, "unknown field `tickets`")]
#[case::number_zero(r#"{"number": 0}"#, "number: must be 1 or more")]
#[case::nothing(r#"{"number": 1}"#, "touches nothing")]
#[case::account_twice(
    r#"{"number": 1, "workers": {"w1": {"drain": true}, "w1": {"drain": false}}}"#,
    "\"w1\" is given twice"
)]
#[case::set_and_dropped(
    r#"{"number": 1, "drop_accounts": ["a"],
        "accounts": {"a": {"guarantees": [], "weight": 1, "queue_limit": 1, "tokens": []}}}"#,
    "account/a: is set and dropped"
)]
#[case::dropped_twice(r#"{"number": 1, "drop_accounts": ["a", "a"]}"#, "account/a")]
#[case::name(r#"{"number": 1, "workers": {"a/b": {"drain": true}}}"#, "letters, digits")]
#[case::token(
    r#"{"number": 1, "accounts":
        {"a": {"guarantees": [], "weight": 1, "queue_limit": 1, "tokens": ["beef"]}}}"#,
    "accounts.a.tokens[0]: must be a SHA-256 digest"
)]
#[case::incomplete_state(r#"{"number": 1, "accounts": {"a": {"weight": 1}}}"#, "missing field")]
#[case::class(
    r#"{"number": 1, "services": {"s": {"kinds": {"k": {"class": "soon", "repeatable": true,
        "answer_limit": 1, "deadline_ms": 1}}}}}"#,
    "services.s.kinds.k.class: unknown variant `soon`"
)]
#[case::answer_limit(
    r#"{"number": 1, "services": {"s": {"kinds": {"k": {"class": "idle", "repeatable": true,
        "answer_limit": 9000000, "deadline_ms": 1}}}}}"#,
    "services.s.kinds.k.answer_limit: must be at most 8388608 bytes"
)]
#[case::guarantee(
    r#"{"number": 1, "accounts": {"a": {"guarantees": [{"tasks": 0, "accelerators": 1,
        "adjacency": "rack", "count": 1}], "weight": 1, "queue_limit": 1, "tokens": []}}}"#,
    "accounts.a.guarantees[0].tasks: must be 1 to 1024"
)]
#[case::replica(r#"{"number": 1, "replicas": {"01": "127.0.0.1:1"}}"#, "must be a number from 1")]
#[case::replica_addr(r#"{"number": 1, "replicas": {"1": "perth"}}"#, "replicas.1: invalid socket")]
fn ticket_refused(#[case] body: &str, #[case] words: &str) {
    cases::with_entry(async |control, entry| {
        for path in ["/v1/tickets", "/v1/tickets/plan"] {
            let token = fake_control::TOKEN;
            let reply = http_client::send(entry.addr(), "POST", path, token, body).await;
            assert_eq!(reply.status, 400, "{reply:?}");
            let detail = reply.json()["detail"].as_str().expect("a detail").to_owned();
            assert!(detail.contains(words), "{detail}");
        }
        assert!(control.shared.calls.borrow().is_empty());
    });
}

#[test]
fn ticket_digest_ignores_order_and_space() {
    cases::with_entry(async |_, entry| {
        let one = r#"{"number": 3, "workers": {"w1": {"drain": true}, "w2": {"drain": false}}}"#;
        let two = r#"{"workers":{"w2":{"drain":false},"w1":{"drain":true}},"number":3}"#;
        let three = r#"{"workers":{"w2":{"drain":true},"w1":{"drain":true}},"number":3}"#;
        let digest = async |body| {
            let token = fake_control::TOKEN;
            let reply = http_client::send(entry.addr(), "POST", "/v1/tickets", token, body).await;
            reply.json()["digest"].as_str().expect("a digest").to_owned()
        };
        assert_eq!(digest(one).await, digest(two).await);
        assert_ne!(digest(one).await, digest(three).await);
    });
}
