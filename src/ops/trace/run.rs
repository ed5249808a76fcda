//! The runs of a request's tasks, gathered from its log lines.

use std::collections::BTreeMap;

use crate::macros;
use crate::ops::trace::line;
use crate::ops::trace::select;
use crate::telemetry::event;

macros::copy_types! {
    /// Identifies a run within its job.
    pub struct Name {
        /// The number of the job's occurrence.
        pub occurrence: u64,
        /// The number of the step in the occurrence.
        pub step: u64,
        /// The index of the task within its step.
        pub index: u64,
        /// The number of the run of the task.
        pub run: u64,
    }
}

impl Name {
    /// The run that a line of control or of an agent is about; none if it is about no run.
    pub fn of(line: &line::Line) -> Option<Self> {
        let run = line.number("run")?;
        if let Some(task) = line.get("task") {
            let mut parts = task.rsplit('.').map(|part| part.parse().ok());
            let (index, step) = (parts.next()??, parts.next()??);
            return Some(Self { occurrence: parts.next()??, step, index, run });
        }
        let [occurrence, step, index] =
            ["occurrence", "step", "index"].map(|name| line.number(name));
        Some(Self { occurrence: occurrence?, step: step?, index: index?, run })
    }

    /// The task's name as agents log it, without the job's identifier.
    pub fn task(self) -> String {
        format!("{}.{}.{}", self.occurrence, self.step, self.index)
    }

    /// Whether both are runs of the same task.
    pub fn is_sibling(self, other: Self) -> bool {
        Self { run: 0, ..self } == Self { run: 0, ..other }
    }
}

/// State of a run as found in the logs. Times are in milliseconds since 1970.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Run {
    /// When control proposed its placement.
    pub placed: Option<i64>,
    /// The incarnation of the worker that it was placed on.
    pub worker: Option<String>,
    /// When the agent ordered the worker to start it.
    pub started: Option<i64>,
    /// Why control ordered it to stop.
    pub why: Option<String>,
    /// The number of the job that it was stopped for.
    pub by: Option<u64>,
    /// When control proposed its end.
    pub ended: Option<i64>,
    /// The reason of its end.
    pub how: Option<String>,
}

/// All runs of a request's tasks, by name.
pub type Runs = BTreeMap<Name, Run>;

/// Gathers the runs from lines in causal order.
pub fn gather(lines: &[select::Chosen]) -> Runs {
    let mut runs = Runs::new();
    for chosen in lines.iter().filter(|chosen| !chosen.background) {
        let line = &chosen.line;
        let Some(name) = Name::of(line) else { continue };
        let run = runs.entry(name).or_default();
        let detail = |name| line.get(name).map(str::to_owned);
        if line.is(event::control::TASK_PLACED) {
            run.placed = Some(line.at);
            run.worker = detail("worker");
        } else if line.is(event::agent::TASK_START) {
            run.started.get_or_insert(line.at);
        } else if line.is(event::control::RUN_STOPPING) {
            run.why = detail("why");
            run.by = line.number("by");
        } else if line.is(event::control::RUN_ENDED) {
            run.ended = Some(line.at);
            run.how = detail("how");
        }
    }
    runs
}
