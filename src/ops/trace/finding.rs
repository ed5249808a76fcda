//! Problems that a request met, found in its log lines.

use std::collections::BTreeMap;
use std::fmt;

use crate::ops::trace::run;
use crate::ops::trace::select;
use crate::telemetry::event;

/// The shortest wait for a placement that is reported, in milliseconds. Urgent jobs are to start
/// within seconds, and a placement takes some tens of milliseconds by itself.
const MIN_WAIT_MS: i64 = 300;

/// A problem that a request met.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Finding {
    /// The entry replied to a call with an error.
    Refused {
        /// The entry that replied.
        entry: String,
        /// The HTTP method of the call.
        method: String,
        /// The HTTP status of the reply.
        status: u64,
        /// The reason that the entry logged for the reply.
        reason: String,
    },
    /// Tasks of a step waited for their placement.
    Waited {
        /// The step, as the numbers of the occurrence and the step.
        step: String,
        /// The number of placements that waited.
        tasks: usize,
        /// The longest wait, in milliseconds.
        millis: i64,
        /// The event that the wait is measured from.
        since: Since,
    },
    /// A run ended without completing its task.
    Undone {
        /// The task, as the numbers of the occurrence, step and index.
        task: String,
        /// The number of the run.
        run: u64,
        /// The incarnation of the worker that had the run.
        worker: String,
        /// The reason of its end.
        how: String,
        /// Why control ordered it to stop; none if control didn't.
        why: Option<String>,
        /// The number of the job that the run was stopped for.
        by: Option<u64>,
        /// The time from its placement to its end, in milliseconds.
        millis: i64,
    },
    /// A run was placed, and the logs don't contain its end.
    Open {
        /// The task, as the numbers of the occurrence, step and index.
        task: String,
        /// The number of the run.
        run: u64,
        /// The incarnation of the worker that had the run.
        worker: String,
    },
    /// A replica became leader.
    Leader {
        /// The new leader.
        replica: String,
        /// The time since the request's first line, in milliseconds.
        after: i64,
    },
    /// Lines are missing from a log, so the report may be incomplete.
    Gap {
        /// The process that dropped the lines.
        source: String,
        /// The number of missing lines.
        count: u64,
    },
}

/// The event since which a task has waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Since {
    /// The acceptance of its job.
    Accepted,
    /// The completion of a task of an earlier step.
    Step,
    /// The end of the task's previous run.
    Run,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { entry, method, status, reason } => {
                write!(f, "{method} at {entry} was answered {status}: {reason}")
            }
            Self::Waited { step, tasks, millis, since } => {
                let since = match since {
                    Since::Accepted => "the job was accepted",
                    Since::Step => "an earlier step was done",
                    Since::Run => "the task's run before had ended",
                };
                write!(
                    f,
                    "{tasks} placements of step {step} had to wait, the longest {millis} ms "
                )?;
                write!(f, "after {since}")
            }
            Self::Undone { task, run, worker, how, why, by, millis } => {
                write!(f, "run {run} of task {task} on {worker} ended as {how}")?;
                if let Some(why) = why {
                    write!(f, " (stopped: {why}")?;
                    by.map_or(Ok(()), |job| write!(f, " by job {job}"))?;
                    f.write_str(")")?;
                }
                write!(f, " {millis} ms after its placement")
            }
            Self::Open { task, run, worker } => {
                write!(f, "run {run} of task {task} on {worker} has no end in these logs")
            }
            Self::Leader { replica, after } => {
                write!(f, "{replica} began to lead {after} ms after the first line")
            }
            Self::Gap { source, count } => {
                write!(f, "{count} lines were left out of the log of {source}")
            }
        }
    }
}

/// Finds a request's problems in its lines, which are in causal order.
pub fn find(lines: &[select::Chosen]) -> Vec<Finding> {
    let mut own = lines.iter().filter(|chosen| !chosen.background).map(|chosen| &chosen.line);
    let begin = select::begin(lines);
    let accepted = own.find(|line| line.is(event::control::JOB_ACCEPTED)).map(|line| line.at);
    let mut findings = Vec::new();
    for chosen in lines {
        findings.extend(line_finding(chosen, begin));
    }
    let runs = run::gather(lines);
    findings.extend(waits(&runs, accepted));
    findings.extend(runs.iter().filter_map(|(name, run)| run_finding(*name, run)));
    findings
}

fn line_finding(chosen: &select::Chosen, begin: i64) -> Option<Finding> {
    let line = &chosen.line;
    let source = || line.source.clone().unwrap_or_else(|| "an unnamed process".to_owned());
    let detail = |name| line.get(name).unwrap_or("?").to_owned();
    if line.is(event::entry::CALL_ANSWERED) {
        let status = line.number("status").filter(|status| *status >= 400)?;
        let (method, reason) = (detail("method"), detail("reply"));
        return Some(Finding::Refused { entry: source(), method, status, reason });
    }
    if line.is(event::control::LEADING) {
        return Some(Finding::Leader { replica: source(), after: line.at - begin });
    }
    if line.is(event::general::LINES_DROPPED) {
        let count = line.number("count").unwrap_or(0);
        return Some(Finding::Gap { source: source(), count });
    }
    None
}

/// Long waits for a placement, by step and by the event that they are measured from.
fn waits(runs: &run::Runs, accepted: Option<i64>) -> Vec<Finding> {
    let mut steps: BTreeMap<(u64, u64, Since), (usize, i64)> = BTreeMap::new();
    for (name, run) in runs {
        let Some((millis, since)) = wait(runs, *name, run, accepted) else { continue };
        if millis >= MIN_WAIT_MS {
            let (tasks, longest) = steps.entry((name.occurrence, name.step, since)).or_default();
            *tasks += 1;
            *longest = millis.max(*longest);
        }
    }
    let waited = |((occurrence, step, since), (tasks, millis))| {
        let step = format!("{occurrence}.{step}");
        Finding::Waited { step, tasks, millis, since }
    };
    steps.into_iter().map(waited).collect()
}

/// The time that a run waited for its placement, in milliseconds, and the event it is measured
/// from.
fn wait(
    runs: &run::Runs,
    name: run::Name,
    run: &run::Run,
    accepted: Option<i64>,
) -> Option<(i64, Since)> {
    let placed = run.placed?;
    let before = runs.iter().filter(|(other, _)| other.is_sibling(name) && other.run < name.run);
    let before = before.filter_map(|(_, run)| run.ended).max();
    let steps = runs.iter().filter(|(other, run)| {
        let earlier = other.occurrence == name.occurrence && other.step < name.step;
        earlier && run.how.as_deref() == Some("Done")
    });
    let step = steps.filter_map(|(_, run)| run.ended).filter(|ended| *ended <= placed).max();
    let (start, since) = match (before, step) {
        (Some(ended), _) => (ended, Since::Run),
        (None, Some(done)) => (done, Since::Step),
        (None, None) => (accepted?, Since::Accepted),
    };
    Some((placed - start, since))
}

fn run_finding(name: run::Name, run: &run::Run) -> Option<Finding> {
    let placed = run.placed?;
    let (task, number) = (name.task(), name.run);
    let worker = run.worker.clone().unwrap_or_default();
    let Some((how, ended)) = run.how.clone().zip(run.ended) else {
        return Some(Finding::Open { task, run: number, worker });
    };
    let (why, by, millis) = (run.why.clone(), run.by, ended - placed);
    (how != "Done").then_some(Finding::Undone { task, run: number, worker, how, why, by, millis })
}
