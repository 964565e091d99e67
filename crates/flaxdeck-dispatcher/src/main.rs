//! The entry point that the platform starts: a dispatcher without planners, with the configuration file that
//! `GW_CONFIG` names. Exits with 0 after a shutdown, and with 1 and one line on standard error if it can't start.

use std::process::ExitCode;

fn main() -> ExitCode {
    match flaxdeck_dispatcher::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("flaxdeck-dispatcher: {error}");
            ExitCode::FAILURE
        }
    }
}
