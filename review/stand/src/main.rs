//! Scenarios of the review cases. Usage: `stand SCENARIO FOLDER`; `TROUBLE=0` leaves out the
//! disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod deployment;
mod http;
mod record;
mod scenarios;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// The longest time that a scenario may take.
const LIMIT: Duration = Duration::from_secs(112);

/// The outcome of a scenario.
pub enum Outcome {
    Held,
    Broken(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = args.as_slice() else {
        eprintln!("usage: stand SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let record = match record::Record::create(&folder) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{}: {error}", folder.display());
            return ExitCode::from(2);
        }
    };
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        deployment::end_all();
        std::process::exit(2);
    }));
    let limited = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        limited.say("the time is up");
        deployment::end_all();
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = scenarios::run(scenario, &record, trouble);
    deployment::end_all();
    match outcome {
        Ok(Outcome::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken(detail)) => {
            record.say(format!("the rule is broken: {detail}"));
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(format!("the case couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}
