//! Validation of tickets and their conversion from JSON documents to ledger commands.

use std::collections::BTreeMap;
use std::net;

use sha2::Digest as _;

use crate::core::account;
use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::job;
use crate::core::time;
use crate::entry::document;
use crate::settings::entry;
use crate::wire::codec;
use crate::wire::common;

impl TryFrom<document::Ticket> for command::Ticket {
    type Error = document::Error;

    fn try_from(ticket: document::Ticket) -> Result<Self, document::Error> {
        if ticket.number == 0 {
            return Err(document::value_error("number", "must be 1 or more"));
        }
        let number = ids::TicketNumber(ticket.number);
        let changes = changes(ticket)?;
        if changes.is_empty() {
            return Err(document::value_error(".", "the ticket touches nothing"));
        }
        if let Some(pair) = changes.windows(2).find(|pair| pair[0].object() == pair[1].object()) {
            return Err(document::value_error(
                pair[0].object(),
                "is set and dropped by the same ticket",
            ));
        }
        Ok(Self { number, digest: digest(&changes), changes })
    }
}

/// Converts a ticket's content to changes, sorted by object.
fn changes(ticket: document::Ticket) -> Result<Vec<command::Change>, document::Error> {
    let mut changes = Vec::new();
    for (name, account) in ticket.accounts.0 {
        changes.push(command::Change::Account(account.into_core(name)?));
    }
    for name in ticket.drop_accounts {
        document::check_name("drop_accounts", &name)?;
        changes.push(command::Change::DropAccount(name));
    }
    for (name, service) in ticket.services.0 {
        changes.push(command::Change::Service(service.into_core(name)?));
    }
    for (name, worker) in ticket.workers.0 {
        document::check_name("workers", &name)?;
        changes.push(command::Change::Worker { name, drain: worker.drain });
    }
    if let Some(replicas) = ticket.replicas {
        changes.push(command::Change::Replicas(members(replicas)?));
    }
    changes.sort_by_key(command::Change::object);
    Ok(changes)
}

fn members(
    replicas: document::UniqueMap<net::SocketAddr>,
) -> Result<Vec<(ids::ReplicaKey, String)>, document::Error> {
    let mut members = Vec::new();
    for (number, addr) in replicas.0 {
        let key = number.parse().ok().filter(|key| *key > 0 && number == format!("{key}"));
        let Some(key) = key else {
            return Err(document::value_error(
                "replicas",
                format!("{number:?} must be a number from 1"),
            ));
        };
        members.push((ids::ReplicaKey(key), addr.to_string()));
    }
    if members.is_empty() {
        return Err(document::value_error("replicas", "must name a replica"));
    }
    members.sort();
    Ok(members)
}

/// The SHA-256 digest of a ticket's content: the encoded changes, sorted by object.
pub fn digest(changes: &[command::Change]) -> [u8; 32] {
    let changes: Vec<_> = changes.iter().cloned().map(common::Change::from).collect();
    sha2::Sha256::digest(codec::encode(&changes)).into()
}

impl document::Account {
    fn into_core(self, name: String) -> Result<account::Account, document::Error> {
        let path = format!("accounts.{name}");
        document::check_name("accounts", &name)?;
        let guarantees: Result<Vec<_>, _> = self
            .guarantees
            .into_iter()
            .enumerate()
            .map(|(index, guarantee)| guarantee.into_core(&format!("{path}.guarantees[{index}]")))
            .collect();
        if self.weight == 0 {
            return Err(document::value_error(format!("{path}.weight"), "must be 1 or more"));
        }
        if self.tokens.len() > document::MAX_TOKENS {
            return Err(document::value_error(
                format!("{path}.tokens"),
                format!("at most {}", document::MAX_TOKENS),
            ));
        }
        let digest = |(index, text): (usize, &String)| {
            entry::parse_digest(text).ok_or_else(|| {
                let field = format!("{path}.tokens[{index}]");
                document::value_error(field, "must be a SHA-256 digest of 64 hexadecimal digits")
            })
        };
        let tokens: Result<Vec<_>, _> = self.tokens.iter().enumerate().map(digest).collect();
        Ok(account::Account {
            guarantees: guarantees?,
            weight: self.weight,
            queue_limit: self.queue_limit,
            tokens: tokens?,
            name,
        })
    }
}

impl document::Guarantee {
    fn into_core(self, path: &str) -> Result<account::Guarantee, document::Error> {
        let shape = document::check_shape(path, self.tasks, self.accelerators, self.adjacency)?;
        Ok(account::Guarantee { shape, count: self.count })
    }
}

impl document::Service {
    fn into_core(self, name: String) -> Result<account::Service, document::Error> {
        document::check_name("services", &name)?;
        if self.kinds.0.is_empty() {
            return Err(document::value_error(
                format!("services.{name}.kinds"),
                "must name a kind of work",
            ));
        }
        let mut kinds = BTreeMap::new();
        for (kind, one) in self.kinds.0 {
            let path = format!("services.{name}.kinds.{kind}");
            kinds.insert(kind.clone(), one.into_core(&path, kind)?);
        }
        Ok(account::Service { name, kinds })
    }
}

impl document::Kind {
    fn into_core(self, path: &str, name: String) -> Result<account::Kind, document::Error> {
        document::check_name(path, &name)?;
        if self.answer_limit > job::MAX_ANSWER_BYTES {
            let detail = format!("must be at most {} bytes", job::MAX_ANSWER_BYTES);
            return Err(document::value_error(format!("{path}.answer_limit"), detail));
        }
        if self.deadline_ms == 0 {
            return Err(document::value_error(format!("{path}.deadline_ms"), "must be 1 or more"));
        }
        Ok(account::Kind {
            name,
            class: self.class.into(),
            repeatable: self.repeatable,
            checkpoint: self.checkpoint_ms.map(time::Millis),
            answer_limit: self.answer_limit,
            deadline: time::Millis(self.deadline_ms),
        })
    }
}
