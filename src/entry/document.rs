//! The JSON documents that callers and operators send.

use std::collections::BTreeMap;
use std::fmt;
use std::marker;

use quick_error::quick_error;
use serde::de;

use crate::core::account;
use crate::core::shape;

/// The most bearer tokens that a client account may have.
pub const MAX_TOKENS: usize = 8;

/// The longest name of an account, a service, a kind of work or a worker, in bytes.
pub const MAX_NAME: usize = 64;

quick_error! {
    /// The error of a refused document.
    #[derive(Debug)]
    pub enum Error {
        /// The text is not valid JSON or does not match the schema.
        Form(field: String, detail: String) {
            display("{}: {}", field, detail)
        }
        /// A value is out of range or malformed.
        Value(field: String, detail: String) {
            display("{}: {}", field, detail)
        }
    }
}

/// A JSON map that rejects duplicate names; a plain `BTreeMap` would take the last value.
#[derive(Clone, Debug)]
pub struct UniqueMap<T>(pub BTreeMap<String, T>);

impl<T> Default for UniqueMap<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<'de, T: de::Deserialize<'de>> de::Deserialize<'de> for UniqueMap<T> {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(UniqueMapVisitor(marker::PhantomData))
    }
}

struct UniqueMapVisitor<T>(marker::PhantomData<T>);

impl<'de, T: de::Deserialize<'de>> de::Visitor<'de> for UniqueMapVisitor<T> {
    type Value = UniqueMap<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<UniqueMap<T>, A::Error> {
        let mut named = BTreeMap::new();
        while let Some((name, value)) = map.next_entry::<String, T>()? {
            if named.insert(name.clone(), value).is_some() {
                return Err(de::Error::custom(format!("{name:?} is given twice")));
            }
        }
        Ok(UniqueMap(named))
    }
}

/// A ticket: its number and the complete new state of every object that it sets.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// The number of the ticket, which identifies it; at least 1.
    pub number: u64,
    /// Client accounts to set, by name.
    #[serde(default)]
    pub accounts: UniqueMap<Account>,
    /// Names of the client accounts to remove.
    #[serde(default)]
    pub drop_accounts: Vec<String>,
    /// Services to set, by name.
    #[serde(default)]
    pub services: UniqueMap<Service>,
    /// Operator settings of workers, by name.
    #[serde(default)]
    pub workers: UniqueMap<Worker>,
    /// Addresses of the control replicas, by replica number.
    #[serde(default)]
    pub replicas: Option<UniqueMap<std::net::SocketAddr>>,
}

/// A client account.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Gangs that the account can have at any time.
    pub guarantees: Vec<Guarantee>,
    /// The account's share of the capacity beyond guarantees, relative to other accounts.
    pub weight: u32,
    /// The most requests that the account may have queued.
    pub queue_limit: u32,
    /// SHA-256 digests of the account's bearer tokens, in hexadecimal.
    pub tokens: Vec<String>,
}

/// Gangs of one shape that an account can have at any time.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// The number of tasks of each gang.
    pub tasks: u32,
    /// The number of accelerators for each task.
    pub accelerators: u32,
    /// The required proximity of the gang's tasks.
    pub adjacency: Adjacency,
    /// The number of gangs.
    pub count: u32,
}

/// The JSON form of a [`shape::Adjacency`].
#[derive(Clone, Copy, Debug, Default, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Adjacency {
    /// Anywhere in the cell.
    #[default]
    Cell,
    /// Within one data centre.
    DataCenter,
    /// Within one rack.
    Rack,
    /// On one worker.
    Worker,
}

/// A service.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's kinds of work, by name.
    pub kinds: UniqueMap<Kind>,
}

impl<T: serde::Serialize> serde::Serialize for UniqueMap<T> {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(serializer)
    }
}

/// A kind of work.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The priority class of requests of this kind.
    pub class: Class,
    /// Whether a request of this kind may run again after a failure.
    pub repeatable: bool,
    /// How long a task may take to write a checkpoint, in milliseconds; absent if the kind does
    /// not support checkpoints.
    #[serde(default)]
    pub checkpoint_ms: Option<u64>,
    /// The size of the longest permitted answer, in bytes.
    pub answer_limit: u64,
    /// The default deadline of a request, in milliseconds from its submission.
    pub deadline_ms: u64,
}

/// The JSON form of an [`account::Class`].
#[derive(Clone, Copy, Debug, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Requests that must start at once.
    Urgent,
    /// Scheduled requests with a deadline.
    Scheduled,
    /// Requests that may wait.
    Deferred,
    /// Requests that run only when nothing else is pending.
    Idle,
}

/// The operator settings of a worker.
#[derive(Clone, Copy, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Whether the worker is draining, that is, gets no new work.
    pub drain: bool,
}

/// Parses a JSON document and rejects trailing text. The error names the path of the faulty field.
pub fn parse<T: de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut reader = serde_json::Deserializer::from_slice(bytes);
    let document = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| Error::Form(error.path().to_string(), error.inner().to_string()))?;
    reader.end().map_err(|error| Error::Form(".".to_owned(), error.to_string()))?;
    Ok(document)
}

/// Creates an [`Error::Value`] for `field`.
pub fn value_error(field: impl Into<String>, detail: impl Into<String>) -> Error {
    Error::Value(field.into(), detail.into())
}

/// Checks a name that appears in URL paths and on the status page.
pub fn check_name(field: &str, name: &str) -> Result<(), Error> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME || !name.bytes().all(is_allowed) {
        let detail = format!("{name:?} must be 1 to {MAX_NAME} letters, digits, '-', '_' or '.'");
        return Err(value_error(field, detail));
    }
    Ok(())
}

/// Converts a declared shape and checks its number of tasks.
pub fn check_shape(
    path: &str,
    tasks: u32,
    accelerators: u32,
    adjacency: Adjacency,
) -> Result<shape::Shape, Error> {
    if tasks == 0 || tasks > shape::MAX_TASKS {
        let detail = format!("must be 1 to {}", shape::MAX_TASKS);
        return Err(value_error(format!("{path}.tasks"), detail));
    }
    Ok(shape::Shape { tasks, accelerators, adjacency: adjacency.into() })
}

impl From<Adjacency> for shape::Adjacency {
    fn from(adjacency: Adjacency) -> Self {
        match adjacency {
            Adjacency::Cell => Self::Cell,
            Adjacency::DataCenter => Self::DataCenter,
            Adjacency::Rack => Self::Rack,
            Adjacency::Worker => Self::Worker,
        }
    }
}

impl From<shape::Adjacency> for Adjacency {
    fn from(adjacency: shape::Adjacency) -> Self {
        match adjacency {
            shape::Adjacency::Cell => Self::Cell,
            shape::Adjacency::DataCenter => Self::DataCenter,
            shape::Adjacency::Rack => Self::Rack,
            shape::Adjacency::Worker => Self::Worker,
        }
    }
}

impl From<Class> for account::Class {
    fn from(class: Class) -> Self {
        match class {
            Class::Urgent => Self::Urgent,
            Class::Scheduled => Self::Scheduled,
            Class::Deferred => Self::Deferred,
            Class::Idle => Self::Idle,
        }
    }
}

impl From<account::Class> for Class {
    fn from(class: account::Class) -> Self {
        match class {
            account::Class::Urgent => Self::Urgent,
            account::Class::Scheduled => Self::Scheduled,
            account::Class::Deferred => Self::Deferred,
            account::Class::Idle => Self::Idle,
        }
    }
}

impl From<&account::Account> for Account {
    fn from(account: &account::Account) -> Self {
        let guarantee = |guarantee: &account::Guarantee| Guarantee {
            tasks: guarantee.shape.tasks,
            accelerators: guarantee.shape.accelerators,
            adjacency: guarantee.shape.adjacency.into(),
            count: guarantee.count,
        };
        Self {
            guarantees: account.guarantees.iter().map(guarantee).collect(),
            weight: account.weight,
            queue_limit: account.queue_limit,
            tokens: account.tokens.iter().map(|digest| hex(digest)).collect(),
        }
    }
}

impl From<&account::Service> for Service {
    fn from(service: &account::Service) -> Self {
        let kind = |kind: &account::Kind| Kind {
            class: kind.class.into(),
            repeatable: kind.repeatable,
            checkpoint_ms: kind.checkpoint.map(|span| span.0),
            answer_limit: kind.answer_limit,
            deadline_ms: kind.deadline.0,
        };
        let kinds = service.kinds.iter().map(|(name, one)| (name.clone(), kind(one)));
        Self { kinds: UniqueMap(kinds.collect()) }
    }
}

/// Formats bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
