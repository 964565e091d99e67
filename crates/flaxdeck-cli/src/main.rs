//! The program `flaxdeck`: one binary for people, over the libraries.

mod capacity;
mod compare;
mod demo;
mod files;
mod levels;
mod log;
mod recovery;
mod scale;
mod shapes;
mod state;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use flaxdeck::Span;
use flaxdeck_channel::authenticated::Key;
use flaxdeck_control::QuotaFraction;
use flaxdeck_control::forwarder::ForwarderOptions;
use flaxdeck_control::messages::SlotId;
use flaxdeck_dispatcher::{Digests, Guidelines, Keeps};
use flaxdeck_experiments::Limits;
use flaxdeck_net::clock;
use flaxdeck_plan::{LogFormat, Plan, WithoutContact};

/// Exit codes that scripts can use: 0 done, 1 failed while running, 2 a file or the command line has faults.
const FAULTY: u8 = 2;

#[derive(Parser)]
#[command(name = "flaxdeck", version, about = "A traffic router for a two-tier cache", long_about = LONG)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

const LONG: &str = "A traffic router for a two-tier cache.

Forwarders carry requests from clients to cache hosts and decide each one by themselves. Planners hear from all
forwarders and tell each what the others saw, and who may use how much of a cold host. Either level goes on without
the other.

Exit codes: 0 done, 1 failed while running, 2 faults in a file or on the command line.";

#[derive(Subcommand)]
enum Command {
    /// Carry requests, guided by the planners of the plan
    ///
    /// Reads the platform's JSON (hosts, settings, limits) and the operator's plan, listens where the JSON says, and
    /// runs until SIGTERM, after which every request still gets its answer. SIGHUP has the JSON read again.
    Forward(Files),
    /// ForwarderSession forwarders
    ///
    /// Listens where the plan says for the planner of that name, and runs until SIGTERM or ctrl-c. It may be killed
    /// at any time: what it has granted runs off by itself.
    Plan {
        #[command(flatten)]
        files: Files,
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
    Recovery(recovery::Asked),
    /// Measure what the control plane costs at size, with hollow forwarders beside real programs, on loopback
    ///
    /// Reads a scale file (S-expressions, see scale/), starts everything that it names, measures over a window and ends
    /// by itself. A size over a bound is refused before anything starts.
    Scale(scale::Asked),
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
    Compare {
        a: String,
        b: String,
        /// Seconds to spend
        #[arg(long, default_value_t = 60)]
        budget_s: u64,
        /// Pairs at most
        #[arg(long, default_value_t = 10_000)]
        pairs: u64,
        /// The chance that any interval is ever wrong
        #[arg(long, default_value_t = 0.05)]
        level: f64,
        /// Differences up to this don't matter
        #[arg(long, default_value_t = 0.005)]
        matters: f64,
        /// Kinds of faults to draw, one a pair in turn
        #[arg(long, value_delimiter = ',')]
        kinds: Vec<String>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Give A and B seeds of their own, to see what noise alone does
        #[arg(long)]
        apart: bool,
        /// Judge every run by the rules
        #[arg(long)]
        judged: bool,
        /// Print JSON, for programs
        #[arg(long)]
        json: bool,
    },
    /// Compute what the control plane takes at the size of a target, from slopes of scale runs; print it as Markdown
    Capacity(capacity::Asked),
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
    Check {
        /// The plan
        file: String,
        /// Print what follows from the plan as well
        #[arg(long)]
        explain: bool,
        /// Print JSON, for programs
        #[arg(long)]
        json: bool,
        /// The window of the platform's settings, in milliseconds, for --explain
        #[arg(long, default_value_t = 3000)]
        window_ms: u64,
    },
}

#[derive(Args)]
struct Files {
    /// The platform's JSON
    #[arg(long, env = "GW_CONFIG")]
    config: String,
    /// The operator's plan, in S-expressions; without one a forwarder goes by its own picture alone
    #[arg(long)]
    plan: Option<String>,
    /// Run with a wall clock so many milliseconds ahead, for tests
    #[arg(long, hide = true, default_value_t = 0, allow_hyphen_values = true)]
    clock_apart_ms: i64,
    /// Write all counters to that file as they grow, for measurements
    #[arg(long, hide = true)]
    counters: Option<PathBuf>,
    /// End when standard input closes or the parent process ends, for measurements
    #[arg(long, hide = true)]
    ends_with_parent: bool,
}

impl Files {
    /// What has to be in effect before anything else of the process.
    fn begin_process(&self) {
        clock::run_apart(self.clock_apart_ms);
        if self.ends_with_parent {
            flaxdeck_scale::processes::end_with_parent();
        }
    }
}

/// What ends the program, with its exit code.
struct Stop(u8, String);

impl From<String> for Stop {
    fn from(why: String) -> Stop {
        Stop(1, why)
    }
}

fn faulty(why: impl Into<String>) -> Stop {
    Stop(FAULTY, why.into())
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Forward(files) => forward(&files),
        Command::Plan { files, name } => plan(&files, &name),
        Command::Demo { rate, alone, log } => demo::run(rate, alone, log),
        Command::Levels {
            forwarders,
            rate,
            runs,
            seed,
        } => levels::run(&forwarders, rate, runs, seed),
        Command::Recovery(asked) => recovery::run(&asked),
        Command::Scale(asked) => scale::run(&asked),
        Command::ScaleHollow { orders } => scale::hollow(&orders),
        Command::ScaleCoordinator { orders } => scale::coordinator(&orders),
        Command::Model { file, seed } => compare::model(&file, seed),
        Command::Compare {
            a,
            b,
            budget_s,
            pairs,
            level,
            matters,
            kinds,
            seed,
            apart,
            judged,
            json,
        } => {
            let budget = Duration::from_secs(budget_s);
            let limits = Limits {
                budget,
                pairs,
                level,
                matters,
                kinds,
                seed,
                apart,
            };
            let asked = compare::Asked {
                a,
                b,
                limits,
                judged,
                json,
            };
            compare::compare(&asked)
        }
        Command::Capacity(asked) => capacity::run(&asked),
        Command::State { folder, json } => state::show(&folder, json),
        Command::Check {
            file,
            explain,
            json,
            window_ms,
        } => check(&file, explain, json, window_ms),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Stop(code, why)) => {
            eprintln!("{why}");
            ExitCode::from(code)
        }
    }
}

fn stance(
    plan: &Plan,
    lease_terms: flaxdeck_control::LeaseTerms,
    listen: &str,
) -> ForwarderOptions {
    // Where the system chooses the port it is another at each start.
    let hash = listen.bytes().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    let seat = SlotId(if listen.ends_with(":0") {
        0
    } else {
        hash.max(1)
    });
    let blind_after = match plan.without_contact {
        WithoutContact::RejectAfter { ms } => Some(Span::of_ms(ms)),
        WithoutContact::GoOn => None,
    };
    ForwarderOptions {
        lease_terms,
        reserve: plan.reserve,
        has_slot: plan.has_slot,
        slot: seat,
        unconfirmed_limit: blind_after,
    }
}

/// What a plan tells a forwarder that listens there.
fn guidelines(plan: &Plan, key: Key, window: Span, listen: &str) -> Guidelines {
    Guidelines {
        keeps: None,
        planners: plan.planners.iter().map(|planner| planner.listen).collect(),
        key,
        stance: stance(plan, files::lease_terms(plan, window), listen),
        report_every: Duration::from_millis(u64::from(plan.report_every_ms)),
        digests: files::batch_every(plan).map(|_| Digests {
            cadence: files::cadence(plan),
            report_idle_every: Span::from_ms(u64::from(plan.report_idle_ms)),
        }),
        counters: None,
    }
}

fn forward(files: &Files) -> Result<(), Stop> {
    files.begin_process();
    let Some(plan) = &files.plan else {
        let _log = log::start("info", LogFormat::Text)?;
        return Ok(flaxdeck_dispatcher::run_guided(Some(&files.config), None)?);
    };
    let (plan, key) = files::plan(plan)?;
    let world = files::world(&files.config)?;
    let _log = log::start(&plan.log_levels, plan.log_format)?;
    let file = files.plan.as_deref().unwrap_or_default();
    let folder = plan
        .state_folder
        .as_ref()
        .map(|folder| files::beside(file, folder));
    let keeps = match folder {
        Some(folder) => Some(Keeps {
            folder,
            name: world.listen()?,
        }),
        None => None,
    };
    let mut guidelines = guidelines(&plan, key, world.window, &world.listen()?);
    (guidelines.keeps, guidelines.counters) = (keeps, files.counters.clone());
    Ok(flaxdeck_dispatcher::run_guided(
        Some(&files.config),
        Some(guidelines),
    )?)
}

fn plan(files: &Files, name: &str) -> Result<(), Stop> {
    files.begin_process();
    let file = files
        .plan
        .as_ref()
        .ok_or_else(|| faulty("a planner needs --plan FILE"))?;
    let (plan, key) = files::plan(file)?;
    let names: Vec<&str> = plan.planners.iter().map(|planner| &*planner.name).collect();
    let planner = plan.planners.iter().find(|planner| planner.name == name);
    let planner = planner.ok_or_else(|| {
        faulty(format!(
            "{file}: there is no planner {name}, there are: {}",
            names.join(" ")
        ))
    })?;
    let world = files::world(&files.config)?;
    let _log = log::start(&plan.log_levels, plan.log_format)?;
    let own = QuotaFraction::rounded_down(plan.reserve / plan.planners.len() as f64);
    let lease_terms = files::lease_terms(&plan, world.window);
    let (name, listen) = (planner.name.clone(), planner.listen);
    let (cadence, counters) = (files::cadence(&plan), files.counters.clone());
    let start = || {
        let (watch, known) = world.watch(&name)?;
        Ok(flaxdeck_planner::Start {
            name,
            listen,
            key,
            lease_terms,
            own,
            cadence,
            watch,
            known,
            counters,
        })
    };
    Ok(flaxdeck_planner::run(start)?)
}

fn check(file: &str, explain: bool, json: bool, window_ms: u64) -> Result<(), Stop> {
    let text = files::text(file)?;
    let read = flaxdeck_plan::read(file, &text);
    if json {
        let row = |fault: &flaxdeck_plan::Fault| {
            let (line, column) = (fault.place.line, fault.place.column);
            serde_json::json!({"file": fault.file, "line": line, "column": column, "what": fault.problem,
                "why": fault.reason, "mend": fault.remedy})
        };
        let rows: Vec<_> = read.as_ref().err().into_iter().flatten().map(row).collect();
        println!(
            "{}",
            serde_json::json!({"good": read.is_ok(), "faults": rows})
        );
    }
    let plan = match read {
        Ok(plan) => plan,
        Err(_) if json => return Err(Stop(FAULTY, String::new())),
        Err(faults) => {
            return Err(faulty(
                faults
                    .iter()
                    .map(ToString::to_string)
                    .collect::<Vec<_>>()
                    .join("\n"),
            ));
        }
    };
    if !json {
        println!("{file}: good");
    }
    if explain {
        let lease_terms = files::lease_terms(&plan, Span::from_ms(window_ms));
        let ms = |span: Span| format!("{:.0} ms", span.ms());
        println!("with a window of {window_ms} ms:");
        println!(
            "  a forwarder keeps to what it lent for          {}",
            ms(lease_terms.deposit_duration)
        );
        println!(
            "  a planner counts on a deposit for              {}",
            ms(lease_terms.deposit_counted_for())
        );
        println!(
            "  a grant may be used for                        {}",
            ms(lease_terms.grant_duration)
        );
        println!(
            "  a planner holds a grant as out for             {}",
            ms(lease_terms.grant_reserved_for())
        );
        println!(
            "  a forwarder that starts leaves its share for   {}",
            ms(lease_terms.forwarder_startup_wait())
        );
        println!(
            "  a planner that starts leaves its own part for  {}",
            ms(lease_terms.planner_startup_wait())
        );
        println!(
            "  of a cold host the seats divide {:.2}, planners grant {:.2}",
            1.0 - plan.reserve,
            plan.reserve
        );
    }
    Ok(())
}
