//! How a fleet is set up, and the plan file that follows from it.

use std::net::SocketAddr;
use std::path::PathBuf;

/// How a fleet is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program `flaxdeck`.
    pub binary: PathBuf,
    /// Planners to start.
    pub planners: usize,
    /// Forwarders to start.
    pub forwarders: usize,
    /// The fraction of a cold host's capacity that planners grant.
    pub reserve: f64,
    /// Without planners every forwarder is a lone dispatcher: the program `flaxdeck-dispatcher` does the same.
    pub guided: bool,
    /// Further forms of the plan: what to do when nobody is heard, how events are sent.
    pub plan_forms: &'static str,
    /// Lines of the log are printed.
    pub shows_logs: bool,
    /// A program that restarts finds the configuration of its first start, not one that tells what came since.
    pub keeps_first_config: bool,
    /// Forwarders keep state, each in a folder of its own, from their second start on: then their addresses are known,
    /// which the state bears as its name.
    pub keeps_state: bool,
}

impl Setup {
    /// Guided forwarders and planners, with the defaults of the plan file.
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

    /// The plan of an instance that reaches the planners at those addresses and keeps its state in that folder.
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
