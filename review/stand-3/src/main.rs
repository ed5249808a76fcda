//! Plays one case of the review against the project's own programs.
//!
//! Usage: `stand-3 CASE FOLDER`, in the root of the repository. Exits with 1 if the rule was broken,
//! with 0 if it held and with 2 if the case could not run.

#![recursion_limit = "512"]

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

mod cases;
mod http;
mod record;
mod system;
mod worker;

/// No case takes longer.
const LIMIT: Duration = Duration::from_secs(114);

/// The outcome of a case.
pub enum Verdict {
    Broken,
    Held,
    Unplayed,
}

/// A configuration with a queue for each of the priorities 0 to 2, and two tenants.
pub fn configuration(version: u64, guarantees: [u64; 2]) -> Value {
    let route = |priority: u64, attempts: u64| {
        json!({
            "name": format!("r-{priority}"), "host": system::HOST, "pathPrefix": format!("/p{priority}/"),
            "type": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": priority,
            "backend": system::POOL, "attempts": attempts, "stretch": 3.0, "public": false,
        })
    };
    json!({
        "version": version,
        "routes": [route(0, 2), route(1, 4), route(2, 4)],
        "services": [{
            "name": system::POOL, "healthCheckPath": "/healthz", "maxConnections": 64, "protocol": "h1",
            "tls": false, "enforcesCapacity": true, "standby": false,
        }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [
            { "name": "tenant-a", "apiKeys": ["key-a"], "priority": 1, "guaranteedGpus": { "gpus": guarantees[0] } },
            { "name": "tenant-b", "apiKeys": ["key-b"], "priority": 1, "guaranteedGpus": { "gpus": guarantees[1] } },
        ],
    })
}

fn main() {
    let mut args = std::env::args().skip(1).peekable();
    if args.next_if(|first| first == "guard").is_some() {
        return system::guard();
    }
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: stand-3 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&Path::new(&folder).join("record.txt"));
    record
        .line(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let Some(case) = cases::find(&case) else {
        eprintln!("no such case");
        exit(2);
    };
    let system = Arc::new(system::System::start(record.clone(), case.workers));
    let watched = system.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watched.record.line("the case took too long");
        watched.stop();
        exit(2);
    });
    let played = system.clone();
    let play = thread::spawn(move || (case.play)(&played, trouble));
    let verdict = play.join().unwrap_or(Verdict::Unplayed);
    system.stop();
    let (code, text) = match verdict {
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::Held => (0, "the rule held"),
        Verdict::Unplayed => (2, "the case could not run"),
    };
    record.line(text);
    println!("{text}");
    exit(code);
}
