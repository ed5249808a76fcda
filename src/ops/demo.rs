//! Demo that starts a complete deployment on loopback and submits two requests: a gang, and a job
//! that must not be repeated.

use std::time;

use quick_error::quick_error;
use serde_json::Value;
use sha2::Digest as _;

use crate::core::ledger::tickets;
use crate::ops::local;

/// Timeout of each step of the demo.
const STEP_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Interval between polls of the entry.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// The operators' bearer token.
const OPERATOR: &str = "demo-operator";

/// The client account's bearer token.
const CALLER: &str = "demo-caller";

/// Name and rack of each worker.
const WORKERS: [(&str, &str); 4] = [("w1", "r1"), ("w2", "r1"), ("w3", "r1"), ("w4", "r2")];

quick_error! {
    /// An error that ends the demo.
    #[derive(Debug)]
    pub enum Error {
        /// The deployment did not start.
        Start(source: local::Error) {
            display("the deployment did not start: {}", source)
            source(source)
            from()
        }
        /// The temporary folder for the control replicas' data can't be created.
        Folder(source: std::io::Error) {
            display("no temporary folder: {}", source)
            source(source)
            from()
        }
        /// A request to the entry failed, or its reply is invalid.
        Http(step: &'static str, detail: String) {
            display("{}: {}", step, detail)
        }
        /// The entry replied with an error status.
        Status(step: &'static str, status: u16, body: String) {
            display("{}: status {}: {}", step, status, body)
        }
        /// A step did not complete before its timeout.
        Timeout(step: &'static str, last: String) {
            display("{} took longer than {} s; last seen: {}", step, STEP_TIMEOUT.as_secs(), last)
        }
    }
}

/// Runs the demo and prints its progress and results.
pub async fn exec() -> Result<(), Error> {
    let folder = tempfile::tempdir()?;
    let plan = local::Plan {
        folder: folder.path(),
        replicas: 3,
        workers: &WORKERS,
        service: "booking",
        operator: &digest(OPERATOR),
    };
    let deployment = local::Deployment::start(&plan).await?;
    let client = Client::new(format!("http://{}", deployment.entry.addr()));
    let result = run(&client).await;
    deployment.stop().await;
    result
}

async fn run(client: &Client) -> Result<(), Error> {
    println!("three control replicas, an entry and four workers on loopback");
    client.poll_until("workers to register", "/v1/workers", all_alive).await?;
    let revision = client.post("apply the ticket", "/v1/tickets", &ticket()).await?;
    println!("ticket 1 in force at revision {}", revision["revision"]);
    let gang = client.request("rebuild-joondalup", &rebuild()).await?;
    print_answer(client, "gang of 3 tasks, 8 accelerators each, in one rack", &gang).await?;
    let single = client.request("follow-up-17", &follow_up()).await?;
    print_answer(client, "follow-up that may not be repeated", &single).await?;
    print_hour(client).await
}

fn all_alive(workers: &Value) -> bool {
    let workers = workers.as_array().or_else(|| workers["workers"].as_array());
    let alive = |worker: &&Value| worker["alive"] == true;
    workers.is_some_and(|list| list.iter().filter(alive).count() == WORKERS.len())
}

fn ticket() -> Value {
    serde_json::json!({
        "number": 1,
        "services": {"booking": {"kinds": {
            "rebuild": {
                "class": "scheduled", "repeatable": true, "checkpoint_ms": 500,
                "answer_limit": 1_048_576, "deadline_ms": 60_000
            },
            "follow-up": {
                "class": "deferred", "repeatable": false,
                "answer_limit": 65_536, "deadline_ms": 60_000
            }
        }}},
        "accounts": {"valeters": {
            "guarantees": [{"tasks": 3, "accelerators": 8, "adjacency": "rack", "count": 1}],
            "weight": 1, "queue_limit": 100, "tokens": [digest(CALLER)]
        }}
    })
}

fn rebuild() -> Value {
    serde_json::json!({
        "service": "booking", "kind": "rebuild", "tasks": 3, "accelerators": 8,
        "adjacency": "rack", "run_time_ms": 200, "payload": "rounds of Joondalup"
    })
}

fn follow_up() -> Value {
    serde_json::json!({
        "service": "booking", "kind": "follow-up", "tasks": 1, "accelerators": 0,
        "run_time_ms": 20, "payload": "thank customer 17"
    })
}

async fn print_answer(client: &Client, title: &str, job: &Value) -> Result<(), Error> {
    println!("{title}:");
    for place in job["places"].as_array().into_iter().flatten() {
        println!(
            "  worker {} in rack {}, tasks: {}",
            text(&place["worker"]),
            text(&place["rack"]),
            place["tasks"]
        );
    }
    let path = format!("/v1/accounts/valeters/requests/{}/answer", text(&job["key"]));
    let answer = client.get("fetch the answer", &path, CALLER).await?;
    println!("  answer: {}", String::from_utf8_lossy(&answer));
    Ok(())
}

async fn print_hour(client: &Client) -> Result<(), Error> {
    let both = |page: &Value| hours(page).map(|hour| number(&hour["done"])).sum::<u64>() == 2;
    let page = client.poll_until("the status page to show both", "/v1/hours", both).await?;
    println!("status page:");
    for hour in hours(&page).filter(|hour| number(&hour["promised"]) > 0) {
        println!(
            "  booking, hour from {} UTC: promised {}, done {}, late {}, refused {}, may have run {}",
            text(&hour["start"]),
            hour["promised"],
            hour["done"],
            hour["late"],
            hour["refused"],
            hour["may_have_run"]
        );
    }
    Ok(())
}

fn hours(page: &Value) -> impl Iterator<Item = &Value> {
    page["services"]["booking"].as_array().into_iter().flatten()
}

fn number(value: &Value) -> u64 {
    value.as_u64().unwrap_or(0)
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn digest(token: &str) -> String {
    tickets::hex(&sha2::Sha256::digest(token))
}

/// HTTP client of the entry, for the client account and the operator.
struct Client {
    base: String,
    http: awc::Client,
}

impl Client {
    fn new(base: String) -> Self {
        let http = awc::Client::builder().timeout(STEP_TIMEOUT).finish();
        Self { base, http }
    }

    /// Submits a request and waits for its end; returns the job as the entry shows it.
    async fn request(&self, key: &str, body: &Value) -> Result<Value, Error> {
        const STEP: &str = "submit the request and wait for it";
        let path = format!("/v1/accounts/valeters/requests/{key}?wait=15000");
        let request = self.http.put(format!("{}{path}", self.base)).bearer_auth(CALLER);
        let bytes = read(STEP, request.send_json(body)).await;
        let job = bytes.and_then(|bytes| json(STEP, &bytes))?;
        if job["end"]["outcome"] == "done" {
            return Ok(job);
        }
        Err(Error::Timeout(STEP, job.to_string()))
    }

    async fn post(&self, step: &'static str, path: &str, body: &Value) -> Result<Value, Error> {
        let request = self.http.post(format!("{}{path}", self.base)).bearer_auth(OPERATOR);
        let bytes = read(step, request.send_json(body)).await?;
        json(step, &bytes)
    }

    async fn get(&self, step: &'static str, path: &str, token: &str) -> Result<Vec<u8>, Error> {
        let request = self.http.get(format!("{}{path}", self.base)).bearer_auth(token);
        read(step, request.send()).await
    }

    /// Polls a path until the reply meets a condition.
    async fn poll_until(
        &self,
        step: &'static str,
        path: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> Result<Value, Error> {
        let start = time::Instant::now();
        loop {
            let seen = match self.get(step, path, OPERATOR).await {
                Ok(bytes) => json(step, &bytes)?,
                Err(error) => Value::String(error.to_string()),
            };
            if condition(&seen) {
                return Ok(seen);
            }
            if start.elapsed() > STEP_TIMEOUT {
                return Err(Error::Timeout(step, seen.to_string()));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn read(step: &'static str, sent: awc::SendClientRequest) -> Result<Vec<u8>, Error> {
    let mut response = sent.await.map_err(|error| Error::Http(step, error.to_string()))?;
    let status = response.status();
    let body = response.body().await.map_err(|error| Error::Http(step, error.to_string()))?;
    if !status.is_success() {
        let body = String::from_utf8_lossy(&body).into_owned();
        return Err(Error::Status(step, status.as_u16(), body));
    }
    Ok(body.to_vec())
}

fn json(step: &'static str, bytes: &[u8]) -> Result<Value, Error> {
    serde_json::from_slice(bytes).map_err(|error| Error::Http(step, error.to_string()))
}
