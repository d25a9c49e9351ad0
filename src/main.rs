//! One workload manager on real sockets.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use yokelift::config;

fn run() -> Result<(), String> {
    let path = std::env::var_os("PROXY_CONFIG").ok_or("PROXY_CONFIG names no configuration file")?;
    let config = config::read(&PathBuf::from(path))?;
    Err(format!("{}: this version reads its configuration and does not serve yet", config.name))
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("yokelift: {message}");
            ExitCode::FAILURE
        }
    }
}
