//! The order of lines by cause.
//!
//! The clocks of hosts differ, and so the times of lines alone would show effects before their
//! causes. Lines of one process keep their order, and a line that another process's line has
//! caused comes after that; otherwise the times decide.

use std::cmp;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use crate::ops::trace::run;
use crate::ops::trace::select;
use crate::telemetry::event;

/// A clock that showed an effect before its cause.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Skew {
    /// The process of the effect.
    pub behind: String,
    /// The process of the cause.
    pub ahead: String,
    /// By how much its clock is behind at least, in milliseconds.
    pub millis: i64,
}

/// Puts lines into their order by cause, and tells which clocks contradicted it.
pub fn sequence(lines: Vec<select::Chosen>) -> (Vec<select::Chosen>, Vec<Skew>) {
    let causes = causes(&lines);
    let mut effects = vec![Vec::new(); lines.len()];
    let mut open = vec![0_usize; lines.len()];
    for (cause, effect) in &causes {
        effects[*cause].push(*effect);
        open[*effect] += 1;
    }
    // The earliest time at which each line can have been logged, by the clocks of its causes.
    let mut times: Vec<i64> = lines.iter().map(|chosen| chosen.line.at).collect();
    let mut ready: BinaryHeap<_> = (0..lines.len())
        .filter(|index| open[*index] == 0)
        .map(|index| cmp::Reverse((times[index], index)))
        .collect();
    let mut order = Vec::new();
    while let Some(cmp::Reverse((time, index))) = ready.pop() {
        order.push(index);
        for effect in &effects[index] {
            times[*effect] = times[*effect].max(time);
            open[*effect] -= 1;
            if open[*effect] == 0 {
                ready.push(cmp::Reverse((times[*effect], *effect)));
            }
        }
    }
    // Lines in a circle, as of logs of two cells in one file, follow in the order of their times.
    let mut rest: Vec<usize> = (0..lines.len()).filter(|index| open[*index] > 0).collect();
    rest.sort_by_key(|index| (lines[*index].line.at, *index));
    order.extend(rest);
    let skews = skews(&lines, &causes);
    let mut lines: Vec<_> = lines.into_iter().map(Some).collect();
    (order.into_iter().filter_map(|index| lines[index].take()).collect(), skews)
}

/// Pairs of lines of which the first comes before the second.
fn causes(lines: &[select::Chosen]) -> Vec<(usize, usize)> {
    let mut pairs = Vec::new();
    let mut last: BTreeMap<&str, usize> = BTreeMap::new();
    let mut steps: BTreeMap<run::Name, Steps> = BTreeMap::new();
    let mut job = Job::default();
    for (index, chosen) in lines.iter().enumerate() {
        if let Some(source) = &chosen.line.source
            && let Some(before) = last.insert(source, index)
        {
            pairs.push((before, index));
        }
        if chosen.background {
            continue;
        }
        job.note(index, chosen);
        if let Some(name) = run::Name::of(&chosen.line) {
            steps.entry(name).or_default().note(index, chosen);
        }
    }
    let other = |(cause, effect): &(usize, usize)| {
        let source = |index: usize| lines[index].line.source.as_ref();
        source(*cause).is_none() || source(*cause) != source(*effect)
    };
    let across = steps.values().flat_map(Steps::pairs);
    let ends = steps.values().filter_map(|steps| steps.ended).collect::<Vec<_>>();
    let across: Vec<_> = across.chain(job.pairs(&ends)).filter(other).collect();
    pairs.extend(across);
    pairs
}

/// The lines of one run.
#[derive(Debug, Default)]
struct Steps {
    placed: Option<usize>,
    started: Option<usize>,
    stopping: Option<usize>,
    stopped: Option<usize>,
    ended: Option<usize>,
    /// Whether its worker has told of the end.
    told: bool,
}

impl Steps {
    fn note(&mut self, index: usize, chosen: &select::Chosen) {
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
            self.told = matches!(line.get("how"), Some("Done" | "Failed" | "Stopped"));
        }
    }

    fn pairs(&self) -> Vec<(usize, usize)> {
        let pair = |cause: Option<usize>, effect: Option<usize>| Some((cause?, effect?));
        let reported = self.ended.filter(|_| self.told);
        let pairs = [
            pair(self.placed, self.started),
            pair(self.stopping, self.stopped),
            pair(self.started, reported),
        ];
        pairs.into_iter().flatten().collect()
    }
}

/// The lines of the job as a whole.
#[derive(Debug, Default)]
struct Job {
    accepted: Option<usize>,
    answered: Option<usize>,
    /// Its end, if all of its runs had ended before: those of a cancelled job end after it.
    completed: Option<usize>,
}

impl Job {
    fn note(&mut self, index: usize, chosen: &select::Chosen) {
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

/// By how much each process's clock is behind another's at least.
fn skews(lines: &[select::Chosen], causes: &[(usize, usize)]) -> Vec<Skew> {
    let mut most: BTreeMap<(&str, &str), i64> = BTreeMap::new();
    for (cause, effect) in causes {
        let (cause, effect) = (&lines[*cause].line, &lines[*effect].line);
        let (Some(ahead), Some(behind)) = (&cause.source, &effect.source) else { continue };
        if ahead != behind && cause.at > effect.at {
            let skew = most.entry((behind, ahead)).or_default();
            *skew = (*skew).max(cause.at - effect.at);
        }
    }
    let skew = |((behind, ahead), millis): ((&str, &str), i64)| Skew {
        behind: behind.to_owned(),
        ahead: ahead.to_owned(),
        millis,
    };
    most.into_iter().map(skew).collect()
}
