//! Report of `hemlockcleat trace` on one request, from log lines of several processes.

use std::io;

use hemlockcleat::ops::trace::finding;
use hemlockcleat::ops::trace::line;
use hemlockcleat::ops::trace::sequence;
use hemlockcleat::ops::trace::story;

use rstest::rstest;

const ENTRY: &str = "entry-1";
const LEADER: &str = "control-1";
const AGENT: &str = "agent-1";

/// A JSON line logged by a process; `at` is in milliseconds after a fixed minute.
fn line(source: &str, at: u32, message: &str) -> line::Line {
    let at = format!("2026-03-02T10:00:{:02}.{:03}+00:00", at / 1000, at % 1000);
    let text = serde_json::json!({ "at": at, "level": "info", "message": message }).to_string();
    line::Line::parse(&text, Some(source)).unwrap()
}

/// Lines of a job of one task that is placed a second time after its first worker is lost.
fn lines_of_a_rerun() -> Vec<line::Line> {
    vec![
        line(
            ENTRY,
            20,
            "E408 call answered: method=POST path=/q/ab12 status=200 ms=12 reply=accepted",
        ),
        line(
            ENTRY,
            9020,
            "E408 call answered: method=GET path=/q/ab12 status=200 ms=1 reply=shown",
        ),
        line(LEADER, 10, "E211 job accepted: job=7 id=ab12 queue=a/q/ account=a priority=1"),
        line(LEADER, 11, &format!("E214 task placed: job=7 {TASK} run=1 worker=10.0.0.1@5")),
        line(
            LEADER,
            400,
            "E214 task placed: job=8 occurrence=0 step=0 index=0 run=1 worker=10.0.0.9@5",
        ),
        line(LEADER, 3000, "E210 agent's session ended: host=10.0.0.1 session=1"),
        line(LEADER, 3001, "E210 agent's session ended: host=10.0.0.9 session=1"),
        line(LEADER, 5000, &format!("E215 run ended: job=7 {TASK} run=1 how=Lost")),
        line(LEADER, 5900, &format!("E214 task placed: job=7 {TASK} run=2 worker=10.0.0.2@5")),
        line(LEADER, 8000, &format!("E215 run ended: job=7 {TASK} run=2 how=Done")),
        line(LEADER, 8005, "E218 job ended: job=7 id=ab12 phase=Completed after_ms=7995"),
        line(AGENT, 20, "E515 task starting: task=ab12.0.0.0 run=1"),
        line(AGENT, 25, "E515 task starting: task=ab123.0.0.0 run=1"),
    ]
}

const TASK: &str = "occurrence=0 step=0 index=0";

fn events(story: &story::Story) -> Vec<u16> {
    story.lines.iter().map(|chosen| chosen.line.event).collect()
}

#[rstest]
#[case::json(r#"{"at":"2026-03-02T10:00:01.500+00:00","event":101,"level":"info","message":"E101 stopping: role=agent x"}"#, "file")]
#[case::json_of_grep(
    r#"logs/a.log:{"at":"2026-03-02T10:00:01.500+00:00","message":"E101 stopping: role=agent x"}"#,
    "logs/a.log"
)]
#[case::json_after_host(r#"  -1.5 host-3/agent {"at":"2026-03-02T10:00:01.500+00:00","message":"E101 stopping: role=agent x"}"#, "host-3/agent")]
#[case::plain("2026-03-02T10:00:01.500+00:00 INFO  E101 stopping: role=agent x", "file")]
#[case::plain_of_grep(
    "a.log:2026-03-02T10:00:01.500+00:00 INFO  E101 stopping: role=agent x",
    "a.log"
)]
#[case::other_offset("2026-03-02T11:00:01.5+01:00 INFO  E101 stopping: role=agent x", "file")]
fn line_parsed(#[case] text: &str, #[case] source: &str) {
    let line = line::Line::parse(text, Some("file")).unwrap();
    assert_eq!(line.source.as_deref(), Some(source));
    assert_eq!((line.at, line.event), (1_772_445_601_500, 101));
    assert_eq!(line.text, "E101 stopping: role=agent x");
    assert_eq!(line.get("role"), Some("agent x"));
}

#[rstest]
#[case::empty("")]
#[case::other_program("Listening on 8080")]
#[case::broken_json(r#"{"at":"2026-03-02T10:00:01.500+00:00","message":"E101 st"#)]
#[case::no_time("INFO  E101 stopping: role=agent")]
#[case::bad_time("2026-33-02T10:00:01.500+00:00 INFO  E101 stopping: role=agent")]
#[case::bad_number("2026-03-02T10:00:01.500+00:00 INFO  Exyz stopping: role=agent")]
#[case::not_ascii("ä EÄ T E")]
fn line_skipped(#[case] text: &str) {
    assert_eq!(line::Line::parse(text, None), None);
}

#[test]
fn log_read_with_other_text_in_it() {
    let text = b"started\n2026-03-02T10:00:01.500+00:00 INFO  E101 stopping: role=agent\n\xff\n";
    let lines = line::read(io::Cursor::new(text), None).unwrap();
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0].source, None);
}

#[test]
fn story_holds_the_request_and_its_workers_only() {
    let story = story::Story::tell(lines_of_a_rerun(), "ab12");
    assert_eq!(events(&story), [211, 214, 408, 515, 210, 215, 214, 215, 218, 408]);
    let background: Vec<_> = story.lines.iter().filter(|chosen| chosen.background).collect();
    assert_eq!(background.len(), 1);
    assert_eq!(background[0].line.get("host"), Some("10.0.0.1"));
    assert_eq!(story.outcome(), Some(("Completed".to_owned(), 7995)));
}

#[test]
fn story_of_an_unknown_request_is_empty() {
    assert!(story::Story::tell(lines_of_a_rerun(), "ab1").lines.is_empty());
}

#[test]
fn findings_name_the_lost_run_and_the_wait() {
    let story = story::Story::tell(lines_of_a_rerun(), "ab12");
    let since = finding::Since::Run;
    let waited = finding::Finding::Waited { step: "0.0".to_owned(), tasks: 1, millis: 900, since };
    let undone = finding::Finding::Undone {
        task: "0.0.0".to_owned(),
        run: 1,
        worker: "10.0.0.1@5".to_owned(),
        how: "Lost".to_owned(),
        why: None,
        by: None,
        millis: 4989,
    };
    assert_eq!(story.findings, [waited, undone]);
}

#[test]
fn findings_name_the_job_that_preempted_a_run() {
    let mut lines = lines_of_a_rerun();
    let stopped = format!("E219 run to be stopped: job=7 {TASK} run=1 why=Displaced by=31");
    lines.insert(7, line(LEADER, 4900, &stopped));
    let story = story::Story::tell(lines, "ab12");
    let finding = story.findings[1].to_string();
    assert!(finding.contains("(stopped: Displaced by job 31)"), "{finding}");
}

#[test]
fn findings_name_a_refusal_a_new_leader_and_a_gap() {
    let refused = "E408 call answered: method=POST path=/q/ab12 status=503 ms=900 reply=no leader";
    let lines = vec![
        line(ENTRY, 2000, refused),
        line(ENTRY, 2500, "E108 lines left out: of=408 count=31 why=rate"),
        line(
            ENTRY,
            4000,
            "E408 call answered: method=POST path=/q/ab12 status=200 ms=9 reply=accepted",
        ),
        line(LEADER, 1500, "E201 leading: term=3"),
        line("control-2", 3000, "E201 leading: term=4"),
    ];
    let story = story::Story::tell(lines, "ab12");
    let texts: Vec<String> = story.findings.iter().map(|finding| finding.to_string()).collect();
    let expected = [
        "control-1 began to lead -500 ms after the first line",
        "POST at entry-1 was answered 503: no leader",
        "31 lines were left out of the log of entry-1",
        "control-2 began to lead 1000 ms after the first line",
    ];
    assert_eq!(texts, expected);
    assert_eq!(story.outcome(), None);
}

/// With the agent's clock 2 s and the entry's 3 s behind, an order by time puts effects before their
/// causes. The causal order must not, and both clock differences must be reported.
#[test]
fn sequence_by_cause_where_clocks_differ() {
    let lines = vec![
        line(AGENT, 8020, "E515 task starting: task=ab12.0.0.0 run=1"),
        line(AGENT, 9000, "E516 task stopping: task=ab12.0.0.0 run=1"),
        line(
            ENTRY,
            7025,
            "E408 call answered: method=POST path=/q/ab12 status=200 ms=9 reply=accepted",
        ),
        line(LEADER, 10_000, "E211 job accepted: job=7 id=ab12 queue=a/q/ account=a priority=1"),
        line(LEADER, 10_010, &format!("E214 task placed: job=7 {TASK} run=1 worker=10.0.0.1@5")),
        line(LEADER, 10_990, &format!("E219 run to be stopped: job=7 {TASK} run=1 why=JobEnded")),
        line(LEADER, 11_400, &format!("E215 run ended: job=7 {TASK} run=1 how=Stopped")),
        line(LEADER, 11_401, "E218 job ended: job=7 id=ab12 phase=Cancelled after_ms=1401"),
    ];
    let story = story::Story::tell(lines, "ab12");
    assert_eq!(events(&story), [211, 408, 214, 515, 219, 516, 215, 218]);
    let skew = |behind: &str, millis| {
        let (behind, ahead) = (behind.to_owned(), LEADER.to_owned());
        sequence::Skew { behind, ahead, millis }
    };
    assert_eq!(story.skews, [skew(AGENT, 1990), skew(ENTRY, 2975)]);
}

/// Runs of a cancelled job end after the job, and runs of a completed job before it. The order must
/// hold if another replica's log is read first or its clock differs.
#[rstest]
#[case::completed("Completed", &[211, 214, 215, 218])]
#[case::cancelled("Cancelled", &[211, 214, 218, 215])]
fn sequence_of_a_job_that_ends_under_another_leader(#[case] phase: &str, #[case] expected: &[u16]) {
    let ended = format!("E218 job ended: job=7 id=ab12 phase={phase} after_ms=1401");
    let lines = vec![
        line("control-2", 10_500, &ended),
        line(LEADER, 10_000, "E211 job accepted: job=7 id=ab12 queue=a/q/ account=a priority=1"),
        line(LEADER, 10_010, &format!("E214 task placed: job=7 {TASK} run=1 worker=10.0.0.1@5")),
        line(LEADER, 11_400, &format!("E215 run ended: job=7 {TASK} run=1 how=Done")),
    ];
    assert_eq!(events(&story::Story::tell(lines, "ab12")), expected);
}

/// Logs of two cells with the same identifier form a causal cycle, which must not drop lines.
#[test]
fn sequence_of_contradicting_lines_keeps_all() {
    let lines = vec![
        line(AGENT, 30, "E516 task stopping: task=ab12.0.0.0 run=1"),
        line(AGENT, 40, "E515 task starting: task=ab12.0.0.0 run=1"),
        line(LEADER, 10, &format!("E214 task placed: job=7 {TASK} run=1 worker=10.0.0.1@5")),
        line(LEADER, 11, "E211 job accepted: job=7 id=ab12 queue=a/q/ account=a priority=1"),
        line("control-2", 20, "E211 job accepted: job=7 id=ab12 queue=a/q/ account=a priority=1"),
        line("control-2", 21, &format!("E215 run ended: job=7 {TASK} run=1 how=Done")),
        line("control-2", 22, &format!("E219 run to be stopped: job=7 {TASK} run=1 why=Still")),
    ];
    let story = story::Story::tell(lines.clone(), "ab12");
    assert_eq!(story.lines.len(), lines.len());
}

#[test]
fn story_shown_as_text_and_as_json() {
    let story = story::Story::tell(lines_of_a_rerun(), "ab12");
    let text = story.to_text();
    let wanted = [
        "    0.000   control-1  E211 job accepted: job=7 id=ab12",
        "    2.990 + control-1  E210 agent's session ended: host=10.0.0.1",
        "outcome: Completed after 7995 ms",
        "- run 1 of task 0.0.0 on 10.0.0.1@5 ended as Lost 4989 ms after its placement",
    ];
    for part in wanted {
        assert!(text.contains(part), "{part:?} is missing in:\n{text}");
    }
    let json = story.to_json();
    assert_eq!(json["outcome"]["phase"], "Completed");
    assert_eq!(json["lines"][0]["fields"]["job"], "7");
    assert_eq!(json["findings"][1]["kind"], "undone");
}
