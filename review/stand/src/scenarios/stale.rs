//! The leader is paused while a configuration is acknowledged, and asked for it as it wakes.

use super::*;
use crate::deployment::{Signal, signal};
use crate::http;

const ROUNDS: u64 = 12;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result {
    let (deployment, _workers) = start(record, 2, 1, &[("/q/", 1)])?;
    let (mut old, mut answers) = (Vec::new(), 0);
    for version in 2..2 + ROUNDS {
        let leader = deployment.leader().ok_or("no control process leads")?;
        let paused = [Deployment::pid(&deployment.controls[leader])];
        if trouble {
            signal(&paused, Signal::Stop);
        }
        if !deployment.configure(&config(version, &[("/q/", 1)], &[KEY]), Duration::from_secs(9)) {
            return Err("the configuration was not acknowledged".to_owned());
        }
        sleep(2050);
        signal(&paused, Signal::Continue);
        for attempt in 0..60 {
            let addr =
                deployment.control_addr(if attempt % 3 == 0 { attempt % 9 / 3 } else { leader });
            let timeout = Duration::from_millis(900);
            let answer = http::call(addr, "GET", "/-/config", &[], "", timeout);
            let Some(answer) = answer.filter(|answer| answer.status == 200) else { continue };
            answers += 1;
            let read: serde_json::Value = serde_json::from_str(&answer.body).unwrap_or_default();
            if read["version"].as_u64() < Some(version) {
                old.push(format!("{addr} answered {} after {version}", read["version"]));
            }
        }
        sleep(500);
    }
    record.say(format!("{answers} reads, {} old", old.len()));
    deployment.stop();
    match old.first() {
        Some(first) => Ok(Outcome::Broken(first.clone())),
        None => Ok(Outcome::Held),
    }
}
