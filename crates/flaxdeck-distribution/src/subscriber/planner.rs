//! The state that a subscriber keeps for one planner.

use flaxdeck::{Span, Time};

use crate::messages::Subscription;

/// Time after which a request is repeated that was not answered, or was answered by a delivery that could not be
/// applied.
pub(super) const RETRY_AFTER: Span = Span::from_ms(500);
/// How long a preferred planner must have been connected before the forwarder switches back to it.
pub(super) const STABLE_AFTER: Span = Span::from_ms(5_000);
/// A planner that was silent is avoided for [`STABLE_AFTER`]. The time doubles with each further silence, up to this
/// many times.
pub(super) const MAX_DOUBLINGS: u32 = 5;

/// The last request sent to a planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Request {
    pub(super) subscription: Subscription,
    /// When the request was first sent.
    pub(super) first_sent: Time,
    /// When the request was last sent.
    pub(super) last_sent: Time,
    pub(super) is_answered: bool,
}

/// The state of one planner from the subscriber's point of view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Planner {
    pub(super) connected_since: Option<Time>,
    pub(super) request: Option<Request>,
    /// Since when the planner has been asked for events.
    pub(super) requested_since: Option<Time>,
    /// When the current request is due to be sent again, if it is.
    pub(super) retry_at: Option<Time>,
    /// When it last made a useful delivery.
    pub(super) last_delivered: Option<Time>,
    /// It has answered that it does not know the position, and the position has not changed since.
    pub(super) is_behind: bool,
    pub(super) avoided_until: Time,
    /// How often it was silent since it was last stable.
    failures: u32,
    /// When the forwarder sent the last message that the planner had received before it wrote its latest delivery.
    pub(super) echoed_send_time: Option<Time>,
}

/// Returns whether two requests differ at most in the position. A planner that sends events advances the position
/// itself, so a request that differs only in that need not be sent.
pub(super) fn is_same_kind(left: Subscription, right: Subscription) -> bool {
    std::mem::discriminant(&left) == std::mem::discriminant(&right)
}

impl Planner {
    /// Resets what belongs to an earlier connection when a new one is opened.
    pub(super) fn connected(&mut self, now: Time) {
        *self = Planner {
            connected_since: Some(now),
            avoided_until: self.avoided_until,
            failures: self.failures,
            ..Planner::default()
        };
    }

    /// Clears the request when the connection has ended.
    pub(super) fn disconnected(&mut self) {
        self.connected_since = None;
        self.request = None;
        self.requested_since = None;
    }

    pub(super) fn is_connected(&self) -> bool {
        self.connected_since.is_some()
    }

    /// Returns whether it has been connected for a while and is not avoided.
    pub(super) fn is_stable(&self, now: Time) -> bool {
        let is_long_connected = self
            .connected_since
            .is_some_and(|connected| now.since(connected) >= STABLE_AFTER);
        is_long_connected && now >= self.avoided_until
    }

    /// Records a useful delivery.
    pub(super) fn record_delivery(&mut self, now: Time) {
        self.last_delivered = Some(now);
        if self.is_stable(now) {
            self.failures = 0;
        }
    }

    /// Schedules the current request to be sent again at that time, unless it is scheduled already.
    pub(super) fn retry_by(&mut self, at: Time) {
        self.retry_at.get_or_insert(at);
    }

    /// Avoids the planner for a time, because it was silent.
    pub(super) fn avoid(&mut self, now: Time) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.avoided_until = now + STABLE_AFTER * f64::from(1_u32 << doublings);
        self.failures += 1;
    }

    /// Returns whether the desired subscription has to be sent now.
    pub(super) fn is_request_due(&self, now: Time, desired: Subscription) -> bool {
        let Some(request) = self.request else {
            return desired != Subscription::None;
        };
        let is_retry_due = self.retry_at.is_some_and(|at| now >= at);
        let is_unanswered = desired != Subscription::None
            && !request.is_answered
            && now.since(request.last_sent) >= RETRY_AFTER;
        !is_same_kind(request.subscription, desired) || is_retry_due || is_unanswered
    }

    /// Records that the desired subscription is sent now.
    pub(super) fn record_request(&mut self, now: Time, desired: Subscription) {
        // A delivery written after the first transmission may already answer a repeated request.
        let is_repeated =
            |request: &Request| !request.is_answered && is_same_kind(request.subscription, desired);
        let first_sent = self
            .request
            .filter(is_repeated)
            .map_or(now, |request| request.first_sent);
        self.request = Some(Request {
            subscription: desired,
            first_sent,
            last_sent: now,
            is_answered: false,
        });
        let since = self.requested_since.unwrap_or(now);
        self.requested_since = (desired != Subscription::None).then_some(since);
        self.retry_at = None;
    }
}
