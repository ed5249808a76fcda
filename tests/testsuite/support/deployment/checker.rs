//! Compares the outcomes that callers received with the tasks that the backend servers ran.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time;

use futures_util::future;
use hemlockcleat::standin::record;
use serde_json::json;

use crate::support::deployment::client;
use crate::support::deployment::cluster;
use crate::support::deployment::cluster::Cluster;

/// Wait time of a request, for which an entry waits for its end.
const REQUEST_WAIT: time::Duration = time::Duration::from_secs(15);

/// A request, and the response to its first send.
pub struct SentRequest {
    key: String,
    kind: &'static str,
    request: serde_json::Value,
    first: Option<client::Response>,
}

impl SentRequest {
    /// Creates a request without a response.
    pub fn new(key: &str, kind: &'static str) -> Self {
        Self { key: key.to_owned(), kind, request: request(0, kind, 20), first: None }
    }

    /// Returns the request's key.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns whether the first send got a complete response.
    pub fn answered(&self) -> bool {
        self.first.is_some()
    }

    /// Returns whether the first send was accepted.
    pub fn accepted(&self) -> bool {
        self.first.as_ref().is_some_and(|response| matches!(response.status, 200 | 202))
    }
}

/// Returns a request for one task that runs for `run_ms`; its payload contains its number.
fn request(number: usize, kind: &str, run_ms: u64) -> serde_json::Value {
    json!({
        "service": cluster::SERVICE,
        "kind": kind,
        "accelerators": 1,
        "run_time_ms": run_ms.max(1),
        "payload": json!({"run_ms": run_ms, "number": number}).to_string(),
    })
}

/// Sends `count` requests concurrently, distributed over the entries; every second one is of a kind
/// that may not be repeated. Returns when each has its response or has lost its connection.
pub async fn send(
    caller: &cluster::Caller,
    prefix: &str,
    count: usize,
    run_ms: u64,
    wait: time::Duration,
) -> Vec<SentRequest> {
    let requests = (0..count).map(|number| async move {
        let kind = if number % 2 == 0 { cluster::REPEATABLE } else { cluster::ONCE };
        let key = format!("{prefix}-{number}");
        let request = request(number, kind, run_ms);
        let entry = number % caller.entries.len();
        let first = caller.submit(entry, &key, &request, wait).await;
        SentRequest { key, kind, request, first }
    });
    future::join_all(requests).await
}

/// The final outcome of a request as its caller received it.
#[derive(Debug)]
pub struct Outcome {
    /// `done`, or the verdict of the refusal.
    pub label: String,
    /// Whether the same request may be sent again.
    pub retryable: bool,
    /// Bytes of the answer.
    pub answer: Vec<u8>,
}

/// Number of requests by kind of work and outcome.
pub type Counts = BTreeMap<(&'static str, String), usize>;

/// Returns the number of requests of these kinds with this outcome.
pub fn count(counts: &Counts, kinds: &[&str], label: &str) -> usize {
    let counted = counts.iter().filter(|((kind, found), _)| kinds.contains(kind) && found == label);
    counted.map(|(_, count)| count).sum()
}

/// Waits for the end of every request, and compares its outcome with the tasks that ran.
pub async fn check(cluster: &Cluster, sent: &[SentRequest]) -> Counts {
    let caller = cluster.caller();
    let outcomes = future::join_all(sent.iter().map(|sent| wait_for_end(&caller, sent))).await;
    let record = cluster.record();
    let mut counts = Counts::new();
    for (sent, outcome) in sent.iter().zip(&outcomes) {
        check_one(sent, outcome, &record);
        *counts.entry((sent.kind, outcome.label.clone())).or_insert(0) += 1;
    }
    check_hours(cluster).await;
    counts
}

/// Retries a request under its key until it has ended.
async fn wait_for_end(caller: &cluster::Caller, sent: &SentRequest) -> Outcome {
    // A caller that receives `not-run` may give up, so the request must not run later either.
    if let Some(outcome) = sent.first.as_ref().and_then(refusal)
        && (outcome.label == "not-run" || !outcome.retryable)
    {
        return outcome;
    }
    let deadline = tokio::time::Instant::now() + 3 * cluster::WAIT_TIMEOUT;
    loop {
        assert!(tokio::time::Instant::now() < deadline, "{} does not end", sent.key);
        let response = caller.resubmit(0, &sent.key, &sent.request, REQUEST_WAIT).await;
        match response {
            Some(response) if response.status == 200 => {
                return end_outcome(caller, sent, &response).await;
            }
            Some(response) => {
                if let Some(outcome) = refusal(&response).filter(|outcome| !outcome.retryable) {
                    return outcome;
                }
            }
            None => {}
        }
        tokio::time::sleep(time::Duration::from_millis(200)).await;
    }
}

/// Returns the outcome of a refusal, or `None` if the response isn't a refusal.
fn refusal(response: &client::Response) -> Option<Outcome> {
    let body = response.json();
    let label = body["verdict"].as_str()?.to_owned();
    let retryable = body["retryable"].as_bool()?;
    Some(Outcome { label, retryable, answer: Vec::new() })
}

/// Returns the outcome of a request that has ended; fetches its answer.
async fn end_outcome(
    caller: &cluster::Caller,
    sent: &SentRequest,
    response: &client::Response,
) -> Outcome {
    let job = response.json();
    let end = &job["end"];
    if end["outcome"] != "done" {
        let label = end["verdict"].as_str().expect("a refusal has a verdict");
        // Shown only if the test fails.
        eprintln!("{}: {end}", sent.key);
        return Outcome { label: label.to_owned(), retryable: false, answer: Vec::new() };
    }
    let mut answer = None;
    let fetched = async {
        while answer.is_none() {
            let response = caller.answer(0, &sent.key).await;
            answer = response.filter(|response| response.status == 200);
        }
    };
    tokio::time::timeout(cluster::WAIT_TIMEOUT, fetched).await.expect("the answer in time");
    let answer = answer.expect("the loop ends with one").body;
    assert_eq!(Some(answer.len() as u64), end["length"].as_u64(), "{}: complete answer", sent.key);
    Outcome { label: "done".to_owned(), retryable: false, answer }
}

/// Compares the outcome of one request with the tasks that ran.
pub fn check_one(sent: &SentRequest, outcome: &Outcome, record: &[record::Run]) {
    let key = &sent.key;
    let runs: Vec<_> = record.iter().filter(|run| run.key == *key).collect();
    let attempts: BTreeSet<_> = runs.iter().map(|run| run.task.as_str()).collect();
    assert_eq!(attempts.len(), runs.len(), "{key}: no task started twice: {runs:?}");
    if sent.kind == cluster::ONCE {
        assert!(runs.len() <= 1, "{key}: at most once: {runs:?}");
    }
    match outcome.label.as_str() {
        "not-run" => assert!(runs.is_empty(), "{key}: outcome not-run, but ran: {runs:?}"),
        "done" => check_answer(sent, outcome, &runs),
        "may-have-run" | "ran" => {}
        label => panic!("{key}: unknown outcome {label}"),
    }
}

fn check_answer(sent: &SentRequest, outcome: &Outcome, runs: &[&record::Run]) {
    let key = &sent.key;
    let answer: serde_json::Value = serde_json::from_slice(&outcome.answer).expect("a JSON answer");
    assert_eq!(answer["key"], key.as_str(), "its own answer");
    assert_eq!(answer["payload"], sent.request["payload"], "{key}: its own answer");
    let attempt = answer["attempt"].as_str().expect("the attempt");
    let ran = runs
        .iter()
        .any(|run| run.task == format!("{attempt}.0") && run.end == Some(record::End::Done));
    assert!(ran, "{key}: answered by {attempt}, which did not end well: {runs:?}");
}

/// Checks that the status page's data includes the current hour of the service.
async fn check_hours(cluster: &Cluster) {
    cluster
        .wait_until("the hours are fresh and include the service", async || {
            let Some(hours) = cluster.get(0, "/v1/hours").await else { return false };
            let rows = hours["services"][cluster::SERVICE].as_array();
            let as_of = hours["as_of"].as_u64().unwrap_or_default();
            let hour = as_of - as_of % 3_600_000;
            hours["fresh"] == true
                && rows.is_some_and(|rows| rows.iter().any(|row| row["hour"] == hour))
        })
        .await;
}
