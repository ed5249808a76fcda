//! Output and exit codes of the operator command, run as a process.

use std::net;
use std::process;

use hemlockcleat::entry;
use hemlockcleat::wire::entry as wire;
use rstest::rstest;

use crate::entry as cases;
use crate::support::fake_control;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hemlockcleat");

fn command(token: &str, args: &[&str]) -> process::Command {
    let mut command = process::Command::new(PROGRAM);
    command.env_clear().env("HEMLOCKCLEAT_TOKEN", token).args(args);
    command
}

async fn run(addr: net::SocketAddr, token: &str, args: &[&str]) -> process::Output {
    let url = format!("http://{addr}");
    let mut command = command(token, args);
    command.env("HEMLOCKCLEAT_ENTRY", url);
    let output = actix_rt::task::spawn_blocking(move || command.output()).await;
    output.expect("the thread lives").expect("the program runs")
}

async fn run_good(entry: &entry::Entry, args: &[&str]) -> process::Output {
    run(entry.addr(), fake_control::TOKEN, args).await
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("text")
}

#[rstest]
#[case::nothing(&[], 2, "Usage")]
#[case::unknown(&["frobnicate"], 2, "unrecognized subcommand")]
#[case::missing_role(&["check-settings", "x.json"], 2, "--role")]
#[case::no_settings(&["check-settings", "--role", "entry", "/nonexistent"], 2, "/nonexistent")]
#[case::no_ticket(&["ticket", "apply", "/nonexistent"], 2, "/nonexistent")]
#[case::no_log(&["trace", "ab12", "/nonexistent"], 2, "/nonexistent")]
#[case::bad_adjacency(&["request", "submit", "--adjacency", "near", "k"], 2, "data-center")]
fn usage_refused(#[case] args: &[&str], #[case] code: i32, #[case] words: &str) {
    let output = command("", args).output().expect("the program runs");
    assert_eq!(output.status.code(), Some(code));
    assert!(text(&output.stderr).contains(words), "{}", text(&output.stderr));
}

#[test]
fn help_names_exit_codes_and_examples() {
    let output = command("", &["--help"]).output().expect("the program runs");
    assert_eq!(output.status.code(), Some(0));
    assert!(text(&output.stdout).starts_with("Operates hemlockcleat"));
    assert!(text(&output.stdout).contains("Exit codes:"));
    assert!(text(&output.stdout).contains("Examples:"));
}

#[rstest]
#[case::known("ab12", 0, "outcome: Completed after 30 ms")]
#[case::unknown("cd34", 1, "no line names cd34")]
fn trace_of_a_file(#[case] id: &str, #[case] code: i32, #[case] words: &str) {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("control-1.log");
    let line = "2026-03-02T10:00:01.500+00:00 INFO  E218 job ended: job=7 id=ab12 \
                phase=Completed after_ms=30\n";
    std::fs::write(&file, line).expect("the file is written");
    let output = command("", &["trace", id]).arg(&file).output().expect("the program runs");
    assert_eq!(output.status.code(), Some(code));
    let shown = format!("{}{}", text(&output.stdout), text(&output.stderr));
    assert!(shown.contains(words), "{shown}");
}

#[rstest]
#[case::bash("bash")]
#[case::zsh("zsh")]
#[case::fish("fish")]
fn completions_name_subcommands(#[case] shell: &str) {
    let output = command("", &["completions", shell]).output().expect("the program runs");
    assert_eq!(output.status.code(), Some(0));
    let subcommands = [
        "account",
        "check-settings",
        "demo",
        "job",
        "request",
        "stand-in",
        "status",
        "store",
        "ticket",
        "trace",
        "workflow",
        "worker",
    ];
    for name in subcommands {
        assert!(text(&output.stdout).contains(name), "{name}");
    }
}

#[test]
fn entry_unreachable() {
    // The system never assigns this port, so no other test can listen on it.
    let url = "http://127.0.0.1:1";
    let output = command("t", &["--entry", url, "status"]).output().expect("the program runs");
    assert_eq!(output.status.code(), Some(6));
    assert!(text(&output.stderr).contains("can't reach the entry"));
}

#[test]
fn token_refused() {
    cases::with_entry(async |_, entry| {
        let output = run(entry.addr(), "wrong", &["status"]).await;
        assert_eq!(output.status.code(), Some(3));
        assert!(text(&output.stderr).contains("not-run: the token does not permit this"));
    });
}

#[rstest]
#[case::status(&["status"], "entries committed       7")]
#[case::status_json(&["--output", "json", "status"], "\"committed\": 7")]
#[case::accounts(&["account", "list"], "swan-coast")]
#[case::account(&["account", "show", "swan-coast"], "\"queue_limit\": 100")]
#[case::workers(&["worker", "list"], "WORKER")]
#[case::drain(&["worker", "drain", "w3", "--ticket", "19"], "ticket 19 is in force")]
#[case::jobs(&["job", "list"], "round-1")]
#[case::job(&["job", "show", "1"], "round-1")]
#[case::cancel(&["job", "cancel", "1"], "round-1")]
#[case::workflows(&["workflow", "list"], "0 done, 3 placed, 0 waiting")]
#[case::workflows_json(&["--output", "json", "workflow", "list"], "\"placed\": 3")]
#[case::workflow_steps(&["workflow", "show", "7"], "gang")]
#[case::workflow_tasks(&["workflow", "show", "7"], "10.0.0.1@5")]
#[case::workflow_cancelled(&["workflow", "cancel", "7"], "cancelled")]
#[case::wait(&["request", "wait", "--account", "swan-coast", "round-1"], "done, 9 bytes")]
#[case::answer(&["request", "answer", "--account", "swan-coast", "round-1"], "an answer")]
#[case::submit(&["request", "submit", "--account", "swan-coast", "--service", "booking",
                 "--kind", "rebuild", "--run-time-ms", "9", "round-1"], "done, 9 bytes")]
fn subcommand_done(#[case] args: &[&str], #[case] words: &str) {
    cases::with_entry(async |control, entry| {
        control.finish("swan-coast", "round-1", b"an answer");
        let output = run_good(entry, args).await;
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
        assert!(text(&output.stdout).contains(words), "{}", text(&output.stdout));
    });
}

#[rstest]
#[case::not_run(0, 3)]
#[case::may_have_run(1, 4)]
#[case::ran(2, 5)]
fn verdict_gives_exit_code(#[case] verdict: u8, #[case] code: i32) {
    cases::with_entry(async |control, entry| {
        control.script(move |id, call| match call {
            wire::Call::JobShow(_) => {
                let body = fake_control::refusal(verdict, 11);
                fake_control::Action::Send(vec![wire::ServerMessage::Reply { id, body }])
            }
            _ => fake_control::Action::Default,
        });
        let output = run_good(entry, &["job", "show", "1"]).await;
        assert_eq!(output.status.code(), Some(code));
    });
}

#[rstest]
#[case::shown("show")]
#[case::cancelled("cancel")]
fn workflow_unknown(#[case] action: &str) {
    cases::with_entry(async |_, entry| {
        let output = run_good(entry, &["workflow", action, "8"]).await;
        assert_eq!(output.status.code(), Some(3));
    });
}

#[test]
fn request_pending() {
    cases::with_entry(async |_, entry| {
        assert_eq!(cases::submit(entry, cases::REQUEST_PATH).await.status, 202);
        let args = ["request", "answer", "--account", "swan-coast", "r1"];
        let output = run_good(entry, &args).await;
        assert_eq!(output.status.code(), Some(7));
        assert!(text(&output.stderr).contains("has not ended: queued"));
    });
}

#[test]
fn ticket_planned_and_applied() {
    cases::with_entry(async |control, entry| {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("0007.json");
        let ticket = r#"{"number": 7, "drop_accounts": ["swan-coast"],
            "accounts": {"new": {"guarantees": [], "weight": 1, "queue_limit": 1, "tokens": []}}}"#;
        std::fs::write(&file, ticket).expect("a file");
        let file = file.to_str().expect("a path in Unicode");
        let output = run_good(entry, &["ticket", "plan", file]).await;
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
        assert!(text(&output.stdout).contains("create  account/new"));
        assert!(text(&output.stdout).contains("drop    account/swan-coast"));
        let tickets = |call: &wire::Call| matches!(call, wire::Call::Ticket(_));
        assert!(!control.shared.calls.borrow().iter().any(tickets));
        let output = run_good(entry, &["ticket", "apply", file]).await;
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
        assert_eq!(text(&output.stdout), "ticket 7 is in force at revision 7\n");
        assert!(control.shared.calls.borrow().iter().any(tickets));
    });
}
