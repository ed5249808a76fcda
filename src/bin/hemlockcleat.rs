//! The operator command.

use std::env;
use std::process;

use hemlockcleat::cli;

fn main() -> process::ExitCode {
    cli::main(env::args_os())
}
