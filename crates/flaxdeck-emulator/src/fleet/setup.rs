//! The setup of a fleet, and the plan file derived from it.

use std::net::SocketAddr;
use std::path::PathBuf;

/// The setup of a fleet.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The path of the program `flaxdeck`.
    pub binary: PathBuf,
    /// The number of planners to start.
    pub planners: usize,
    /// The number of forwarders to start.
    pub forwarders: usize,
    /// The fraction of a cold host's capacity that planners grant.
    pub reserve: f64,
    /// Whether forwarders get a plan file and so guidance from planners. Without it every forwarder is a stand-alone
    /// dispatcher, like the program `flaxdeck-dispatcher`.
    pub guided: bool,
    /// Additional forms of the plan file, such as what to do when no planner is reachable, or how events are sent.
    pub plan_forms: &'static str,
    /// Whether the programs' log lines are printed.
    pub shows_logs: bool,
    /// Whether a restarted program gets the configuration of its first start, instead of one with the current endpoint
    /// list and events.
    pub keeps_first_config: bool,
    /// Whether forwarders store state, each in its own folder. They do so from their second start on, because stored
    /// state is named after the address, which is known only then.
    pub keeps_state: bool,
}

impl Setup {
    /// Creates a setup with the defaults of the plan file, guided if there are planners.
    pub fn new(binary: PathBuf, planners: usize, forwarders: usize) -> Setup {
        Setup {
            binary,
            planners,
            forwarders,
            reserve: 0.0,
            guided: planners > 0,
            plan_forms: "",
            shows_logs: false,
            keeps_first_config: false,
            keeps_state: false,
        }
    }

    /// Returns the plan file of an instance that connects to the planners at these addresses and stores its state in
    /// this folder.
    pub(super) fn plan(&self, planners: &[SocketAddr], state_folder: Option<&str>) -> String {
        let planner = |(index, address): (usize, &SocketAddr)| {
            format!("(planner (name p{index}) (listen \"{address}\"))")
        };
        let planners: Vec<String> = planners.iter().enumerate().map(planner).collect();
        let state = state_folder.map(|folder| format!("(state (folder \"{folder}\"))"));
        format!(
            "(plan (key-file \"fleet.key\") (planners {}) (shares (reserve {})) (reports (every-ms 100)) {} {})",
            planners.join(" "),
            self.reserve,
            self.plan_forms,
            state.unwrap_or_default()
        )
    }
}
