//! The command-line options of the long-running sub-commands `forward` and `plan`.

use std::path::PathBuf;

use clap::Args;
use flaxdeck_net::clock;

#[derive(Args)]
pub(crate) struct InstanceFiles {
    /// The platform's JSON
    #[arg(long, env = "GW_CONFIG")]
    pub config: String,
    /// The operator's plan, in S-expressions; without one a forwarder goes by its own picture alone
    #[arg(long)]
    pub plan: Option<String>,
    /// Run with a wall clock so many milliseconds ahead, for tests
    #[arg(long, hide = true, default_value_t = 0, allow_hyphen_values = true)]
    clock_apart_ms: i64,
    /// Write all counters to that file as they grow, for measurements
    #[arg(long, hide = true)]
    pub counters: Option<PathBuf>,
    /// End when standard input closes or the parent process ends, for measurements
    #[arg(long, hide = true)]
    ends_with_parent: bool,
}

impl InstanceFiles {
    /// Applies the options that must take effect before the process does anything else.
    pub(crate) fn prepare_process(&self) {
        clock::set_offset_ms(self.clock_apart_ms);
        if self.ends_with_parent {
            flaxdeck_scale::processes::end_with_parent();
        }
    }
}
