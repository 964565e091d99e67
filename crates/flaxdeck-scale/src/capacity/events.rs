//! Exceptional situations that the target file names (a rack or zone that restarts, a purge storm, ...): the size of
//! each, and the faults of runs that show a part of it. What follows from reading the code is written in the page's
//! template.

use super::figures::{count, duration, figure};
use crate::target::Target;

/// An exceptional situation for the fleet, a row of a table of the page.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The key by which the template selects its text.
    pub key: &'static str,
    /// Its name on the page.
    pub name: &'static str,
    /// Its size as text.
    pub size: String,
    /// The faults, as named in scale files, of the runs that show a part of it.
    pub faults: &'static [&'static str],
}

/// Faults of runs in which dispatchers restart.
const RESTART_FAULTS: &[&str] = &["region-restarted"];
/// Faults of runs in which dispatchers lose contact with a part of the control plane.
const CONTACT_LOSS_FAULTS: &[&str] = &["link-cut", "coordinator-silent"];

/// Returns all events of the target, the smallest first.
pub fn events(target: &Target) -> Vec<Event> {
    let dispatchers = |number: f64| format!("{} dispatchers", count(number));
    let zone = format!(
        "{}, {} hosts",
        dispatchers(target.dispatchers_per_zone()),
        count(target.hosts_per_zone())
    );
    let rolling = format!(
        "{} in {}, {} a second",
        dispatchers(target.restarts_per_day),
        duration(target.rolling_within_s),
        figure(target.rolling_per_s())
    );
    let storm = format!(
        "{} purges a second for {}",
        count(target.storm_per_s()),
        duration(target.storm_s)
    );
    let cut_off = format!(
        "{} for {}",
        dispatchers(target.dispatchers_per_region()),
        duration(target.cut_off_s)
    );
    let rack = dispatchers(target.rack_dispatchers);
    let region = dispatchers(target.dispatchers_per_region());
    vec![
        event("rack", "a rack returns at once", rack, RESTART_FAULTS),
        event("zone", "a zone returns at once", zone, RESTART_FAULTS),
        event("region", "a region returns at once", region, RESTART_FAULTS),
        event("rolling", "a rolling restart", rolling, &[]),
        event(
            "cut-off",
            "a region is cut off",
            cut_off,
            CONTACT_LOSS_FAULTS,
        ),
        event("storm", "a purge storm", storm, &["purge-storm"]),
    ]
}

fn event(
    key: &'static str,
    name: &'static str,
    size: String,
    faults: &'static [&'static str],
) -> Event {
    Event {
        key,
        name,
        size,
        faults,
    }
}
