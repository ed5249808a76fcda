//! Tests that the programs accept the files under `examples/`.

use std::fs;
use std::path;

use hemlockcleat::core::account;
use hemlockcleat::core::ids;
use hemlockcleat::core::ledger::command;
use hemlockcleat::core::ledger::job;
use hemlockcleat::core::placement::feasible;
use hemlockcleat::entry::document;
use hemlockcleat::ops::check_settings;
use rstest::rstest;

/// The racks of the eleven workers of each of the two deployments.
const RACKS: [&str; 11] = ["r1", "r1", "r1", "r2", "r2", "r2", "r3", "r3", "r3", "r4", "r4"];

/// Returns the files of a deployment whose names start with `prefix`, sorted.
fn examples(deployment: &str, prefix: &str) -> Vec<path::PathBuf> {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(deployment);
    let entries = fs::read_dir(folder).expect("the folder of the deployment");
    let mut files: Vec<_> = entries
        .map(|entry| entry.expect("an entry of the folder").path())
        .filter(|file| {
            file.file_name()
                .is_some_and(|name| name.as_encoded_bytes().starts_with(prefix.as_bytes()))
        })
        .collect();
    files.sort();
    files
}

#[rstest]
fn examples_settings(
    #[values("swan-coast", "abyssinia", "local")] deployment: &str,
    #[values(
        (check_settings::Role::Control, "control-"),
        (check_settings::Role::Entry, "entry-"),
        (check_settings::Role::Agent, "agent-")
    )]
    role: (check_settings::Role, &str),
) {
    let (role, prefix) = role;
    let files = examples(deployment, prefix);
    assert_eq!(files.len(), 3, "one for each data centre");
    for file in files {
        if let Err(error) = check_settings::exec(role, &file) {
            panic!("{}: {error}", file.display());
        }
    }
}

#[rstest]
fn examples_all_read(#[values("swan-coast", "abyssinia", "local")] deployment: &str) {
    let known = ["control-", "entry-", "agent-", "ticket-"];
    let read: usize = known.iter().map(|prefix| examples(deployment, prefix).len()).sum();
    assert_eq!(examples(deployment, "").len(), read);
}

fn ticket(deployment: &str) -> command::Ticket {
    let text = fs::read(&examples(deployment, "ticket-")[0]).expect("the ticket");
    let document: document::Ticket = document::parse(&text).expect("a ticket document");
    command::Ticket::try_from(document).expect("a valid ticket")
}

fn worker(index: usize) -> job::WorkerSpec {
    let center = match RACKS[index] {
        "r2" => 2,
        "r3" => 3,
        _ => 1,
    };
    job::WorkerSpec {
        name: format!("w{index}"),
        data_center: format!("center-{center}"),
        rack: RACKS[index].to_owned(),
        services: vec!["booking".to_owned(), "orders".to_owned()],
        slots: 8,
        connections: 64,
        accelerators: 8,
        processors: 32,
        memory: 128 * 1024,
        speed: 100,
    }
}

#[test]
fn examples_local_ticket() {
    assert_eq!(ticket("local").number, ids::TicketNumber(1));
}

#[rstest]
fn examples_guarantees_pack(#[values("swan-coast", "abyssinia")] deployment: &str) {
    let ticket = ticket(deployment);
    assert_eq!(ticket.number, ids::TicketNumber(1));
    let mut config = account::Config::default();
    for change in ticket.changes {
        match change {
            command::Change::Account(account) => {
                config.accounts.insert(account.name.clone(), account);
            }
            command::Change::Service(service) => {
                config.services.insert(service.name.clone(), service);
            }
            other => panic!("{} in the first ticket", other.object()),
        }
    }
    assert_eq!(config.accounts.len(), 4);
    let workers: Vec<_> = (0..RACKS.len()).map(worker).collect();
    let all: Vec<_> = workers.iter().collect();
    feasible::check(&config, &all).expect("the guarantees pack");
    for lost in 0..workers.len() {
        let remaining: Vec<_> =
            (0..workers.len()).filter(|i| *i != lost).map(|i| &workers[i]).collect();
        feasible::check(&config, &remaining).expect("the guarantees pack with one worker lost");
    }
}
