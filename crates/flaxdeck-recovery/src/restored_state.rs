//! What of stored state is still valid, item by item.
//!
//! Facts decide: the host's start, the coordinator's numbering, the instance's own name. Age decides only where a clock
//! can tell it, which is the machine's count since it booted and no wall clock: that may have been set either way in
//! between.

use std::collections::BTreeMap;

use flaxdeck::Span;

use crate::numbering::EventPosition;
use crate::stored_state::{
    StoredEndpoint, StoredMeasurements, StoredPurge, StoredRating, StoredState, Uptime,
};

/// Measurements of a source older than this are not taken over: its own trials know better by then.
const MEASUREMENTS_LIFETIME: Span = Span::from_ms(60_000);
/// A host that failed or answered longer ago than this may do otherwise by now.
const CONTACTS_LIFETIME: Span = Span::from_ms(10_000);

/// Whether one item of stored state is used, and why. The text is for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The item.
    pub item: &'static str,
    /// Whether it is used.
    pub is_valid: bool,
    /// The reason.
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

/// What an instance may count on from the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestoredState {
    /// The last event, to be proven by the next connection to the coordinator; none if the configuration's is later.
    pub last_event: Option<EventPosition>,
    /// All endpoints as of that event.
    pub endpoints: Vec<StoredEndpoint>,
    /// The purges that may not have settled.
    pub purges: Vec<StoredPurge>,
    /// What was observed of hosts, with ages as of now.
    pub ratings: Vec<StoredRating>,
    /// How long the own shares of warming hosts are not used, if that is known.
    pub startup_wait: Option<Span>,
    /// What is used of each item, and why.
    pub verdicts: Vec<Verdict>,
}

/// The facts that stored state is compared with.
#[derive(Clone, Copy, Debug)]
pub struct CurrentFacts {
    /// The machine's count now.
    pub uptime: Uptime,
    /// The last event of the configuration that the instance starts with.
    pub configured_event: EventPosition,
    /// How long its own shares would not be used if nothing was known.
    pub startup_wait: Span,
}

/// Goes through stored state, in the order in which one item rests on the other.
pub fn validate(stored: StoredState, facts: CurrentFacts) -> RestoredState {
    let mut restored = RestoredState::default();
    let age = facts.uptime.since(stored.written);
    restored.verdicts.push(judge_age(age));
    restored.restore_endpoints(stored.last_event, stored.endpoints, facts);
    restored.restore_purges(stored.purges);
    restored.restore_ratings(stored.ratings, age);
    restored.restore_startup_wait(stored.lent_until, age, facts);
    restored
}

fn seconds(span: Span) -> String {
    format!("{:.1} s", span.ms() / 1000.0)
}

fn judge_age(age: Option<Span>) -> Verdict {
    match age {
        Some(age) => Verdict::new(
            "age",
            true,
            format!("written {} ago by the machine's own count", seconds(age)),
        ),
        None => Verdict::new(
            "age",
            false,
            "the machine has booted since, and a wall clock vouches for nothing",
        ),
    }
}

impl RestoredState {
    /// A number is only a claim: the coordinator has to prove it, so a wrong one costs a full list and no more.
    fn restore_endpoints(
        &mut self,
        last_event: EventPosition,
        endpoints: Vec<StoredEndpoint>,
        facts: CurrentFacts,
    ) {
        let number = last_event.number;
        let configured = facts.configured_event.number;
        if number < configured || last_event == EventPosition::NONE {
            let reason = format!("{number}, and the configuration has {configured}");
            self.verdicts.push(Verdict::new("event", false, reason));
            let reason = "the configuration's list is of a later event";
            self.verdicts.push(Verdict::new("hosts", false, reason));
            return;
        }
        let reason = format!("{number}, to be proven by the coordinator's next word");
        self.verdicts.push(Verdict::new("event", true, reason));
        let count = endpoints.len();
        let reason = format!("{count} lines as of that event, not vouched for until then");
        self.verdicts.push(Verdict::new("hosts", true, reason));
        self.last_event = Some(last_event);
        self.endpoints = endpoints;
    }

    /// One used in vain costs a fill; one forgotten serves what was purged.
    fn restore_purges(&mut self, purges: Vec<StoredPurge>) {
        let reason = format!("{}: they only limit the age of copies", purges.len());
        self.verdicts.push(Verdict::new("purges", true, reason));
        self.purges = purges;
    }

    /// Ratings count for the same start of a listed host, and where their age is known.
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
            "{} of {count} are of the same start and young enough; a first failed contact outweighs them",
            restored.len()
        );
        self.verdicts
            .push(Verdict::new("ratings", !restored.is_empty(), reason));
        self.ratings = restored;
    }

    /// What is lent is stored before it is lent, so nothing can be outstanding that is not stored.
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
            Some(wait) => format!("nothing that was lent is out after {}", seconds(wait)),
            None => format!(
                "left alone for {}, as if all had been lent",
                seconds(facts.startup_wait)
            ),
        };
        self.verdicts
            .push(Verdict::new("shares", wait.is_some(), reason));
        self.startup_wait = wait;
    }
}

/// A rating with its ages as of `passed` later; none if nothing of it is young enough.
fn aged_rating(rating: StoredRating, passed: Span) -> Option<StoredRating> {
    let within = |ago: Option<u64>, lifetime: Span| {
        ago.map(|ago| ago + passed.ms() as u64)
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
