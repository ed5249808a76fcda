//! Compares what callers were told with what the backend servers really ran.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time;

use futures_util::future;
use hemlockcleat::standin::record;
use serde_json::json;

use crate::support::deployment::client;
use crate::support::deployment::cluster;
use crate::support::deployment::cluster::Cluster;

/// How long a caller lets an entry wait for the end of its request.
const WAIT: time::Duration = time::Duration::from_secs(15);

/// A request, and what its caller was told at the first send.
pub struct Sent {
    key: String,
    kind: &'static str,
    request: serde_json::Value,
    first: Option<client::Response>,
}

impl Sent {
    /// A request that has not been answered.
    pub fn new(key: &str, kind: &'static str) -> Self {
        Self { key: key.to_owned(), kind, request: request(0, kind, 20), first: None }
    }

    /// The request's key.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Whether the first send got a whole response.
    pub fn answered(&self) -> bool {
        self.first.is_some()
    }

    /// Whether the first send was accepted.
    pub fn accepted(&self) -> bool {
        self.first.as_ref().is_some_and(|response| matches!(response.status, 200 | 202))
    }
}

/// A request of one task that runs for `run_ms`, and the number of which is its payload too.
fn request(number: usize, kind: &str, run_ms: u64) -> serde_json::Value {
    json!({
        "service": cluster::SERVICE,
        "kind": kind,
        "accelerators": 1,
        "run_time_ms": run_ms.max(1),
        "payload": json!({"run_ms": run_ms, "number": number}).to_string(),
    })
}

/// Sends so many requests at once, every second one of a kind that may not be repeated, spread
/// over the entries. Returns when each has its response or has lost its connection.
pub async fn send(
    caller: &cluster::Caller,
    prefix: &str,
    count: usize,
    run_ms: u64,
    wait: time::Duration,
) -> Vec<Sent> {
    let requests = (0..count).map(|number| async move {
        let kind = if number % 2 == 0 { cluster::REPEATABLE } else { cluster::ONCE };
        let key = format!("{prefix}-{number}");
        let request = request(number, kind, run_ms);
        let entry = number % caller.entries.len();
        let first = caller.submit(entry, &key, &request, wait).await;
        Sent { key, kind, request, first }
    });
    future::join_all(requests).await
}

/// How one request ended, as its caller learns it in the end.
#[derive(Debug)]
pub struct Told {
    /// `done`, or the verdict of the refusal.
    pub word: String,
    /// Whether the same request may be sent again.
    pub retryable: bool,
    /// The answer's bytes.
    pub answer: Vec<u8>,
}

/// Requests by kind of work and by how they ended.
pub type Words = BTreeMap<(&'static str, String), usize>;

/// How many requests of a kind, or of both, ended with this word.
pub fn count(words: &Words, kinds: &[&str], word: &str) -> usize {
    let counted = words.iter().filter(|((kind, found), _)| kinds.contains(kind) && found == word);
    counted.map(|(_, count)| count).sum()
}

/// Follows every request to its end, and holds what was told against what ran.
pub async fn check(cluster: &Cluster, sent: &[Sent]) -> Words {
    let caller = cluster.caller();
    let told = future::join_all(sent.iter().map(|sent| settle(&caller, sent))).await;
    let record = cluster.record();
    let mut words = Words::new();
    for (sent, told) in sent.iter().zip(&told) {
        check_one(sent, told, &record);
        *words.entry((sent.kind, told.word.clone())).or_insert(0) += 1;
    }
    check_hours(cluster).await;
    words
}

/// Sends a request again under its key until it has ended, as a careful caller does.
async fn settle(caller: &cluster::Caller, sent: &Sent) -> Told {
    // A caller that is told not-run may give up for good: then it must not run later either.
    if let Some(told) = sent.first.as_ref().and_then(refusal)
        && (told.word == "not-run" || !told.retryable)
    {
        return told;
    }
    let deadline = tokio::time::Instant::now() + 3 * cluster::PATIENCE;
    loop {
        assert!(tokio::time::Instant::now() < deadline, "{} does not end", sent.key);
        let response = caller.resubmit(0, &sent.key, &sent.request, WAIT).await;
        match response {
            Some(response) if response.status == 200 => {
                return ended(caller, sent, &response).await;
            }
            Some(response) => {
                if let Some(told) = refusal(&response).filter(|told| !told.retryable) {
                    return told;
                }
            }
            None => {}
        }
        tokio::time::sleep(time::Duration::from_millis(200)).await;
    }
}

/// What a refusal tells; none if the response is something else.
fn refusal(response: &client::Response) -> Option<Told> {
    let body = response.json();
    let word = body["verdict"].as_str()?.to_owned();
    let retryable = body["retryable"].as_bool()?;
    Some(Told { word, retryable, answer: Vec::new() })
}

async fn ended(caller: &cluster::Caller, sent: &Sent, response: &client::Response) -> Told {
    let job = response.json();
    let end = &job["end"];
    if end["outcome"] != "done" {
        let word = end["verdict"].as_str().expect("a refusal has a verdict");
        // Shown only if the test fails.
        eprintln!("{}: {end}", sent.key);
        return Told { word: word.to_owned(), retryable: false, answer: Vec::new() };
    }
    let mut answer = None;
    let fetched = async {
        while answer.is_none() {
            let response = caller.answer(0, &sent.key).await;
            answer = response.filter(|response| response.status == 200);
        }
    };
    tokio::time::timeout(cluster::PATIENCE, fetched).await.expect("the answer in time");
    let answer = answer.expect("the loop ends with one").body;
    assert_eq!(Some(answer.len() as u64), end["length"].as_u64(), "{}: whole", sent.key);
    Told { word: "done".to_owned(), retryable: false, answer }
}

/// Holds what one caller was told against what ran.
pub fn check_one(sent: &Sent, told: &Told, record: &[record::Run]) {
    let key = &sent.key;
    let runs: Vec<_> = record.iter().filter(|run| run.key == *key).collect();
    let attempts: BTreeSet<_> = runs.iter().map(|run| run.task.as_str()).collect();
    assert_eq!(attempts.len(), runs.len(), "{key}: no task started twice: {runs:?}");
    if sent.kind == cluster::ONCE {
        assert!(runs.len() <= 1, "{key}: at most once: {runs:?}");
    }
    match told.word.as_str() {
        "not-run" => assert!(runs.is_empty(), "{key}: told not-run, but ran: {runs:?}"),
        "done" => check_answer(sent, told, &runs),
        "may-have-run" | "ran" => {}
        word => panic!("{key}: unknown outcome {word}"),
    }
}

fn check_answer(sent: &Sent, told: &Told, runs: &[&record::Run]) {
    let key = &sent.key;
    let answer: serde_json::Value = serde_json::from_slice(&told.answer).expect("a JSON answer");
    assert_eq!(answer["key"], key.as_str(), "its own answer");
    assert_eq!(answer["payload"], sent.request["payload"], "{key}: its own answer");
    let attempt = answer["attempt"].as_str().expect("the attempt");
    let ran = runs
        .iter()
        .any(|run| run.task == format!("{attempt}.0") && run.end == Some(record::End::Done));
    assert!(ran, "{key}: answered by {attempt}, which did not end well: {runs:?}");
}

/// The current hour of the service has a record.
async fn check_hours(cluster: &Cluster) {
    cluster
        .until("the hours are fresh and hold the service", async || {
            let Some(hours) = cluster.operate(0, "/v1/hours").await else { return false };
            let rows = hours["services"][cluster::SERVICE].as_array();
            let as_of = hours["as_of"].as_u64().unwrap_or_default();
            let hour = as_of - as_of % 3_600_000;
            hours["fresh"] == true
                && rows.is_some_and(|rows| rows.iter().any(|row| row["hour"] == hour))
        })
        .await;
}
