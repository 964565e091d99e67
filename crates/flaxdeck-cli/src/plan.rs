//! `flaxdeck plan`: runs a planner.

use flaxdeck_control::QuotaFraction;

use crate::exit::{ExitError, usage_error};
use crate::files::{self, KeyedPlan};
use crate::instance::InstanceFiles;
use crate::log;

/// Runs a planner until SIGTERM or ctrl-c.
pub(crate) fn run(options: &InstanceFiles, name: &str) -> Result<(), ExitError> {
    options.prepare_process();
    let Some(file) = &options.plan else {
        return Err(usage_error("a planner needs --plan FILE"));
    };
    let KeyedPlan { plan, key } = files::read_plan(file)?;
    let planner = plan.planners.iter().find(|planner| planner.name == name);
    let Some(planner) = planner else {
        let names: Vec<&str> = plan.planners.iter().map(|planner| &*planner.name).collect();
        return Err(usage_error(format!(
            "{file}: there is no planner {name}, there are: {}",
            names.join(" ")
        )));
    };
    let platform = files::read_platform(&options.config)?;
    let _log = log::start(&plan.log_levels, plan.log_format)?;
    let start = || -> Result<_, String> {
        let (watch, known) = platform.watch(&planner.name)?;
        Ok(flaxdeck_planner::Start {
            name: planner.name.clone(),
            listen: planner.listen,
            key,
            lease_terms: files::lease_terms(&plan, platform.window),
            own: QuotaFraction::rounded_down(plan.reserve / plan.planners.len() as f64),
            cadence: files::cadence(&plan),
            watch,
            known,
            counters: options.counters.clone(),
        })
    };
    flaxdeck_planner::run(start).map_err(|error| ExitError::failed(error.to_string()))
}
