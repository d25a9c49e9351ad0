//! Rehearses short scenarios against the daemon, and checks deploy files.
#![forbid(unsafe_code)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use yokelift::{deploy, kit::script};

const USE: &str = "use: yokelift-kit rehearse SCRIPT | yokelift-kit check FILE";

fn run(words: &[String]) -> Result<(), Vec<String>> {
    let one = |e: String| vec![e];
    match words {
        [word, file] if word == "check" => {
            let deploy = deploy::read(Path::new(file)).map_err(one)?;
            let (engines, users) = (deploy.engines.len(), deploy.users.len());
            println!("{file}: listens on {}, {engines} engines, {users} users", deploy.listen);
            Ok(())
        }
        [word, file] if word == "rehearse" => {
            let text = std::fs::read_to_string(file).map_err(|e| one(format!("{file}: {e}")))?;
            let me = std::env::current_exe().map_err(|e| one(e.to_string()))?;
            // The daemon is shipped beside the kit.
            let daemon: PathBuf = me.with_file_name("yokelift");
            script::play(&daemon, &text, &mut |line| println!("{line}"))
        }
        _ => Err(one(USE.into())),
    }
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match run(&words) {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            wrong.iter().for_each(|line| eprintln!("yokelift-kit: {line}"));
            ExitCode::FAILURE
        }
    }
}
