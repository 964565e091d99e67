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

const RETURNING: &[&str] = &["region-restarted"];

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
    let event = |key, name, size, faults| Event {
        key,
        name,
        size,
        faults,
    };
    vec![
        event(
            "rack",
            "a rack returns at once",
            dispatchers(target.rack_dispatchers),
            RETURNING,
        ),
        event("zone", "a zone returns at once", zone, RETURNING),
        event(
            "region",
            "a region returns at once",
            dispatchers(target.dispatchers_a_region()),
            RETURNING,
        ),
        event("rolling", "a rolling restart", rolling, &[]),
        event(
            "cut-off",
            "a region is cut off",
            format!(
                "{} for {}",
                dispatchers(target.dispatchers_a_region()),
                span(target.cut_off_s)
            ),
            &["link-cut", "coordinator-silent"],
        ),
        event("storm", "a purge storm", storm, &["purge-storm"]),
    ]
}
