//! What went against a request, in the order in which its lines tell of it.

use std::collections::BTreeMap;
use std::fmt;

use crate::ops::trace::run;
use crate::ops::trace::select;
use crate::telemetry::event;

/// The shortest wait for a place that is told of, in milliseconds: urgent jobs are to start within
/// seconds, and a placement takes some tens of milliseconds by itself.
const WAIT: i64 = 300;

/// One thing that went against a request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Finding {
    /// A call was answered with an error.
    Refused {
        /// The entry.
        entry: String,
        /// The method.
        method: String,
        /// The status.
        status: u64,
        /// The reason in words.
        reason: String,
    },
    /// Tasks of a step waited for their places.
    Waited {
        /// The step: occurrence and number.
        step: String,
        /// How many of its tasks.
        tasks: usize,
        /// The longest wait, in milliseconds.
        millis: i64,
        /// Since when.
        since: Since,
    },
    /// A run ended without its work being done.
    Undone {
        /// The task: occurrence, step and index.
        task: String,
        /// The run.
        run: u64,
        /// The incarnation of its worker.
        worker: String,
        /// How it ended.
        how: String,
        /// Why control stopped it, if it did.
        why: Option<String>,
        /// The job that got its room, by control's number.
        by: Option<u64>,
        /// How long after its placement, in milliseconds.
        millis: i64,
    },
    /// A run was placed, and these logs hold no end of it.
    Open {
        /// The task: occurrence, step and index.
        task: String,
        /// The run.
        run: u64,
        /// The incarnation of its worker.
        worker: String,
    },
    /// Another replica began to lead.
    Leader {
        /// The replica.
        replica: String,
        /// How long after the request's first line, in milliseconds.
        after: i64,
    },
    /// Lines were left out of a log, so that the story may have gaps.
    Gap {
        /// The process.
        source: String,
        /// How many lines.
        count: u64,
    },
}

/// Since when a task has waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Since {
    /// Its job was accepted.
    Accepted,
    /// A task of an earlier step was done.
    Step,
    /// Its own run before had ended.
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

/// What went against a request, from its lines in their order.
pub fn find(lines: &[select::Chosen]) -> Vec<Finding> {
    let mut own = lines.iter().filter(|chosen| !chosen.background).map(|chosen| &chosen.line);
    let begin = select::begin(lines);
    let accepted = own.find(|line| line.is(event::control::JOB_ACCEPTED)).map(|line| line.at);
    let mut findings = Vec::new();
    for chosen in lines {
        findings.extend(of_line(chosen, begin));
    }
    let runs = run::gather(lines);
    findings.extend(waits(&runs, accepted));
    findings.extend(runs.iter().filter_map(|(name, run)| end(*name, run)));
    findings
}

fn of_line(chosen: &select::Chosen, begin: i64) -> Option<Finding> {
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
    if line.is(event::general::LEFT_OUT) {
        let count = line.number("count").unwrap_or(0);
        return Some(Finding::Gap { source: source(), count });
    }
    None
}

/// The waits of each step, by what its tasks waited for.
fn waits(runs: &run::Runs, accepted: Option<i64>) -> Vec<Finding> {
    let mut steps: BTreeMap<(u64, u64, Since), (usize, i64)> = BTreeMap::new();
    for (name, run) in runs {
        let Some((millis, since)) = wait(runs, *name, run, accepted) else { continue };
        if millis >= WAIT {
            let (tasks, most) = steps.entry((name.occurrence, name.step, since)).or_default();
            *tasks += 1;
            *most = millis.max(*most);
        }
    }
    let waited = |((occurrence, step, since), (tasks, millis))| {
        let step = format!("{occurrence}.{step}");
        Finding::Waited { step, tasks, millis, since }
    };
    steps.into_iter().map(waited).collect()
}

/// How long a run waited for its place, in milliseconds.
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

fn end(name: run::Name, run: &run::Run) -> Option<Finding> {
    let placed = run.placed?;
    let (task, number) = (name.task(), name.run);
    let worker = run.worker.clone().unwrap_or_default();
    let Some((how, ended)) = run.how.clone().zip(run.ended) else {
        return Some(Finding::Open { task, run: number, worker });
    };
    let (why, by, millis) = (run.why.clone(), run.by, ended - placed);
    (how != "Done").then_some(Finding::Undone { task, run: number, worker, how, why, by, millis })
}
