//! Preview of the changes that a ticket would make.

use std::collections::BTreeMap;

use crate::core::account;
use crate::core::ledger::command;
use crate::entry::document;
use crate::wire::entry as wire;

/// The changes that a ticket would make.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Plan {
    /// The number of the ticket.
    pub number: u64,
    /// The SHA-256 digest of the ticket's content, in hexadecimal.
    pub digest: String,
    /// The configuration revision that the ticket was compared with.
    pub revision: u64,
    /// The objects that the ticket sets or removes.
    pub objects: Vec<Object>,
}

/// The change of one object.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Object {
    /// The name of the object, such as `account/swan-coast`.
    pub object: String,
    /// The kind of change.
    pub action: Action,
    /// The current state of the object; null if it does not exist.
    pub before: serde_json::Value,
    /// The state of the object after the ticket; null if it is removed.
    pub after: serde_json::Value,
}

/// The kind of change that a ticket makes to an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// The object is created.
    Create,
    /// The object is changed.
    Change,
    /// The object is removed.
    Drop,
    /// The object is unchanged.
    Keep,
}

impl Action {
    /// The lower-case name of the action.
    pub const fn as_str(self) -> &'static str {
        match self {
            Action::Create => "create",
            Action::Change => "change",
            Action::Drop => "drop",
            Action::Keep => "keep",
        }
    }
}

/// Compares a ticket with the current configuration and control group.
pub fn plan(ticket: &command::Ticket, config: &account::Config, group: &wire::Status) -> Plan {
    let object = |change: &command::Change| {
        let before = before(change, config, group);
        let after = after(change);
        Object { object: change.object(), action: action(&before, &after), before, after }
    };
    Plan {
        number: ticket.number.0,
        digest: document::hex(&ticket.digest),
        revision: config.revision.0,
        objects: ticket.changes.iter().map(object).collect(),
    }
}

fn action(before: &serde_json::Value, after: &serde_json::Value) -> Action {
    match (before, after) {
        (before, after) if before == after => Action::Keep,
        (serde_json::Value::Null, _) => Action::Create,
        (_, serde_json::Value::Null) => Action::Drop,
        _ => Action::Change,
    }
}

fn to_json(value: &impl serde::Serialize) -> serde_json::Value {
    serde_json::to_value(value).expect("documents are plain JSON")
}

fn before(
    change: &command::Change,
    config: &account::Config,
    group: &wire::Status,
) -> serde_json::Value {
    match change {
        command::Change::Account(account::Account { name, .. })
        | command::Change::DropAccount(name) => {
            config.accounts.get(name).map(account).unwrap_or_default()
        }
        command::Change::Service(service) => {
            config.services.get(&service.name).map(self::service).unwrap_or_default()
        }
        command::Change::Worker { name, .. } => worker(config.drained.contains(name)),
        command::Change::Replicas(_) => {
            replicas(group.replicas.iter().map(|replica| (replica.key, replica.addr.as_str())))
        }
    }
}

fn after(change: &command::Change) -> serde_json::Value {
    match change {
        command::Change::Account(account) => self::account(account),
        command::Change::DropAccount(_) => serde_json::Value::Null,
        command::Change::Service(service) => self::service(service),
        command::Change::Worker { drain, .. } => worker(*drain),
        command::Change::Replicas(members) => {
            replicas(members.iter().map(|(key, addr)| (key.0, addr.as_str())))
        }
    }
}

fn account(account: &account::Account) -> serde_json::Value {
    to_json(&document::Account::from(account))
}

fn service(service: &account::Service) -> serde_json::Value {
    to_json(&document::Service::from(service))
}

fn worker(drain: bool) -> serde_json::Value {
    to_json(&document::Worker { drain })
}

fn replicas<'a>(members: impl Iterator<Item = (u64, &'a str)>) -> serde_json::Value {
    let members: BTreeMap<String, &str> =
        members.map(|(key, addr)| (key.to_string(), addr)).collect();
    to_json(&members)
}
