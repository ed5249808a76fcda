//! The cases 6 to 10 of the review. Run as `stand-2 CASE RECORD FOLDER`, in the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

#![recursion_limit = "512"]

use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

mod cases;
mod http;
mod record;
mod site;
mod worker;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// Waits until a condition holds; false after a limit.
pub fn wait(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    condition()
}

pub fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// A route of the configuration.
pub fn route(name: &str, backend: &str, priority: u32) -> Value {
    json!({ "name": name, "host": site::HOST, "pathPrefix": format!("/{name}/"),
        "type": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": priority,
        "backend": backend, "attempts": 4, "stretch": 3.0, "public": false })
}

/// A job whose steps are `phases`; the worker learns from the spec what they need and how long
/// they work (`workMs`; none for tasks that last).
pub fn job(phases: Value) -> String {
    let mut plain = phases.clone();
    for phase in plain.as_array_mut().into_iter().flatten() {
        if let Some(phase) = phase.as_object_mut() {
            phase.remove("workMs");
        }
    }
    json!({ "spec": phases.to_string(), "phases": plain }).to_string()
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = args.as_slice() else {
        eprintln!("usage: stand-2 CASE RECORD FOLDER");
        exit(2);
    };
    record::open(Path::new(record));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::line(format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let verdict = cases::run(case, Path::new(folder), trouble);
    let code = match verdict {
        Verdict::Held => {
            record::line("held");
            0
        }
        Verdict::Broken(why) => {
            record::line(format!("broken: {why}"));
            1
        }
        Verdict::NotRun(why) => {
            record::line(format!("not run: {why}"));
            2
        }
    };
    exit(code);
}
