//! Causal order of log lines.
//!
//! The clocks of hosts differ, so an order by time alone would show effects before their causes.
//! Lines of one process keep their order, and a line caused by a line of another process follows
//! it; otherwise the times decide.

use std::cmp;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use crate::ops::trace::run;
use crate::ops::trace::select;
use crate::telemetry::event;

/// A difference between two clocks by which an effect was logged before its cause.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Skew {
    /// The process that logged the effect, whose clock is behind.
    pub behind: String,
    /// The process that logged the cause, whose clock is ahead.
    pub ahead: String,
    /// The least difference that explains the lines, in milliseconds.
    pub millis: i64,
}

/// Sorts lines into causal order, and returns the clock differences that contradict it.
pub fn sequence(lines: Vec<select::Chosen>) -> (Vec<select::Chosen>, Vec<Skew>) {
    let causes = causes(&lines);
    let mut effects = vec![Vec::new(); lines.len()];
    let mut pending_causes = vec![0_usize; lines.len()];
    for (cause, effect) in &causes {
        effects[*cause].push(*effect);
        pending_causes[*effect] += 1;
    }
    // The earliest time at which each line can have been logged according to its causes' clocks.
    let mut times: Vec<i64> = lines.iter().map(|chosen| chosen.line.at).collect();
    let mut ready: BinaryHeap<_> = (0..lines.len())
        .filter(|index| pending_causes[*index] == 0)
        .map(|index| cmp::Reverse((times[index], index)))
        .collect();
    let mut order = Vec::new();
    while let Some(cmp::Reverse((time, index))) = ready.pop() {
        order.push(index);
        for effect in &effects[index] {
            times[*effect] = times[*effect].max(time);
            pending_causes[*effect] -= 1;
            if pending_causes[*effect] == 0 {
                ready.push(cmp::Reverse((times[*effect], *effect)));
            }
        }
    }
    // Lines in a cycle, such as from logs of two cells in one file, follow in order of time.
    let mut rest: Vec<usize> =
        (0..lines.len()).filter(|index| pending_causes[*index] > 0).collect();
    rest.sort_by_key(|index| (lines[*index].line.at, *index));
    order.extend(rest);
    let skews = skews(&lines, &causes);
    let mut lines: Vec<_> = lines.into_iter().map(Some).collect();
    (order.into_iter().filter_map(|index| lines[index].take()).collect(), skews)
}

/// Pairs of indices, of a cause and its effect.
fn causes(lines: &[select::Chosen]) -> Vec<(usize, usize)> {
    let mut pairs = Vec::new();
    let mut last: BTreeMap<&str, usize> = BTreeMap::new();
    let mut runs: BTreeMap<run::Name, RunLines> = BTreeMap::new();
    let mut job = JobLines::default();
    for (index, chosen) in lines.iter().enumerate() {
        if let Some(source) = &chosen.line.source
            && let Some(before) = last.insert(source, index)
        {
            pairs.push((before, index));
        }
        if chosen.background {
            continue;
        }
        job.record(index, chosen);
        if let Some(name) = run::Name::of(&chosen.line) {
            runs.entry(name).or_default().record(index, chosen);
        }
    }
    let is_across = |(cause, effect): &(usize, usize)| {
        let source = |index: usize| lines[index].line.source.as_ref();
        source(*cause).is_none() || source(*cause) != source(*effect)
    };
    let across = runs.values().flat_map(RunLines::pairs);
    let ends = runs.values().filter_map(|run| run.ended).collect::<Vec<_>>();
    let across: Vec<_> = across.chain(job.pairs(&ends)).filter(is_across).collect();
    pairs.extend(across);
    pairs
}

/// Indices of the lines of one run.
#[derive(Debug, Default)]
struct RunLines {
    placed: Option<usize>,
    started: Option<usize>,
    stopping: Option<usize>,
    stopped: Option<usize>,
    ended: Option<usize>,
    /// Whether the worker reported the end, rather than control inferring it.
    worker_reported: bool,
}

impl RunLines {
    fn record(&mut self, index: usize, chosen: &select::Chosen) {
        let line = &chosen.line;
        if line.is(event::control::TASK_PLACED) {
            self.placed = Some(index);
        } else if line.is(event::agent::TASK_START) {
            self.started.get_or_insert(index);
        } else if line.is(event::control::RUN_STOPPING) {
            self.stopping.get_or_insert(index);
        } else if line.is(event::agent::TASK_STOP) {
            self.stopped.get_or_insert(index);
        } else if line.is(event::control::RUN_ENDED) {
            self.ended = Some(index);
            self.worker_reported = matches!(line.get("how"), Some("Done" | "Failed" | "Stopped"));
        }
    }

    fn pairs(&self) -> Vec<(usize, usize)> {
        let pair = |cause: Option<usize>, effect: Option<usize>| Some((cause?, effect?));
        let reported = self.ended.filter(|_| self.worker_reported);
        let pairs = [
            pair(self.placed, self.started),
            pair(self.stopping, self.stopped),
            pair(self.started, reported),
        ];
        pairs.into_iter().flatten().collect()
    }
}

/// Indices of the lines about the whole job.
#[derive(Debug, Default)]
struct JobLines {
    accepted: Option<usize>,
    answered: Option<usize>,
    /// The job's end if it completed, which is after the end of all its runs. Runs of a cancelled
    /// job end after the job, so its end is not recorded here.
    completed: Option<usize>,
}

impl JobLines {
    fn record(&mut self, index: usize, chosen: &select::Chosen) {
        let line = &chosen.line;
        let submitted = matches!(line.get("method"), Some("POST" | "PUT"));
        if line.is(event::control::JOB_ACCEPTED) {
            self.accepted.get_or_insert(index);
        } else if line.is(event::entry::CALL_ANSWERED) && submitted {
            let accepted = line.get("reply") == Some("accepted");
            self.answered = self.answered.or(Some(index).filter(|_| accepted));
        } else if line.is(event::control::JOB_ENDED) && line.get("phase") == Some("Completed") {
            self.completed.get_or_insert(index);
        }
    }

    fn pairs(&self, ends: &[usize]) -> Vec<(usize, usize)> {
        let answer = self.accepted.zip(self.answered);
        let ends = ends.iter().filter_map(|end| Some((*end, self.completed?)));
        answer.into_iter().chain(ends).collect()
    }
}

/// The largest contradiction between the clocks of each pair of processes.
fn skews(lines: &[select::Chosen], causes: &[(usize, usize)]) -> Vec<Skew> {
    let mut largest: BTreeMap<(&str, &str), i64> = BTreeMap::new();
    for (cause, effect) in causes {
        let (cause, effect) = (&lines[*cause].line, &lines[*effect].line);
        let (Some(ahead), Some(behind)) = (&cause.source, &effect.source) else { continue };
        if ahead != behind && cause.at > effect.at {
            let skew = largest.entry((behind, ahead)).or_default();
            *skew = (*skew).max(cause.at - effect.at);
        }
    }
    let skew = |((behind, ahead), millis): ((&str, &str), i64)| Skew {
        behind: behind.to_owned(),
        ahead: ahead.to_owned(),
        millis,
    };
    largest.into_iter().map(skew).collect()
}
