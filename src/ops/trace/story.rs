//! Report on a request, as text or JSON.

use std::fmt::Write as _;

use crate::ops::trace::finding;
use crate::ops::trace::line;
use crate::ops::trace::select;
use crate::ops::trace::sequence;
use crate::telemetry::event;

/// Report on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Story {
    /// The request's identifier.
    pub id: String,
    /// The request's lines, in causal order.
    pub lines: Vec<select::Chosen>,
    /// Problems that the request met.
    pub findings: Vec<finding::Finding>,
    /// Differences between clocks that contradict the causal order.
    pub skews: Vec<sequence::Skew>,
}

impl Story {
    /// Builds the report on a request from the lines of all processes. The lines of one process
    /// must be in their order; the order of processes doesn't matter.
    pub fn tell(lines: Vec<line::Line>, id: &str) -> Self {
        let (lines, skews) = sequence::sequence(select::select(lines, id));
        let findings = finding::find(&lines);
        Self { id: id.to_owned(), lines, findings, skews }
    }

    /// The job's final phase, and the time from its acceptance to its end in milliseconds; none if
    /// the lines hold no end.
    pub fn outcome(&self) -> Option<(String, u64)> {
        let mut lines = self.lines.iter().map(|chosen| &chosen.line);
        let end = lines.find(|line| line.is(event::control::JOB_ENDED))?;
        Some((end.get("phase")?.to_owned(), end.number("after_ms")?))
    }

    /// Whether control accepted the request.
    pub fn is_accepted(&self) -> bool {
        self.lines.iter().any(|chosen| chosen.line.is(event::control::JOB_ACCEPTED))
    }

    /// Formats the report as text: the lines with the seconds since the first, then the outcome,
    /// the findings and the clock differences. A `+` marks background lines.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let begin = select::begin(&self.lines);
        for chosen in &self.lines {
            let mark = if chosen.background { '+' } else { ' ' };
            let at = (chosen.line.at - begin) as f64 / 1000.0;
            let source = chosen.line.source.as_deref().unwrap_or("-");
            let _ = writeln!(text, "{at:9.3} {mark} {source}  {}", chosen.line.text);
        }
        let _ = match self.outcome() {
            Some((phase, after)) => writeln!(text, "\noutcome: {phase} after {after} ms"),
            None if self.is_accepted() => writeln!(text, "\noutcome: these logs hold no end of it"),
            None => writeln!(text, "\noutcome: it was not accepted, by these logs"),
        };
        for finding in &self.findings {
            let _ = writeln!(text, "- {finding}");
        }
        for skew in &self.skews {
            let sequence::Skew { behind, ahead, millis } = skew;
            let _ = writeln!(text, "- the clock of {behind} is {millis} ms or more behind {ahead}");
        }
        text.trim_end().to_owned()
    }

    /// Formats the report as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let begin = select::begin(&self.lines);
        let lines = self.lines.iter().map(|chosen| {
            let line = &chosen.line;
            let fields = line.fields().iter().cloned();
            let fields = fields.map(|(name, value)| (name, serde_json::Value::String(value)));
            serde_json::json!({
                "after_ms": line.at - begin,
                "source": line.source,
                "event": line.event,
                "text": line.text,
                "fields": serde_json::Map::from_iter(fields),
                "background": chosen.background,
            })
        });
        let lines: Vec<_> = lines.collect();
        let outcome = self.outcome();
        let outcome =
            outcome.map(|(phase, after)| serde_json::json!({ "phase": phase, "after_ms": after }));
        serde_json::json!({
            "id": self.id,
            "accepted": self.is_accepted(),
            "outcome": outcome,
            "lines": lines,
            "findings": self.findings,
            "skews": self.skews,
        })
    }
}
