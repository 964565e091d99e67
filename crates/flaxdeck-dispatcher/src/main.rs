//! The platform's entry: one dispatcher by itself, with the configuration that `GW_CONFIG` names. Exit code 0 after a
//! shutdown, 1 with one line on standard error where it can't start.

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
