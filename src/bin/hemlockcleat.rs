//! The operators' command-line tool.

use std::env;
use std::process;

use hemlockcleat::cli;

fn main() -> process::ExitCode {
    cli::main(env::args_os())
}
