//! Decides for each item of the stored state whether it is still valid.
//!
//! Validity is decided by facts: the start of a cache host, the coordinator's numbering, the instance's own name. Age
//! decides only where it can be measured, which is by the machine's uptime. The wall clock is not used, as it may have
//! been set forward or back in the meantime.

use std::collections::BTreeMap;

use flaxdeck::Span;

use crate::numbering::EventPosition;
use crate::stored_state::{
    StoredEndpoint, StoredMeasurements, StoredPurge, StoredRating, StoredState, Uptime,
};

/// Maximum age of restored measurements of a source: older ones say less than the first new trials of the source.
const MEASUREMENTS_LIFETIME: Span = Span::from_ms(60_000);
/// Maximum age of a restored success or failure of a host: beyond it, the host may behave differently.
const CONTACTS_LIFETIME: Span = Span::from_ms(10_000);

/// Whether one item of the stored state is used, and why, for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Name of the item, as printed in the log and by `flaxdeck state`.
    pub item: &'static str,
    /// Whether the item is used.
    pub is_valid: bool,
    /// Why the item is used or not, as text for the operator.
    pub reason: String,
}

impl Verdict {
    fn new(item: &'static str, is_valid: bool, reason: impl Into<String>) -> Verdict {
        Verdict {
            item,
            is_valid,
            reason: reason.into(),
        }
    }
}

/// The valid part of the stored state, which an instance starts with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestoredState {
    /// The last stored event, which the next connection to the coordinator has to prove. None if the configuration's
    /// last event is later.
    pub last_event: Option<EventPosition>,
    /// The full endpoint list as of `last_event`.
    pub endpoints: Vec<StoredEndpoint>,
    /// The purges that may be unsettled.
    pub purges: Vec<StoredPurge>,
    /// Ratings of cache hosts, with their ages as of now.
    pub ratings: Vec<StoredRating>,
    /// How long the instance must leave its own quotas of warming hosts unused, as it may have lent them before the
    /// restart. None if the stored state does not tell.
    pub startup_wait: Option<Span>,
    /// The verdict on each item.
    pub verdicts: Vec<Verdict>,
}

/// The facts that the stored state is validated against.
#[derive(Clone, Copy, Debug)]
pub struct CurrentFacts {
    /// The current uptime of the machine.
    pub uptime: Uptime,
    /// The last event of the configuration that the instance starts with.
    pub configured_event: EventPosition,
    /// How long the instance leaves its own quotas unused if the stored state does not tell.
    pub startup_wait: Span,
}

/// Validates the stored state item by item. Items that others depend on come first: ratings need the restored endpoints
/// and the age.
pub fn validate(stored: StoredState, facts: CurrentFacts) -> RestoredState {
    let mut restored = RestoredState::default();
    let age = facts.uptime.since(stored.written);
    restored.verdicts.push(age_verdict(age));
    restored.restore_endpoints(stored.last_event, stored.endpoints, facts);
    restored.restore_purges(stored.purges);
    restored.restore_ratings(stored.ratings, age);
    restored.restore_startup_wait(stored.lent_until, age, facts);
    restored
}

fn format_seconds(span: Span) -> String {
    format!("{:.1} s", span.ms() / 1000.0)
}

fn age_verdict(age: Option<Span>) -> Verdict {
    match age {
        Some(age) => Verdict::new(
            "age",
            true,
            format!(
                "written {} ago by the machine's uptime",
                format_seconds(age)
            ),
        ),
        None => Verdict::new(
            "age",
            false,
            "unknown: the machine has rebooted since or its boot id is unreadable, and the wall clock is not reliable",
        ),
    }
}

impl RestoredState {
    /// The stored event number needs no further check here: the coordinator has to prove it, so a wrong one costs no
    /// more than a full list.
    fn restore_endpoints(
        &mut self,
        last_event: EventPosition,
        endpoints: Vec<StoredEndpoint>,
        facts: CurrentFacts,
    ) {
        let number = last_event.number;
        let configured = facts.configured_event.number;
        if number < configured || last_event == EventPosition::NONE {
            let reason = format!("stored event {number}, configured event {configured}");
            self.verdicts.push(Verdict::new("event", false, reason));
            let reason = "the configuration's endpoint list is used instead of the stored one";
            self.verdicts.push(Verdict::new("hosts", false, reason));
            return;
        }
        let reason = format!(
            "stored event {number}, to be proven by the next connection to the coordinator"
        );
        self.verdicts.push(Verdict::new("event", true, reason));
        let count = endpoints.len();
        let reason =
            format!("{count} endpoints as of the stored event, unconfirmed until it is proven");
        self.verdicts.push(Verdict::new("hosts", true, reason));
        self.last_event = Some(last_event);
        self.endpoints = endpoints;
    }

    /// All stored purges are restored: a superfluous one costs a fill, while a missing one lets a purged copy be
    /// served.
    fn restore_purges(&mut self, purges: Vec<StoredPurge>) {
        let reason = format!(
            "{} purges, which only limit the age of served copies",
            purges.len()
        );
        self.verdicts.push(Verdict::new("purges", true, reason));
        self.purges = purges;
    }

    /// Restores the ratings of listed hosts that have not restarted since, if the age of the ratings is known.
    fn restore_ratings(&mut self, ratings: Vec<StoredRating>, age: Option<Span>) {
        let starts: BTreeMap<&str, u64> = self
            .endpoints
            .iter()
            .map(|endpoint| (&*endpoint.host, endpoint.started))
            .collect();
        let count = ratings.len();
        let restored: Vec<StoredRating> = ratings
            .into_iter()
            .filter(|rating| starts.get(&*rating.host) == Some(&rating.started))
            .filter_map(|rating| aged_rating(rating, age?))
            .collect();
        let reason = format!(
            "{} of {count} are recent and of listed, unrestarted hosts; failed contacts override them",
            restored.len()
        );
        self.verdicts
            .push(Verdict::new("ratings", !restored.is_empty(), reason));
        self.ratings = restored;
    }

    /// An instance stores the end of its leases before it grants them, so none can be outstanding beyond the stored
    /// time.
    fn restore_startup_wait(
        &mut self,
        lent_until: Option<Uptime>,
        age: Option<Span>,
        facts: CurrentFacts,
    ) {
        let outstanding = match lent_until {
            None => Some(Span::ZERO),
            Some(until) => (until.boot == facts.uptime.boot)
                .then(|| Span::from_ms(until.ms.saturating_sub(facts.uptime.ms))),
        };
        let wait = outstanding
            .filter(|_| age.is_some())
            .map(|outstanding| outstanding.min(facts.startup_wait));
        let reason = match wait {
            Some(wait) => format!("all granted leases end within {}", format_seconds(wait)),
            None => format!(
                "own quotas stay unused for {}, as if all of them were lent",
                format_seconds(facts.startup_wait)
            ),
        };
        self.verdicts
            .push(Verdict::new("shares", wait.is_some(), reason));
        self.startup_wait = wait;
    }
}

/// Returns the rating with `elapsed` added to its ages, without the parts that are too old; none if all of them are.
fn aged_rating(rating: StoredRating, elapsed: Span) -> Option<StoredRating> {
    let within = |ago: Option<u64>, lifetime: Span| {
        ago.map(|ago| ago + elapsed.ms() as u64)
            .filter(|ago| Span::from_ms(*ago) <= lifetime)
    };
    let measured_ago_ms = within(rating.measured_ago_ms, MEASUREMENTS_LIFETIME);
    let last_success_ago_ms = within(rating.last_success_ago_ms, CONTACTS_LIFETIME);
    let last_failure_ago_ms = within(rating.last_failure_ago_ms, CONTACTS_LIFETIME);
    measured_ago_ms
        .or(last_success_ago_ms)
        .or(last_failure_ago_ms)?;
    let measurements = if measured_ago_ms.is_some() {
        rating.measurements
    } else {
        StoredMeasurements::default()
    };
    Some(StoredRating {
        measurements,
        measured_ago_ms,
        last_success_ago_ms,
        last_failure_ago_ms,
        ..rating
    })
}
