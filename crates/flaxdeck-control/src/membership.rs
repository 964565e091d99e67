//! Selects the planner that holds the leases of a host's incarnation, from each forwarder's own view of which planners
//! are live.
//!
//! There is no election. The views of two forwarders may differ for a while; [`crate::quotas`] keeps the total within
//! the host's quota even then.

use flaxdeck::hash::{mix, of_name};
use flaxdeck::{Span, Time};

use crate::error::MessageError;
use crate::messages::{Epoch, Incarnation};

/// A planner from which nothing was received for this long is not live: three report intervals and the slowest answer
/// that is still of use.
pub const SILENCE_TIMEOUT: Span = Span::from_ms(1_000);
/// A planner that returns after a silence is preferred as lease holder only once it has been live for this long, so
/// that deposits do not move back and forth with a planner that is only intermittently reachable.
pub const STABLE_AFTER: Span = Span::from_ms(500);
/// Number of invalid messages after which a planner is ignored.
const MAX_INVALID_MESSAGES: u32 = 3;
/// How long a planner is ignored after too many invalid messages.
const IGNORE_DURATION: Span = Span::from_ms(30_000);

/// Index of a planner in the operator's configuration, the same at every forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerId(pub u32);

/// A forwarder's view of one planner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PlannerStatus {
    id: PlannerId,
    /// The run that sent the last accepted message; zero if there was none.
    epoch: Epoch,
    /// The number of the last message accepted from that run.
    last_number: u64,
    /// When the report was created that its last valid guidance answers. The guidance was valid at that time or later.
    valid_at: Option<Time>,
    /// When the last message was accepted; cleared when the planner becomes ignored.
    last_heard: Option<Time>,
    /// Start of the current uninterrupted live period.
    live_since: Time,
    invalid_messages: u32,
    ignored_until: Time,
    silence_timeout: Span,
    /// Whether a connection was opened and no message was accepted since. The first message on it determines the
    /// current run.
    awaits_first_contact: bool,
}

impl PlannerStatus {
    /// Creates the view of a planner from which nothing was received yet.
    pub fn new(id: PlannerId) -> PlannerStatus {
        PlannerStatus {
            id,
            epoch: Epoch(0),
            last_number: 0,
            valid_at: None,
            last_heard: None,
            live_since: Time::default(),
            invalid_messages: 0,
            ignored_until: Time::default(),
            silence_timeout: SILENCE_TIMEOUT,
            awaits_first_contact: false,
        }
    }

    /// Returns the planner's index in the operator's configuration.
    pub fn id(&self) -> PlannerId {
        self.id
    }

    /// Returns the run that sent the last accepted message; zero if there was none.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the time as of which its last valid guidance counts; `None` if there was none.
    pub fn valid_at(&self) -> Option<Time> {
        self.valid_at
    }

    /// Records valid guidance that answers a report created at `at`.
    pub fn record_valid(&mut self, at: Time) {
        self.valid_at = Some(at);
    }

    /// Sets how long the planner may be silent before it is no longer live, for reports at longer intervals than usual.
    /// Values below [`SILENCE_TIMEOUT`] are raised to it.
    pub fn set_silence_timeout(&mut self, timeout: Span) {
        self.silence_timeout = timeout.max(SILENCE_TIMEOUT);
    }

    /// Records that a connection to the planner was opened. Only the current run can have accepted it, so the next
    /// message is accepted even with a lower epoch. Without that, a run with a lower epoch counts as an earlier one,
    /// which is wrong if the clock was set back between the two starts.
    pub fn connection_opened(&mut self) {
        self.awaits_first_contact = true;
    }

    /// Checks run and number of a message and records it as the last one accepted. Its content may still be invalid.
    ///
    /// # Errors
    ///
    /// [`MessageError::SenderIgnored`], [`MessageError::OldEpoch`] or [`MessageError::OutOfOrder`].
    pub fn admit(&mut self, now: Time, epoch: Epoch, number: u64) -> Result<(), MessageError> {
        if now < self.ignored_until {
            return Err(MessageError::SenderIgnored {
                until: self.ignored_until,
            });
        }
        if epoch < self.epoch && !self.awaits_first_contact {
            return Err(MessageError::OldEpoch { epoch });
        }
        if epoch == self.epoch && number <= self.last_number {
            return Err(MessageError::OutOfOrder {
                number,
                last: self.last_number,
            });
        }
        if epoch != self.epoch || !self.is_live(now) {
            self.live_since = now;
        }
        self.awaits_first_contact = false;
        self.epoch = epoch;
        self.last_number = number;
        self.last_heard = Some(now);
        Ok(())
    }

    /// Counts an invalid message. After `MAX_INVALID_MESSAGES` of them the planner is ignored for `IGNORE_DURATION`,
    /// the paper's penalty for a peer.
    pub fn record_invalid_message(&mut self, now: Time) {
        self.invalid_messages += 1;
        if self.invalid_messages >= MAX_INVALID_MESSAGES {
            self.invalid_messages = 0;
            self.ignored_until = now + IGNORE_DURATION;
            self.last_heard = None;
        }
    }

    /// Returns whether the planner was heard recently and is not ignored.
    pub fn is_live(&self, now: Time) -> bool {
        self.last_heard
            .is_some_and(|heard| now.since(heard) < self.silence_timeout)
            && now >= self.ignored_until
    }

    fn is_stable(&self, now: Time) -> bool {
        self.is_live(now) && now.since(self.live_since) >= STABLE_AFTER
    }
}

/// Returns the planner that holds the leases of an incarnation: the first of the live planners in an order that depends
/// on the incarnation (rendezvous hashing). Planners that have been live for [`STABLE_AFTER`] come before the others.
/// `None` if no planner is live.
pub fn lease_holder(
    now: Time,
    planners: &[PlannerStatus],
    incarnation: &Incarnation,
) -> Option<PlannerId> {
    let hash = of_name(&incarnation.host, incarnation.started);
    let rank = |planner: &&PlannerStatus| {
        let weight = mix(hash ^ mix(u64::from(planner.id.0) + 1));
        (planner.is_stable(now), weight)
    };
    planners
        .iter()
        .filter(|planner| planner.is_live(now))
        .max_by_key(rank)
        .map(|planner| planner.id)
}
