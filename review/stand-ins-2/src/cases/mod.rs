//! The cases, one module each.

mod bad_figure;
mod drains;
mod kept_list;
mod renewals;
mod silent_planners;
mod slow_news;
mod stale_start;

use std::io;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

use crate::client::Clients;
use crate::coordinator::Coordinator;
use crate::process::{self, Process};
use crate::world::{KINDS, Rules, ZONES};
use crate::{Play, Verdict};

/// Runs a case by its name.
pub fn run(case: &str, play: &Play) -> io::Result<Verdict> {
    match case {
        "slow-news" => slow_news::run(play),
        "renewals" => renewals::run(play),
        "kept-list" => kept_list::run(play),
        "stale-start" => stale_start::run(play),
        "silent-planners" => silent_planners::run(play),
        "bad-figure" => bad_figure::run(play),
        _ => Err(io::Error::other(format!("no case {case}"))),
    }
}

/// A dispatcher that runs, and its clients.
pub struct Dispatcher {
    pub process: Process,
    pub listen: SocketAddr,
    pub clients: Clients,
}

/// Starts dispatchers as the deploy file says, each with some connections of clients.
fn start_dispatchers(
    play: &Play,
    rules: &Rules,
    coordinator: &Coordinator,
) -> io::Result<Vec<Dispatcher>> {
    let command = process::run_command(&play.root)?;
    let known = coordinator.known(&ZONES, &KINDS);
    (0..rules.dispatchers)
        .map(|number| {
            let listen = process::free_address()?;
            start_dispatcher(play, rules, &command, number, listen, coordinator, &known)
        })
        .collect()
}

/// Starts one dispatcher, whose configuration holds the `known` events.
fn start_dispatcher(
    play: &Play,
    rules: &Rules,
    command: &str,
    number: u32,
    listen: SocketAddr,
    coordinator: &Coordinator,
    known: &str,
) -> io::Result<Dispatcher> {
    let text = rules.configuration(number, listen, coordinator.address, known);
    let name = format!("n{number}");
    let path = play.folder.write(&format!("{name}.json"), &text)?;
    let path = path.to_string_lossy().into_owned();
    let listen_text = listen.to_string();
    let variables = [
        ("GW_NAME", name.as_str()),
        ("GW_LISTEN", listen_text.as_str()),
        ("GW_CONFIG", path.as_str()),
    ];
    let log = format!("{name}-{:.0}.log", play.record.now());
    let process = Process::start(&play.root, &play.folder, command, &variables, &log)?;
    Ok(Dispatcher {
        process,
        listen,
        clients: connect(play, listen)?,
    })
}

fn connect(play: &Play, listen: SocketAddr) -> io::Result<Clients> {
    process::wait_until_ready(listen)?;
    Clients::connect(listen, 4, &play.record)
}

/// Waits until that many milliseconds after the start of the run.
fn wait_until(play: &Play, ms: f64) {
    let left = ms - play.record.now();
    if left > 0.0 {
        sleep(Duration::from_secs_f64(left / 1000.0));
    }
}

/// A case whose dispatcher has ended by itself has no verdict on its rule.
fn check_running(dispatchers: &mut [Dispatcher]) -> io::Result<()> {
    if dispatchers.iter_mut().any(|one| one.process.has_ended()) {
        return Err(io::Error::other("a dispatcher has ended by itself"));
    }
    Ok(())
}
