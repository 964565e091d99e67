//! What a subscriber knows of one planner.

use flaxdeck::{Span, Time};

use crate::messages::Subscription;

/// A request that was not answered, or was answered by what could not be taken, is repeated after so long.
pub(super) const RETRY_AFTER: Span = Span::from_ms(500);
/// A planner that was preferred is followed again only once it has been connected for so long.
pub(super) const STABLE_AFTER: Span = Span::from_ms(5_000);
/// A planner that was left for its silence is avoided for that long, twice as long each further time, up to this many
/// doublings.
pub(super) const MAX_DOUBLINGS: u32 = 5;

/// What was last asked of a planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Request {
    pub(super) subscription: Subscription,
    /// When it was first sent.
    pub(super) first: Time,
    /// When it was last sent.
    pub(super) last: Time,
    pub(super) is_answered: bool,
}

/// A planner as a subscriber knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Planner {
    pub(super) connected_since: Option<Time>,
    pub(super) request: Option<Request>,
    /// Since when events are wanted of it.
    pub(super) wanted_since: Option<Time>,
    /// From when on it has to be told anew what is wanted.
    pub(super) retry_at: Option<Time>,
    /// When it last delivered what was of use.
    pub(super) last_delivered: Option<Time>,
    /// It has said that it does not know the position since anything was applied.
    pub(super) is_behind: bool,
    pub(super) avoided_until: Time,
    /// How often it was left for its silence without having been stable since.
    failures: u32,
    /// It had heard what was sent to it at that moment before it wrote what it delivers.
    pub(super) echoed: Option<Time>,
}

/// Requests of one kind differ by no more than the position, which a planner that is followed keeps track of itself.
pub(super) fn is_same_kind(one: Subscription, other: Subscription) -> bool {
    std::mem::discriminant(&one) == std::mem::discriminant(&other)
}

impl Planner {
    /// A connection was opened: what belongs to an earlier one is forgotten.
    pub(super) fn connected(&mut self, now: Time) {
        *self = Planner {
            connected_since: Some(now),
            avoided_until: self.avoided_until,
            failures: self.failures,
            ..Planner::default()
        };
    }

    /// The connection has ended.
    pub(super) fn disconnected(&mut self) {
        self.connected_since = None;
        self.request = None;
        self.wanted_since = None;
    }

    pub(super) fn is_connected(&self) -> bool {
        self.connected_since.is_some()
    }

    /// Whether it has been connected for a while, and is not avoided.
    pub(super) fn is_stable(&self, now: Time) -> bool {
        let is_long_connected = self
            .connected_since
            .is_some_and(|connected| now.since(connected) >= STABLE_AFTER);
        is_long_connected && now >= self.avoided_until
    }

    /// It has delivered what was of use.
    pub(super) fn record_delivery(&mut self, now: Time) {
        self.last_delivered = Some(now);
        if self.is_stable(now) {
            self.failures = 0;
        }
    }

    /// It has to be told anew what is wanted, at that time if not sooner.
    pub(super) fn retry_by(&mut self, at: Time) {
        self.retry_at.get_or_insert(at);
    }

    /// It was left for its silence.
    pub(super) fn avoid(&mut self, now: Time) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.avoided_until = now + STABLE_AFTER * f64::from(1_u32 << doublings);
        self.failures += 1;
    }

    /// Whether a request is due, for what is wanted of it now.
    pub(super) fn is_request_due(&self, now: Time, wanted: Subscription) -> bool {
        let Some(request) = self.request else {
            return wanted != Subscription::None;
        };
        let is_retry_due = self.retry_at.is_some_and(|at| now >= at);
        let is_unanswered = wanted != Subscription::None
            && !request.is_answered
            && now.since(request.last) >= RETRY_AFTER;
        !is_same_kind(request.subscription, wanted) || is_retry_due || is_unanswered
    }

    /// What is wanted of it is sent now.
    pub(super) fn record_request(&mut self, now: Time, wanted: Subscription) {
        // A request that is only repeated may be answered by what was written after the first time.
        let is_repeated =
            |request: &Request| !request.is_answered && is_same_kind(request.subscription, wanted);
        let first = self
            .request
            .filter(is_repeated)
            .map_or(now, |request| request.first);
        self.request = Some(Request {
            subscription: wanted,
            first,
            last: now,
            is_answered: false,
        });
        let since = self.wanted_since.unwrap_or(now);
        self.wanted_since = (wanted != Subscription::None).then_some(since);
        self.retry_at = None;
    }
}
