//! The daemon: one workload manager on real sockets. On SIGTERM it completes the open requests and
//! exits.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use yokelift::startup::{self, Options};

fn main() -> ExitCode {
    match startup::run(&Options::from_environment()) {
        Ok(counters) => {
            eprintln!("yokelift: {counters}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("yokelift: {error}");
            ExitCode::FAILURE
        }
    }
}
