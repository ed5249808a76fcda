//! The body of a submission and its conversion to a job specification.

use crate::core::account;
use crate::core::ledger::job;
use crate::core::time;
use crate::core::verdict;
use crate::entry::caller;
use crate::entry::document;
use crate::entry::input;
use crate::entry::state;

/// The deadline sent for a kind of work that this entry does not know. Control refuses such a
/// submission unless it knows the key, and then ignores the deadline.
const UNKNOWN_DEADLINE: time::Millis = time::HOUR;

/// The JSON body of a submission.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    service: String,
    kind: String,
    #[serde(default = "one")]
    tasks: u32,
    #[serde(default)]
    accelerators: u32,
    #[serde(default)]
    adjacency: document::Adjacency,
    run_time_ms: u64,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default)]
    due: Option<u64>,
    #[serde(default)]
    payload: Payload,
}

/// The payload for the backend server: a JSON string is sent as its text, any other JSON value in
/// compact form.
#[derive(Debug, serde::Deserialize)]
#[serde(untagged)]
enum Payload {
    Text(String),
    Json(serde_json::Value),
}

impl Default for Payload {
    fn default() -> Self {
        Self::Text(String::new())
    }
}

fn one() -> u32 {
    1
}

impl Submission {
    /// Converts the body to a job specification, or refuses it if a value is invalid.
    pub fn into_spec(
        self,
        state: &state::State,
        target: &caller::Target,
    ) -> Result<job::Spec, verdict::Refusal> {
        let shape = document::check_shape("request", self.tasks, self.accelerators, self.adjacency);
        let payload = match self.payload {
            Payload::Text(text) => text.into_bytes(),
            Payload::Json(value) => value.to_string().into_bytes(),
        };
        if payload.len() > job::MAX_PAYLOAD_BYTES {
            return Err(input::bad_request(format!(
                "payload: must have at most {} bytes",
                job::MAX_PAYLOAD_BYTES
            )));
        }
        if self.run_time_ms == 0 {
            return Err(input::bad_request("run_time_ms: must be 1 or more"));
        }
        let config = state.config()?;
        let kind = config.kind(&self.service, &self.kind);
        let deadline = deadline(self.deadline_ms, self.due, kind)?;
        Ok(job::Spec {
            account: target.account.clone(),
            service: self.service,
            kind: self.kind,
            key: target.key.clone(),
            shape: shape.map_err(|error| input::bad_request(error.to_string()))?,
            run_time: time::Millis(self.run_time_ms),
            deadline,
            payload,
        })
    }
}

fn deadline(
    relative: Option<u64>,
    due: Option<u64>,
    kind: Option<&account::Kind>,
) -> Result<time::Wall, verdict::Refusal> {
    let now = state::now();
    match (relative, due) {
        (Some(_), Some(_)) => Err(input::bad_request("deadline_ms and due: give one of them")),
        (Some(0), None) => Err(input::bad_request("deadline_ms: must be 1 or more")),
        (Some(span), None) => Ok(now + time::Millis(span)),
        (None, Some(due)) => Ok(time::Wall(due)),
        (None, None) => Ok(now + kind.map_or(UNKNOWN_DEADLINE, |kind| kind.deadline)),
    }
}
