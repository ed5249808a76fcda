//! The operator command.

use std::process;

use hemlockcleat::ops;

fn main() -> process::ExitCode {
    if std::env::args().nth(1).as_deref() != Some("demo") {
        eprintln!("usage: hemlockcleat demo");
        return process::ExitCode::from(2);
    }
    match actix_rt::System::new().block_on(ops::demo::exec()) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            process::ExitCode::FAILURE
        }
    }
}
