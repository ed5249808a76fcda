//! Which lines belong to a request.
//!
//! Those that name its identifier come first. They tell the numbers that control gives to its job;
//! control's lines about these runs belong to it as well. Changes of leader, and what became of
//! the workers that had its tasks, are its background.

use std::collections::BTreeSet;

use crate::ops::trace::line;
use crate::telemetry::event;

/// How long before a request's first line a change of leader may have to do with it.
const BEFORE: i64 = 2000;

/// The events of control that name a run by its job's number.
const RUNS: [event::Event; 3] =
    [event::control::TASK_PLACED, event::control::RUN_ENDED, event::control::RUN_STOPPING];

/// The events of control that give a job's number and its identifier.
const JOBS: [event::Event; 2] = [event::control::JOB_ACCEPTED, event::control::JOB_ENDED];

/// The events that tell who leads.
const LEADERS: [event::Event; 2] = [event::control::LEADING, event::control::NOT_LEADING];

/// The events that tell that an entry does not reach the leader.
const LINKS: [event::Event; 2] = [event::entry::LEADER_LOST, event::entry::LEADER_SILENT];

/// The events about an agent's worker, by host or by incarnation.
const WORKERS: [event::Event; 5] = [
    event::control::RUNNER_CONNECTED,
    event::control::RUNNER_LEFT,
    event::agent::WORKER_SEEN,
    event::agent::WORKER_LEFT,
    event::agent::WORKER_SILENT,
];

/// A line that belongs to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// The line.
    pub line: line::Line,
    /// Whether it tells of a dependency instead of the request itself.
    pub background: bool,
}

/// When the first of a request's own lines was logged; 0 without any.
pub fn begin(lines: &[Chosen]) -> i64 {
    let own = lines.iter().filter(|chosen| !chosen.background);
    own.map(|chosen| chosen.line.at).min().unwrap_or(0)
}

/// Chooses the lines of a request.
pub fn select(lines: Vec<line::Line>, id: &str) -> Vec<Chosen> {
    let jobs: BTreeSet<u64> =
        lines.iter().filter(|line| names(line, id)).filter_map(job_of).collect();
    let is_own = |line: &line::Line| {
        let run = is_any(line, &RUNS) && line.number("job").is_some_and(|job| jobs.contains(&job));
        run || names(line, id)
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
        let reached = line.source.as_ref().is_some_and(|source| sources.contains(source));
        let leader = is_any(&line, &LEADERS) || (is_any(&line, &LINKS) && reached);
        let leader = leader && (begin - BEFORE..=end).contains(&line.at);
        let near = (begin..=end).contains(&line.at);
        let place = line.get("host").or(line.get("life").map(host_of));
        let worker = is_any(&line, &WORKERS) && near && place.is_some_and(|h| hosts.contains(h));
        let gap = line.is(event::general::LEFT_OUT) && near;
        (leader || worker || gap).then_some(Chosen { line, background: true })
    });
    chosen.collect()
}

fn is_any(line: &line::Line, events: &[event::Event]) -> bool {
    events.iter().any(|event| line.is(*event))
}

/// Whether a line names a request: by its identifier, the end of its path, one of its tasks, or
/// its trace.
fn names(line: &line::Line, id: &str) -> bool {
    let is_path = |path: &str| path.rsplit('/').next() == Some(id);
    let is_task = |task: &str| task.strip_prefix(id).is_some_and(|rest| rest.starts_with('.'));
    line.get("id") == Some(id)
        || line.get("trace") == Some(id)
        || line.get("path").is_some_and(is_path)
        || line.get("task").is_some_and(is_task)
}

fn job_of(line: &line::Line) -> Option<u64> {
    if is_any(line, &JOBS) { line.number("job") } else { None }
}

/// The host of a worker's incarnation.
fn host_of(incarnation: &str) -> &str {
    incarnation.split('@').next().unwrap_or(incarnation)
}
