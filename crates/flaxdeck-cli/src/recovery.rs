//! `flaxdeck recovery`: forwarders and planners killed and started again among stand-ins on loopback, beside a twin in
//! which nothing of ours is killed.

use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::Duration;

use clap::{Args, ValueEnum};
use flaxdeck_emulator::fleet::{Fault, Fleet, Setup};
use flaxdeck_emulator::{End, INTERVAL, IntervalCounters, Kind, Layout, Load, Patience, World};
use flaxdeck_experiments::keep::Column;
use flaxdeck_experiments::service::{self, Lost, SLICE, Slice};

use crate::{Stop, faulty};

/// The day's course, in milliseconds from when clients begin.
const KILLED: f64 = 4_000.0;
const UP: f64 = 5_000.0;
const END: f64 = 16_000.0;
/// The promise of the stand-ins' pages for a page, with its stretch at the mean size, in milliseconds.
const IN_TIME: f64 = 440.0;
/// What a place takes on average for a request of the stand-ins, in milliseconds.
const MEAN_WORK: f64 = 21.0;
/// Forwarders that have just started leave cold hosts alone: longer than that.
const SETTLED: f64 = 5_500.0;

/// A world in which a restart may hurt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Where {
    /// Nothing else happens
    Plain,
    /// Hosts hold few connections, and clients ask again at once
    Connections,
    /// The coordinator answers three calls a second; all were told nothing since their first start
    Lists,
    /// Two caches and a parent start cold at the kill, the origin near its limit
    Cold,
}

/// What forwarders keep over the kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum State {
    /// They keep nothing at all
    None,
    /// What they kept is there
    Kept,
    /// It is gone
    Lost,
}

#[derive(Args)]
pub struct Asked {
    /// Worlds to play
    #[arg(
        long = "world",
        value_enum,
        value_delimiter = ',',
        default_value = "plain,connections,lists,cold"
    )]
    worlds: Vec<Where>,
    /// Numbers of forwarders
    #[arg(long, value_delimiter = ',', default_value = "12")]
    forwarders: Vec<usize>,
    /// QuotaFraction of the forwarders that are killed; 1 takes the planners along
    #[arg(long, value_delimiter = ',', default_value = "0.7")]
    killed: Vec<f64>,
    /// Numbers of planners
    #[arg(long, value_delimiter = ',', default_value = "0,2")]
    planners: Vec<usize>,
    /// What forwarders keep over the kill
    #[arg(long, value_enum, value_delimiter = ',', default_value = "none")]
    state: Vec<State>,
    /// Load, of what the caches serve if all is held
    #[arg(long, default_value_t = 0.6)]
    load: f64,
    /// Caches
    #[arg(long, default_value_t = 8)]
    caches: usize,
    /// Places at a cache
    #[arg(long, default_value_t = 8.0)]
    places: f64,
    /// Connections that a host holds in the world of few
    #[arg(long, default_value_t = 48)]
    connections: u32,
    /// Runs of each, each with a twin
    #[arg(long, default_value_t = 1)]
    runs: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Play a second twin in place of the killed run, to see what noise alone does
    #[arg(long)]
    noise: bool,
    /// Another build of this program to play, for a comparison
    #[arg(long)]
    program: Option<PathBuf>,
    /// Print each half second
    #[arg(long)]
    slices: bool,
    /// Keep raw results in this folder: slices.parquet, runs.parquet
    #[arg(long)]
    keep: Option<PathBuf>,
}

/// When a run's service was full, and what was lost.
type Time = (Shape, Option<f64>, Lost);

/// What all runs came to, to be kept.
#[derive(Default)]
struct Kept {
    /// Whether it is the twin, and its slices.
    runs: Vec<(Shape, bool, Vec<Slice>)>,
    times: Vec<Time>,
}

const HEAD: [&str; 16] = [
    "world",
    "forwarders",
    "planners",
    "killed",
    "state",
    "full, s",
    "worst",
    "in hand",
    "while down",
    "after",
    "held most",
    "turned away",
    "lists/s",
    "origin refuses",
    "of bound",
    "broken",
];

/// Cells under their names.
fn spaced(cells: &[String]) -> String {
    let cell =
        |(cell, name): (&String, &&str)| format!("{cell:>width$}", width = name.len().max(9));
    cells
        .iter()
        .zip(&HEAD)
        .map(cell)
        .collect::<Vec<_>>()
        .join("  ")
}

/// Raw results as tables.
fn keep(folder: &Path, kept: &Kept) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let words = |of: &dyn Fn(&Shape) -> String| -> Column {
        Column::Text(
            kept.runs
                .iter()
                .flat_map(|(shape, _, slices)| slices.iter().map(|_| of(shape)))
                .collect(),
        )
    };
    let whole = |of: &dyn Fn(&Shape, bool, usize, &Slice) -> i64| -> Column {
        let rows = kept.runs.iter().flat_map(|(shape, twin, slices)| {
            slices
                .iter()
                .enumerate()
                .map(|(at, slice)| of(shape, *twin, at, slice))
        });
        Column::Whole(rows.collect())
    };
    let columns = [
        (
            "world",
            words(&|shape| format!("{:?}", shape.place).to_lowercase()),
        ),
        (
            "state",
            words(&|shape| format!("{:?}", shape.state).to_lowercase()),
        ),
        (
            "forwarders",
            whole(&|shape, _, _, _| shape.forwarders as i64),
        ),
        ("planners", whole(&|shape, _, _, _| shape.planners as i64)),
        (
            "killed_percent",
            whole(&|shape, _, _, _| (shape.killed * 100.0).round() as i64),
        ),
        ("seed", whole(&|shape, _, _, _| shape.seed as i64)),
        ("is_twin", whole(&|_, twin, _, _| i64::from(twin))),
        ("from_ms", whole(&|_, _, at, _| (at as f64 * SLICE) as i64)),
        ("wants", whole(&|_, _, _, slice| slice.wants as i64)),
        ("in_time", whole(&|_, _, _, slice| slice.in_time as i64)),
        ("rejected", whole(&|_, _, _, slice| slice.rejected as i64)),
        (
            "cache_answers",
            whole(&|_, _, _, slice| slice.answers as i64),
        ),
        ("cache_hits", whole(&|_, _, _, slice| slice.hits as i64)),
        (
            "turned_away",
            whole(&|_, _, _, slice| slice.turned_away as i64),
        ),
    ];
    flaxdeck_experiments::keep::write(&folder.join("slices.parquet"), &columns)?;
    let number = |of: &dyn Fn(&Time) -> f64| Column::Number(kept.times.iter().map(of).collect());
    let text = |of: &dyn Fn(&Shape) -> String| {
        Column::Text(kept.times.iter().map(|(shape, ..)| of(shape)).collect())
    };
    let columns = [
        (
            "world",
            text(&|shape| format!("{:?}", shape.place).to_lowercase()),
        ),
        (
            "state",
            text(&|shape| format!("{:?}", shape.state).to_lowercase()),
        ),
        ("forwarders", number(&|(shape, ..)| shape.forwarders as f64)),
        ("planners", number(&|(shape, ..)| shape.planners as f64)),
        ("killed", number(&|(shape, ..)| shape.killed)),
        ("seed", number(&|(shape, ..)| shape.seed as f64)),
        // Minus one for a run that never came back in full.
        ("full_ms", number(&|(_, full, _)| full.unwrap_or(-1.0))),
        ("lost_in_hand", number(&|(.., lost)| lost.in_hand)),
        ("lost_while_down", number(&|(.., lost)| lost.while_down)),
        ("lost_after", number(&|(.., lost)| lost.after)),
    ];
    flaxdeck_experiments::keep::write(&folder.join("runs.parquet"), &columns)
}

#[derive(Clone, Copy)]
struct Shape {
    place: Where,
    forwarders: usize,
    planners: usize,
    killed: f64,
    state: State,
    seed: u64,
}

struct Played {
    slices: Vec<Slice>,
    intervals: Vec<IntervalCounters>,
    breaches: Vec<String>,
    most_of_bound: f64,
    even: bool,
}

pub fn run(asked: &Asked) -> Result<(), Stop> {
    if asked.killed.iter().any(|part| !(0.0..=1.0).contains(part)) {
        return Err(faulty("--killed takes parts from 0 to 1"));
    }
    println!("{}", spaced(&HEAD.map(String::from)));
    let (mut broken, mut kept) = (0, Kept::default());
    for place in &asked.worlds {
        for forwarders in &asked.forwarders {
            for planners in &asked.planners {
                for (killed, state) in asked
                    .killed
                    .iter()
                    .flat_map(|killed| asked.state.iter().map(move |state| (*killed, *state)))
                {
                    let (place, forwarders, planners, seed) = (*place, *forwarders, *planners, 0);
                    let shape = Shape {
                        place,
                        forwarders,
                        planners,
                        killed,
                        state,
                        seed,
                    };
                    broken += row(asked, shape, &mut kept)?;
                }
            }
        }
    }
    if let Some(folder) = &asked.keep {
        keep(folder, &kept)?;
    }
    if broken == 0 {
        Ok(())
    } else {
        Err(Stop(1, format!("{broken} times a rule was broken")))
    }
}

/// Plays the runs of one row and prints it; gives how often a rule was broken.
fn row(asked: &Asked, shape: Shape, kept: &mut Kept) -> Result<usize, Stop> {
    let (mut times, mut losses, mut broken) = (Vec::new(), Vec::new(), Vec::new());
    let (mut most, mut peaks, mut refused) = (0.0f64, [0u32; 3], 0);
    for seed in asked.seed..asked.seed + asked.runs {
        let shape = Shape { seed, ..shape };
        let twin = play(
            asked,
            Shape {
                killed: 0.0,
                ..shape
            },
        )?;
        let played = play(
            asked,
            if asked.noise {
                Shape {
                    killed: 0.0,
                    ..shape
                }
            } else {
                shape
            },
        )?;
        times.push(service::full_service(&played.slices, &twin.slices, UP));
        losses.push(service::lost(&played.slices, &twin.slices, KILLED, UP));
        kept.runs.push((shape, true, twin.slices.clone()));
        kept.runs.push((shape, false, played.slices.clone()));
        kept.times
            .push((shape, times[times.len() - 1], losses[losses.len() - 1]));
        if asked.slices {
            show(&played, &twin);
        }
        for run in [&twin, &played] {
            broken.extend(run.breaches.iter().cloned());
            if !run.even {
                broken.push("some request was not accounted for".into());
            }
        }
        most = most.max(played.most_of_bound);
        let sum = |pick: fn(&IntervalCounters) -> u32, from: f64, to: f64| -> u32 {
            let (from, to) = ((from / INTERVAL) as usize, (to / INTERVAL) as usize);
            played.intervals.iter().take(to).skip(from).map(pick).sum()
        };
        peaks[0] = peaks[0].max(
            played
                .intervals
                .iter()
                .map(|pulse| pulse.held_most)
                .max()
                .unwrap_or(0),
        );
        peaks[1] = peaks[1].max(sum(|pulse| pulse.turned_away, KILLED, END));
        let seconds = (KILLED as u32 / 1000..END as u32 / 1000).map(|s| f64::from(s) * 1000.0);
        peaks[2] = peaks[2].max(
            seconds
                .map(|s| sum(|p| p.list_calls, s, s + 1000.0))
                .max()
                .unwrap_or(0),
        );
        refused += sum(|pulse| pulse.origin_refused, KILLED, END);
    }
    let mean = |pick: fn(&Lost) -> f64| losses.iter().map(pick).sum::<f64>() / losses.len() as f64;
    let [median, worst] = service::median_and_worst(&times);
    let told =
        |time: Option<f64>| time.map_or("never".to_owned(), |ms| format!("{:.1}", ms / 1000.0));
    let whole = |figure: f64| format!("{figure:.0}");
    let cells = vec![
        format!("{:?}", shape.place).to_lowercase(),
        shape.forwarders.to_string(),
        shape.planners.to_string(),
        shape.killed.to_string(),
        format!("{:?}", shape.state).to_lowercase(),
        told(median),
        told(worst),
        whole(mean(|lost| lost.in_hand)),
        whole(mean(|lost| lost.while_down)),
        whole(mean(|lost| lost.after)),
        peaks[0].to_string(),
        peaks[1].to_string(),
        peaks[2].to_string(),
        (refused / asked.runs.max(1) as u32).to_string(),
        format!("{most:.2}"),
        broken.len().to_string(),
    ];
    println!("{}", spaced(&cells));
    broken
        .iter()
        .take(3)
        .for_each(|breach| println!("    {breach}"));
    Ok(broken.len())
}

fn show(played: &Played, twin: &Played) {
    for (at, (one, two)) in played.slices.iter().zip(&twin.slices).enumerate() {
        let share = |slice: &Slice| slice.in_time as f64 / slice.wants.max(1) as f64;
        let hits = |slice: &Slice| slice.hits as f64 / slice.answers.max(1) as f64;
        println!(
            "    {:>5.1} s  in time {:.4} ({:.4})  rejected {} ({})  hits {:.3} ({:.3})  turned away {} ({})",
            at as f64 * SLICE / 1000.0,
            share(one),
            share(two),
            one.rejected,
            two.rejected,
            hits(one),
            hits(two),
            one.turned_away,
            two.turned_away
        );
    }
}

fn layout(asked: &Asked, shape: Shape) -> Layout {
    let base = Layout {
        caches: asked.caches,
        cache_places: asked.places,
        parents: 3,
        forwarders: shape.forwarders,
        sockets: 1024,
        ..Layout::default()
    };
    match shape.place {
        Where::Plain => base,
        Where::Connections => Layout {
            host_connections: asked.connections,
            ..base
        },
        Where::Lists => Layout {
            lists_per_s: 3.0,
            ..base
        },
        Where::Cold => Layout {
            origin_places: 8.0,
            ..base
        },
    }
}

fn play(asked: &Asked, shape: Shape) -> Result<Played, Stop> {
    let binary = match &asked.program {
        Some(program) => program.clone(),
        None => {
            std::env::current_exe().map_err(|error| format!("no path of this program: {error}"))?
        }
    };
    let world = World::start(layout(asked, shape))?;
    let (caches, parents) = (world.hosts(Kind::Cache), world.hosts(Kind::Parent));
    let setup = Setup {
        first_file: shape.place == Where::Lists,
        ..Setup::of(binary, shape.planners, shape.forwarders)
    };
    let setup = Setup {
        state: shape.state != State::None,
        ..setup
    };
    let mut fleet = Fleet::start(world, setup)?;
    if shape.state != State::None {
        // State is kept from the second start on.
        for at in 0..shape.forwarders {
            fleet.cause(&Fault::KillForwarder(at))?;
            fleet.cause(&Fault::StartForwarder(at))?;
        }
    }
    let begins = fleet.world.now() + SETTLED;
    let rate = asked.load * asked.caches as f64 * asked.places / MEAN_WORK * 1000.0;
    let load = Load {
        seed: shape.seed,
        rates: vec![rate / shape.forwarders as f64],
        objects: 3_000,
        power: 0.8,
        writes: 0.01,
        from_ms: begins - 1_000.0,
        to_ms: begins + END,
        wait_ms: 2_500,
        names_from: 0,
    };
    let kinds: &[Patience] = match shape.place {
        Where::Connections => &[Patience::AtOnce],
        _ => &[Patience::AsTold, Patience::AtOnce, Patience::GivesUp],
    };
    let clients = fleet
        .world
        .retrying_clients(&fleet.addresses(), &load, kinds);
    let mut script = Vec::new();
    if shape.place == Where::Cold {
        let cold = [&caches[0], &caches[1], &parents[0]];
        script.extend(cold.map(|host| (begins + KILLED, Fault::RestartHost(host.clone()))));
    }
    if shape.place == Where::Lists {
        script.push((begins + KILLED + 300.0, Fault::Drain(caches[0].clone())));
    }
    let count = (shape.killed * shape.forwarders as f64).round() as usize;
    let planners = if shape.killed >= 1.0 || shape.killed > 0.0 {
        shape.planners
    } else {
        0
    };
    script.extend((0..count).map(|at| (begins + KILLED, Fault::KillForwarder(at))));
    if shape.state == State::Lost {
        script.extend((0..count).map(|at| (begins + KILLED + 1.0, Fault::LoseState(at))));
    }
    script.extend((0..planners).map(|at| (begins + KILLED, Fault::KillPlanner(at))));
    script.extend((0..planners).map(|at| (begins + UP, Fault::StartPlanner(at))));
    script.extend((0..count).map(|at| (begins + UP, Fault::StartForwarder(at))));
    script.sort_by(|a, b| a.0.total_cmp(&b.0));
    fleet.play(&script)?;
    let limit = begins + END + 6_000.0;
    while !clients.done() && fleet.world.now() < limit {
        sleep(Duration::from_millis(20));
    }
    let mut slices = vec![Slice::default(); (END / SLICE) as usize];
    for outcome in clients.outcomes() {
        let at = (outcome.first - begins) / SLICE;
        let Some(slice) = Some(at)
            .filter(|at| *at >= 0.0)
            .and_then(|at| slices.get_mut(at as usize))
        else {
            continue;
        };
        slice.wants += 1;
        slice.in_time += u64::from(matches!(outcome.end, End::Served(took) if took <= IN_TIME));
        slice.rejected += u64::from(outcome.end == End::Rejected);
    }
    let intervals: Vec<IntervalCounters> = fleet
        .world
        .intervals()
        .into_iter()
        .skip((begins / INTERVAL) as usize)
        .collect();
    for (at, pulse) in intervals.iter().enumerate() {
        let Some(slice) = slices.get_mut((at as f64 * INTERVAL / SLICE) as usize) else {
            break;
        };
        slice.answers += u64::from(pulse.cache_answers);
        slice.hits += u64::from(pulse.cache_hits);
        slice.turned_away += u64::from(pulse.turned_away);
    }
    let verdict = fleet.world.verdict();
    let mut breaches: Vec<String> = verdict
        .violations
        .iter()
        .map(|breach| format!("rule {}: {}", breach.rule, breach.description))
        .collect();
    if clients.wrong_bytes() > 0 {
        breaches.push(format!(
            "{} answers held wrong bytes",
            clients.wrong_bytes()
        ));
    }
    Ok(Played {
        slices,
        intervals,
        breaches,
        most_of_bound: verdict.peak_cold_load,
        even: verdict.all_accounted_for(),
    })
}
