//! Tests of the entry daemon as a process: invalid settings and the graceful stop on signals.

use std::io::Write as _;
use std::process;
use std::time;

use rstest::rstest;
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hemlockcleat-entry");

/// The time in which the daemon must stop.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(10);

fn settings(control: serde_json::Value) -> tempfile::NamedTempFile {
    let settings = json!({
        "name": "entry-1", "data_center": "perth-1", "listen": "127.0.0.1:0",
        "control": control, "operators": [],
    });
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(settings.to_string().as_bytes()).expect("written");
    file
}

#[rstest]
#[case::terminate("-TERM")]
#[case::interrupt("-INT")]
fn daemon_stops_on_signal(#[case] signal: &str) {
    let file = settings(json!(["127.0.0.1:1"]));
    let mut daemon = process::Command::new(PROGRAM)
        .arg(file.path())
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("the program runs");
    let mut log = std::io::BufReader::new(daemon.stdout.take().expect("a pipe"));
    let mut line = String::new();
    while !line.contains("E100") {
        line.clear();
        let read = std::io::BufRead::read_line(&mut log, &mut line).expect("a line");
        assert_ne!(read, 0, "the daemon ended before it was up");
    }
    let pid = daemon.id().to_string();
    let sent = process::Command::new("kill").args([signal, &pid]).status().expect("kill runs");
    assert!(sent.success());
    let started = time::Instant::now();
    let mut rest = String::new();
    std::io::Read::read_to_string(&mut log, &mut rest).expect("the rest of the log");
    assert_eq!(daemon.wait().expect("an end").code(), Some(0));
    assert!(rest.contains("E102"), "{rest}");
    assert!(started.elapsed() < STOP_LIMIT);
}

#[test]
fn daemon_refuses_settings() {
    let file = settings(json!([]));
    let output = process::Command::new(PROGRAM).arg(file.path()).output().expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("control: must name"));
}
