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

/// The path on the agent where the backend server announces itself.
pub const ANNOUNCE_PATH: &str = "/v1/announce";

/// The header by which every response about a task names that task.
pub const TASK_HEADER: &str = "hemlockcleat-task";

/// The longest announcement, in bytes.
pub const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;

/// The longest name in an announcement, in bytes.
const MAX_NAME: usize = 128;

/// The most services in an announcement.
const MAX_SERVICES: usize = 64;

/// The most of any one resource of a worker.
const MAX_UNITS: u32 = 65_536;

/// The most memory of a worker, in MiB.
const MAX_MEMORY: u64 = 1 << 30;

/// The slowest and the fastest worker against the common one, in percent.
const SPEEDS: std::ops::RangeInclusive<u32> = 1..=10_000;

macros::copy_types! {
    /// One task of an attempt: the unit that a backend server runs.
    pub struct TaskKey {
        /// The attempt.
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

    /// Reads `JOB.ATTEMPT.INDEX`, in the one form that [`fmt::Display`] writes.
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
        /// The faulty field.
        pub field: &'static str,
        /// What is allowed.
        pub detail: &'static str,
    }

    /// The body of `PUT /v1/announce`.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(deny_unknown_fields)]
    pub struct Announcement {
        /// The worker's name; unique within the cell.
        pub name: String,
        /// Its data centre.
        pub data_center: String,
        /// Its rack within the data centre.
        pub rack: String,
        /// The services it offers.
        pub services: Vec<String>,
        /// Tasks it may run at once.
        pub slots: u32,
        /// Connections it accepts at once.
        pub connections: u32,
        /// Accelerators it has.
        pub accelerators: u32,
        /// Processor cores it has.
        pub processors: u32,
        /// Memory, in MiB.
        pub memory_mib: u64,
        /// Speed relative to the common worker, in percent.
        pub speed_percent: u32,
        /// Where the agent reaches it, such as `http://127.0.0.1:9000`.
        pub url: String,
        /// Whether it is leaving and wants no new work.
        #[serde(default)]
        pub leaving: bool,
        /// What it uses at the moment; may lag.
        #[serde(default)]
        pub usage: Usage,
    }

    /// What a backend server uses at the moment.
    #[derive(Copy, Default, serde::Deserialize, serde::Serialize)]
    #[serde(deny_unknown_fields, default)]
    pub struct Usage {
        /// Tasks running.
        pub tasks: u32,
        /// Connections open.
        pub connections: u32,
        /// Accelerators in use.
        pub accelerators: u32,
    }

    /// The answer to an announcement: the lease, to be counted from the moment the announcement
    /// was sent.
    #[derive(Copy, serde::Deserialize, serde::Serialize)]
    pub struct Lease {
        /// The fencing token. Only a start that carries the token of the latest answer may happen.
        pub fence: u64,
        /// How long tasks may run without another answer, in milliseconds; 0 for no renewal.
        pub lease_ms: u64,
        /// How soon the announcement is to be repeated, in milliseconds.
        pub repeat_ms: u64,
    }

    /// The query of `PUT {url}/tasks/{task}`; the body is the payload as it is.
    #[derive(serde::Deserialize, serde::Serialize)]
    pub struct Start {
        /// The service.
        pub service: String,
        /// The kind of work.
        pub kind: String,
        /// The caller's idempotency key.
        pub key: String,
        /// The number of tasks of the whole gang.
        pub gang: u32,
        /// Accelerators for this task.
        pub accelerators: u32,
        /// The longest answer, in bytes.
        pub answer_limit: u64,
        /// The fencing token of the lease under which the task runs.
        pub fence: u64,
    }

    /// Where a task stands, as the backend server reports it.
    #[derive(serde::Deserialize, serde::Serialize)]
    pub struct Status {
        /// The task.
        pub task: String,
        /// Its state.
        pub state: State,
        /// What a person should know, such as the reason of a failure.
        #[serde(default)]
        pub detail: String,
        /// The length of the answer in bytes; only of a task that is done.
        #[serde(default)]
        pub length: u64,
        /// SHA-256 of the answer in hexadecimal; only of a task that is done.
        #[serde(default)]
        pub sha256: String,
    }

    /// The states of a task.
    #[derive(Copy, serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum State {
        /// It runs.
        Running,
        /// It ended well and its answer is whole.
        Done,
        /// It ended badly.
        Failed,
        /// It was stopped, by order or because its lease ran out.
        Stopped,
    }

    /// Why the backend server did not do what was asked.
    #[derive(serde::Deserialize, serde::Serialize)]
    pub struct Refused {
        /// The kind of refusal.
        pub error: Refusal,
        /// What a person should know.
        #[serde(default)]
        pub detail: String,
    }

    /// The kinds of refusal of a start; each says that this start has not happened.
    #[derive(Copy, serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// The backend server holds no lease at the moment, or one of another fencing token. The
        /// start may be sent again.
        NoLease,
        /// The task was stopped before its start came.
        Stopped,
        /// The backend server does not take the task.
        Refused,
    }

    /// The body of `GET {url}/tasks`: every task that the backend server still knows.
    #[derive(serde::Deserialize, serde::Serialize)]
    pub struct List {
        /// The tasks.
        pub tasks: Vec<String>,
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.detail)
    }
}

impl std::error::Error for Malformed {}

/// Passes if `ok`, and names the faulty field otherwise.
fn require(ok: bool, field: &'static str, detail: &'static str) -> Result<(), Malformed> {
    if ok { Ok(()) } else { Err(Malformed { field, detail }) }
}

fn is_name(text: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME && text.bytes().all(plain)
}

impl Announcement {
    /// Checks the values that the JSON form alone does not.
    pub fn check(&self) -> Result<(), Malformed> {
        const NAME: &str = "must be 1 to 128 of a-z, A-Z, 0-9, '-', '_', '.'";
        const UNITS: &str = "must be 65536 or less";
        const SOME_UNITS: &str = "must be 1 to 65536";
        require(is_name(&self.name), "name", NAME)?;
        require(is_name(&self.data_center), "data_center", NAME)?;
        require(is_name(&self.rack), "rack", NAME)?;
        let services = (1..=MAX_SERVICES).contains(&self.services.len());
        require(services, "services", "must name 1 to 64 services")?;
        require(self.services.iter().all(|name| is_name(name)), "services", NAME)?;
        require((1..=MAX_UNITS).contains(&self.slots), "slots", SOME_UNITS)?;
        require((1..=MAX_UNITS).contains(&self.connections), "connections", SOME_UNITS)?;
        require(self.accelerators <= MAX_UNITS, "accelerators", UNITS)?;
        require(self.processors <= MAX_UNITS, "processors", UNITS)?;
        require(self.memory_mib <= MAX_MEMORY, "memory_mib", "must be 1073741824 or less")?;
        require(SPEEDS.contains(&self.speed_percent), "speed_percent", "must be 1 to 10000")?;
        let url = self.url.strip_prefix("http://").is_some_and(|rest| !rest.is_empty());
        require(url && self.url.len() <= MAX_NAME, "url", "must be http://HOST:PORT")
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
    /// The start of a prepared task under this fencing token.
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

/// Checks the sizes that a peer of the same version keeps to.
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

/// Writes bytes in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads a SHA-256 digest in hexadecimal.
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
