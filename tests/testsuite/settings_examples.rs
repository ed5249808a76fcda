//! The files under `examples/` are read as the programs read them.

use std::fs;
use std::path;

use hemlockcleat::ops::check_settings;
use rstest::rstest;

/// The files of one deployment whose names start with `prefix`, sorted.
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
    #[values("swan-coast", "abyssinia")] deployment: &str,
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
fn examples_all_read(#[values("swan-coast", "abyssinia")] deployment: &str) {
    let known = ["control-", "entry-", "agent-", "ticket-"];
    let read: usize = known.iter().map(|prefix| examples(deployment, prefix).len()).sum();
    assert_eq!(examples(deployment, "").len(), read);
}
