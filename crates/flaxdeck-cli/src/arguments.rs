//! The command line, parsed by clap. The doc comments of its types and fields are the texts of `--help`.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::instance::InstanceFiles;
use crate::{capacity, check, compare, recovery, scale};

#[derive(Parser)]
#[command(name = "flaxdeck", version, about = "A traffic router for a two-tier cache", long_about = LONG_ABOUT)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub command: Command,
}

const LONG_ABOUT: &str = "A traffic router for a two-tier cache.

Forwarders carry requests from clients to cache hosts and decide each one by themselves. Planners hear from all
forwarders and tell each what the others saw, and who may use how much of a cold host. Either level goes on without
the other.

Exit codes: 0 done, 1 failed while running, 2 faults in a file or on the command line.";

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Carry requests, guided by the planners of the plan
    ///
    /// Reads the platform's JSON (hosts, settings, limits) and the operator's plan, listens where the JSON says, and
    /// runs until SIGTERM, after which every request still gets its answer. SIGHUP has the JSON read again.
    Forward(InstanceFiles),
    /// Guide forwarders
    ///
    /// Listens where the plan says for the planner of that name, and runs until SIGTERM or ctrl-c. It may be killed
    /// at any time: what it has granted runs off by itself.
    Plan {
        #[command(flatten)]
        files: InstanceFiles,
        /// Which of the plan's planners this is
        #[arg(long)]
        name: String,
    },
    /// Show it all at work: a small world on loopback that loses a planner, ends by itself within 20 seconds
    ///
    /// Starts hosts, a coordinator, two planners, three forwarders and clients. A cache starts cold, a planner is
    /// killed, a cache drains; at the end a table tells what became of every request, and whether a rule was broken.
    Demo {
        /// Requests a second at the busiest forwarder
        #[arg(long, default_value_t = 150.0)]
        rate: f64,
        /// Let the forwarders go without planners, to compare
        #[arg(long)]
        alone: bool,
        /// Show the programs' logs
        #[arg(long)]
        log: bool,
    },
    /// Play the same day with planners and without, side by side, on loopback
    ///
    /// A cache starts cold, a parent fails for a while; load is uneven between the forwarders. Prints a table with a
    /// row for each run: share in time, fills at the origin, use of the cold cache, attempts to the failed parent,
    /// bytes between the levels, rules broken. Each run takes about 25 seconds.
    Levels {
        /// Numbers of forwarders to play
        #[arg(long, value_delimiter = ',', default_value = "2,8")]
        forwarders: Vec<usize>,
        /// Requests a second over all forwarders
        #[arg(long, default_value_t = 1000.0)]
        rate: f64,
        /// Runs of each kind
        #[arg(long, default_value_t = 1)]
        runs: u64,
        /// Seed of the first run
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Kill and restart forwarders and planners among stand-ins, beside a twin in which nothing of ours is killed
    ///
    /// Prints a row for each kind of world: seconds until service is as the twin's for 5 s, requests lost beyond the twin's
    /// (in hand at the kill, asked while down, after the return), peaks at the stand-ins, rules broken. A run with its
    /// twin takes about 50 seconds.
    Recovery(recovery::Arguments),
    /// Measure what the control plane costs at size, with hollow forwarders beside real programs, on loopback
    ///
    /// Reads a scale file (S-expressions, see scale/), starts everything that it names, measures over a window and ends
    /// by itself. A size over a bound is refused before anything starts.
    Scale(scale::Arguments),
    /// A process of hollow forwarders, started by `scale`
    #[command(hide = true)]
    ScaleHollow { orders: PathBuf },
    /// The stand-in coordinator, started by `scale`
    #[command(hide = true)]
    ScaleCoordinator { orders: PathBuf },
    /// Play one day of a model of the fleet in virtual time, and judge it by the rules
    Model {
        /// The model's file, see docs/comparing.md
        file: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Tell whether model B does better than model A, by how much, and how sure that is
    ///
    /// Plays pairs of days with the same seeds and faults until the interval of the gain's difference is clear of 0, or
    /// within what does not matter, or the budget is out. The intervals hold however often one looks.
    Compare(compare::Arguments),
    /// Compute what the control plane takes at the size of a target, from slopes of scale runs; print it as Markdown
    Capacity(capacity::Arguments),
    /// Tell what a forwarder's state folder holds, how old it is, and what of it would be believed now and why
    ///
    /// Changes nothing. Exit code 0 if it can be read whole, 1 if it is damaged or empty.
    State {
        folder: String,
        /// Print JSON, for programs
        #[arg(long)]
        json: bool,
    },
    /// Check a plan and print its faults as file:line:column: what, why, how to mend
    Check(check::Arguments),
}
