//! The real dispatcher: flaxdeck on sockets. Each layer calls only downwards: program, routing, protocol,
//! transport.

mod program;
mod protocol;
mod routing;
mod transport;

use std::process::ExitCode;

fn main() -> ExitCode {
    match program::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("flaxdeck-dispatcher: {why}");
            ExitCode::FAILURE
        }
    }
}
