//! Selection of the log lines that belong to a request.
//!
//! Lines with the request's identifier belong to it. They also give the numbers that control
//! assigned to its job, and control's lines about runs of that job belong to it as well. Changes of
//! leader, and events of the workers that had its tasks, are its background.

use std::collections::BTreeSet;

use crate::ops::trace::line;
use crate::telemetry::event;

/// How long before a request's first line a change of leader still counts as its background.
const LEADER_CHANGE_MS: i64 = 2000;

/// Events of control that identify a run by its job's number.
const RUNS: [event::Event; 3] =
    [event::control::TASK_PLACED, event::control::RUN_ENDED, event::control::RUN_STOPPING];

/// Events of control that give a job's number and identifier.
const JOBS: [event::Event; 2] = [event::control::JOB_ACCEPTED, event::control::JOB_ENDED];

/// Events about which replica leads.
const LEADERS: [event::Event; 2] = [event::control::LEADING, event::control::NOT_LEADING];

/// Events of an entry that can't reach the leader.
const LINKS: [event::Event; 2] = [event::entry::LEADER_LOST, event::entry::LEADER_SILENT];

/// Events about an agent's worker, which is named by host or by incarnation.
const WORKERS: [event::Event; 5] = [
    event::control::AGENT_CONNECTED,
    event::control::AGENT_DISCONNECTED,
    event::agent::WORKER_ANNOUNCED,
    event::agent::WORKER_LEFT,
    event::agent::WORKER_SILENT,
];

/// A line that belongs to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// The line.
    pub line: line::Line,
    /// Whether it is about a dependency instead of the request itself.
    pub background: bool,
}

/// The time of the first of a request's own lines, in milliseconds since 1970; 0 if it has none.
pub fn begin(lines: &[Chosen]) -> i64 {
    let own = lines.iter().filter(|chosen| !chosen.background);
    own.map(|chosen| chosen.line.at).min().unwrap_or(0)
}

/// Selects the lines of a request and of its background.
pub fn select(lines: Vec<line::Line>, id: &str) -> Vec<Chosen> {
    let jobs: BTreeSet<u64> =
        lines.iter().filter(|line| identifies(line, id)).filter_map(job_number).collect();
    let is_own = |line: &line::Line| {
        let run = is_any(line, &RUNS) && line.number("job").is_some_and(|job| jobs.contains(&job));
        run || identifies(line, id)
    };
    let own: Vec<&line::Line> = lines.iter().filter(|line| is_own(line)).collect();
    let Some(begin) = own.iter().map(|line| line.at).min() else { return Vec::new() };
    let end = own.iter().map(|line| line.at).max().unwrap_or(begin);
    let hosts = own.iter().filter_map(|line| line.get("worker")).map(host_of);
    let hosts: BTreeSet<String> = hosts.map(str::to_owned).collect();
    let sources: BTreeSet<_> = own.iter().filter_map(|line| line.source.clone()).collect();
    let chosen = lines.into_iter().filter_map(|line| {
        if is_own(&line) {
            return Some(Chosen { line, background: false });
        }
        let own_source = line.source.as_ref().is_some_and(|source| sources.contains(source));
        let leader = is_any(&line, &LEADERS) || (is_any(&line, &LINKS) && own_source);
        let leader = leader && (begin - LEADER_CHANGE_MS..=end).contains(&line.at);
        let within = (begin..=end).contains(&line.at);
        let host = line.get("host").or(line.get("life").map(host_of));
        let worker = is_any(&line, &WORKERS) && within && host.is_some_and(|h| hosts.contains(h));
        let gap = line.is(event::general::LINES_DROPPED) && within;
        (leader || worker || gap).then_some(Chosen { line, background: true })
    });
    chosen.collect()
}

fn is_any(line: &line::Line, events: &[event::Event]) -> bool {
    events.iter().any(|event| line.is(*event))
}

/// Whether a line identifies a request by its identifier, its trace, the last segment of its path,
/// or one of its tasks.
fn identifies(line: &line::Line, id: &str) -> bool {
    let is_path = |path: &str| path.rsplit('/').next() == Some(id);
    let is_task = |task: &str| task.strip_prefix(id).is_some_and(|rest| rest.starts_with('.'));
    line.get("id") == Some(id)
        || line.get("trace") == Some(id)
        || line.get("path").is_some_and(is_path)
        || line.get("task").is_some_and(is_task)
}

fn job_number(line: &line::Line) -> Option<u64> {
    if is_any(line, &JOBS) { line.number("job") } else { None }
}

/// The host of a worker's incarnation.
fn host_of(incarnation: &str) -> &str {
    incarnation.split('@').next().unwrap_or(incarnation)
}
