//! The binary `flaxdeck`: a command line over the workspace's libraries, with one module for each sub-command.

mod arguments;
mod capacity;
mod check;
mod compare;
mod demo;
mod exit;
mod files;
mod forward;
mod instance;
mod levels;
mod log;
mod model;
mod plan;
mod recovery;
mod scale;
mod scenario_files;
mod state;

use std::process::ExitCode;

use clap::Parser;

use arguments::{Arguments, Command};
use exit::ExitError;

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(ExitError { code, message }) => {
            eprintln!("{message}");
            ExitCode::from(code)
        }
    }
}

fn run(command: Command) -> Result<(), ExitError> {
    match command {
        Command::Forward(options) => forward::run(&options),
        Command::Plan { files, name } => plan::run(&files, &name),
        Command::Demo { rate, alone, log } => demo::run(rate, alone, log),
        Command::Levels {
            forwarders,
            rate,
            runs,
            seed,
        } => levels::run(&forwarders, rate, runs, seed),
        Command::Recovery(arguments) => recovery::run(&arguments),
        Command::Scale(arguments) => scale::run(&arguments),
        Command::ScaleHollow { orders } => scale::run_hollow_forwarders(&orders),
        Command::ScaleCoordinator { orders } => scale::run_coordinator(&orders),
        Command::Model { file, seed } => model::run(&file, seed),
        Command::Compare(arguments) => compare::run(&arguments),
        Command::Capacity(arguments) => capacity::run(&arguments),
        Command::State { folder, json } => state::run(&folder, json),
        Command::Check(arguments) => check::run(&arguments),
    }
}
