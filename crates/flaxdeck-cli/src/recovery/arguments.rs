//! The command line of `flaxdeck recovery`, and the trials that it asks for.

use std::path::PathBuf;

use clap::{Args, ValueEnum};

/// A world in which a restart may hurt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Environment {
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
pub(crate) enum SavedState {
    /// They keep nothing at all
    None,
    /// What they kept is there
    Kept,
    /// It is gone
    Lost,
}

/// Arguments of `flaxdeck recovery`.
#[derive(Args)]
pub(crate) struct Arguments {
    /// Worlds to play
    #[arg(
        long = "world",
        value_enum,
        value_delimiter = ',',
        default_value = "plain,connections,lists,cold"
    )]
    pub worlds: Vec<Environment>,
    /// Numbers of forwarders
    #[arg(long, value_delimiter = ',', default_value = "12")]
    pub forwarders: Vec<usize>,
    /// Parts of the forwarders that are killed; 1 takes the planners along
    #[arg(long, value_delimiter = ',', default_value = "0.7")]
    pub killed: Vec<f64>,
    /// Numbers of planners
    #[arg(long, value_delimiter = ',', default_value = "0,2")]
    pub planners: Vec<usize>,
    /// What forwarders keep over the kill
    #[arg(long, value_enum, value_delimiter = ',', default_value = "none")]
    pub state: Vec<SavedState>,
    /// Load, of what the caches serve if all is held
    #[arg(long, default_value_t = 0.6)]
    pub load: f64,
    /// Caches
    #[arg(long, default_value_t = 8)]
    pub caches: usize,
    /// Places at a cache
    #[arg(long, default_value_t = 8.0)]
    pub places: f64,
    /// Connections that a host holds in the world of few
    #[arg(long, default_value_t = 48)]
    pub connections: u32,
    /// Runs of each, each with a twin
    #[arg(long, default_value_t = 1)]
    pub runs: u64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Play a second twin in place of the killed run, to see what noise alone does
    #[arg(long)]
    pub noise: bool,
    /// Another build of this program to play, for a comparison
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Print each half second
    #[arg(long)]
    pub slices: bool,
    /// Keep raw results in this folder: slices.parquet, runs.parquet
    #[arg(long)]
    pub keep: Option<PathBuf>,
}

/// The conditions of one run.
#[derive(Clone, Copy)]
pub(crate) struct Trial {
    pub environment: Environment,
    pub forwarders: usize,
    pub planners: usize,
    /// The fraction of the forwarders that are killed.
    pub killed: f64,
    pub state: SavedState,
    pub seed: u64,
}

impl Trial {
    /// Returns the environment's name in tables.
    pub(crate) fn environment_name(&self) -> String {
        format!("{:?}", self.environment).to_lowercase()
    }

    /// Returns the saved state's name in tables.
    pub(crate) fn state_name(&self) -> String {
        format!("{:?}", self.state).to_lowercase()
    }

    /// Returns the same trial with no forwarder or planner killed.
    pub(crate) fn twin(self) -> Trial {
        Trial {
            killed: 0.0,
            ..self
        }
    }

    /// Returns how many forwarders are killed: those with the lowest indices.
    pub(crate) fn killed_forwarders(&self) -> usize {
        (self.killed * self.forwarders as f64).round() as usize
    }

    /// Returns how many planners are killed: all of them if `killed` is above 0, otherwise none.
    pub(crate) fn killed_planners(&self) -> usize {
        if self.killed > 0.0 { self.planners } else { 0 }
    }
}

impl Arguments {
    /// Returns every combination of the conditions, each with the first seed.
    pub(crate) fn trials(&self) -> Vec<Trial> {
        let mut trials = Vec::new();
        for environment in &self.worlds {
            for forwarders in &self.forwarders {
                for planners in &self.planners {
                    for killed in &self.killed {
                        for state in &self.state {
                            trials.push(Trial {
                                environment: *environment,
                                forwarders: *forwarders,
                                planners: *planners,
                                killed: *killed,
                                state: *state,
                                seed: self.seed,
                            });
                        }
                    }
                }
            }
        }
        trials
    }
}
