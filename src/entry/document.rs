//! The JSON documents that callers and operators send.

use std::collections::BTreeMap;
use std::fmt;
use std::marker;

use quick_error::quick_error;
use serde::de;

use crate::core::account;
use crate::core::shape;

/// The most bearer tokens of one client account.
pub const MAX_TOKENS: usize = 8;

/// The longest name of an account, a service, a kind of work or a worker, in bytes.
pub const MAX_NAME: usize = 64;

quick_error! {
    /// Why a document is refused.
    #[derive(Debug)]
    pub enum Error {
        /// The text is not JSON of the expected form.
        Form(field: String, detail: String) {
            display("{}: {}", field, detail)
        }
        /// A value is not allowed.
        Value(field: String, detail: String) {
            display("{}: {}", field, detail)
        }
    }
}

/// A map that refuses a name given twice; plain JSON maps keep the last one.
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

/// A ticket: its number and the whole new state of every object it touches.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// The ticket's number.
    pub number: u64,
    /// Client accounts by name.
    #[serde(default)]
    pub accounts: UniqueMap<Account>,
    /// Client accounts that shall not be any more.
    #[serde(default)]
    pub drop_accounts: Vec<String>,
    /// Services by name.
    #[serde(default)]
    pub services: UniqueMap<Service>,
    /// Workers by name.
    #[serde(default)]
    pub workers: UniqueMap<Worker>,
    /// The control replicas: addresses by number.
    #[serde(default)]
    pub replicas: Option<UniqueMap<std::net::SocketAddr>>,
}

/// A client account.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// What it can always have.
    pub guarantees: Vec<Guarantee>,
    /// Its share of the rest, against the other accounts.
    pub weight: u32,
    /// The most requests it may have waiting.
    pub queue_limit: u32,
    /// SHA-256 digests of its bearer tokens, in hexadecimal.
    pub tokens: Vec<String>,
}

/// Gangs that an account can always have.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Tasks of each gang.
    pub tasks: u32,
    /// Accelerators for each task.
    pub accelerators: u32,
    /// How close together.
    pub adjacency: Adjacency,
    /// How many such gangs.
    pub count: u32,
}

/// A [`shape::Adjacency`].
#[derive(Clone, Copy, Debug, Default, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Adjacency {
    /// Anywhere.
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
    /// Its kinds of work by name.
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
    /// Its order in the queue.
    pub class: Class,
    /// Whether a request may run again after a failure.
    pub repeatable: bool,
    /// How long a task may take to checkpoint, in milliseconds; absent if it can't.
    #[serde(default)]
    pub checkpoint_ms: Option<u64>,
    /// The longest answer, in bytes.
    pub answer_limit: u64,
    /// The deadline of a request that names none, in milliseconds from its submission.
    pub deadline_ms: u64,
}

/// An [`account::Class`].
#[derive(Clone, Copy, Debug, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Must start at once.
    Urgent,
    /// Scheduled, with a deadline.
    Scheduled,
    /// May wait.
    Deferred,
    /// Runs only when nothing else is pending.
    Idle,
}

/// A worker's orders.
#[derive(Clone, Copy, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Whether it gets no new work.
    pub drain: bool,
}

/// Reads a document, strictly.
pub fn parse<T: de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut reader = serde_json::Deserializer::from_slice(bytes);
    let document = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| Error::Form(error.path().to_string(), error.inner().to_string()))?;
    reader.end().map_err(|error| Error::Form(".".to_owned(), error.to_string()))?;
    Ok(document)
}

/// A refusal of the value of `field`.
pub fn value_error(field: impl Into<String>, detail: impl Into<String>) -> Error {
    Error::Value(field.into(), detail.into())
}

/// Checks a name that people read and paths hold.
pub fn check_name(field: &str, name: &str) -> Result<(), Error> {
    let known = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME || !name.bytes().all(known) {
        let detail = format!("{name:?} must be 1 to {MAX_NAME} letters, digits, '-', '_' or '.'");
        return Err(value_error(field, detail));
    }
    Ok(())
}

/// Checks a declared shape.
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

/// Bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
