//! The HTTP contract between a backend server and the agent beside it: JSON bodies and headers.
//!
//! `docs/BACKEND.md` describes it for people who write backend servers.

use std::fmt;
use std::str;

use crate::core::ids;
use crate::core::ledger::job;
use crate::core::shape;
use crate::macros;
use crate::wire::agent;
use crate::wire::common;

/// The agent's path for announcements of the backend server.
pub const ANNOUNCE_PATH: &str = "/v1/announce";

/// The header that names the task in every response about a task.
pub const TASK_HEADER: &str = "hemlockcleat-task";

/// Size limit of an announcement.
pub const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;

/// Length limit of a name or URL in an announcement.
const MAX_NAME_BYTES: usize = 128;

/// Limit of services in an announcement.
const MAX_SERVICES: usize = 64;

/// Limit of each countable resource of a worker.
const MAX_UNITS: u32 = 65_536;

/// Memory limit of a worker.
const MAX_MEMORY_MIB: u64 = 1 << 30;

/// Permitted speeds of a worker, in percent of the reference worker.
const SPEED_PERCENT_RANGE: std::ops::RangeInclusive<u32> = 1..=10_000;

macros::copy_types! {
    /// One task of an attempt, which is the unit that a backend server runs.
    pub struct TaskKey {
        /// The attempt that the task belongs to.
        pub attempt: ids::AttemptKey,
        /// The task's number within the gang, from 0.
        pub index: u32,
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.attempt, self.index)
    }
}

impl str::FromStr for TaskKey {
    type Err = Malformed;

    /// Parses `JOB.ATTEMPT.INDEX`; accepts only the form that [`fmt::Display`] writes.
    fn from_str(text: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed { field: "task", detail: "must be JOB.ATTEMPT.INDEX" };
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(malformed);
        let job = next()?.parse().map_err(|_| malformed())?;
        let number = next()?.parse().map_err(|_| malformed())?;
        let index = next()?.parse().map_err(|_| malformed())?;
        let attempt = ids::AttemptKey { job: ids::JobKey(job), number };
        let key = TaskKey { attempt, index };
        if key.to_string() == text { Ok(key) } else { Err(malformed()) }
    }
}

macros::value_types! {
    /// A value that the contract does not permit.
    pub struct Malformed {
        /// The name of the invalid field.
        pub field: &'static str,
        /// A description of the permitted values.
        pub detail: &'static str,
    }

    /// The body of `PUT /v1/announce`.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(deny_unknown_fields)]
    pub struct Announcement {
        /// The worker's name, unique within the cell.
        pub name: String,
        /// The worker's data centre.
        pub data_center: String,
        /// The worker's rack within the data centre.
        pub rack: String,
        /// The services that the worker offers.
        pub services: Vec<String>,
        /// Limit of tasks running at once.
        pub slots: u32,
        /// Limit of connections open at once.
        pub connections: u32,
        /// The number of accelerators.
        pub accelerators: u32,
        /// The number of processor cores.
        pub processors: u32,
        /// Memory, in MiB.
        pub memory_mib: u64,
        /// Speed relative to the reference worker, in percent.
        pub speed_percent: u32,
        /// The base URL of the backend server, such as `http://127.0.0.1:9000`.
        pub url: String,
        /// Whether the worker is leaving and accepts no new work.
        #[serde(default)]
        pub leaving: bool,
        /// The current usage, which may lag.
        #[serde(default)]
        pub usage: Usage,
    }

    /// The current resource usage of a backend server.
    #[derive(Copy, Default, serde::Deserialize, serde::Serialize)]
    #[serde(deny_unknown_fields, default)]
    pub struct Usage {
        /// The number of running tasks.
        pub tasks: u32,
        /// The number of open connections.
        pub connections: u32,
        /// The number of accelerators in use.
        pub accelerators: u32,
    }

    /// The response to an announcement: a lease that begins when the announcement was sent.
    #[derive(Copy, serde::Deserialize, serde::Serialize)]
    pub struct Lease {
        /// The fencing token. The backend server may accept only a start with the token of the
        /// latest response.
        pub fence: u64,
        /// How long tasks may run without another response, in milliseconds; 0 if the lease is not
        /// renewed.
        pub lease_ms: u64,
        /// The interval at which the announcement has to be repeated, in milliseconds.
        pub repeat_ms: u64,
    }

    /// The query of `PUT {url}/tasks/{task}`; the body is the unmodified payload.
    #[derive(serde::Deserialize, serde::Serialize)]
    pub struct Start {
        /// The service that the task belongs to.
        pub service: String,
        /// The kind of work.
        pub kind: String,
        /// The caller's idempotency key.
        pub key: String,
        /// The number of tasks of the whole gang.
        pub gang: u32,
        /// The number of accelerators for this task.
        pub accelerators: u32,
        /// Size limit of the answer, in bytes.
        pub answer_limit: u64,
        /// The fencing token of the lease under which the task runs.
        pub fence: u64,
    }

    /// The status of a task, as the backend server reports it.
    #[derive(serde::Deserialize, serde::Serialize)]
    pub struct Status {
        /// The key of the task, as [`TaskKey`] writes it.
        pub task: String,
        /// The state of the task.
        pub state: State,
        /// An explanation for people, such as the reason of a failure.
        #[serde(default)]
        pub detail: String,
        /// The length of the answer in bytes; set only for a task that is done.
        #[serde(default)]
        pub length: u64,
        /// The SHA-256 digest of the answer in hexadecimal; set only for a task that is done.
        #[serde(default)]
        pub sha256: String,
    }

    /// The states of a task.
    #[derive(Copy, serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum State {
        /// The task runs.
        Running,
        /// The task succeeded and its answer is complete.
        Done,
        /// The task failed.
        Failed,
        /// The task was stopped, by order or because the lease expired.
        Stopped,
    }

    /// The refusal of a start by the backend server.
    #[derive(serde::Deserialize, serde::Serialize)]
    pub struct Refused {
        /// The kind of refusal.
        pub error: Refusal,
        /// An explanation for people.
        #[serde(default)]
        pub detail: String,
    }

    /// The kinds of refusal of a start; with each of them, this start has not happened.
    #[derive(Copy, serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// The backend server holds no lease, or a lease with another fencing token. The start may
        /// be retried.
        NoLease,
        /// The task was stopped before its start arrived.
        Stopped,
        /// The backend server does not accept the task.
        Refused,
    }

    /// The body of the response to `GET {url}/tasks`: every task that the backend server holds.
    #[derive(serde::Deserialize, serde::Serialize)]
    pub struct List {
        /// The keys of the tasks, as [`TaskKey`] writes them.
        pub tasks: Vec<String>,
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.detail)
    }
}

impl std::error::Error for Malformed {}

/// Returns an error for the field unless `ok`.
fn require(ok: bool, field: &'static str, detail: &'static str) -> Result<(), Malformed> {
    if ok { Ok(()) } else { Err(Malformed { field, detail }) }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}

impl Announcement {
    /// Checks the values, which the JSON format does not restrict.
    pub fn check(&self) -> Result<(), Malformed> {
        const NAME: &str = "must be 1 to 128 of a-z, A-Z, 0-9, '-', '_', '.'";
        const UNITS: &str = "must be 65536 or less";
        const NONZERO_UNITS: &str = "must be 1 to 65536";
        require(is_name(&self.name), "name", NAME)?;
        require(is_name(&self.data_center), "data_center", NAME)?;
        require(is_name(&self.rack), "rack", NAME)?;
        let services = (1..=MAX_SERVICES).contains(&self.services.len());
        require(services, "services", "must name 1 to 64 services")?;
        require(self.services.iter().all(|name| is_name(name)), "services", NAME)?;
        require((1..=MAX_UNITS).contains(&self.slots), "slots", NONZERO_UNITS)?;
        require((1..=MAX_UNITS).contains(&self.connections), "connections", NONZERO_UNITS)?;
        require(self.accelerators <= MAX_UNITS, "accelerators", UNITS)?;
        require(self.processors <= MAX_UNITS, "processors", UNITS)?;
        require(self.memory_mib <= MAX_MEMORY_MIB, "memory_mib", "must be 1073741824 or less")?;
        require(
            SPEED_PERCENT_RANGE.contains(&self.speed_percent),
            "speed_percent",
            "must be 1 to 10000",
        )?;
        let url = self.url.strip_prefix("http://").is_some_and(|rest| !rest.is_empty());
        require(url && self.url.len() <= MAX_NAME_BYTES, "url", "must be http://HOST:PORT")
    }
}

impl From<&Announcement> for common::WorkerSpec {
    fn from(announcement: &Announcement) -> Self {
        let mut services = announcement.services.clone();
        services.sort();
        services.dedup();
        Self {
            name: announcement.name.clone(),
            data_center: announcement.data_center.clone(),
            rack: announcement.rack.clone(),
            services,
            slots: announcement.slots,
            connections: announcement.connections,
            accelerators: announcement.accelerators,
            processors: announcement.processors,
            memory: announcement.memory_mib,
            speed: announcement.speed_percent,
        }
    }
}

impl From<Usage> for agent::Usage {
    fn from(usage: Usage) -> Self {
        let Usage { tasks, connections, accelerators } = usage;
        Self { tasks, connections, accelerators }
    }
}

impl Start {
    /// Creates the start of a prepared task under this fencing token.
    pub fn new(prepare: &agent::Prepare, fence: u64) -> Self {
        Self {
            service: prepare.service.clone(),
            kind: prepare.kind.clone(),
            key: prepare.key.clone(),
            gang: prepare.gang_tasks,
            accelerators: prepare.accelerators,
            answer_limit: prepare.answer_limit,
            fence,
        }
    }
}

/// Checks the sizes in a preparation; a control replica of the same version complies with them.
pub fn check_prepare(prepare: &agent::Prepare) -> Result<(), Malformed> {
    let gang = (1..=shape::MAX_TASKS).contains(&prepare.gang_tasks);
    require(gang, "gang", "must be 1 to 1024")?;
    let last = prepare.first_task.checked_add(prepare.tasks);
    let inside = prepare.tasks > 0 && last.is_some_and(|last| last <= prepare.gang_tasks);
    require(inside, "tasks", "must lie within the gang")?;
    require(prepare.payload.len() <= job::MAX_PAYLOAD_BYTES, "payload", "is too long")?;
    require(prepare.key.len() <= job::MAX_KEY_BYTES, "key", "is too long")?;
    require(prepare.answer_limit <= job::MAX_ANSWER_BYTES, "answer_limit", "is too high")
}

/// Formats bytes in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses a SHA-256 digest in hexadecimal.
pub fn parse_digest(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; 32];
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
