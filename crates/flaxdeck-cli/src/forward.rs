//! `flaxdeck forward`: runs a forwarder, guided by the planners of a plan or without planners.

use std::time::Duration;

use flaxdeck::Span;
use flaxdeck_channel::authenticated::Key;
use flaxdeck_control::LeaseTerms;
use flaxdeck_control::forwarder::ForwarderOptions;
use flaxdeck_control::messages::SlotId;
use flaxdeck_dispatcher::{ControlClientOptions, StateDirectory, SubscriptionOptions};
use flaxdeck_plan::{LogFormat, Plan, WithoutContact};

use crate::exit::ExitError;
use crate::files::{self, KeyedPlan};
use crate::instance::InstanceFiles;
use crate::log;

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Runs a forwarder until SIGTERM.
pub(crate) fn run(options: &InstanceFiles) -> Result<(), ExitError> {
    options.prepare_process();
    let Some(file) = &options.plan else {
        return run_without_planners(options);
    };
    let KeyedPlan { plan, key } = files::read_plan(file)?;
    let platform = files::read_platform(&options.config)?;
    let _log = log::start(&plan.log_levels, plan.log_format)?;
    let listen = platform.listen()?;
    let state_directory = plan.state_folder.as_ref().map(|folder| StateDirectory {
        folder: files::resolve_beside(file, folder),
        name: listen.clone(),
    });
    let control_client = ControlClientOptions {
        state_directory,
        counters: options.counters.clone(),
        ..control_client_options(&plan, key, platform.window, &listen)
    };
    flaxdeck_dispatcher::run_guided(Some(&options.config), Some(control_client))
        .map_err(ExitError::failed)
}

/// Runs a forwarder without a plan: no planner guides it, and it decides by its own observations.
fn run_without_planners(options: &InstanceFiles) -> Result<(), ExitError> {
    let _log = log::start("info", LogFormat::Text)?;
    flaxdeck_dispatcher::run_guided(Some(&options.config), None).map_err(ExitError::failed)
}

/// Returns the options that a plan gives to a forwarder that listens on the address `listen`.
pub(crate) fn control_client_options(
    plan: &Plan,
    key: Key,
    window: Span,
    listen: &str,
) -> ControlClientOptions {
    let subscription = files::batch_interval(plan).map(|_| SubscriptionOptions {
        cadence: files::cadence(plan),
        report_idle_every: Span::from_ms(u64::from(plan.report_idle_ms)),
    });
    ControlClientOptions {
        state_directory: None,
        planners: plan.planners.iter().map(|planner| planner.listen).collect(),
        key,
        session: forwarder_options(plan, files::lease_terms(plan, window), listen),
        report_every: Duration::from_millis(u64::from(plan.report_every_ms)),
        subscription,
        counters: None,
    }
}

fn forwarder_options(plan: &Plan, lease_terms: LeaseTerms, listen: &str) -> ForwarderOptions {
    let unconfirmed_limit = match plan.without_contact {
        WithoutContact::RejectAfter { ms } => Some(Span::of_ms(ms)),
        WithoutContact::GoOn => None,
    };
    ForwarderOptions {
        lease_terms,
        reserve: plan.reserve,
        has_slot: plan.has_slot,
        slot: slot_of_address(listen),
        unconfirmed_limit,
    }
}

/// Returns the slot of the forwarder that listens on an address: the address's hash, which is the same after a restart.
/// Returns slot 0 where the system chooses the port, as the port differs at each start.
fn slot_of_address(listen: &str) -> SlotId {
    if listen.ends_with(":0") {
        return SlotId(0);
    }
    let mix = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    let hash = listen.bytes().fold(FNV_OFFSET, mix);
    SlotId(hash.max(1))
}
