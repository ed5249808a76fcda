//! The runs of a request's tasks, as its lines tell of them.

use std::collections::BTreeMap;

use crate::macros;
use crate::ops::trace::line;
use crate::ops::trace::select;
use crate::telemetry::event;

macros::copy_types! {
    /// The name of a run within its job.
    pub struct Name {
        /// The occurrence of the job.
        pub occurrence: u64,
        /// The step.
        pub step: u64,
        /// The task within its step.
        pub index: u64,
        /// The number of the start.
        pub run: u64,
    }
}

impl Name {
    /// The run that a line of control or of an agent is about.
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

    /// The task, as agents name it without the job's identifier.
    pub fn task(self) -> String {
        format!("{}.{}.{}", self.occurrence, self.step, self.index)
    }

    /// Whether both are runs of one task.
    pub fn is_sibling(self, other: Self) -> bool {
        Self { run: 0, ..self } == Self { run: 0, ..other }
    }
}

/// What is known of a run. Times are in milliseconds since 1970.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Run {
    /// When its place was proposed.
    pub placed: Option<i64>,
    /// The incarnation of its worker.
    pub worker: Option<String>,
    /// When its agent told the worker to start it.
    pub started: Option<i64>,
    /// Why it was to stop.
    pub why: Option<String>,
    /// The job that got its room, by control's number.
    pub by: Option<u64>,
    /// When its end was proposed.
    pub ended: Option<i64>,
    /// How it ended.
    pub how: Option<String>,
}

/// All runs of a request's tasks.
pub type Runs = BTreeMap<Name, Run>;

/// Gathers the runs from lines in their order.
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
