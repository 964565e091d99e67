//! Rows beside the ordinary day: what the target names, its size, and the faults of runs that show something of it. What
//! reading tells of each stands in the page's template.

use super::figures::{count, figure, span};
use crate::target::Target;

/// Something that happens beside the ordinary day.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// By which the template knows it.
    pub key: &'static str,
    /// Its name on the page.
    pub name: &'static str,
    /// How large it is, in words.
    pub size: String,
    /// Faults of runs, by their words in a scale file, that show a part of it.
    pub faults: &'static [&'static str],
}

/// Faults of runs in which dispatchers return.
const RETURNING: &[&str] = &["region-restarted"];
/// Faults of runs in which dispatchers are cut off from a part of the control plane.
const ISOLATING: &[&str] = &["link-cut", "coordinator-silent"];

/// All of them, the smallest first.
pub fn events(target: &Target) -> Vec<Event> {
    let dispatchers = |number: f64| format!("{} dispatchers", count(number));
    let zone = format!(
        "{}, {} hosts",
        dispatchers(target.dispatchers_a_zone()),
        count(target.hosts_a_zone())
    );
    let rolling = format!(
        "{} in {}, {} a second",
        dispatchers(target.restarts_per_day),
        span(target.rolling_within_s),
        figure(target.rolling_per_s())
    );
    let storm = format!(
        "{} purges a second for {}",
        count(target.storm_per_s()),
        span(target.storm_s)
    );
    let cut_off = format!(
        "{} for {}",
        dispatchers(target.dispatchers_a_region()),
        span(target.cut_off_s)
    );
    let rack = dispatchers(target.rack_dispatchers);
    let region = dispatchers(target.dispatchers_a_region());
    vec![
        event("rack", "a rack returns at once", rack, RETURNING),
        event("zone", "a zone returns at once", zone, RETURNING),
        event("region", "a region returns at once", region, RETURNING),
        event("rolling", "a rolling restart", rolling, &[]),
        event("cut-off", "a region is cut off", cut_off, ISOLATING),
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
